package main

import (
	"container/heap"
	"fmt"
	"strconv"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/admit"
	"github.com/shallotstep/shallotstep/coordination/home"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/loadview"
)

// The brief's deployment.
const (
	slots       = 8
	connections = 64
	cores       = 16
	memoryMB    = 64000
	oneWay      = 500 * time.Microsecond
	service     = "desk"
	domains     = 3
	entry       = state.NodeID("entry")
	usageEvery  = time.Second
	usageLag    = time.Second
	failsAfter  = 5 * time.Millisecond
	slowBy      = 5
	throttledBy = 2
)

type config struct {
	agents   int
	load     float64
	length   time.Duration
	seed     uint64
	scenario string
	stale    time.Duration
	deadline time.Duration
	subset   int
	home     home.Options
	admit    admit.Options
}

// event is something that happens at a time. Events at one time happen in the
// order they were made.
type event struct {
	at time.Duration
	n  uint64
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].n < e[k].n
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push is for container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is for container/heap.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// node is one agent: a home and an admission machine.
type node struct {
	id     state.NodeID
	home   *home.Home
	admit  *admit.Machine
	subset []int
	runs   map[state.TaskKey]*run
	usedMB int64
	// beyondSince is since when the tasks use more memory than there is.
	beyondSince time.Duration
}

// run is one running task.
type run struct {
	task  *plannedTask
	fault string
	begun time.Duration
	ends  time.Duration
	over  bool
}

// sentAssign tells at the end whether an Assign was of use: one of its tasks
// started first by it, or it told of a backlog and an offer that came of it was
// taken up.
type sentAssign struct{ useful bool }

// link is a home and an agent.
type link struct{ home, agent int }

type placed struct {
	agent int
	task  state.TaskKey
}

// sim runs real machines over simulated time and links.
type sim struct {
	c      *config
	start  time.Time
	now    time.Duration
	queue  events
	n      uint64
	nodes  []*node
	byID   map[state.NodeID]int
	loads  []state.AgentLoad // as everybody believes them, c.stale old at most
	jobs   []plannedJob
	placed map[placed]*sentAssign
	asked  map[link]*sentAssign
	began  map[state.TaskKey]int
	res    result
	open   int
}

func newSim(c *config) *sim {
	s := &sim{
		c: c, start: time.Unix(1_000_000, 0), jobs: plan(c),
		byID: make(map[state.NodeID]int), placed: make(map[placed]*sentAssign), asked: make(map[link]*sentAssign), began: make(map[state.TaskKey]int),
	}
	s.res.answers = make([]answered, len(s.jobs))
	s.res.controls = make(map[coordination.Verb]int)
	var members []state.AgentLoad
	for i := range c.agents {
		id := state.NodeID(fmt.Sprintf("a%d", i))
		s.byID[id] = i
		members = append(members, state.AgentLoad{ID: id, Region: "r", Domain: strconv.Itoa(i % domains)})
	}
	s.loads = make([]state.AgentLoad, c.agents)
	for i := range c.agents {
		s.nodes = append(s.nodes, s.newNode(i, members))
	}
	return s
}

func (s *sim) newNode(i int, members []state.AgentLoad) *node {
	m := members[i]
	self := state.Member{ID: m.ID, Region: m.Region, Domain: m.Domain}
	nd := &node{id: m.ID, runs: make(map[state.TaskKey]*run)}
	for _, l := range loadview.Subset(self, members, s.c.subset) {
		nd.subset = append(nd.subset, s.byID[l.ID])
	}
	ho := s.c.home
	ho.Self, ho.Claims, ho.View, ho.Seed = m.ID, claims{}, view{s, nd}, s.c.seed+uint64(i)
	nd.home = home.New(ho)
	ao := s.c.admit
	ao.Self = self
	nd.admit = admit.New(ao)
	nd.admit.Announce(s.start, state.Backend{
		ID: "b", Services: []string{service}, Slots: slots, Connections: connections,
		Cores: cores, MemoryMB: memoryMB, TTL: 100 * time.Hour,
	})
	return nd
}

// claims asks the witness, which always says yes.
type claims struct{}

