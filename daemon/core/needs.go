package core

import (
	"maps"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// needKey is what a step requires of the agents that may run it. Queues have few different keys.
type needKey struct{ service, label string }

// need is how many agents the steps with a key can use, the largest demand of their tasks, and
// when such a step was last submitted.
type need struct {
	minAgents int
	demand    job.Demand
	lastUsed  time.Duration
}

// needs holds the needs of recent jobs. The subset is chosen without regard to what an agent
// offers, so that few or none of its agents may offer what a queue needs.
type needs map[needKey]need

const (
	// needTTL is how long a need is remembered, and its agents stay linked, after it was last
	// submitted.
	needTTL = time.Minute
	// maxNeeds is the maximum number of needs; the least recently used are dropped first.
	maxNeeds = 64
	// minAgentsPerNeed is how many agents are linked for a need, up to the size of the subset
	// and the number of agents that meet it. With fewer, the loss of one agent would take a
	// large part of the capacity.
	minAgentsPerNeed = 8
)

// record records the need of a step and reports whether it is new or larger than before.
func (n needs) record(now time.Duration, key needKey, minAgents int, demand job.Demand) bool {
	previous, known := n[key]
	if now-previous.lastUsed > needTTL {
		previous.minAgents, previous.demand = 0, job.Demand{}
	}
	n[key] = need{minAgents: max(previous.minAgents, minAgents), demand: maxDemand(previous.demand, demand), lastUsed: now}
	if len(n) > maxNeeds {
		n.dropOldest()
	}
	return !known || minAgents > previous.minAgents || !demand.Fits(previous.demand)
}

// maxDemand returns the larger value of each resource.
func maxDemand(a, b job.Demand) job.Demand {
	return job.Demand{CPUMillis: max(a.CPUMillis, b.CPUMillis), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPUs: max(a.GPUs, b.GPUs)}
}

func (n needs) dropOldest() {
	keys := slices.Collect(maps.Keys(n))
	delete(n, slices.MinFunc(keys, func(a, b needKey) int { return int(n[a].lastUsed - n[b].lastUsed) }))
}

// addAgents adds known agents to wanted, in the order of preference, until each need has its
// number of agents. It removes expired needs.
func (n needs) addAgents(now time.Duration, order []string, known map[string]Registration, wanted map[string]bool) {
	for key, need := range n {
		if now-need.lastUsed > needTTL {
			delete(n, key)
			continue
		}
		capable := 0
		for node := range wanted {
			if reg, ok := known[node]; ok && meetsNeed(reg, key, need.demand) {
				capable++
			}
		}
		for _, node := range order {
			if capable >= need.minAgents {
				break
			}
			if reg, ok := known[node]; ok && !wanted[node] && meetsNeed(reg, key, need.demand) {
				wanted[node] = true
				capable++
			}
		}
	}
}

// meetsNeed reports whether an agent may run tasks with a key and demand. An agent without a
// registered offer is assumed to.
func meetsNeed(reg Registration, key needKey, demand job.Demand) bool {
	o := reg.Offer
	if o == nil {
		return true
	}
	return o.Service == key.service && demand.Fits(o.Capacity) && (key.label == "" || slices.Contains(o.Labels, key.label))
}

// minAgentsFor returns how many agents a step can use, at least minimum: enough to run all of its
// tasks at once, and to respect its limit of tasks per worker. cpuPerAgent is in thousandths of a
// core; zero means unknown.
func minAgentsFor(st *job.Step, cpuPerAgent int64, minimum int) int {
	agents := minimum
	if st.MaxPerWorker > 0 {
		agents = max(agents, (st.Count+st.MaxPerWorker-1)/st.MaxPerWorker)
	}
	if cpuPerAgent > 0 {
		agents = max(agents, int((int64(st.Count)*st.Demand.CPUMillis+cpuPerAgent-1)/cpuPerAgent))
	}
	return agents
}

// RegisteredCapacities returns, by agent, the registered capacities of the backend servers of a
// service.
func (l *LinkSet) RegisteredCapacities(service string) map[string]job.Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]job.Demand)
	for node, reg := range l.known {
		if reg.Offer != nil && reg.Offer.Service == service {
			out[node] = reg.Offer.Capacity
		}
	}
	return out
}

// RecordNeed records the needs of a job's steps and reports whether new links are required for
// them. The next Reconcile dials those links.
func (l *LinkSet) RecordNeed(now time.Duration, spec *job.Spec, p *job.Policy) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	linksNeeded := false
	for i := range spec.Steps {
		st := &spec.Steps[i]
		key := needKey{service: p.Service, label: st.Label}
		minAgents := minAgentsFor(st, l.agentCPULocked(key, st.Demand), min(minAgentsPerNeed, l.sizeLocked()))
		if l.needs.record(now, key, minAgents, st.Demand) && l.lacksAgentsLocked(key, minAgents, st.Demand) {
			linksNeeded = true
		}
	}
	return linksNeeded
}

// undrainedLocked returns the known agents whose failure domains are not drained.
func (l *LinkSet) undrainedLocked() map[string]Registration {
	if len(l.drained.Domains) == 0 {
		return l.known
	}
	out := make(map[string]Registration, len(l.known))
	for node, reg := range l.known {
		if !l.drained.Has(reg.Domain) {
			out[node] = reg
		}
	}
	return out
}

// agentCPULocked returns the CPU capacity, in thousandths of a core, of the most preferred agent
// that meets a need, or zero if no such agent is known.
func (l *LinkSet) agentCPULocked(key needKey, demand job.Demand) int64 {
	for _, node := range l.order {
		if reg := l.known[node]; reg.Offer != nil && meetsNeed(reg, key, demand) {
			return reg.Offer.Capacity.CPUMillis
		}
	}
	return 0
}

// lacksAgentsLocked reports whether fewer than minAgents linked agents meet a need while other
// known agents do. Without such other agents no new link can help, and a job need not wait.
func (l *LinkSet) lacksAgentsLocked(key needKey, minAgents int, demand job.Demand) bool {
	linked, others := 0, 0
	for node, reg := range l.undrainedLocked() {
		switch {
		case !meetsNeed(reg, key, demand):
		case l.links[node] != nil:
			linked++
		default:
			others++
		}
	}
	return linked < minAgents && others > 0
}
