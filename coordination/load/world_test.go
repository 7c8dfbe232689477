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
	frameDelay = 3 * time.Millisecond
	// call is a call of an agent to the backend server beside it.
	callDelay = 2 * time.Millisecond
	// beat is the pace of frames on quiet links, tick that of the machines.
	heartbeatInterval, tickInterval = 150 * time.Millisecond, 50 * time.Millisecond
	// holdEvery renews leases when nothing ends.
	holdInterval = 60 * time.Millisecond
	shards       = 16
	domains      = 5
	service      = "desk"
)

var ownerBounds = owner.Bounds{
	LostLinkTimeout: 2600 * time.Millisecond, TakeoverTimeout: 8600 * time.Millisecond, Retention: 4 * time.Minute,
	MaxWriteDelay: 700 * time.Millisecond,
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
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
	lastSeq int
	entries []*entry
	agents  []*agent
	jobs    map[job.ID]*request
	tallies map[string]*tally
	// spreadCost is the agents' pause between news of their load, for each caller.
	pausePerPlacer time.Duration
	params         owner.Params
	// times is how many times as many jobs come as usual.
	burstFactor float64
	// subsets has the agents that each entry links.
	subsets [][]*agent
	// uneven sends a fifth of the jobs to the first entry, whatever their number.
	unevenTraffic bool
	// busy counts what became of the first entry's jobs.
	busyEntry tally
	// uncounted has agents not tell how many orders they had from all.
	hideTotalOrders bool
	// drains are those in force.
	drains drains.State
	// patient clients wait for as long as a recorded job does.
	patient bool
	// lost counts the backend servers that tasks have crashed, givenUp the jobs that were
	// shown as failed though they could be done, and most is the most starts of a task
	// after three servers were lost under it.
	serversLost, wronglyGivenUp, maxStartsAfterThird int
}

// setup is the size of a world.
type setup struct {
	entries, agents int
	pausePerPlacer  time.Duration
	seed            uint64
	params          owner.Params
	// links is how many agents each entry links; zero: all.
	links int
	// drawn has each entry hold the number that its name leads to, in place of the
	// numbers that are dealt to it.
	fallbackBuckets bool
}

