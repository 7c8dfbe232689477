package load

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/subset"
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
	domains   = 5
	service   = "desk"
)

var bounds = owner.Bounds{
	LostLinkTimeout: 2600 * time.Millisecond, TakeoverTimeout: 8600 * time.Millisecond, Retention: 4 * time.Minute,
	MaxWriteDelay: 700 * time.Millisecond,
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
	params     owner.Params
	// times is how many times as many jobs come as usual.
	times float64
	// subsets has the agents that each entry links.
	subsets [][]*agent
	// uneven sends a fifth of the jobs to the first entry, whatever their number.
	uneven bool
	// busy counts what became of the first entry's jobs.
	busy tally
	// uncounted has agents not tell how many orders they had from all.
	uncounted bool
	// drains are those in force.
	drains drains.State
	// patient clients wait for as long as a recorded job does.
	patient bool
	// lost counts the backend servers that tasks have crashed, givenUp the jobs that were
	// shown as failed though they could be done, and most is the most starts of a task
	// after three servers were lost under it.
	lost, givenUp, most int
}

// setup is the size of a world.
type setup struct {
	entries, agents int
	spreadCost      time.Duration
	seed            uint64
	params          owner.Params
	// links is how many agents each entry links; zero: all.
	links int
	// drawn has each entry hold the number that its name leads to, in place of the
	// numbers that are dealt to it.
	drawn bool
}

func newWorld(s setup) *world {
	w := &world{
		now: time.Hour, rand: rand.New(rand.NewPCG(s.seed, 1)), spreadCost: s.spreadCost, params: s.params, times: 1,
		jobs: make(map[job.ID]*request), tally: make(map[string]*tally),
	}
	for i := range s.agents {
		w.agents = append(w.agents, newAgent(w, i))
	}
	w.subsets = s.subsets(w.agents)
	for i := range s.entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	return w
}

// subsets chooses the agents that each entry links.
func (s *setup) subsets(agents []*agent) [][]*agent {
	all := make([]subset.Agent, len(agents))
	byName := make(map[string]*agent, len(agents))
	for i, a := range agents {
		all[i] = subset.Agent{Name: a.name, Domain: strconv.Itoa(i % domains)}
		byName[a.name] = a
	}
	out := make([][]*agent, s.entries)
	for i := range out {
		share := subset.FallbackShare(fmt.Sprintf("entry-%d", i))
		if !s.drawn {
			share.Buckets = nil
			for n := i; n < subset.NumBuckets; n += s.entries {
				share.Buckets = append(share.Buckets, n)
			}
		}
		for _, name := range subset.Order(all, share)[:min(len(all), s.linksOrAll())] {
			out[i] = append(out[i], byName[name])
		}
	}
	return out
}

func (s *setup) linksOrAll() int {
	if s.links == 0 {
		return s.agents
	}
	return s.links
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
	w      *world
	number int
	// life counts the entry's starts; down is set while it is not running.
	life  int
	down  bool
	fleet *owner.Fleet
}

func newEntry(w *world, number int) *entry {
	e := &entry{w: w, number: number}
	e.begin()
	w.every(tick, func() {
		if !e.down {
			e.apply(e.Tick(w.now))
		}
	})
	return e
}

// name is that of the entry's life.
func (e *entry) name() string { return fmt.Sprintf("entry-%d/%d", e.number, e.life) }

// begin starts a life of the entry: it links all agents that are there.
func (e *entry) begin() {
	e.life++
	e.down = false
	e.fleet = owner.NewFleet(1, e.w.params)
	e.Shard = owner.NewPrivate(e.w.now, shards+1+e.number+livesOfEntries*e.life, bounds, e.fleet)
	for _, a := range e.w.subsets[e.number] {
		e.w.after(hop, func() { e.link(a, e.life) })
	}
}

// livesOfEntries spaces the numbers of their shards.
const livesOfEntries = 1000

func (e *entry) link(a *agent, life int) {
	if e.life != life {
		return
	}
	e.fleet.Linked(a.name)
	claim, _, fx := e.Linked(e.w.now, a.name, 1)
	e.apply(fx)
	claim.Owner = e.name()
	answer := a.Claim(e.w.now, claim)
	a.apply(answer.Effects)
	e.apply(e.Claimed(e.w.now, a.name, answer))
	a.callers = slices.DeleteFunc(a.callers, func(c *caller) bool { return c.entry == e })
	c := &caller{entry: e, life: e.life}
	a.callers = append(a.callers, c)
	a.tell(c, nil)
}

func (e *entry) apply(fx owner.Effects) {
	for _, o := range fx.Orders {
		a, what := e.w.agent(o.Node), o.Value
		e.w.after(hop, func() { a.order(e, what) })
	}
	for _, s := range fx.Stops {
		a, run := e.w.agent(s.Node), s.Value
		e.w.after(hop, func() { a.apply(a.Stop(e.w.now, e.ID, e.Epoch, run)) })
	}
	for _, s := range fx.Settled {
		a, what := e.w.agent(s.Node), s.Value
		e.w.after(beat/2, func() { a.Settled(what.Run, what.Void) })
	}
	for _, r := range fx.Replies {
		r.To(r.Response)
	}
}

// caller is what an agent knows of an entry.
type caller struct {
	entry   *entry
	life    int
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
	// lives counts the instances of the backend server, life the agent's own starts.
	lives, life int
	// down is set while the agent is not running, and dark while its backend server is
	// not. What is started while hangs is set stands still, and deaf delays its news.
	down, dark, hangs, deaf bool
	// orders counts those of all entries.
	orders   int64
	capacity job.Demand
	// cold is what the backend server says of its being so, and reports numbers its words.
	cold    time.Duration
	reports int64
	// domain is the failure domain, where that matters.
	domain string
}

