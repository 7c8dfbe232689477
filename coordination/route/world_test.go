package route

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/limit"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// world is an entry with a few agents that grant attempts as pairs do: by a
// yes of both members at the attempt's epoch. Its network loses, repeats and
// reorders, agents pause and die, the roster moves and everybody lags.
type world struct {
	*Router
	rng     *rand.Rand
	now     time.Time
	pairs   [][2]state.NodeID // by epoch
	seen    int               // the entry's epoch
	nodes   []*node
	net     []packet
	calm    bool // no new faults
	ask     uint64
	waiting map[uint64]time.Time // deadline by ticket; abandoned ones are out
	sent    map[message.Attempt]state.JobKey
	// holder is every claim that a witness has recorded. That pairs hand it on
	// without a gap is package guard's to prove, so here all see it.
	holder  map[state.JobKey]state.NodeID
	granted map[message.Attempt]bool
	notRun  map[message.Attempt]bool // must never be granted
	ran     map[string]bool          // repeatable requests that an agent has started
	refused map[string]bool          // repeatable requests of which NotRun was said
	counts  map[string]int
	broken  string // the first rule that was broken
}

type packet struct {
	at       time.Time
	from, to state.NodeID
	msg      any
}

// node is a home and a witness. ruledOut outlives every epoch.
type node struct {
	id           state.NodeID
	epoch        int
	paused, dead bool
	cut          bool // from the entry
	inbox        []packet
	ruledOut     map[message.Attempt]bool
	jobs         map[state.JobKey]*heldJob
	tries        []*agentTry
}

// claim goes from home to witness, and back with yes set or not.
type claim struct {
	key        state.JobKey
	id         message.Attempt
	epoch      int
	reply, yes bool
	holder     state.NodeID
}

const (
	worldNodes = 4
	entryID    = state.NodeID("e1")
)

func newWorld(seed uint64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 0)), now: start, pairs: [][2]state.NodeID{{}, {"n0", "n1"}}, seen: 1,
		waiting: map[uint64]time.Time{}, sent: map[message.Attempt]state.JobKey{},
		holder: map[state.JobKey]state.NodeID{}, granted: map[message.Attempt]bool{}, notRun: map[message.Attempt]bool{}, counts: map[string]int{},
		ran: map[string]bool{}, refused: map[string]bool{},
	}
	var ids []state.NodeID
	for i := range worldNodes {
		w.nodes = append(w.nodes, &node{
			id: state.NodeID(fmt.Sprint("n", i)), epoch: 1, ruledOut: map[message.Attempt]bool{},
			jobs: map[state.JobKey]*heldJob{},
		})
	}
	for _, n := range w.nodes {
		ids = append(ids, n.id)
	}
	w.Router = New(Options{Self: entryID, Roster: w, View: agentLoads(ids...), Seed: seed, RetryRatio: 1, Limits: limit.New(limit.Options{StartInFlight: 16})})
	return w
}

func (w *world) Pair(string, state.JobKey) (state.NodeID, state.NodeID, state.Epoch, bool) {
	p := w.pairs[w.seen]
	return p[0], p[1], state.Epoch(w.seen), true
}

func (w *world) Alive(id state.NodeID) bool {
	n := w.node(id)
	return n != nil && !n.dead && !n.paused
}

func (w *world) node(id state.NodeID) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (w *world) one(in int) bool { return w.rng.IntN(in) == 0 }

// post puts a message on the network.
func (w *world) post(from, to state.NodeID, msg any) {
	for copies := 1 + w.rng.IntN(8)/7; copies > 0; copies-- {
		if !w.calm && w.one(12) {
			continue
		}
		late := time.Duration(200+w.rng.IntN(1500)) * time.Microsecond
		if !w.calm && w.one(20) {
			late = time.Duration(w.rng.IntN(1500)) * millis
		}
		w.net = append(w.net, packet{w.now.Add(late), from, to, msg})
	}
}

