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
	least  int
	demand job.Demand
	usedAt time.Duration
}

// needs are what the jobs of the last time have asked for. A subset is chosen without
// regard to what an agent offers, so few of its agents may have what a queue asks for,
// or none.
type needs map[needKey]need

const (
	// needMemory is how long agents that were linked for a need are kept.
	needMemory = time.Minute
	// mostNeeds bounds the needs that are remembered; the oldest leave.
	mostNeeds = 64
	// leastOffering is how many agents a need is given, if there are as many and a subset
	// has as many: with few a lost one would take much of the room.
	leastOffering = 8
)

// note takes in a step, and reports whether the need is new or greater than before.
func (n needs) note(now time.Duration, key needKey, least int, demand job.Demand) bool {
	old, known := n[key]
	if now-old.usedAt > needMemory {
		old.least, old.demand = 0, job.Demand{}
	}
	n[key] = need{least: max(old.least, least), demand: largest(old.demand, demand), usedAt: now}
	if len(n) > mostNeeds {
		n.dropOldest()
	}
	return !known || least > old.least || !demand.Fits(old.demand)
}

func largest(a, b job.Demand) job.Demand {
	return job.Demand{CPUMillis: max(a.CPUMillis, b.CPUMillis), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPUs: max(a.GPUs, b.GPUs)}
}

func (n needs) dropOldest() {
	keys := slices.Collect(maps.Keys(n))
	delete(n, slices.MinFunc(keys, func(a, b needKey) int { return int(n[a].usedAt - n[b].usedAt) }))
}

// fill adds to the wanted agents what the needs lack of those that are known to serve, in the
// order of preference.
func (n needs) fill(now time.Duration, order []string, known map[string]Registration, wanted map[string]bool) {
	for key, of := range n {
		if now-of.usedAt > needMemory {
			delete(n, key)
			continue
		}
		have := 0
		for node := range wanted {
			if reg, ok := known[node]; ok && offers(reg, key, of.demand) {
				have++
			}
		}
		for _, node := range order {
			if have >= of.least {
				break
			}
			if reg, ok := known[node]; ok && !wanted[node] && offers(reg, key, of.demand) {
				wanted[node] = true
				have++
			}
		}
	}
}

// Offers reports whether an agent may run what a need is for. One that has not said what
// it offers is taken to.
func offers(reg Registration, key needKey, demand job.Demand) bool {
	o := reg.Offer
	if o == nil {
		return true
	}
	return o.Service == key.service && demand.Fits(o.Capacity) && (key.label == "" || slices.Contains(o.Labels, key.label))
}

// leastFor is how many agents a step has use for, a few at least: enough for its widest
// moment, and for its bound on tasks at one worker.
func leastFor(st *job.Step, perAgent int64, few int) int {
	least := few
	if st.MaxPerWorker > 0 {
		least = max(least, (st.Count+st.MaxPerWorker-1)/st.MaxPerWorker)
	}
	if perAgent > 0 {
		least = max(least, int((int64(st.Count)*st.Demand.CPUMillis+perAgent-1)/perAgent))
	}
	return least
}

// Offers are the capacities that agents with backend servers of a service have registered.
func (l *LinkSet) Offers(service string) map[string]job.Demand {
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
func (l *LinkSet) Need(now time.Duration, spec *job.Spec, p *job.Policy) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	more := false
	for i := range spec.Steps {
		st := &spec.Steps[i]
		key := needKey{service: p.Service, label: st.Label}
		least := leastFor(st, l.capacityLocked(key, st.Demand), min(leastOffering, l.sizeLocked()))
		if l.needs.note(now, key, least, st.Demand) && l.lacksLocked(key, least, st.Demand) {
			more = true
		}
	}
	return more
}

// openLocked are the known agents whose failure domains are not drained.
func (l *LinkSet) openLocked() map[string]Registration {
	if len(l.drained.Domains) == 0 {
		return l.known
	}
	out := make(map[string]Registration, len(l.known))
	for node, reg := range l.known {
		if !l.drained.Has(reg.Zone) {
			out[node] = reg
		}
	}
	return out
}

// capacityLocked is what an agent with a need's offer has, in thousandths of a core; zero
// if no such agent is known.
func (l *LinkSet) capacityLocked(key needKey, demand job.Demand) int64 {
	for _, node := range l.order {
		if reg := l.known[node]; reg.Offer != nil && offers(reg, key, demand) {
			return reg.Offer.Capacity.CPUMillis
		}
	}
	return 0
}

// lacksLocked reports whether too few agents are linked that may run what a need is for,
// and others are known. Where none is, a job has nothing to wait for.
func (l *LinkSet) lacksLocked(key needKey, least int, demand job.Demand) bool {
	linked, others := 0, 0
	for node, reg := range l.openLocked() {
		switch {
		case !offers(reg, key, demand):
		case l.links[node] != nil:
			linked++
		default:
			others++
		}
	}
	return linked < least && others > 0
}
