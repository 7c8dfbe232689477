package owner

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// AgentLoad is what an agent says of the backend server beside it.
type AgentLoad struct {
	Service  string
	Instance string
	Labels   []string
	// Domain is the failure domain of its host.
	Domain   string
	Capacity job.Demand
	Free     job.Demand
	// Backlog is the waiting work in time of one core, and Ahead the part of
	// it that has to start within each of worker.SlackBuckets.
	Backlog time.Duration
	Ahead   [len(worker.SlackBuckets)]time.Duration
	// Slowdown is how much longer runs take there than expected.
	Slowdown float64
	// Turnover is the mean time until the next running task ends.
	Turnover time.Duration
	Accepts  bool
	// Drained is set where the failure domain is drained, so that nothing is newly started.
	Drained bool
	// Placers is the number of processes that place work there, and Orders counts what has
	// come from all of them in this life of the agent.
	Placers int
	Orders  int64
	// Seen counts the orders that the agent had received on this link.
	Seen int64
	// Suspects counts the runs and orders there that may crash the backend server.
	Suspects int
}

// before is the waiting work that goes before a task with some slack left.
func (l *AgentLoad) before(slack time.Duration) time.Duration {
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

// Need is what a task asks of an agent.
type Need struct {
	Service string
	Label   string
	Rack    string
	// Domains are the failure domains to choose from; none means any.
	Domains  []string
	Demand   job.Demand
	Estimate time.Duration
	// Slack is how long the task may wait and still be in time.
	Slack time.Duration
	// Yields is set for a task whose job can't be in time: it goes only where there
	// is room now.
	Yields bool
	// Now is the time of the placement.
	Now time.Duration
	// Avoid are agents on which the task failed, or whose servers were lost under it; they
	// are taken only when no other is there.
	Avoid []string
	// Caution is set for a task that may crash its backend server: it goes where few
	// others run, and no other suspect.
	Caution worker.Isolation
}

// Fleet is an owner's view of the agents it has a link to. It is shared by the
// shards of a process and safe for concurrent use.
type Fleet struct {
	// remoteFactor is how much longer a task takes away from its data's rack.
	remoteFactor float64
	params       Params

	mu     sync.Mutex
	agents map[string]*agentView // guarded by mu
	// retired are the agents that get no new work, linked or not. Guarded by mu.
	retired map[string]bool
	// drained are the failure domains in which nothing is newly started. Guarded by mu.
	drained drains.State
	// ratios has, for each queue, the mean of the measured run time over the
	// client's estimate. Guarded by mu.
	ratios map[string]float64
	// crowd tells how much the others order. Guarded by mu.
	crowd crowd
	// looks counts the agents that were looked at for a place. Guarded by mu.
	looks int64
}

// agentView is the last load of an agent and what was sent to it since.
// Guarded by Fleet.mu.
type agentView struct {
	load    AgentLoad
	heard   time.Duration
	sent    int64
	pending []pendingOrder
	// retired agents get nothing new.
	retired bool
	// drained is set while the agent's failure domain is, by what this process knows.
	drained bool
}

func (v *agentView) book(n Need) {
	v.sent++
	v.pending = append(v.pending, pendingOrder{number: v.sent, at: n.Now, demand: n.Demand, work: coreTime(n), suspect: n.Caution != worker.NoIsolation})
}

// unbook takes the last booking back.
func (v *agentView) unbook() {
	v.pending = v.pending[:len(v.pending)-1]
	v.sent--
}

// pendingOrder is an order that the agent's last news does not cover yet.
type pendingOrder struct {
	number int64
	// at is when it was placed.
	at     time.Duration
	demand job.Demand
	work   time.Duration
	// suspect is set where the task may crash its backend server.
	suspect bool
}

// NewFleet returns an empty fleet.
func NewFleet(remoteFactor float64, p Params) *Fleet {
	return &Fleet{
		remoteFactor: max(1, remoteFactor),
		params:       p,
		agents:       make(map[string]*agentView),
		retired:      make(map[string]bool),
		ratios:       make(map[string]float64),
	}
}

// Looks counts the agents that were looked at to place tasks: what placing costs.
func (f *Fleet) Looks() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.looks
}

// Linked notes a new link to an agent, on which no order was sent yet.
func (f *Fleet) Linked(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents[node] = &agentView{retired: f.retired[node]}
}

// Lost forgets an agent whose link is gone.
func (f *Fleet) Lost(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.agents, node)
}

// Retire says whether an agent gets no new work: its link is about to end, or serves
// something else. That holds for later links to it too.
func (f *Fleet) Retire(node string, yes bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.retired, node)
	if yes {
		f.retired[node] = true
	}
	if v := f.agents[node]; v != nil {
		v.retired = yes
	}
}

// Drain takes in which failure domains are drained. Nothing more is placed there, before
// the agents of those domains have said so themselves.
func (f *Fleet) Drain(s drains.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drained = s
	for _, v := range f.agents {
		v.drained = s.Has(v.load.Domain)
	}
}

// FreeShare is the part of some agents' cores that is free, by their last news.
func (f *Fleet) FreeShare(nodes []string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var free, all int64
	for _, node := range nodes {
		if v := f.agents[node]; v != nil && v.serves() {
			free += max(v.load.Free.CPUMillis, 0)
			all += v.load.Capacity.CPUMillis
		}
	}
	return float64(free) / float64(max(all, 1))
}

// Offers reports whether an agent of a service with a label is there that has as much.
func (f *Fleet) Offers(service, label string, demand job.Demand) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.agents {
		if v.serves() && v.load.Service == service && demand.Fits(v.load.Capacity) && (label == "" || slices.Contains(v.load.Labels, label)) {
			return true
		}
	}
	return false
}

// Update takes in an agent's load.
func (f *Fleet) Update(now time.Duration, node string, l AgentLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := f.agents[node]
	if v == nil {
		return
	}
	if v.heard > 0 && l.Orders >= v.load.Orders && l.Seen >= v.load.Seen {
		f.crowd.note(now, l.Seen-v.load.Seen, l.Orders-v.load.Orders)
	}
	v.load, v.heard = l, now
	v.drained = f.drained.Has(l.Domain)
	for len(v.pending) > 0 && v.pending[0].number <= l.Seen {
		v.pending = v.pending[1:]
	}
}

// AgentView is the last news of an agent.
type AgentView struct {
	Node string
	Load AgentLoad
	// Heard is when it came, on the boot clock.
	Heard time.Duration
}

// Agents returns the last news of each agent that has sent any, by name.
func (f *Fleet) Agents() []AgentView {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]AgentView, 0, len(f.agents))
	for node, v := range f.agents {
		if v.heard > 0 {
			out = append(out, AgentView{Node: node, Load: v.load, Heard: v.heard})
		}
	}
	slices.SortFunc(out, func(a, b AgentView) int { return strings.Compare(a.Node, b.Node) })
	return out
}

// Sent notes an order that was not placed here: one that repeats an earlier
// one for an agent that is new.
func (f *Fleet) Sent(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v := f.agents[node]; v != nil {
		v.sent++
	}
}

func coreTime(n Need) time.Duration {
	return n.Estimate * time.Duration(n.Demand.CPUMillis) / 1000
}
