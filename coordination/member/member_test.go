package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// fleet runs machines against one log in virtual time. A machine hears another
// as long as both run and no cut stands between them.
type fleet struct {
	t     *testing.T
	now   time.Time
	log   [][]byte
	nodes []*node
	// arriving are appends that the log takes in at the end of the tick.
	arriving [][]byte
	// cut tells which pairs can't hear each other. Both can reach the log.
	cut func(a, b *state.Member) bool
	// onAppend may swallow a record or bring it in late.
	onAppend func(n *node, data []byte) (arrives bool)
}

type node struct {
	*Machine
	self   state.Member
	roster *roster.Roster
	read   int
	heard  map[state.NodeID]time.Time
	dead   bool
	paused bool
	noLog  bool
}

const tick = 250 * time.Millisecond

func newFleet(t *testing.T, members ...state.Member) *fleet {
	f := &fleet{t: t, now: time.Unix(1000, 0)}
	f.cut = func(_, _ *state.Member) bool { return false }
	f.onAppend = func(*node, []byte) bool { return true }
	for _, m := range members {
		f.add(m)
	}
	return f
}

func (f *fleet) add(m state.Member) *node {
	n := &node{self: m, roster: roster.New(), heard: make(map[state.NodeID]time.Time)}
	n.Machine = New(Options{
		Self: m,
		Seed: uint64(len(f.nodes)),
		Heard: func(id state.NodeID) (time.Time, bool) {
			at, ok := n.heard[id]
			return at, ok
		},
	})
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		f.speak()
		for _, n := range f.nodes {
			f.step(n)
		}
		f.log = append(f.log, f.arriving...)
		f.arriving = nil
	}
}

// speak lets everybody who runs be heard every four seconds, each at a time of
// his own.
func (f *fleet) speak() {
	for i, a := range f.nodes {
		if a.dead || a.paused || (f.now.UnixMilli()+int64(i)*tick.Milliseconds())%4000 != 0 {
			continue
		}
		for _, b := range f.nodes {
			if a != b && !b.dead && !b.paused && !f.cut(&a.self, &b.self) {
				b.heard[a.self.ID] = f.now
			}
		}
	}
}

// losing swallows the appends of some nodes, so that the others have time to do
// harm before they are evicted themselves.
func (f *fleet) losing(of func(*node) bool) {
	f.onAppend = func(n *node, _ []byte) bool { return !of(n) }
}

func (f *fleet) step(n *node) {
	if n.dead || n.paused {
		return
	}
	if !n.noLog {
		f.readLog(n)
	}
	for _, a := range n.Tick(f.now) {
		data := a.(coordination.Append).Data
		if !n.noLog && f.onAppend(n, data) {
			f.arriving = append(f.arriving, data)
		}
	}
}

func (f *fleet) readLog(n *node) {
	for ; n.read < len(f.log); n.read++ {
		offset := int64(n.read + 1)
		next, _, err := n.roster.Apply(offset, f.log[n.read])
		if err != nil {
			f.t.Fatal(err)
		}
		n.roster = next
		n.Read(f.now, offset, f.log[n.read])
	}
	n.Roster(f.now, n.roster)
}

// written counts the records in the log by kind.
func (f *fleet) written() map[string]int {
	out := make(map[string]int)
	for _, data := range f.log {
		record, err := roster.Decode(data)
		if err != nil {
			f.t.Fatal(err)
		}
		out[fmt.Sprintf("%T", record)]++
	}
	return out
}

func (f *fleet) members() []state.NodeID {
	var out []state.NodeID
	r := roster.New()
	for i, data := range f.log {
		r, _, _ = r.Apply(int64(i+1), data)
	}
	for _, m := range r.Members() {
		out = append(out, m.ID)
	}
	return out
}

func (f *fleet) each(domain string, do func(*node)) {
	for _, n := range f.nodes {
		if n.self.Domain == domain {
			do(n)
		}
	}
}

// site returns members of the region by domain, so many in each.
func site(region string, sizes ...int) []state.Member {
	var out []state.Member
	for d, size := range sizes {
		for i := range size {
			out = append(out, state.Member{
				ID:     state.NodeID(fmt.Sprintf("%s-%d-%d", region, d, i)),
				Addr:   fmt.Sprintf("%s-%d-%d:7401", region, d, i),
				Region: region,
				Domain: fmt.Sprintf("d%d", d),
				Rack:   fmt.Sprintf("r%d", i%2),
			})
		}
	}
	return out
}

