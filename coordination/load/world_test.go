package load

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/worker"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/state/job"
)

const (
	// hop is a frame's way, with what both processes need to handle it.
	hop = 3 * time.Millisecond
	// call is a call of an agent to the backend server beside it.
	call = 2 * time.Millisecond
	// beat is the pace of frames on quiet links, tick that of the machines.
	beat, tick = 150 * time.Millisecond, 50 * time.Millisecond
	// holdEvery renews leases when nothing ends.
	holdEvery = 60 * time.Millisecond
	shards    = 16
	service   = "desk"
)

var bounds = owner.Bounds{
	WaitOut: 2600 * time.Millisecond, Takeover: 8600 * time.Millisecond, Retention: 4 * time.Minute,
	LazyWrite: 700 * time.Millisecond, AimShare: 0.75,
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world is entries and agents with the frames between them.
type world struct {
	now     time.Duration
	rand    *rand.Rand
	queue   events
	count   int
	entries []*entry
	agents  []*agent
	jobs    map[job.ID]*request
	tally   map[string]*tally
	// spreadCost is the agents' pause between news of their load, for each caller.
	spreadCost time.Duration
}

// setup is the size of a world.
type setup struct {
	entries, agents int
	spreadCost      time.Duration
	seed            uint64
}

func newWorld(s setup) *world {
	w := &world{
		now: time.Hour, rand: rand.New(rand.NewPCG(s.seed, 1)), spreadCost: s.spreadCost,
		jobs: make(map[job.ID]*request), tally: make(map[string]*tally),
	}
	for i := range s.agents {
		w.agents = append(w.agents, newAgent(w, i))
	}
	for i := range s.entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	return w
}

func (w *world) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.queue, event{at: w.now + d, n: w.count, do: do})
}

// every repeats something, beginning at a random phase.
func (w *world) every(pace time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		w.after(pace, again)
	}
	w.after(time.Duration(w.rand.Int64N(int64(pace))), again)
}

func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// entry runs best-effort jobs in a shard of its own.
type entry struct {
	*owner.Shard
	w     *world
	name  string
	fleet *owner.Fleet
}

func newEntry(w *world, number int) *entry {
	e := &entry{w: w, name: "entry-" + strconv.Itoa(number), fleet: owner.NewFleet(1)}
	e.Shard = owner.NewPrivate(w.now, shards+1+number, bounds, e.fleet)
	for _, a := range w.agents {
		e.fleet.Linked(a.name)
		claim, fx := e.Linked(w.now, a.name, 1)
		e.apply(fx)
		claim.Owner = e.name
		e.apply(e.Claimed(w.now, a.name, a.Claim(w.now, claim)))
		a.callers = append(a.callers, &caller{entry: e})
	}
	w.every(tick, func() { e.apply(e.Tick(w.now)) })
	return e
}

func (e *entry) apply(fx owner.Effects) {
	for _, o := range fx.Orders {
		a, what := e.w.agent(o.Node), o.What
		e.w.after(hop, func() { a.order(e, what) })
	}
	for _, s := range fx.Stops {
		a, run := e.w.agent(s.Node), s.What
		e.w.after(hop, func() { a.apply(a.Stop(e.w.now, e.ID, e.Epoch, run)) })
	}
	for _, s := range fx.Settled {
		a, what := e.w.agent(s.Node), s.What
		e.w.after(beat/2, func() { a.Settled(what.Run, what.Void) })
	}
	for _, r := range fx.Replies {
		r.To(r.Verdict)
	}
}

// caller is what an agent knows of an entry.
type caller struct {
	entry   *entry
	seen    int64
	told    level
	toldAt  time.Duration
	orderAt time.Duration
}

// level is the part of a load whose change is worth a frame.
type level struct {
	free    job.Demand
	waiting int
	accepts bool
}

// agent is a worker's books and its backend server.
type agent struct {
	*worker.Worker
	w       *world
	name    string
	callers []*caller
	speed   float64
	running map[job.RunID]bool
	ends    []worker.ListedEnd
	ended   int64
	holding bool
}

