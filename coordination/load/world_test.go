package load

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/shares"
	"github.com/shallotstep/shallotstep/coordination/subset"
	"github.com/shallotstep/shallotstep/coordination/worker"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
)

const (
	// frameDelay is how long a frame takes between two processes, including its handling in both.
	frameDelay = 3 * time.Millisecond
	// callDelay is how long a call of an agent to its backend server takes.
	callDelay = 2 * time.Millisecond
	// heartbeatInterval is the interval between frames on idle links, and tickInterval that between
	// calls of Tick.
	heartbeatInterval, tickInterval = 150 * time.Millisecond, 50 * time.Millisecond
	// holdInterval is the interval between holds, which renew the lease, when no run ends.
	holdInterval = 60 * time.Millisecond
	shards       = 16
	domains      = 5
	service      = "desk"
)

var ownerBounds = owner.Bounds{
	LostLinkTimeout: 2600 * time.Millisecond, TakeoverTimeout: 8600 * time.Millisecond, Retention: 4 * time.Minute,
	MaxWriteDelay: 700 * time.Millisecond,
}

// event is a function that is called at a simulated time. Events at the same time are ordered by
// seq.
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

// world simulates entries, agents with their backend servers, clients, and the frames between them.
type world struct {
	now     time.Duration
	rand    *rand.Rand
	queue   events
	lastSeq int
	entries []*entry
	agents  []*agent
	jobs    map[job.ID]*request
	tallies map[string]*tally
	// loadIntervalPerPlacer times the number of entries that place work at an agent is the
	// shortest time between two of the agent's load updates.
	loadIntervalPerPlacer time.Duration
	params                owner.Params
	// burstFactor is multiplied with the rate of jobs.
	burstFactor float64
	// subsets has the agents that each entry links.
	subsets [][]*agent
	// unevenTraffic sends busyShare of the jobs to the first entry, beyond its even part.
	unevenTraffic bool
	// busyEntry counts the outcomes of the first entry's jobs.
	busyEntry tally
	// hideTotalOrders makes agents omit from their loads how many orders they got from all entries.
	hideTotalOrders bool
	// updateDelay is added to the delay of all agents' loads, but not to that of events.
	updateDelay time.Duration
	// heavyTails makes a few tasks of each class much longer than the others of their job.
	heavyTails bool
	// refusedBesideRoom counts the jobs that were refused while servers on which they would have
	// been in time had room for all their tasks.
	refusedBesideRoom int
	// drains are the drains in force.
	drains drains.State
	// patient makes clients wait for patientTimeout.
	patient bool
	// serversLost counts the backend servers that tasks have crashed, and wronglyGivenUp the jobs
	// that were reported as failed although they crash no server. maxStartsAfterThird is the
	// maximum number of starts of a task after it had crashed three servers.
	serversLost, wronglyGivenUp, maxStartsAfterThird int
	// onOutcome, if set, is called with each response that a client gets.
	onOutcome func(*request, owner.Response)
	// startedJobs, if not nil, has the jobs of which a backend server has accepted a task.
	startedJobs map[job.ID]bool
	// stretchTasks makes a few tasks take tailFactor times as long, where heavyTails does so with
	// the last task of a few jobs.
	stretchTasks bool
	// classFactors is multiplied with the rate of a queue's jobs, where it has one.
	classFactors map[string]float64
	// entryOf chooses the entry that a client sends its job to; nil: any.
	entryOf func(*request) *entry
	// equalTimeouts makes clients state minTimeout at their first attempt.
	equalTimeouts bool
	// recorded is called with each job that is counted; nil: nothing.
	recorded func(*request, owner.Response)
	// traceLines has what happened if traced is set.
	traced     bool
	traceLines []string
}

