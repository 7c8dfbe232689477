package declaration

import (
	"fmt"
	"maps"
	"slices"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// A fleet of processes reads one stream that forgets, each at its own pace. They
// are replaced, sleep, miss records and hear from each other; applies, refreshes
// and whole restores come in between, late or in a wrong order. Whatever happens,
// no process goes back, and complete ones that have read equally far agree.

// process is one reader.
type process struct {
	set  *Set
	next int64
	last map[string]state.Version
}

type crowd struct {
	first   int64
	records [][]byte
	procs   []*process
	late    [][]byte
	applies int
	off     safeguards
}

func (c *crowd) end() int64 { return c.first + int64(len(c.records)) }

func (c *crowd) newProcess() *process {
	p := &process{set: NewSet(), next: 1, last: make(map[string]state.Version)}
	p.set.ledger.disabled = c.off
	return p
}

func (c *crowd) add(rec *Record) {
	data, err := rec.Encode()
	if err != nil {
		panic(err)
	}
	c.records = append(c.records, data)
}

func (c *crowd) read(p *process, most int) {
	p.next = max(p.next, c.first)
	for ; most > 0 && p.next < c.end(); most-- {
		_, _ = p.set.Apply(p.next, c.records[p.next-c.first])
		p.next++
	}
	p.set.ReadTo(p.next - 1)
}

const all = 1 << 20

func (c *crowd) apply(p *process, s *step) {
	c.applies++
	id := fmt.Sprintf("id%d", c.applies)
	operator := operatorName(s.operator)
	cur, _ := p.set.Operator(operator)
	c.add(&Record{Kind: KindApply, Operator: operator, ApplyID: id, Base: cur.Version, File: s.file(id)})
}

// write adds a record, or keeps it for later.
func (c *crowd) write(rec *Record, late bool) {
	if !late {
		c.add(rec)
		return
	}
	data, err := rec.Encode()
	if err != nil {
		panic(err)
	}
	c.late = append(c.late, data)
}

func (c *crowd) report(p *process, owner, late bool) int {
	operators := p.set.ToReport(owner)
	for _, operator := range operators {
		rec, _ := p.set.Report(operator)
		c.write(rec, late)
	}
	return len(operators)
}

func (c *crowd) play(s *step) {
	i := (s.pick*operatorCount + s.operator) % len(c.procs)
	p := c.procs[i]
	late := s.region == 1 && s.pick == 0
	switch s.kind {
	case "apply":
		c.apply(p, s)
	case "read":
		c.read(p, 1+s.pick*s.pick)
	case "replace":
		c.procs[i] = c.newProcess()
	case "peer":
		c.merge(p, c.procs[s.pick%len(c.procs)])
	case "refresh":
		if rec, ok := p.set.Refresh(operatorName(s.operator)); ok {
			c.write(rec, late)
		}
	case "forget":
		n := min(len(c.records), 1+2*s.pick)
		c.records = c.records[n:]
		c.first += int64(n)
	case "begin":
		if rec, ok := p.set.BeginRestore(fmt.Sprintf("restore%d", c.end())); ok {
			c.add(rec)
		}
	case "report":
		c.report(p, s.region == 0, late)
	case "commit":
		if rec, _ := p.set.CommitRestore(); rec != nil {
			c.write(rec, late)
		}
	case "late":
		if len(c.late) > 0 {
			c.records = append(c.records, c.late[0])
			c.late = c.late[1:]
		}
	case "restore":
		c.restore(p, s.pick < 3)
	}
}

// merge takes what a peer has in force.
func (c *crowd) merge(p, peer *process) {
	for _, operator := range peer.set.Operators() {
		cur, _ := peer.set.Operator(operator)
		_, _ = p.set.MergePeer(message.DeclarationRecord{
			Operator: operator, Version: cur.Version, ApplyID: cur.ApplyID, File: []byte(cur.Raw),
		})
	}
}

// restore goes through a whole restore; some processes may sleep through it.
func (c *crowd) restore(owner *process, allAwake bool) {
	c.read(owner, all)
	rec, ok := owner.set.BeginRestore(fmt.Sprintf("restore%d", c.end()))
	if !ok {
		return
	}
	c.add(rec)
	for range 4 {
		for i, p := range c.procs {
			if !allAwake && i%2 == 0 && p != owner {
				continue
			}
			c.read(p, all)
			c.report(p, p == owner, false)
		}
	}
	c.read(owner, all)
	if rec, void := owner.set.CommitRestore(); void == "" {
		c.add(rec)
	}
}

// check compares every process with its past and with the others.
func (c *crowd) check() error {
	byThrough := make(map[int64]*ledger)
	for i, p := range c.procs {
		for _, operator := range p.set.Operators() {
			cur, _ := p.set.Operator(operator)
			if cur.Version < p.last[operator] {
				return errors.Errorf("process %d: %s went back from %d to %d", i, operator, p.last[operator], cur.Version)
			}
			p.last[operator] = cur.Version
		}
		l := p.set.ledger
		if !l.complete {
			continue
		}
		other := byThrough[l.through]
		if other == nil {
			byThrough[l.through] = l
			continue
		}
		if err := alike(l, other); err != nil {
			return errors.Wrapf(err, "process %d at offset %d", i, l.through)
		}
	}
	return nil
}

func alike(a, b *ledger) error {
	if !maps.Equal(a.holders, b.holders) {
		return errors.Errorf("holders %v and %v", a.holders, b.holders)
	}
	if len(a.accounts) != len(b.accounts) {
		return errors.Errorf("%d operators and %d", len(a.accounts), len(b.accounts))
	}
	for operator, acc := range a.accounts {
		other := b.accounts[operator]
		if other == nil || acc.version != other.version || acc.raw != other.raw || acc.created != other.created || !maps.Equal(acc.owned, other.owned) {
			return errors.Errorf("operator %s: %+v and %+v", operator, acc, other)
		}
	}
	return nil
}

// settle lets everything come in and everybody wake up, and restores if nobody
// has a complete view. In the end all must have the same in force: no less than
// anybody living had before, and a new apply must be accepted.
func (c *crowd) settle() error {
	c.records = append(c.records, c.late...)
	highest := make(map[string]state.Version)
	for _, p := range c.procs {
		c.read(p, all)
		if err := c.check(); err != nil {
			return err
		}
		for operator, v := range p.last {
			highest[operator] = max(highest[operator], v)
		}
	}
	if !slices.ContainsFunc(c.procs, func(p *process) bool { return p.set.Complete() }) {
		c.restore(c.procs[0], true)
	}
	for range 3 {
		if err := c.cycle(); err != nil {
			return err
		}
	}
	return c.same(highest)
}

// cycle has every process read, report what it is ahead with, and one that is
// complete refresh everything.
func (c *crowd) cycle() error {
	for _, p := range c.procs {
		c.read(p, all)
		c.report(p, false, false)
	}
	for _, p := range c.procs {
		c.read(p, all)
	}
	for _, p := range c.procs {
		if !p.set.Complete() {
			continue
		}
		for _, operator := range p.set.Refreshable() {
			rec, _ := p.set.Refresh(operator)
			c.add(rec)
		}
		break
	}
	for _, p := range c.procs {
		c.read(p, all)
	}
	return c.check()
}

func (c *crowd) same(highest map[string]state.Version) error {
	for i, p := range c.procs {
		if !p.set.Complete() {
			return errors.Errorf("process %d is incomplete in the end", i)
		}
		for operator, v := range highest {
			cur, _ := p.set.Operator(operator)
			other, _ := c.procs[0].set.Operator(operator)
			if c.contradicted(operator) {
				continue
			}
			if cur.Version != other.Version || cur.Raw != other.Raw {
				return errors.Errorf("process %d has others of %s in force than process 0", i, operator)
			}
			if cur.Version < v {
				return errors.Errorf("process %d has %s at %d, and %d was in force", i, operator, cur.Version, v)
			}
		}
	}
	s := step{operator: 0}
	before, _ := c.procs[0].set.Operator(operatorName(0))
	c.apply(c.procs[len(c.procs)-1], &s)
	for i, p := range c.procs {
		c.read(p, all)
		if cur, _ := p.set.Operator(operatorName(0)); cur.Version <= before.Version {
			return errors.Errorf("process %d accepts no apply in the end", i)
		}
	}
	return nil
}

// contradicted reports whether a process that slept through a restore is stuck
// with a version of the operator, because another operator has got one of its
// names in the meantime. Only persons can settle that, and the process says so.
func (c *crowd) contradicted(operator string) bool {
	return slices.ContainsFunc(c.procs, func(p *process) bool {
		if !slices.Contains(p.set.Ahead(), operator) {
			return false
		}
		cur, _ := p.set.Operator(operator)
		reason, _ := p.set.ledger.check(operator, cur.File)
		return reason == state.ReasonServiceOwned || reason == state.ReasonRegionFixed
	})
}

func crowdSteps() *rapid.Generator[[]step] {
	kinds := []string{
		"apply", "apply", "apply", "read", "read", "read", "read", "replace", "peer", "refresh",
		"forget", "forget", "begin", "report", "report", "commit", "late", "restore",
	}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		s := drawStep(t)
		s.kind = rapid.SampledFrom(kinds).Draw(t, "what")
		return s
	}), 15, 70)
}

func crowdStory(steps []step, off safeguards) error {
	c := &crowd{first: 1, off: off}
	for range 4 {
		c.procs = append(c.procs, c.newProcess())
	}
	for i := range steps {
		c.play(&steps[i])
		if err := c.check(); err != nil {
			return errors.Wrapf(err, "step %d, %s", i, steps[i].kind)
		}
	}
	return c.settle()
}
