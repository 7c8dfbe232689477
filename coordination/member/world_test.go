package member

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

const (
	worldTick = 250 * time.Millisecond
	// A node speaks every roundEvery, each time to one in turns of the others,
	// so that a watcher hears it every four seconds. After askAfter of silence
	// the watcher asks in each of its own rounds. So does coordination/gossip.
	roundEvery = time.Second
	turns      = 4
	askAfter   = 2 * turns * roundEvery
	// warmUp is virtual time before anything goes wrong.
	warmUp = 20 * time.Second
	// longestRetry and pollEvery are those of transport/platformlog.
	longestRetry = 3 * time.Second
	pollEvery    = 20 * time.Second
)

// faults say what goes wrong, by the time since warmUp. A nil function says
// that nothing does.
type faults struct {
	dead   func(t time.Duration, i int) bool
	paused func(t time.Duration, i int) bool
	// deaf tells that b doesn't hear a.
	deaf func(t time.Duration, a, b int) bool
	// noLog tells that a node can't reach the log.
	noLog func(t time.Duration, i int) bool
	// lag is how long an append, or a read, of a node takes.
	lag func(i int) time.Duration
	// lost is the part of the appends that is lost without an answer, and
	// unheard the part of the words among members.
	lost    float64
	unheard float64
}

// world runs machines over a log with delays, outages and losses. It is like
// fleet, but each node has a view of the log of its own.
type world struct {
	faults
	rng   *rand.Rand
	now   time.Time
	start time.Time
	nodes []*worldNode
	log   []worldRecord
	// rosters are those after each record. The nodes share them.
	rosters []*roster.Roster
	flying  []worldAppend
	// appends counts what came into the log by kind.
	appends map[roster.Kind]int
}

type worldRecord struct {
	data []byte
	at   time.Time
}

type worldAppend struct {
	data []byte
	at   time.Time
}

type worldNode struct {
	*Machine
	self  state.Member
	heard map[state.NodeID]time.Time
	// round counts the rounds; nextRound is when the next is due.
	round     int
	nextRound time.Time
	// arrived are those whose words wait to be taken in, asked those who wait
	// for an answer.
	arrived []int
	asked   []int
	read    int
	// nextRead is when the next read may begin; readAt when the last one ended.
	nextRead time.Time
	readAt   time.Time
	backoff  time.Duration
}

func newWorld(seed uint64, o Options, members []state.Member, f faults) *world {
	w := &world{faults: f, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), appends: make(map[roster.Kind]int)}
	w.start = w.now.Add(warmUp)
	w.rosters = append(w.rosters, roster.New())
	for i, m := range members {
		data, _ := roster.Encode(roster.Join{Member: m})
		w.take(data)
		n := &worldNode{self: m, heard: make(map[state.NodeID]time.Time)}
		n.nextRound = w.now.Add(time.Duration(w.rng.Int64N(int64(roundEvery))))
		o := o
		o.Self, o.Seed = m, seed+uint64(i)
		o.Heard = func(id state.NodeID) (time.Time, bool) {
			at, ok := n.heard[id]
			return at, ok
		}
		n.Machine = New(o)
		w.nodes = append(w.nodes, n)
	}
	return w
}

func (w *world) since() time.Duration { return w.now.Sub(w.start) }

func (w *world) is(f func(time.Duration, int) bool, i int) bool {
	return f != nil && w.since() >= 0 && f(w.since(), i)
}

func (w *world) down(i int) bool { return w.is(w.dead, i) || w.is(w.paused, i) }

func (w *world) step() {
	w.now = w.now.Add(worldTick)
	w.speak()
	w.arrive()
	for i, n := range w.nodes {
		if w.down(i) {
			continue
		}
		w.readLog(i, n)
		for _, a := range n.Tick(w.now) {
			w.append(i, n, a.(coordination.Append).Data)
		}
	}
}

// speak has each node that runs take in what came while it stood still, and do
// the round that is due. Rounds that were missed are not made up for.
func (w *world) speak() {
	for i, n := range w.nodes {
		if w.down(i) {
			continue
		}
		for _, from := range n.arrived {
			n.heard[w.nodes[from].self.ID] = w.now
		}
		for _, to := range n.asked {
			w.tell(i, to)
		}
		n.arrived, n.asked = nil, nil
		if w.now.Before(n.nextRound) {
			continue
		}
		n.nextRound = later(n.nextRound.Add(roundEvery), w.now)
		n.round++
		w.round(i, n)
	}
}

