package guard

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"pgregory.net/rapid"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

const (
	modelSteps     = 220
	modelRetention = 10 * time.Second
	modelBlind     = 20 * time.Second
	maxAgents      = 14
)

// chooser draws the steps: a seeded generator, or rapid, which can shrink.
type chooser interface{ IntN(n int) int }

type rapidChooser struct{ *rapid.T }

func (c rapidChooser) IntN(n int) int { return rapid.IntRange(0, n-1).Draw(c.T, "n") }

// try is what was asked and said of one attempt.
type try struct {
	submit   message.Submit
	made     time.Time
	pair     roster.Pair
	calls    map[state.NodeID]int
	verdicts map[state.NodeID]int
	granted  bool
	notRun   bool
	// unsent attempts are only asked about, as an entry does that refuses a
	// submission itself.
	unsent           bool
	bars, barReplies int
	number           int // in order of making
	refused          bool
}

// refusal is a certain "not run" of an id.
type refusal struct {
	tries int // how many there were
	epoch state.Epoch
}

type grant struct {
	at     time.Time
	digest state.Digest
	epoch  state.Epoch
}

// told is what entries know of an id's fences.
type told struct {
	epoch state.Epoch
	fence message.Fence
}

// variant is a way to run the model. The zero value is the usual one.
type variant struct {
	former bool // draws its steps as the model did when faultySeeds were found
	oneID  bool // all job ids of a share have one claim.ID
}

// world drives real guards through random events and checks after each what was
// said. fault holds the first thing that must never be said.
type world struct {
	*cluster
	chooser
	seed   uint64
	outage bool
	variant
	tries  []*try
	byID   map[message.Attempt]*try
	grants map[state.JobKey][]grant
	// refused are the certain refusals of each id.
	refused map[state.JobKey][]refusal
	fences  map[state.JobKey]told
	granted int
	fault   string
}

// modelKeys are ids of two shares; two of them share one.
var modelKeys = sync.OnceValue(func() []state.JobKey {
	keys := []state.JobKey{jobKey(0), jobKey(1)}
	for i := 2; ; i++ {
		if roster.ShareOf(jobKey(i)) == roster.ShareOf(keys[0]) {
			return append(keys, jobKey(i))
		}
	}
})

func newWorld(seed uint64, c chooser, disabled safeguards, v variant) *world {
	w := &world{
		cluster: newCluster(),
		chooser: c,
		seed:    seed,
		byID:    make(map[message.Attempt]*try),
		grants:  make(map[state.JobKey][]grant),
		refused: make(map[state.JobKey][]refusal),
		fences:  make(map[state.JobKey]told),
	}
	w.variant = v
	w.cluster.oneID = v.oneID
	w.disabled = disabled
	w.opts.Retention = modelRetention
	w.opts.Blind = modelBlind
	w.watch = make(map[uint32]bool)
	for _, k := range modelKeys() {
		w.watch[roster.ShareOf(k)] = true
	}
	w.calls = func(at state.NodeID, m message.Submit) { w.byID[m.Attempt].calls[at]++ }
	w.verdicts = w.onVerdict
	w.lost = w.tooOld
	w.asked = func(m message.Bar) { w.byID[m.Attempt].bars++ }
	w.bars = w.onBarReply
	for range 5 {
		w.join(0)
	}
	w.readAll()
	w.settle()
	return w
}

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

func (w *world) alive() []*node {
	var out []*node
	for _, id := range w.order {
		if n := w.nodes[id]; !n.dead {
			out = append(out, n)
		}
	}
	return out
}

func (w *world) pick() *node {
	live := w.alive()
	if len(live) == 0 {
		w.join(0)
		live = w.alive()
	}
	return live[w.IntN(len(live))]
}

