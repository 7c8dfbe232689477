package owner

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/coordination/shares"
	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// AgentLoad is the load that an agent reports of the backend server beside it.
type AgentLoad struct {
	Service string
	Labels  []string
	// Domain is the failure domain of the agent's host.
	Domain   string
	Capacity job.Demand
	Free     job.Demand
	// Backlog is the waiting work in core time, and Ahead the part of it that has to start within
	// each of worker.SlackBuckets.
	Backlog time.Duration
	Ahead   [len(worker.SlackBuckets)]time.Duration
	// Slowdown is the ratio of measured to expected run times, relative to the server's own speed.
	Slowdown float64
	// Speed is how fast the server is: 2 is twice as fast as expected run times say, 0 is unknown.
	Speed float64
	// SpeedRuns is the number of runs that Speed rests on.
	SpeedRuns int
	// Turnover is the mean time until the next running task ends.
	Turnover time.Duration
	Accepts  bool
	// Drained is set while the failure domain is drained and nothing new is started in it.
	Drained bool
	// Placers is the number of processes that place work there, and Orders the number of orders
	// from all of them since the agent started.
	Placers int
	Orders  int64
	// OrdersSeen is the number of orders that the agent had received on this link.
	OrdersSeen int64
	// Suspects is the number of runs and orders there that may crash the backend server.
	Suspects int
}

// backlogBefore returns the waiting work that is started before a task with the given slack.
func (l *AgentLoad) backlogBefore(slack time.Duration) time.Duration {
	if slack <= 0 {
		return l.Backlog
	}
	for i, edge := range worker.SlackBuckets {
		if slack <= edge {
			return l.Ahead[i]
		}
	}
	return l.Backlog
}

// PlacementRequest has what a task requires of an agent.
type PlacementRequest struct {
	Service string
	Label   string
	Rack    string
	// Domains are the failure domains that the task may run in; empty means any.
	Domains  []string
	Demand   job.Demand
	Estimate time.Duration
	// Slack is how long the task may wait and still be in time.
	Slack time.Duration
	// Tasks is the number of tasks of the step.
	Tasks int
	// ReservedSpeed is the speed from which on servers are left to waiting tasks, if others do as
	// well for this one; zero: none are.
	ReservedSpeed float64
	// Late is set for a task whose job can't be in time. It is placed only where there is free
	// capacity now.
	Late bool
	// Now is the time of the placement.
	Now time.Duration
	// Avoid has the agents on which the task failed or whose servers were lost under it. They are
	// chosen only when no other is eligible.
	Avoid []string
	// Isolation is set for a task that may crash its backend server. Such a task is placed where
	// few other runs and no other suspects are.
	Isolation worker.Isolation
}

// Fleet holds the state of the agents that this process has links to. It is shared by the shards of
// a process and safe for concurrent use.
type Fleet struct {
	// remoteFactor is the factor by which a task runs longer away from the rack that holds its
	// data.
	remoteFactor float64
	params       Params
	// memory bounds the memory of the jobs. It needs no lock.
	memory jobMemory

	mu     sync.Mutex
	agents map[string]*agentView // guarded by mu
	// ordered has the values of agents, sorted by node. Guarded by mu.
	ordered []*agentView
	// rand chooses among agents that are equally good. Guarded by mu.
	rand *rand.Rand
	// retired has the agents that get no new work, whether linked or not. Guarded by mu.
	retired map[string]bool
	// drained has the failure domains in which nothing new is started. Guarded by mu.
	drained drains.State
	// runTimeRatios has, for each queue, the moving average of the measured run time over the
	// client's estimate. Guarded by mu.
	runTimeRatios map[string]float64
	// orderRatio estimates how many orders other processes send. Guarded by mu.
	orderRatio orderRatio
	// speeds relates the speeds of the servers of each service. Guarded by mu.
	speeds map[string]*serverSpeeds
	// shares is nil if contended capacity isn't divided. It has a lock of its own, under which it
	// takes mu, so it may be called only without mu.
	shares *shares.Book
	// candidates is reused by each choice. Guarded by mu.
	candidates []candidate
	// placed counts the placements by tier. Guarded by mu.
	placed [numTiers]int64
	// examined is the number of agents that were examined to place tasks. Guarded by mu.
	examined int64
}

// agentView is the last load of an agent and the orders sent to it since. Guarded by Fleet.mu.
type agentView struct {
	node      string
	load      AgentLoad
	updatedAt time.Duration
	sent      int64
	pending   []pendingOrder
	// retired agents get no new work.
	retired bool
	// drained is set while this process knows that the agent's failure domain is drained.
	drained bool
	// speed is the server's speed relative to the others'; 1 unless it differs significantly.
	speed float64
}

func (v *agentView) addPending(n PlacementRequest) {
	v.sent++
	v.pending = append(v.pending, pendingOrder{number: v.sent, at: n.Now, demand: n.Demand, work: coreTime(n), suspect: n.Isolation != worker.NoIsolation})
}

// removeLastPending undoes the last addPending.
func (v *agentView) removeLastPending() {
	v.pending = v.pending[:len(v.pending)-1]
	v.sent--
}

// pendingOrder is an order that the agent's last load does not include yet.
type pendingOrder struct {
	number int64
	// at is when the order was placed.
	at     time.Duration
	demand job.Demand
	work   time.Duration
	// suspect is set for a task that may crash its backend server.
	suspect bool
}