func newAgent(w *world, number int) *agent {
	a := &agent{w: w, name: fmt.Sprintf("agent-%02d", number), speed: 1, running: make(map[job.RunID]bool)}
	a.capacity = job.Demand{CPUMillis: 16000, MemoryMB: 65536}
	if number%3 == 2 {
		a.capacity.CPUMillis = 24000
	}
	a.begin()
	w.every(holdEvery, a.hold)
	w.every(tick, func() {
		if !a.down {
			a.apply(a.Tick(w.now))
			a.spread()
		}
	})
	w.every(beat, func() {
		for _, c := range a.callers {
			if a.down || c.entry.down || c.life != c.entry.life {
				continue
			}
			a.Heard(w.now, c.entry.name())
			if w.now-c.toldAt >= beat {
				a.tell(c, nil)
			}
		}
	})
	return a
}

// begin starts a life of the agent, which knows whose orders the earlier one took.
func (a *agent) begin() {
	a.life++
	a.down = false
	var former []string
	for _, c := range a.callers {
		former = append(former, fmt.Sprintf("entry-%d/%d", c.entry.number, c.life))
	}
	a.callers = nil
	a.holding = false
	a.Worker = worker.New(worker.Bounds{Lease: time.Second, OwnerTimeout: 1300 * time.Millisecond, ReconnectTimeout: 700 * time.Millisecond, AdoptionTimeout: 400 * time.Millisecond, Shards: shards})
	a.SetFormerOwners(former)
	a.report()
	a.hold()
}

// report has the backend server say what it is.
func (a *agent) report() {
	instance := fmt.Sprintf("i-%s-%d", a.name, a.lives)
	a.reports++
	a.apply(a.Report(a.w.now, worker.Server{Instance: instance, Service: service, Capacity: a.capacity, ColdRemaining: a.cold, Seq: a.reports}, a.w.now.Milliseconds()))
}

func (w *world) agent(name string) *agent {
	n, err := strconv.Atoi(name[len("agent-"):])
	if err != nil {
		panic(err)
	}
	return w.agents[n]
}

func (a *agent) order(e *entry, o worker.Order) {
	if a.down {
		return
	}
	a.apply(a.Order(a.w.now, o))
	a.orders++
	for _, c := range a.callers {
		if c.entry == e {
			c.seen++
			c.orderAt = a.w.now
		}
	}
}

// later does something after a call, if the agent still lives then.
func (a *agent) later(do func()) {
	life := a.life
	a.w.after(call, func() {
		if a.life == life && !a.down {
			do()
		}
	})
}

func (a *agent) apply(fx worker.Effects) {
	for _, s := range fx.Starts {
		lives := a.lives
		a.later(func() {
			if a.dark || a.lives != lives {
				a.apply(a.StartAnswered(a.w.now, s.Instance, s.Run, worker.StartUnhealthy, "no_connection"))
				return
			}
			a.running[s.Run] = true
			a.apply(a.StartAnswered(a.w.now, s.Instance, s.Run, worker.StartOK, ""))
			if a.w.crashes(s.Run) {
				a.w.after(crashDelay, func() { a.crashedBy(s.Run, lives) })
				return
			}
			if !a.hangs {
				a.w.after(time.Duration(float64(a.w.work(s.Run))*a.speed), func() { a.end(s.Run, job.Done) })
			}
		})
	}
	for _, s := range fx.Stops {
		a.later(func() {
			a.apply(a.StopAnswered(a.w.now, s.Instance, s.Run, !a.dark))
			a.end(s.Run, job.Stopped)
		})
	}
	for _, ev := range fx.Events {
		for _, c := range a.callers {
			if c.entry.ID == ev.Shard && ev.State.Status != worker.Running {
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
	if a.holding || a.down {
		return
	}
	c, ok := a.Hold(a.w.now)
	if !ok {
		return
	}
	a.holding = true
	lives := a.lives
	a.later(func() {
		a.holding = false
		switch {
		case a.dark:
			a.apply(a.HoldFailed(a.w.now, c, worker.NotSent))
			return
		case a.lives != lives:
			return
		}
		h := worker.HoldResult{ClockMS: a.w.now.Milliseconds()}
		for run := range a.running {
			h.Active = append(h.Active, worker.ListedRun{Run: run})
		}
		for len(a.ends) > 0 && a.ends[0].Seq <= c.Acked {
			a.ends = a.ends[1:]
		}
		h.Ends = append(h.Ends, a.ends...)
		a.apply(a.HoldAnswered(a.w.now, c, h))
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
	p.Domain = a.domain
	p.Placers = int32(len(a.placers()))
	if !a.w.uncounted {
		p.Orders = a.orders
	}
	delay := hop
	if a.deaf {
		delay = deafDelay
	}
	a.w.after(delay, func() {
		if c.entry.down || c.entry.life != c.life {
			return
		}
		c.entry.fleet.Update(a.w.now, a.name, wire.LoadFromWire(p))
		if ev != nil {
			c.entry.apply(c.entry.Event(a.w.now, a.name, *ev))
		}
		if c.entry.HasWaitingTasks() {
			c.entry.apply(c.entry.AgentsUpdated(a.w.now))
		}
	})
}

// deafDelay is that of news on a link whose other end is slow.
const deafDelay = 60 * time.Millisecond

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