// pickMember prefers a member of a pair that matters.
func (w *world) pickMember() state.NodeID {
	members := w.truth().Members()
	if p := w.pair(modelKeys()[w.IntN(2)]); p.OK && w.IntN(4) > 0 {
		return [2]state.NodeID{p.Home, p.Witness}[w.IntN(2)]
	}
	if len(members) == 0 {
		return ""
	}
	return members[w.IntN(len(members))].ID
}

// join starts an agent that reads the log from the offset after read.
func (w *world) join(read int) {
	if len(w.order) >= maxAgents {
		return
	}
	id := state.NodeID(fmt.Sprintf("n%d-%d", w.seed, len(w.order)))
	w.start(id, w.IntN(3)).read = read
	w.append(roster.Join{Member: w.nodes[id].opts.Self})
}

func (w *world) evict() {
	if id := w.pickMember(); len(w.truth().Members()) > 2 {
		w.append(roster.Evict{NodeID: id, By: "model"})
	}
}

func (w *world) leave() {
	if n := w.nodes[w.pickMember()]; n != nil && !n.dead {
		n.leaving = true
		w.append(roster.Leave{NodeID: n.self})
	}
}

func (w *world) confirmLost() {
	var dead []state.NodeID
	for _, id := range w.order {
		if w.nodes[id].dead && w.IntN(3) > 0 {
			dead = append(dead, id)
		}
	}
	if len(dead) > 0 {
		w.append(roster.ConfirmLost{NodeIDs: dead})
	}
}

// strand takes both members of a pair away at once: they are killed, which the
// operator may confirm, or cut off from all others and the log. In time others
// guard the share, and both pairs are asked for an id.
func (w *world) strand() {
	key := modelKeys()[w.IntN(2)]
	p := w.pair(key)
	if !p.OK || len(w.truth().Members()) < 4 {
		return
	}
	if w.IntN(2) == 0 {
		w.askNow(p, key)
		w.hurry(func(m message.Message) bool { r, ok := m.(message.ClaimReply); return ok && r.Key == key })
	}
	kill := w.IntN(2) == 0
	ids := []state.NodeID{p.Home, p.Witness}
	for _, id := range ids {
		w.nodes[id].cut, w.nodes[id].noLog, w.nodes[id].dead = 2, true, w.nodes[id].dead || kill
		w.append(roster.Evict{NodeID: id, By: "model"})
	}
	if kill && w.IntN(2) == 0 {
		w.append(roster.ConfirmLost{NodeIDs: ids})
	}
	for range w.IntN(6) {
		w.pass(modelBlind / 3)
		w.readAll()
	}
	w.submitAt(p, key, 0)
	w.submitAt(w.pair(key), key, 0)
}

// overtake has a home go on to the next epoch while the witness's yes is on its
// way, and then asks it to bar the attempt.
func (w *world) overtake() {
	key := modelKeys()[w.IntN(2)]
	p := w.pair(key)
	if !p.OK || len(w.truth().Members()) < 4 {
		return
	}
	t := w.askNow(p, key)
	w.append(roster.Evict{NodeID: [2]state.NodeID{p.Home, p.Witness}[w.IntN(2)], By: "model"})
	if n := w.nodes[p.Home]; !n.held && !n.noLog && !n.dead && w.IntN(2) == 0 {
		w.readOne(n)
	}
	w.send(p.Home, message.Bar{Key: key, Attempt: t.submit.Attempt, Epoch: p.Epoch})
}

// askNow has an attempt reach the home, and the home's ask the witness.
func (w *world) askNow(p roster.Pair, key state.JobKey) *try {
	t := w.submitAt(p, key, 0)
	w.carry(t)
	return t
}

// hurry delivers the first message like this before all others.
func (w *world) hurry(like func(message.Message) bool) {
	i := slices.IndexFunc(w.net, func(e envelope) bool { return like(e.msg) })
	if i < 0 {
		return
	}
	e := w.net[i]
	w.net = slices.Delete(w.net, i, i+1)
	w.deliver(e)
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.tickAll()
}