// NewFleet returns a Fleet without agents. Processes need different seeds: with the same one they
// would choose the same of several equally good agents.
func NewFleet(remoteFactor float64, p Params, seed uint64) *Fleet {
	f := &Fleet{
		rand:          rand.New(rand.NewPCG(seed, 0)),
		remoteFactor:  max(1, remoteFactor),
		params:        p,
		agents:        make(map[string]*agentView),
		speeds:        make(map[string]*serverSpeeds),
		retired:       make(map[string]bool),
		runTimeRatios: make(map[string]float64),
	}
	f.memory.limit = p.JobMemory
	if p.Shares != nil {
		f.shares = shares.NewBook(*p.Shares)
	}
	return f
}

// AgentsExamined returns how many agents were examined to place tasks, as a measure of what
// placement costs.
func (f *Fleet) AgentsExamined() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.examined
}

// Linked adds an agent with a new link on which no order was sent yet.
func (f *Fleet) Linked(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents[node] = &agentView{node: node, speed: 1, retired: f.retired[node]}
	f.sortAgentsLocked()
}

func (f *Fleet) sortAgentsLocked() {
	f.ordered = slices.SortedFunc(maps.Values(f.agents), func(a, b *agentView) int { return strings.Compare(a.node, b.node) })
}

// LinkLost removes an agent whose link is gone.
func (f *Fleet) LinkLost(node string) {
	f.removeAgent(node)
	if f.shares != nil {
		f.shares.Forget(node)
	}
}

func (f *Fleet) removeAgent(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.agents, node)
	f.sortAgentsLocked()
}

// SetRetired sets whether an agent gets no new work, because its link is about to end or its server
// serves another service. It also holds for later links to the agent.
func (f *Fleet) SetRetired(node string, retired bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.retired, node)
	if retired {
		f.retired[node] = true
	}
	if v := f.agents[node]; v != nil {
		v.retired = retired
	}
}

// SetDrained sets which failure domains are drained. Nothing new is placed there, even before the
// agents of those domains report it themselves.
func (f *Fleet) SetDrained(s drains.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained = s
	for _, v := range f.ordered {
		v.drained = s.Has(v.load.Domain)
	}
}

// FreeShare returns the free share of the cores of some agents, by their last loads.
func (f *Fleet) FreeShare(nodes []string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var free, all int64
	for _, node := range nodes {
		if v := f.agents[node]; v != nil && v.acceptsWork() {
			free += max(v.load.Free.CPUMillis, 0)
			all += v.load.Capacity.CPUMillis
		}
	}
	return float64(free) / float64(max(all, 1))
}

// acceptingMillis sets into to the thousandths of a core, for each service, of all linked agents at
// which new work may be started.
func (f *Fleet) acceptingMillis(into map[string]int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(into)
	for _, v := range f.ordered {
		if v.acceptsWork() && !v.retired {
			into[v.load.Service] += v.load.Capacity.CPUMillis
		}
	}
}

// random returns a random number, to seed what must differ between processes.
func (f *Fleet) random() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rand.Uint64()
}

// Offers reports whether a linked agent of the service, with the label if one is given, has the
// capacity for a demand.
func (f *Fleet) Offers(service, label string, demand job.Demand) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.ordered {
		if v.acceptsWork() && v.load.Service == service && demand.Fits(v.load.Capacity) && (label == "" || slices.Contains(v.load.Labels, label)) {
			return true
		}
	}
	return false
}

// Update stores a load that an agent has reported.
func (f *Fleet) Update(now time.Duration, node string, l AgentLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.agents[node]
	if v == nil {
		return
	}
	if v.updatedAt > 0 && l.Orders >= v.load.Orders && l.OrdersSeen >= v.load.OrdersSeen {
		f.orderRatio.note(now, l.OrdersSeen-v.load.OrdersSeen, l.Orders-v.load.Orders)
	}
	v.load, v.updatedAt = l, now
	v.drained = f.drained.Has(l.Domain)
	f.updateSpeedLocked(now, v)
	for len(v.pending) > 0 && v.pending[0].number <= l.OrdersSeen {
		v.pending = v.pending[1:]
	}
}

// AgentView is the last load of an agent.
type AgentView struct {
	Node string
	Load AgentLoad
	// UpdatedAt is when the load arrived, on the boot clock.
	UpdatedAt time.Duration
	// Speed is the server's speed relative to the others' of its service, by which tasks are placed;
	// zero if speeds aren't considered.
	Speed float64
}

// Agents returns the last load of each agent that has reported one, sorted by name.
func (f *Fleet) Agents() []AgentView {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]AgentView, 0, len(f.agents))
	for _, v := range f.ordered {
		if v.updatedAt > 0 {
			out = append(out, AgentView{Node: v.node, Load: v.load, UpdatedAt: v.updatedAt, Speed: f.speedLocked(v)})
		}
	}
	return out
}

// RepeatSent counts an order that Place has not chosen an agent for: the repeat of an earlier
// order, which a new agent needs to know.
func (f *Fleet) RepeatSent(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.agents[node]; v != nil {
		v.sent++
	}
}

func coreTime(n PlacementRequest) time.Duration {
	return n.Demand.Work(n.Estimate)
}
