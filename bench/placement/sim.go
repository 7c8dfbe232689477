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
	way      string
	stale    time.Duration
	deadline time.Duration
	subset   int
	home     home.Options
	admit    admit.Options
}

// node is one agent: a home and an admission machine.
type node struct {
	s      *sim
	id     state.NodeID
	home   homeMachine
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
type sentAssign struct{ useful, ask bool }

// link is a home and an agent.
type link struct{ home, agent int }

type placed struct {
	agent int
	task  state.TaskKey
}

// sim runs real machines over simulated time and links.
type sim struct {
	c     *config
	start time.Time
	now   time.Duration
	queue events
	n     uint64
	nodes []*node
	byID  map[state.NodeID]int
	loads []state.AgentLoad // as everybody believes them, c.stale old at most
	// spreads counts how often loads were spread.
	spreads int
	jobs    []plannedJob
	placed  map[placed]*sentAssign
	asked   map[link]*sentAssign
	began   map[state.TaskKey]int
	res     result
	open    int
}

func newSim(c *config) *sim {
	s := &sim{
		c: c, start: time.Unix(1_000_000, 0), jobs: plan(c),
		byID: make(map[state.NodeID]int), placed: make(map[placed]*sentAssign), asked: make(map[link]*sentAssign), began: make(map[state.TaskKey]int),
	}
	s.res.answers = make([]answered, len(s.jobs))
	s.res.reasons = make(map[state.Reason]int)
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
	nd := &node{s: s, id: m.ID, runs: make(map[state.TaskKey]*run)}
	for _, l := range loadview.Subset(self, members, s.c.subset) {
		nd.subset = append(nd.subset, s.byID[l.ID])
	}
	ho := s.c.home
	ho.Self, ho.Claims, ho.View, ho.Seed = m.ID, claims{}, view{s, nd}, s.c.seed+uint64(i)
	ao := s.c.admit
	if pick := s.pickerOf(i); pick != nil {
		nd.home = newPlainHome(nd, pick)
		ao.QueueLimit = unbounded
	} else {
		nd.home = home.New(ho)
	}
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

func (claims) Claim(_ time.Time, key state.JobKey, _ state.Digest, attempt message.Attempt, _ state.Epoch, _ message.Fence) []coordination.Action {
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
	s.spreads++
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