func newAgent(w *world, number int) *agent {
	a := &agent{
		w: w, name: fmt.Sprintf("agent-%02d", number), speed: 1, running: make(map[job.RunID]bool),
		Worker: worker.New(worker.Bounds{Lease: time.Second, OwnerSilence: 1300 * time.Millisecond, Relink: 700 * time.Millisecond, Adoption: 400 * time.Millisecond, Shards: shards}),
	}
	capacity := job.Demand{CPUMillis: 16000, MemoryMB: 65536}
	if number%3 == 2 {
		capacity.CPUMillis = 24000
	}
	a.Report(w.now, worker.Server{Instance: "i-" + a.name, Service: service, Capacity: capacity}, w.now.Milliseconds())
	a.hold()
	w.every(holdEvery, a.hold)
	w.every(tick, func() {
		a.apply(a.Tick(w.now))
		a.spread()
	})
	w.every(beat, func() {
		for _, c := range a.callers {
			a.Heard(w.now, c.entry.name)
			if w.now-c.toldAt >= beat {
				a.tell(c, nil)
			}
		}
	})
	return a
}

func (w *world) agent(name string) *agent {
	n, err := strconv.Atoi(name[len("agent-"):])
	if err != nil {
		panic(err)
	}
	return w.agents[n]
}

func (a *agent) order(e *entry, o worker.Order) {
	a.apply(a.Order(a.w.now, o))
	for _, c := range a.callers {
		if c.entry == e {
			c.seen++
			c.orderAt = a.w.now
		}
	}
}

func (a *agent) apply(fx worker.Effects) {
	for _, s := range fx.Starts {
		a.w.after(call, func() {
			a.running[s.Run] = true
			a.apply(a.StartAnswered(a.w.now, s.Instance, s.Run, worker.StartOK, ""))
			a.w.after(time.Duration(float64(a.w.work(s.Run))*a.speed), func() { a.end(s.Run, job.Done) })
		})
	}
	for _, s := range fx.Stops {
		a.w.after(call, func() {
			a.apply(a.StopAnswered(a.w.now, s.Instance, s.Run, true))
			a.end(s.Run, job.Stopped)
		})
	}
	for _, ev := range fx.Events {
		for _, c := range a.callers {
			if c.entry.ID == ev.Shard && ev.State.Status == worker.Ended {
				a.tell(c, &ev)
			}
		}
	}
}

func (a *agent) end(run job.RunID, kind job.EndKind) {
	if !a.running[run] {
		return
	}
	delete(a.running, run)
	a.ended++
	a.ends = append(a.ends, worker.ListedEnd{Seq: a.ended, Run: run, Kind: kind})
	a.hold()
}

// hold looks at the backend server, one call at a time.
func (a *agent) hold() {
	if a.holding {
		return
	}
	c, ok := a.Hold(a.w.now)
	if !ok {
		return
	}
	a.holding = true
	a.w.after(call, func() {
		a.holding = false
		h := worker.Holding{ClockMS: a.w.now.Milliseconds()}
		for run := range a.running {
			h.Active = append(h.Active, worker.Listed{Run: run})
		}
		for len(a.ends) > 0 && a.ends[0].Seq <= c.Acked {
			a.ends = a.ends[1:]
		}
		h.Ends = append(h.Ends, a.ends...)
		a.apply(a.Held(a.w.now, c, h))
		if len(a.ends) > 0 {
			a.hold()
		}
	})
}

// tell sends an entry a frame with the load, and the end of a run.
func (a *agent) tell(c *caller, ev *worker.Event) {
	l := a.Load(a.w.now)
	c.told, c.toldAt = levelOf(&l), a.w.now
	p := wire.LoadToWire(&l)
	p.OrdersSeen = c.seen
	p.Placers = int32(len(a.placers()))
	a.w.after(hop, func() {
		c.entry.fleet.Update(a.w.now, a.name, wire.LoadFromWire(p))
		if ev != nil {
			c.entry.apply(c.entry.Event(a.w.now, a.name, *ev))
		}
	})
}

func levelOf(l *worker.Load) level {
	return level{free: l.Free, waiting: l.Waiting, accepts: l.Accepts}
}

func (a *agent) spread() {
	l := a.Load(a.w.now)
	placers := a.placers()
	for _, c := range placers {
		if c.told != levelOf(&l) && a.w.now-c.toldAt >= time.Duration(len(placers))*a.w.spreadCost {
			a.tell(c, nil)
		}
	}
}

// placers returns the entries that place work here.
func (a *agent) placers() []*caller {
	var out []*caller
	for _, c := range a.callers {
		if c.orderAt > 0 && a.w.now-c.orderAt < time.Second {
			out = append(out, c)
		}
	}
	return out
}
