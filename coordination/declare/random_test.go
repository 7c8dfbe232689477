package declare

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
)

// move is one thing that happens; its meaning is in world.play.
type move struct{ what, node, pick int }

func moves() *rapid.Generator[[]move] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
		return move{
			what: rapid.IntRange(0, 10).Draw(t, "what"),
			node: rapid.IntRange(0, 2).Draw(t, "node"),
			pick: rapid.IntRange(0, 6).Draw(t, "pick"),
		}
	}), 20, 80)
}

// world is three nodes, a log that loses replies and delays records, and a
// reader that misses nothing.
type world struct {
	log     *fakeLog
	nodes   []*node
	full    *node
	now     time.Time
	tickets uint64
	starts  int
	off     safeguards
	// delayed are records whose appender was told "unknown".
	delayed [][]byte
	// ids maps each ticket that reached an append to its apply.
	ids  map[uint64]string
	raws map[uint64]string
	all  map[uint64]coordination.Applied
	// accepted are all versions ever accepted, by operator, with their files.
	accepted map[string]map[state.Version]string
	// last is what each node had in force after the last move.
	last map[*node]map[string]state.Version
}

func (w *world) restart(i int) {
	w.starts++
	n := newNode(fmt.Sprintf("n%d", w.starts), nil)
	n.disabled = w.off
	w.nodes[i] = n
}

// append decides what becomes of a node's oldest waiting append.
func (w *world) append(n *node, pick int) {
	if len(n.appends) == 0 {
		return
	}
	data := n.appends[0]
	n.appends = n.appends[1:]
	switch pick {
	case 0:
		n.take(n.AppendFailed(w.now, data, FailureRefused))
	case 1: // lost on its way
		n.take(n.AppendFailed(w.now, data, FailureUnknown))
	case 2: // on its way for longer than its appender waits
		n.take(n.AppendFailed(w.now, data, FailureUnknown))
		w.delayed = append(w.delayed, data)
	case 3: // in, and the reply is lost
		w.add(data)
		n.take(n.AppendFailed(w.now, data, FailureUnknown))
	default:
		w.add(data)
	}
}

func (w *world) add(data []byte) {
	w.log.records = append(w.log.records, data)
	w.full.read(w.now, w.log)
	for _, operator := range w.full.set.Operators() {
		cur, _ := w.full.set.Operator(operator)
		if w.accepted[operator] == nil {
			w.accepted[operator] = make(map[state.Version]string)
		}
		w.accepted[operator][cur.Version] = cur.Raw
	}
}

// check looks at every node after every move: nothing in force goes back, and
// nothing is in force that was never accepted in log order.
func (w *world) check() error {
	for _, n := range w.nodes {
		if w.last[n] == nil {
			w.last[n] = make(map[string]state.Version)
		}
		for _, operator := range n.set.Operators() {
			cur, _ := n.set.Operator(operator)
			if cur.Version < w.last[n][operator] {
				return errors.Errorf("%s: %s went back from %d to %d", n.opts.Self, operator, w.last[n][operator], cur.Version)
			}
			if raw, ok := w.accepted[operator][cur.Version]; !ok || raw != cur.Raw {
				return errors.Errorf("%s: version %d of %s is in force and was never accepted so", n.opts.Self, cur.Version, operator)
			}
			w.last[n][operator] = cur.Version
		}
	}
	return nil
}

// readSome lets a node read some records and not yet the rest: what it has from
// a peer may be newer than what it reads.
func (w *world) readSome(n *node, most int) {
	from := max(n.set.Through()+1, w.log.first)
	for o := from; o < min(from+int64(most), w.log.end()); o++ {
		n.take(n.Record(w.now, o, w.log.records[o-w.log.first]))
	}
}

// exchange lets a node ask another one for what it has in force, which may be
// behind or ahead.
func (w *world) exchange(n, peer *node) {
	if n == peer {
		return
	}
	n.Peers([]state.NodeID{peer.opts.Self})
	n.take(n.Tick(w.now))
	for _, ask := range n.sent {
		peer.take(peer.Handle(w.now, n.opts.Self, ask.Msg))
	}
	n.sent = nil
	for _, reply := range peer.sent {
		if reply.To == n.opts.Self {
			n.take(n.Handle(w.now, peer.opts.Self, reply.Msg))
		}
	}
	peer.sent = nil
}

func (w *world) put(n *node, pick int) {
	operator := fmt.Sprintf("op%d", pick%2)
	cur, _ := w.full.set.Operator(operator)
	base := cur.Version
	if pick > 4 {
		base = max(0, base-state.Version(pick))
	}
	w.tickets++
	raw := file(operator, fmt.Sprintf("s%d", pick%3), 1+int(w.tickets)%3)
	w.raws[w.tickets] = string(raw)
	before := len(n.appends)
	n.put(w.now, w.tickets, operator, base, raw)
	if len(n.appends) > before {
		rec, err := declaration.DecodeRecord(n.appends[before])
		if err != nil {
			panic(err)
		}
		w.ids[w.tickets] = rec.ApplyID
	}
}