// claimed stands for the round trip to the witness.
type claimed struct{ coordination.Granted }

func (claims) Claim(_ time.Time, key state.JobKey, _ state.Digest, attempt message.Attempt, _ state.Epoch) []coordination.Action {
	return []coordination.Action{claimed{coordination.Granted{Key: key, Attempt: attempt}}}
}

type view struct {
	s  *sim
	nd *node
}

// Candidates returns the loads of the node's subset as they were last spread.
func (v view) Candidates(string) []state.AgentLoad {
	out := make([]state.AgentLoad, len(v.nd.subset))
	for k, i := range v.nd.subset {
		out[k] = v.s.loads[i]
	}
	return out
}

func (s *sim) after(d time.Duration, do func()) {
	s.n++
	heap.Push(&s.queue, event{s.now + d, s.n, do})
}

func (s *sim) time() time.Time { return s.start.Add(s.now) }

// run plays the whole workload and returns when every job is answered.
func (s *sim) run() *result {
	s.open = len(s.jobs)
	s.spread()
	for i := range s.nodes {
		// Spread the ticks of the nodes over the interval.
		s.after(coordination.TickInterval*time.Duration(i)/time.Duration(len(s.nodes)), func() { s.tick(i) })
	}
	for i := range s.jobs {
		s.after(s.jobs[i].at, func() { s.submit(i) })
	}
	s.after(usageEvery, s.usage)
	for s.open > 0 && len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
	s.res.finish(s)
	return &s.res
}

// spread makes the present loads known to everybody.
func (s *sim) spread() {
	for i, nd := range s.nodes {
		s.loads[i] = nd.admit.Load()
	}
	s.after(s.c.stale, s.spread)
}

func (s *sim) tick(i int) {
	nd := s.nodes[i]
	s.act(i, nd.home.Tick(s.time()))
	s.act(i, nd.admit.Tick(s.time()))
	s.after(coordination.TickInterval, func() { s.tick(i) })
}

func (s *sim) submit(i int) {
	p := &s.jobs[i]
	j := state.Job{Key: state.JobKey{Service: service, ID: strconv.Itoa(i)}, Operator: strconv.Itoa(p.operator)}
	for k := range p.tasks {
		j.Tasks = append(j.Tasks, p.tasks[k].spec)
	}
	m := message.Submit{Job: j, Attempt: "1", Deadline: s.c.deadline}
	s.after(oneWay, func() { s.act(p.home, s.nodes[p.home].home.Handle(s.time(), entry, m)) })
}

// act carries out what a node wants done.
func (s *sim) act(i int, actions []coordination.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claimed:
			s.after(2*oneWay, func() { s.act(i, s.nodes[i].home.Verdict(s.time(), a.Granted)) })
		case coordination.StartTask:
			s.startTask(i, a)
		case coordination.Control:
			s.control(i, a)
		case coordination.Send:
			s.send(i, a)
		}
	}
}

func (s *sim) send(from int, a coordination.Send) {
	if m, ok := a.Msg.(message.Answer); ok {
		s.after(oneWay, func() { s.answered(&m) })
		return
	}
	to := s.byID[a.To]
	delay := oneWay
	if to == from {
		delay = 0
	}
	s.res.messages++
	if m, ok := a.Msg.(message.Assign); ok {
		s.noteAssign(from, to, &m)
	}
	s.after(delay, func() { s.deliver(from, to, a.Msg) })
}

func (s *sim) noteAssign(from, to int, m *message.Assign) {
	rec := &sentAssign{}
	s.res.assigns = append(s.res.assigns, rec)
	if len(m.Indexes) == 0 {
		s.asked[link{from, to}] = rec
		s.res.asks++
	}
	for _, index := range m.Indexes {
		s.placed[placed{to, state.TaskKey{Job: m.Key, Index: index}}] = rec
	}
}