func (w *world) round(i int, n *worldNode) {
	for j, other := range w.nodes {
		if i == j {
			continue
		}
		if (i+j+n.round)%turns == 0 {
			w.tell(i, j)
		}
		if w.now.Sub(n.heard[other.self.ID]) > askAfter && w.carries(i, j) && !w.is(w.dead, j) {
			other.asked = append(other.asked, i)
		}
	}
}

// carries tells whether the network carries a message.
func (w *world) carries(from, to int) bool {
	if w.since() >= 0 && w.deaf != nil && w.deaf(w.since(), from, to) {
		return false
	}
	return w.unheard == 0 || w.rng.Float64() >= w.unheard
}

// tell sends a word. It waits for a node that stands still.
func (w *world) tell(from, to int) {
	if w.carries(from, to) && !w.is(w.dead, to) {
		w.nodes[to].arrived = append(w.nodes[to].arrived, from)
	}
}

func (w *world) delay(i int) time.Duration {
	if w.lag == nil {
		return 0
	}
	return w.lag(i)
}

// append takes an append. Out of service, the log refuses it for certain or
// leaves the writer without an answer.
func (w *world) append(i int, n *worldNode, data []byte) {
	switch {
	case w.is(w.noLog, i):
		if w.rng.IntN(2) == 0 {
			n.AppendFailed(w.now, data)
		}
	case w.lost > 0 && w.rng.Float64() < w.lost:
		if w.rng.IntN(3) == 0 {
			w.flying = append(w.flying, worldAppend{data, w.now.Add(time.Duration(w.rng.IntN(9)) * time.Second)})
		}
	default:
		w.flying = append(w.flying, worldAppend{data, w.now.Add(w.delay(i))})
	}
}

func (w *world) arrive() {
	w.flying = slices.DeleteFunc(w.flying, func(a worldAppend) bool {
		if a.at.After(w.now) {
			return false
		}
		w.take(a.data)
		w.appends[kindOf(a.data)]++
		return true
	})
}

func (w *world) take(data []byte) {
	next, _, _ := w.final().Apply(int64(len(w.log)+1), data)
	w.rosters = append(w.rosters, next)
	w.log = append(w.log, worldRecord{data, w.now})
}

func kindOf(data []byte) roster.Kind {
	record, err := roster.Decode(data)
	if err != nil {
		panic(err)
	}
	switch record.(type) {
	case roster.Evict:
		return roster.KindEvict
	case roster.Suspect:
		return roster.KindSuspect
	case roster.Alive:
		return roster.KindAlive
	}
	return ""
}

// readLog is a follower of the log: a long poll that ends with the next record
// or after its time, and after a failure a pause that grows.
func (w *world) readLog(i int, n *worldNode) {
	if w.now.Before(n.nextRead) {
		return
	}
	if w.is(w.noLog, i) {
		n.backoff = min(max(2*n.backoff, 100*time.Millisecond), longestRetry)
		n.nextRead = w.now.Add(n.backoff/2 + time.Duration(w.rng.Int64N(int64(n.backoff/2))))
		return
	}
	failed := n.backoff > 0
	n.backoff = 0
	before := n.read
	for n.read < len(w.log) && !w.log[n.read].at.Add(w.delay(i)).After(w.now) {
		offset := int64(n.read + 1)
		n.Read(w.now, offset, w.log[n.read].data)
		n.read++
	}
	if n.read > before || failed || w.now.Sub(n.readAt) >= pollEvery {
		n.readAt = w.now
		n.Roster(w.now, w.rosters[n.read])
	}
}

func (w *world) final() *roster.Roster { return w.rosters[len(w.log)] }

// evictedLiving counts the members that run and are no longer in the roster.
func (w *world) evictedLiving() int {
	r := w.final()
	count := 0
	for i, n := range w.nodes {
		if _, member := r.Member(n.self.ID); !member && !w.is(w.dead, i) {
			count++
		}
	}
	return count
}

// allPaired tells whether each share has a living pair.
func (w *world) allPaired() bool {
	r := w.final()
	living := make(map[state.NodeID]bool)
	for i, n := range w.nodes {
		living[n.self.ID] = !w.is(w.dead, i)
	}
	for share := range uint32(roster.Shares) {
		p := r.Pair(w.nodes[0].self.Region, share)
		if !living[p.Home] || !living[p.Witness] {
			return false
		}
	}
	return true
}

// run runs for so long after warmUp. It returns when every share had a living
// pair again, if that was asked for.
func (w *world) run(limit time.Duration, untilPaired bool) time.Duration {
	records := len(w.log)
	for w.since() < limit {
		w.step()
		if untilPaired && w.since() > 0 && len(w.log) != records {
			records = len(w.log)
			if w.allPaired() {
				return w.since()
			}
		}
	}
	return limit
}