func (w *world) play(m move) {
	n := w.nodes[m.node]
	switch m.what {
	case 0, 1:
		w.put(n, m.pick)
	case 2, 3, 4:
		w.append(n, m.pick)
	case 5:
		w.readSome(n, 1+m.pick)
	case 6:
		n.read(w.now, w.log)
	case 7:
		w.now = w.now.Add(time.Duration(m.pick) * 3 * time.Second)
		n.take(n.Tick(w.now))
	case 8:
		if len(w.delayed) > 0 {
			w.add(w.delayed[0])
			w.delayed = w.delayed[1:]
		}
	case 9:
		w.upset(m)
	case 10:
		w.exchange(n, w.nodes[(m.node+m.pick)%len(w.nodes)])
	}
	for ticket, a := range n.applied {
		w.all[ticket] = a
	}
}

// upset refreshes an operator from a node that may be behind, replaces a node,
// or lets the log forget.
func (w *world) upset(m move) {
	n := w.nodes[m.node]
	switch {
	case m.pick < 3:
		if rec, ok := n.set.Refresh(fmt.Sprintf("op%d", m.pick%2)); ok {
			data, err := rec.Encode()
			if err != nil {
				panic(err)
			}
			n.appends = append(n.appends, data)
		}
	case m.pick < 5:
		w.restart(m.node)
	case len(w.log.records) > 4:
		w.log.records = w.log.records[2:]
		w.log.first += 2
	}
}

// truthful checks every answer against what the whole log says in the end.
func (w *world) truthful() error {
	for _, data := range w.delayed {
		w.add(data)
	}
	for ticket, a := range w.all {
		ev, judged := w.full.set.Outcome(w.ids[ticket])
		accepted := judged && ev.Verdict == declaration.VerdictAccepted
		switch {
		case a.Outcome == state.NotRun && accepted:
			return errors.Errorf("ticket %d was told %s and is in force as %d", ticket, a.Reason, ev.Version)
		case a.Outcome == state.Complete && !accepted && !w.sameFile(ticket, a.Version):
			return errors.Errorf("ticket %d was told complete and is not in force", ticket)
		}
	}
	return nil
}

// sameFile reports whether the version that a ticket was told of has its file:
// then somebody else applied the same file against the same base.
func (w *world) sameFile(ticket uint64, v state.Version) bool {
	for other, id := range w.ids {
		ev, ok := w.full.set.Outcome(id)
		if ok && ev.Verdict == declaration.VerdictAccepted && ev.Version == v && w.raws[other] == w.raws[ticket] {
			return true
		}
	}
	return false
}

func story(ms []move, off safeguards) error {
	w := &world{
		log:   &fakeLog{first: 1},
		nodes: make([]*node, 3),
		full:  newNode("full", nil),
		now:   t0,
		off:   off,
		ids:   make(map[uint64]string),
		raws:  make(map[uint64]string),
		all:   make(map[uint64]coordination.Applied),

		accepted: make(map[string]map[state.Version]string),
		last:     make(map[*node]map[string]state.Version),
	}
	for i := range w.nodes {
		w.restart(i)
	}
	for _, m := range ms {
		w.play(m)
		if err := w.check(); err != nil {
			return err
		}
	}
	return w.truthful()
}

// Clerks apply through three nodes while replies are lost, records come in
// late, nodes are replaced, hear from one another, and the log forgets. After
// each move no node has gone back, and none has in force what was never accepted
// in log order. Whoever was told "not run" must
// not find the change in force, not even later; whoever was told "complete"
// must.
func TestAnswersAreTruthful(t *testing.T) {
	gen := moves()
	rapid.Check(t, func(t *rapid.T) {
		if err := story(gen.Draw(t, "moves"), safeguards{}); err != nil {
			t.Fatal(err)
		}
	})
}

// The same stories each time: some faults show in one of hundreds.
func TestAnswersAreTruthfulSeeds(t *testing.T) {
	const scripts = 1000
	gen := moves()
	for seed := range scripts {
		if err := story(gen.Example(seed), safeguards{}); err != nil {
			t.Fatalf("script %d: %v", seed, err)
		}
	}
}

// A lost reply that is taken for a refusal makes some clerk hear "not run" of a
// change that is in force: the property above notices.
func TestLostReplyIsNoRefusal(t *testing.T) {
	is := is.New(t)
	const scripts = 2000
	gen := moves()
	for seed := range scripts {
		if err := story(gen.Example(seed), safeguards{unknownIsNot: true}); err != nil {
			t.Logf("script %d: %v", seed, err)
			return
		}
	}
	is.Fail() // none noticed
}
