package core

import (
	"maps"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// needKey is what a step asks of the agents that may run it. Queues ask for few
// different things.
type needKey struct{ service, label string }

// Need is how many agents a step has use for, what a task of it takes, and when one was
// submitted last.
type need struct {
	minAgents int
	demand    job.Demand
	lastUsed  time.Duration
}

// needs are what the jobs of the last time have asked for. A subset is chosen without
// regard to what an agent offers, so few of its agents may have what a queue asks for,
// or none.
type needs map[needKey]need

const (
	// needMemory is how long agents that were linked for a need are kept.
	needTTL = time.Minute
	// mostNeeds bounds the needs that are remembered; the oldest leave.
	maxNeeds = 64
	// leastOffering is how many agents a need is given, if there are as many and a subset
	// has as many: with few a lost one would take much of the room.
	minAgentsPerNeed = 8
)

// note takes in a step, and reports whether the need is new or greater than before.
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

func maxDemand(a, b job.Demand) job.Demand {
	return job.Demand{CPUMillis: max(a.CPUMillis, b.CPUMillis), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPUs: max(a.GPUs, b.GPUs)}
}

func (n needs) dropOldest() {
	keys := slices.Collect(maps.Keys(n))
	delete(n, slices.MinFunc(keys, func(a, b needKey) int { return int(n[a].lastUsed - n[b].lastUsed) }))
}

// fill adds to the wanted agents what the needs lack of those that are known to serve, in the
// order of preference.
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

// Offers reports whether an agent may run what a need is for. One that has not said what
// it offers is taken to.
func meetsNeed(reg Registration, key needKey, demand job.Demand) bool {
	o := reg.Offer
	if o == nil {
		return true
	}
	return o.Service == key.service && demand.Fits(o.Capacity) && (key.label == "" || slices.Contains(o.Labels, key.label))
}

// leastFor is how many agents a step has use for, a few at least: enough for its widest
// moment, and for its bound on tasks at one worker.
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

// Offers are the capacities that agents with backend servers of a service have registered.
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

// Need takes in what a job's steps ask for, and reports whether links have to be made
// for it.
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

// openLocked are the known agents whose failure domains are not drained.
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

// capacityLocked is what an agent with a need's offer has, in thousandths of a core; zero
// if no such agent is known.
func (l *LinkSet) agentCPULocked(key needKey, demand job.Demand) int64 {
	for _, node := range l.order {
		if reg := l.known[node]; reg.Offer != nil && meetsNeed(reg, key, demand) {
			return reg.Offer.Capacity.CPUMillis
		}
	}
	return 0
}

// lacksLocked reports whether too few agents are linked that may run what a need is for,
// and others are known. Where none is, a job has nothing to wait for.
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