const (
	evicts       = "roster.Evict"
	joins        = "roster.Join"
	leaves       = "roster.Leave"
	snapshotKind = "roster.Snapshot"
)

// The append's reply is lost although the record is in; then the record itself
// comes late. A second join would stand in the log behind an eviction and bring
// a dead incarnation back, so there must be exactly one of each.
func TestLostReplyAppendsNothingTwice(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 2, 2)...)
	var late [][]byte
	f.onAppend = func(n *node, data []byte) bool {
		late = append(late, data)
		return false
	}
	f.run(4 * time.Second)
	f.log = append(f.log, late...)
	f.run(time.Minute)
	is.Equal(f.written()[joins], 4)
	f.nodes[0].Leave(f.now)
	f.onAppend = func(*node, []byte) bool { return true }
	f.run(10 * time.Second)
	is.True(f.nodes[0].Left())
	is.Equal(f.written()[leaves], 1)
}

// The record never arrives. The node must try again, but only after the log was
// read past the time at which the first could arrive; a log that can't be read
// settles nothing, however long it lasts.
func TestLostRecordIsAppendedAgainAfterReading(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 1)...)
	n := f.nodes[0]
	f.onAppend = func(*node, []byte) bool { return false }
	f.run(tick)
	is.Equal(n.Stats().Joins, 1)
	n.noLog = true
	f.run(10 * time.Minute)
	is.Equal(n.Stats().Joins, 1)
	n.noLog = false
	f.onAppend = func(*node, []byte) bool { return true }
	f.run(2 * time.Second)
	is.Equal(n.Stats().Joins, 2)
	is.True(n.Joined())
}

// The log refuses appends for certain, for a minute. The node tries again, ever
// more slowly, and joins when the log takes records again.
func TestRefusedAppendIsRepeatedWithBackoff(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 1)...)
	n := f.nodes[0]
	f.onAppend = func(n *node, data []byte) bool {
		n.AppendFailed(f.now, data)
		return false
	}
	f.run(time.Minute)
	is.True(n.Stats().Joins > 3 && n.Stats().Joins < 10)
	f.onAppend = func(*node, []byte) bool { return true }
	f.run(2 * time.Minute)
	is.True(n.Joined())
}

// A node is stopped while its join may still be on its way. Had it gone at once,
// the join would leave a member behind that nobody runs.
func TestStopWaitsForTheFateOfTheJoin(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 1)...)
	n := f.nodes[0]
	var late []byte
	f.onAppend = func(_ *node, data []byte) bool {
		late = data
		return false
	}
	f.run(time.Second)
	n.Leave(f.now)
	f.run(time.Second)
	is.True(!n.Left())
	f.log = append(f.log, late)
	f.onAppend = func(*node, []byte) bool { return true }
	f.run(time.Second)
	is.True(n.Left())
	is.Equal(len(f.members()), 0)
}

// A single agent dies: its shares are closed until it is evicted. One record
// must do, soon, although many watch it; and the first watcher may be dead too.
func TestDeadMemberIsEvictedOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, site("j", 4, 4, 3)...)
	f.run(30 * time.Second)
	f.nodes[2].dead = true
	f.run(DefaultEvictAfter + 8*time.Second)
	is.Equal(len(f.members()), 10)
	is.Equal(f.written()[evicts], 1)
}

// Two agents that are each other's first watcher die together. Each would wait
// for the other for ever; the next watchers must step in.
func TestDeadEvictorIsReplaced(t *testing.T) {
	is := is.New(t)
	var f *fleet
	var a, b *node
	for i := 0; a == nil; i++ {
		f = newFleet(t, site(fmt.Sprintf("j%d", i), 4, 4, 3)...)
		f.run(30 * time.Second)
		a, b = mutual(f)
	}
	a.dead = true
	b.dead = true
	f.run(DefaultEvictAfter + 10*time.Second)
	is.Equal(len(f.members()), 9)
	is.Equal(f.written()[evicts], 2)
}

// mutual finds two nodes that are first among each other's watchers.
func mutual(f *fleet) (a, b *node) {
	for _, a := range f.nodes {
		for _, b := range f.nodes {
			if rankOf(a, b) == 0 && rankOf(b, a) == 0 {
				return a, b
			}
		}
	}
	return nil, nil
}

// rankOf is the place of an observer among a member's watchers, or -1.
func rankOf(observer, member *node) int {
	for _, w := range observer.watched {
		if w.ID == member.self.ID {
			return w.Rank
		}
	}
	return -1
}