func (w *world) trace(format string, args ...any) {
	if w.traced {
		w.traceLines = append(w.traceLines, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
	}
}

// setup has the size and the parameters of a world.
type setup struct {
	entries, agents       int
	loadIntervalPerPlacer time.Duration
	seed                  uint64
	params                owner.Params
	// links is how many agents each entry links; zero: all.
	links int
	// fallbackBuckets gives each entry the bucket that its name hashes to instead of an even part
	// of all buckets.
	fallbackBuckets bool
}

func newWorld(s setup) *world {
	w := &world{
		now: time.Hour, rand: rand.New(rand.NewPCG(s.seed, 1)), loadIntervalPerPlacer: s.loadIntervalPerPlacer, params: s.params, burstFactor: 1,
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

// subsets returns the agents that each entry links.
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

// every calls do at an interval, starting at a random phase.
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

// entry simulates an entry, which runs best-effort jobs in a private shard.
type entry struct {
	*owner.Shard
	w      *world
	number int
	// incarnation counts the entry's starts. down is set while it is not running.
	incarnation int
	down        bool
	fleet       *owner.Fleet
	// demandSent is what the agents were last told that the entry asks for, at demandAt.
	demandSent []shares.Demand
	demandAt   time.Duration
}

func newEntry(w *world, number int) *entry {
	e := &entry{w: w, number: number}
	e.start()
	w.every(tickInterval, func() {
		if !e.down {
			e.apply(e.Tick(w.now))
			e.sendDemand()
		}
	})
	return e
}

// name returns the owner name of the entry's present incarnation.
func (e *entry) name() string { return fmt.Sprintf("entry-%d/%d", e.number, e.incarnation) }

// start starts an incarnation of the entry, which links the agents of its subset.
func (e *entry) start() {
	e.incarnation++
	e.down = false
	e.fleet = owner.NewFleet(1, e.w.paramsOf(e), e.w.rand.Uint64())
	e.Shard = owner.NewPrivate(e.w.now, shards+1+e.number+shardsPerIncarnation*e.incarnation, ownerBounds, e.fleet)
	for _, a := range e.w.subsets[e.number] {
		e.w.after(frameDelay, func() { e.link(a, e.incarnation) })
	}
}

// shardsPerIncarnation is the distance between the shard numbers of two incarnations of an entry.
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

// entryLink is an agent's state of its link to an entry.
type entryLink struct {
	entry       *entry
	incarnation int
	ordersSeen  int64
	// lastSent is the load level that was last sent to the entry, at lastSentAt.
	lastSent    loadLevel
	lastSentAt  time.Duration
	lastOrderAt time.Duration
	// demandSent is what the entry was last told that the others ask for, at demandAt.
	demandSent []shares.Demand
	demandAt   time.Duration
}

// loadLevel is the part of a load whose changes are sent before the next heartbeat.
type loadLevel struct {
	free    job.Demand
	waiting int
	accepts bool
}

// agent simulates an agent with its backend server.
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
	// serverInstance numbers the instances of the backend server, and incarnation those of the
	// agent.
	serverInstance, incarnation int
	// down is set while the agent is not running, and serverDown while its backend server is not.
	// Tasks started while tasksHang is set don't end by themselves. slowUpdates delays the agent's
	// loads and events by slowUpdateDelay.
	down, serverDown, tasksHang, slowUpdates bool
	// orders counts the orders from all entries.
	orders   int64
	capacity job.Demand
	// coldRemaining is how much longer the backend server reports to be cold, and lastReportSeq the
	// number of its last report.
	coldRemaining time.Duration
	lastReportSeq int64
	// domain is the failure domain; empty unless the test uses domains.
	domain string
	// sums has what the entries ask for.
	sums *shares.Sums
}

func newAgent(w *world, number int) *agent {
	a := &agent{w: w, name: fmt.Sprintf("agent-%02d", number), durationFactor: 1, running: make(map[job.RunID]bool), sums: shares.NewSums()}
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

// start starts an incarnation of the agent, which knows the entries whose orders the earlier one
// has accepted.
func (a *agent) start() {
	a.incarnation++
	a.down = false
	var former []string
	for _, c := range a.links {
		former = append(former, fmt.Sprintf("entry-%d/%d", c.entry.number, c.incarnation))
	}
	a.links = nil
	a.holding = false
	a.Worker = worker.New(worker.Bounds{Lease: time.Second, OwnerTimeout: 1300 * time.Millisecond, ReconnectTimeout: 700 * time.Millisecond, AdoptionTimeout: 400 * time.Millisecond, Shards: shards, LearnSpeed: a.w.params.ServerSpeeds})
	a.SetFormerOwners(former)
	a.report()
	a.hold()
}

// report delivers a report of the backend server to the agent.
func (a *agent) report() {
	instance := fmt.Sprintf("i-%s-%d", a.name, a.serverInstance)
	a.lastReportSeq++
	a.apply(a.Report(a.w.now, worker.Server{Instance: job.Instance{ID: instance}, Service: service, Capacity: a.capacity, ColdRemaining: a.coldRemaining, Seq: a.lastReportSeq}, a.w.now.Milliseconds()))
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
	a.w.trace("%s order %v", a.name, o.Run)
	for _, c := range a.links {
		if c.entry == e {
			c.ordersSeen++
			c.lastOrderAt = a.w.now
		}
	}
}

// afterCall calls do after callDelay, if the agent's incarnation is still running then.
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
			if a.w.startedJobs != nil {
				a.w.startedJobs[s.Run.Task.Job] = true
			}
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
	a.w.trace("%s end %v %v", a.name, run, kind)
	delete(a.running, run)
	a.lastEndSeq++
	a.ends = append(a.ends, worker.ListedEnd{Seq: a.lastEndSeq, Run: run, Kind: kind})
	a.hold()
}

// sortedRuns returns the active runs of the backend server in a fixed order.
func (a *agent) sortedRuns() []job.RunID {
	return slices.SortedFunc(maps.Keys(a.running), job.RunID.Compare)
}

// hold sends a hold to the backend server, one call at a time.
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
		for _, run := range a.sortedRuns() {
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

// sendLoad sends an entry a frame with the agent's load and, if ev is not nil, an event.
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
	demand := a.demandOfOthers(c)
	delay := frameDelay
	if a.slowUpdates {
		delay = slowUpdateDelay
	}
	if a.w.updateDelay > 0 {
		a.w.after(delay+a.w.updateDelay, func() { a.deliverLoad(c, p, demand, nil) })
		if ev != nil {
			a.w.after(delay, func() { a.deliverLoad(c, nil, nil, ev) })
		}
		return
	}
	a.w.after(delay, func() { a.deliverLoad(c, p, demand, ev) })
}

// deliverLoad delivers an agent's load, the demand of others and an event to an entry, each if there
// is one.
func (a *agent) deliverLoad(c *entryLink, l *corepb.Load, demand []shares.Demand, ev *worker.Event) {
	if c.entry.down || c.entry.incarnation != c.incarnation {
		return
	}
	if l != nil {
		c.entry.fleet.Update(a.w.now, a.name, wire.LoadFromWire(l))
	}
	c.entry.hearDemand(a, demand)
	if ev != nil {
		c.entry.apply(c.entry.Event(a.w.now, a.name, *ev))
	}
	if c.entry.HasWaitingTasks() {
		c.entry.apply(c.entry.AgentsUpdated(a.w.now))
	}
}

// slowUpdateDelay is the delay of frames from an agent whose slowUpdates is set.
const slowUpdateDelay = 60 * time.Millisecond

func loadLevelOf(l *worker.Load) loadLevel {
	return loadLevel{free: l.Free, waiting: l.Waiting, accepts: l.Accepts}
}

// sendChangedLoads sends the load to the entries that place work here, if its level has changed and
// the load interval has passed since the last update.
func (a *agent) sendChangedLoads() {
	l := a.Load(a.w.now)
	placers := a.placers()
	for _, c := range placers {
		if c.lastSent != loadLevelOf(&l) && a.w.now-c.lastSentAt >= time.Duration(len(placers))*a.w.loadIntervalPerPlacer {
			a.sendLoad(c, nil)
		}
	}
}

// placers returns the links of the entries that sent an order within the last second.
func (a *agent) placers() []*entryLink {
	var out []*entryLink
	for _, c := range a.links {
		if c.lastOrderAt > 0 && a.w.now-c.lastOrderAt < time.Second {
			out = append(out, c)
		}
	}
	return out
}