func newWorld(s setup) *world {
	w := &world{
		now: time.Hour, rand: rand.New(rand.NewPCG(s.seed, 1)), pausePerPlacer: s.pausePerPlacer, params: s.params, burstFactor: 1,
		jobs: make(map[job.ID]*request), tallies: make(map[string]*tally),
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
		if !s.fallbackBuckets {
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
	w.lastSeq++
	heap.Push(&w.queue, event{at: w.now + d, seq: w.lastSeq, do: do})
}

// every repeats something, beginning at a random phase.
func (w *world) every(interval time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		w.after(interval, again)
	}
	w.after(time.Duration(w.rand.Int64N(int64(interval))), again)
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
	incarnation int
	down        bool
	fleet       *owner.Fleet
}

func newEntry(w *world, number int) *entry {
	e := &entry{w: w, number: number}
	e.start()
	w.every(tickInterval, func() {
		if !e.down {
			e.apply(e.Tick(w.now))
		}
	})
	return e
}

// name is that of the entry's life.
func (e *entry) name() string { return fmt.Sprintf("entry-%d/%d", e.number, e.incarnation) }

// begin starts a life of the entry: it links all agents that are there.
func (e *entry) start() {
	e.incarnation++
	e.down = false
	e.fleet = owner.NewFleet(1, e.w.params)
	e.Shard = owner.NewPrivate(e.w.now, shards+1+e.number+shardsPerIncarnation*e.incarnation, ownerBounds, e.fleet)
	for _, a := range e.w.subsets[e.number] {
		e.w.after(frameDelay, func() { e.link(a, e.incarnation) })
	}
}

// livesOfEntries spaces the numbers of their shards.
const shardsPerIncarnation = 1000

func (e *entry) link(a *agent, incarnation int) {
	if e.incarnation != incarnation {
		return
	}
	e.fleet.Linked(a.name)
	claim, _, fx := e.Linked(e.w.now, a.name, 1)
	e.apply(fx)
	claim.Owner = e.name()
	answer := a.Claim(e.w.now, claim)
	a.apply(answer.Effects)
	e.apply(e.Claimed(e.w.now, a.name, answer))
	a.links = slices.DeleteFunc(a.links, func(c *entryLink) bool { return c.entry == e })
	c := &entryLink{entry: e, incarnation: e.incarnation}
	a.links = append(a.links, c)
	a.sendLoad(c, nil)
}

func (e *entry) apply(fx owner.Effects) {
	for _, o := range fx.Orders {
		a, value := e.w.agent(o.Node), o.Value
		e.w.after(frameDelay, func() { a.order(e, value) })
	}
	for _, s := range fx.Stops {
		a, run := e.w.agent(s.Node), s.Value
		e.w.after(frameDelay, func() { a.apply(a.Stop(e.w.now, e.ID, e.Epoch, run)) })
	}
	for _, s := range fx.Settled {
		a, value := e.w.agent(s.Node), s.Value
		e.w.after(heartbeatInterval/2, func() { a.Settled(value.Run, value.Void) })
	}
	for _, r := range fx.Replies {
		r.To(r.Response)
	}
}

// caller is what an agent knows of an entry.
type entryLink struct {
	entry       *entry
	incarnation int
	ordersSeen  int64
	lastSent    loadLevel
	lastSentAt  time.Duration
	lastOrderAt time.Duration
}

// level is the part of a load whose change is worth a frame.
type loadLevel struct {
	free    job.Demand
	waiting int
	accepts bool
}

// agent is a worker's books and its backend server.
type agent struct {
	*worker.Worker
	w              *world
	name           string
	links          []*entryLink
	durationFactor float64
	running        map[job.RunID]bool
	ends           []worker.ListedEnd
	lastEndSeq     int64
	holding        bool
	// lives counts the instances of the backend server, life the agent's own starts.
	serverInstance, incarnation int
	// down is set while the agent is not running, and dark while its backend server is
	// not. What is started while hangs is set stands still, and deaf delays its news.
	down, serverDown, tasksHang, slowUpdates bool
	// orders counts those of all entries.
	orders   int64
	capacity job.Demand
	// cold is what the backend server says of its being so, and reports numbers its words.
	coldRemaining time.Duration
	lastReportSeq int64
	// domain is the failure domain, where that matters.
	domain string
}

func newAgent(w *world, number int) *agent {
	a := &agent{w: w, name: fmt.Sprintf("agent-%02d", number), durationFactor: 1, running: make(map[job.RunID]bool)}
	a.capacity = job.Demand{CPUMillis: 16000, MemoryMB: 65536}
	if number%3 == 2 {
		a.capacity.CPUMillis = 24000
	}
	a.start()
	w.every(holdInterval, a.hold)
	w.every(tickInterval, func() {
		if !a.down {
			a.apply(a.Tick(w.now))
			a.sendChangedLoads()
		}
	})
	w.every(heartbeatInterval, func() {
		for _, c := range a.links {
			if a.down || c.entry.down || c.incarnation != c.entry.incarnation {
				continue
			}
			a.Heard(w.now, c.entry.name())
			if w.now-c.lastSentAt >= heartbeatInterval {
				a.sendLoad(c, nil)
			}
		}
	})
	return a
}

// begin starts a life of the agent, which knows whose orders the earlier one took.
func (a *agent) start() {
	a.incarnation++
	a.down = false
	var former []string
	for _, c := range a.links {
		former = append(former, fmt.Sprintf("entry-%d/%d", c.entry.number, c.incarnation))
	}
	a.links = nil
	a.holding = false
	a.Worker = worker.New(worker.Bounds{Lease: time.Second, OwnerTimeout: 1300 * time.Millisecond, ReconnectTimeout: 700 * time.Millisecond, AdoptionTimeout: 400 * time.Millisecond, Shards: shards})
	a.SetFormerOwners(former)
	a.report()
	a.hold()
}

// report has the backend server say what it is.
func (a *agent) report() {
	instance := fmt.Sprintf("i-%s-%d", a.name, a.serverInstance)
	a.lastReportSeq++
	a.apply(a.Report(a.w.now, worker.Server{Instance: instance, Service: service, Capacity: a.capacity, ColdRemaining: a.coldRemaining, Seq: a.lastReportSeq}, a.w.now.Milliseconds()))
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
	for _, c := range a.links {
		if c.entry == e {
			c.ordersSeen++
			c.lastOrderAt = a.w.now
		}
	}
}

// later does something after a call, if the agent still lives then.
func (a *agent) afterCall(do func()) {
	incarnation := a.incarnation
	a.w.after(callDelay, func() {
		if a.incarnation == incarnation && !a.down {
			do()
		}
	})
}

func (a *agent) apply(fx worker.Effects) {
	for _, s := range fx.Starts {
		instance := a.serverInstance
		a.afterCall(func() {
			if a.serverDown || a.serverInstance != instance {
				a.apply(a.StartAnswered(a.w.now, s.Instance, s.Run, worker.StartUnhealthy, "no_connection"))
				return
			}
			a.running[s.Run] = true
			a.apply(a.StartAnswered(a.w.now, s.Instance, s.Run, worker.StartOK, ""))
			if a.w.crashes(s.Run) {
				a.w.after(crashDelay, func() { a.crashedBy(s.Run, instance) })
				return
			}
			if !a.tasksHang {
				a.w.after(time.Duration(float64(a.w.work(s.Run))*a.durationFactor), func() { a.end(s.Run, job.Done) })
			}
		})
	}
	for _, s := range fx.Stops {
		a.afterCall(func() {
			a.apply(a.StopAnswered(a.w.now, s.Instance, s.Run, !a.serverDown))
			a.end(s.Run, job.Stopped)
		})
	}
	for _, ev := range fx.Events {
		for _, c := range a.links {
			if c.entry.ID == ev.Shard && ev.State.Status != worker.Running {
				a.sendLoad(c, &ev)
			}
		}
	}
}

func (a *agent) end(run job.RunID, kind job.EndKind) {
	if !a.running[run] {
		return
	}
	delete(a.running, run)
	a.lastEndSeq++
	a.ends = append(a.ends, worker.ListedEnd{Seq: a.lastEndSeq, Run: run, Kind: kind})
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
	instance := a.serverInstance
	a.afterCall(func() {
		a.holding = false
		switch {
		case a.serverDown:
			a.apply(a.HoldFailed(a.w.now, c, worker.NotSent))
			return
		case a.serverInstance != instance:
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
func (a *agent) sendLoad(c *entryLink, ev *worker.Event) {
	l := a.Load(a.w.now)
	c.lastSent, c.lastSentAt = loadLevelOf(&l), a.w.now
	p := wire.LoadToWire(&l)
	p.OrdersSeen = c.ordersSeen
	p.Domain = a.domain
	p.Placers = int32(len(a.placers()))
	if !a.w.hideTotalOrders {
		p.Orders = a.orders
	}
	delay := frameDelay
	if a.slowUpdates {
		delay = slowUpdateDelay
	}
	a.w.after(delay, func() {
		if c.entry.down || c.entry.incarnation != c.incarnation {
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
const slowUpdateDelay = 60 * time.Millisecond

func loadLevelOf(l *worker.Load) loadLevel {
	return loadLevel{free: l.Free, waiting: l.Waiting, accepts: l.Accepts}
}

func (a *agent) sendChangedLoads() {
	l := a.Load(a.w.now)
	placers := a.placers()
	for _, c := range placers {
		if c.lastSent != loadLevelOf(&l) && a.w.now-c.lastSentAt >= time.Duration(len(placers))*a.w.pausePerPlacer {
			a.sendLoad(c, nil)
		}
	}
}

// placers returns the entries that place work here.
func (a *agent) placers() []*entryLink {
	var out []*entryLink
	for _, c := range a.links {
		if c.lastOrderAt > 0 && a.w.now-c.lastOrderAt < time.Second {
			out = append(out, c)
		}
	}
	return out
}