func (s *sim) deliver(from, to int, m message.Message) {
	nd := s.nodes[to]
	sender := s.nodes[from].id
	r, isReport := m.(message.Report)
	if !isReport {
		if _, drop := m.(message.Drop); drop {
			s.res.wasted++
		}
		s.act(to, nd.admit.Handle(s.time(), sender, m))
		return
	}
	out := nd.home.Handle(s.time(), sender, m)
	s.res.refused += len(r.Refused)
	taken := r.Credit > 0 && placesAt(out, sender)
	if ask := s.asked[link{to, from}]; ask != nil && taken {
		ask.useful = true
	}
	if len(r.Results) == 0 && !taken {
		s.res.wasted++
		if r.Credit > 0 {
			s.res.unused++
		}
	}
	s.act(to, out)
}

func placesAt(actions []coordination.Action, id state.NodeID) bool {
	for _, a := range actions {
		if send, ok := a.(coordination.Send); ok && send.To == id {
			if m, ok := send.Msg.(message.Assign); ok && len(m.Tasks) > 0 {
				return true
			}
		}
	}
	return false
}

func (s *sim) startTask(i int, a coordination.StartTask) {
	nd := s.nodes[i]
	job, _ := strconv.Atoi(a.Task.Job.ID)
	t := &s.jobs[job].tasks[a.Task.Index]
	s.began[a.Task]++
	if p := &s.jobs[job]; p.begun == 0 {
		p.begun = s.now
	}
	if s.began[a.Task] > 1 {
		panic("task started twice: " + a.Task.Job.ID)
	}
	s.placed[placed{i, a.Task}].useful = true
	s.use(nd, t.memoryMB)
	if nd.usedMB > memoryMB {
		s.res.overcommits++
		s.res.lastOvercommit = s.now
	}
	ran, fault := t.ran, ""
	switch {
	case s.c.scenario == "straggler" && i == 0:
		ran *= slowBy
	case s.c.scenario == "broken" && i == 0:
		ran, fault = failsAfter, "worker is broken"
	}
	r := &run{task: t, fault: fault, begun: s.now, ends: s.now + ran}
	nd.runs[a.Task] = r
	s.awaitEnd(i, a.Task, r)
}

// use adds to the memory in use at a node and counts the time beyond its size.
func (s *sim) use(nd *node, memory int64) {
	before := nd.usedMB > memoryMB
	nd.usedMB += memory
	switch after := nd.usedMB > memoryMB; {
	case after && !before:
		nd.beyondSince = s.now
	case before && !after:
		s.res.beyond += s.now - nd.beyondSince
	}
}

// awaitEnd ends a task at its time, which a throttle may move.
func (s *sim) awaitEnd(i int, key state.TaskKey, r *run) {
	s.after(r.ends-s.now, func() {
		if !r.over && s.now >= r.ends {
			s.end(i, key, r)
		}
	})
}

func (s *sim) end(i int, key state.TaskKey, r *run) {
	nd := s.nodes[i]
	r.over = true
	delete(nd.runs, key)
	s.use(nd, -r.task.memoryMB)
	s.act(i, nd.admit.Finished(s.time(), key, state.TaskResult{Index: key.Index, Err: r.fault, Ran: s.now - r.begun}))
}

// control has the backend server do something with a running task.
func (s *sim) control(i int, c coordination.Control) {
	if c.Cause == coordination.CauseMemory {
		s.res.controls[c.Verb]++
	}
	r := s.nodes[i].runs[c.Task]
	if r == nil {
		return
	}
	switch c.Verb {
	case coordination.VerbStop:
		r.fault = "stopped"
		r.ends = s.now
	case coordination.VerbThrottle:
		r.ends += throttledBy*(r.ends-s.now) - (r.ends - s.now)
	case coordination.VerbRelease:
		r.ends -= (r.ends - s.now) - (r.ends-s.now)/throttledBy
	default:
		return
	}
	s.awaitEnd(i, c.Task, r)
}

// usage has the backend servers report what their tasks use, with a lag.
func (s *sim) usage() {
	for i, nd := range s.nodes {
		var u []state.Usage
		for key, r := range nd.runs {
			u = append(u, state.Usage{Task: key, Cores: 1, MemoryMB: r.task.memoryMB, Ran: s.now - r.begun})
		}
		if len(u) > 0 {
			sortUsage(u)
			s.after(usageLag, func() { s.act(i, nd.admit.Usage(s.time(), u)) })
		}
	}
	s.after(usageEvery, s.usage)
}