// do carries out the entry's actions and checks its answers.
func (w *world) do(acts []coordination.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case coordination.Send:
			if m, ok := a.Msg.(message.Submit); ok && !m.Query {
				w.sent[m.Attempt] = m.Job.Key
			}
			w.post(entryID, a.To, a.Msg)
		case coordination.Deliver:
			w.delivered(a)
		}
	}
}

func (w *world) delivered(d coordination.Deliver) {
	w.counts[d.Answer.Outcome.String()+" "+string(d.Answer.Reason)]++
	deadline, ok := w.waiting[d.Ticket]
	switch {
	case !ok:
		w.fail("ticket %d answered twice or after Abandon", d.Ticket)
	case !deadline.IsZero() && w.now.After(deadline.Add(coordination.TickInterval)):
		w.fail("ticket %d answered late", d.Ticket)
	}
	delete(w.waiting, d.Ticket)
	if d.Answer.Outcome == state.Complete || d.Answer.Outcome == state.Failed {
		// The caller knows that this id has run. A later NotRun is of its next
		// submission only.
		maps.DeleteFunc(w.sent, func(_ message.Attempt, key state.JobKey) bool { return key == d.Answer.Key })
	}
	if name := d.Answer.Key.ID; d.Answer.Outcome == state.NotRun && strings.HasPrefix(name, requestMark) {
		w.refused[name] = true
		if w.ran[name] {
			w.fail("not run was said of request %s after its start", name)
		}
	}
	for id, key := range w.sent {
		if d.Answer.Outcome != state.NotRun || key != d.Answer.Key {
			continue
		}
		w.notRun[id] = true
		if w.granted[id] {
			w.fail("not run was said of %s after its grant", id)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

// step lets a millisecond pass.
func (w *world) step() {
	w.now = w.now.Add(millis)
	var due []packet
	w.net = slices.DeleteFunc(w.net, func(p packet) bool {
		if p.at.After(w.now) {
			return false
		}
		due = append(due, p)
		return true
	})
	slices.SortStableFunc(due, func(a, b packet) int { return a.at.Compare(b.at) })
	for _, p := range due {
		w.arrive(p)
	}
	for _, n := range w.nodes {
		w.run(n)
	}
	if w.now.UnixMilli()%coordination.TickInterval.Milliseconds() == 0 {
		w.do(w.Tick(w.now))
	}
}

func (w *world) arrive(p packet) {
	if p.to == entryID {
		if !w.node(p.from).cut {
			w.do(w.Handle(w.now, p.from, p.msg.(message.Message)))
		}
		return
	}
	n := w.node(p.to)
	if n.dead || n.cut && p.from == entryID {
		return
	}
	n.inbox = append(n.inbox, p)
}

// run lets a node work off what has arrived, unless it is paused.
func (w *world) run(n *node) {
	if n.paused || n.dead {
		return
	}
	inbox := n.inbox
	n.inbox = nil
	for _, p := range inbox {
		switch m := p.msg.(type) {
		case message.Submit:
			w.onSubmit(n, m)
		case message.Cancel:
			w.onCancel(n, m)
		case message.Bar:
			w.onBar(n, m)
		case message.Assign:
			w.onAssign(n, m)
		case message.TaskQuery:
			w.onTaskQuery(n, m)
		case claim:
			w.onClaim(n, p.from, m)
		}
	}
	for _, t := range n.tries {
		if !t.refused && !t.told && !t.end.After(w.now) {
			t.told = true
			w.report(n, t)
		}
	}
	for _, key := range worldKeys {
		if j := n.jobs[key]; j != nil && j.answer == nil && !w.now.Before(j.end) {
			j.answer = &message.Answer{Key: key, Outcome: state.Complete, Results: make([]state.TaskResult, 1)}
			w.tell(n, j)
		}
	}
}

func (w *world) tell(n *node, j *heldJob) {
	for _, id := range slices.Sorted(maps.Keys(j.owed)) {
		a := *j.answer
		a.Attempt = id
		w.post(n.id, entryID, a)
	}
	clear(j.owed)
}

func (w *world) say(n *node, key state.JobKey, id message.Attempt, o state.Outcome, reason state.Reason, holder state.NodeID) {
	if o == state.NotRun {
		n.ruledOut[id] = true
	}
	w.post(n.id, entryID, message.Answer{Key: key, Attempt: id, Outcome: o, Reason: reason, Epoch: state.Epoch(n.epoch), Holder: holder})
}

func (w *world) onSubmit(n *node, m message.Submit) {
	key, id := m.Job.Key, m.Attempt
	p := w.pairs[n.epoch]
	j, holder := n.jobs[key], w.holder[key]
	either := []state.Outcome{state.NotRun, state.Unknown}[w.rng.IntN(2)]
	switch {
	case j != nil:
		j.owed[id] = true
		if j.answer != nil {
			w.tell(n, j)
		} else if m.Query || w.one(2) {
			w.say(n, key, id, state.Pending, "", "")
		}
	case m.Query:
		w.say(n, key, id, state.Unknown, state.ReasonUnknownJob, holder)
	case n.ruledOut[id]:
		w.say(n, key, id, state.NotRun, state.ReasonBarred, "")
	case holder != "" && holder != n.id:
		w.say(n, key, id, state.Unknown, state.ReasonHomeLost, holder)
	case int(m.Epoch) != n.epoch || p[0] != n.id:
		w.say(n, key, id, either, state.ReasonStaleEpoch, "")
	case w.one(8):
		w.say(n, key, id, state.NotRun, state.ReasonOverload, "")
	default:
		w.post(n.id, p[1], claim{key: key, id: id, epoch: n.epoch})
	}
}

func (w *world) onCancel(n *node, m message.Cancel) {
	if j := n.jobs[m.Key]; j != nil && j.answer == nil {
		j.answer = &message.Answer{Key: m.Key, Outcome: state.Failed, Reason: state.ReasonCancelled}
		w.tell(n, j)
	}
	w.say(n, m.Key, m.Attempt, state.Unknown, state.ReasonUnknownJob, w.holder[m.Key])
}

func (w *world) onBar(n *node, m message.Bar) {
	reply := message.BarReply{Key: m.Key, Attempt: m.Attempt, Epoch: state.Epoch(n.epoch), Holder: w.holder[m.Key]}
	if reply.Holder == "" {
		reply.Barred = true
		n.ruledOut[m.Attempt] = true
	}
	w.post(n.id, entryID, reply)
}

func (w *world) onClaim(n *node, from state.NodeID, c claim) {
	if !c.reply {
		holder := w.holder[c.key]
		c.yes = c.epoch == n.epoch && !n.ruledOut[c.id] && (holder == "" || holder == from)
		if c.yes {
			w.holder[c.key] = from
		}
		c.reply, c.holder = true, w.holder[c.key]
		w.post(n.id, from, c)
		return
	}
	switch {
	case n.jobs[c.key] != nil:
	case c.holder != "" && c.holder != n.id:
		w.say(n, c.key, c.id, state.Unknown, state.ReasonHomeLost, c.holder)
	case !c.yes || c.epoch != n.epoch || n.ruledOut[c.id]:
		w.say(n, c.key, c.id, state.NotRun, state.ReasonBarred, "")
	default:
		w.grant(n, c)
	}
}

func (w *world) grant(n *node, c claim) {
	w.holder[c.key] = n.id
	n.jobs[c.key] = &heldJob{end: w.now.Add(time.Duration(w.rng.IntN(2500)) * millis), owed: map[message.Attempt]bool{c.id: true}}
	w.granted[c.id] = true
	if w.notRun[c.id] {
		w.fail("%s was granted after not run was said of it", c.id)
	}
}
