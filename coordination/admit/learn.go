package admit

import (
	"math"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
)

// learned is what usage reports taught about a service's tasks: by how much
// they exceed what is declared for them. Declared sizes are often off by a
// factor; believing them runs the worker out of memory.
type learned struct {
	memory excess
	cores  excess
}

// excess follows the upper end of what is seen, over what was declared and by
// itself.
type excess struct {
	ratio    float64
	absolute float64
}

// decay is how fast an excess that is no longer seen is forgotten, per usage
// line. It rises at once: too high costs a slot for a while, too low the worker.
const decay = 0.002

func (x *excess) observe(declared, seen float64) {
	if declared > 0 {
		x.ratio = follow(x.ratio, seen/declared)
	}
	x.absolute = follow(x.absolute, seen)
}

func follow(old, seen float64) float64 {
	if seen >= old {
		return seen
	}
	return old + decay*(seen-old)
}

// apply returns the worse of the declared and the learned size. The learned one
// scales the declared one up, but not beyond the largest size seen: where only
// some declarations are too low, scaling the right ones too would leave most of
// the worker idle.
func (x *excess) apply(declared float64) float64 {
	learned := x.absolute
	if declared > 0 {
		learned = math.Min(learned, declared*x.ratio)
	}
	return math.Max(declared, learned)
}

// needLocked returns what to reserve for a task. A learned size that exceeds
// the whole worker is cut to it: such a task runs alone rather than never.
func (m *Machine) needLocked(e *entry) resources {
	need := resources{
		cores:        e.spec.Cores,
		memoryMB:     e.spec.MemoryMB,
		accelerators: e.spec.Accelerators,
		connections:  connectionsPerTask,
	}
	if l := m.learned[e.key.Job.Service]; l != nil {
		need.cores = l.cores.apply(need.cores)
		need.memoryMB = int64(math.Ceil(l.memory.apply(float64(need.memoryMB))))
	}
	if m.backend.Cores > 0 {
		need.cores = math.Min(need.cores, m.backend.Cores)
	}
	if m.backend.MemoryMB > 0 {
		need.memoryMB = min(need.memoryMB, m.backend.MemoryMB)
	}
	return need
}

// Usage takes the backend server's lagging usage report. A running task that
// uses more than was reserved for it has its reservation raised at once.
func (m *Machine) Usage(now time.Time, report []state.Usage) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sawLocked(now)
	for i := range report {
		m.usageLocked(&report[i])
	}
	return m.turnLocked(now)
}

func (m *Machine) usageLocked(u *state.Usage) {
	// Reports lag: most short tasks have ended when theirs comes.
	j := m.jobs[u.Task.Job]
	if j == nil || j.entries[u.Task.Index] == nil {
		return
	}
	e := j.entries[u.Task.Index]
	service := u.Task.Job.Service
	l := m.learned[service]
	if l == nil {
		l = &learned{}
		m.learned[service] = l
	}
	l.memory.observe(float64(e.declared.memoryMB), float64(u.MemoryMB))
	l.cores.observe(e.declared.cores, u.Cores)
	if e.phase != running {
		return
	}
	grown := e.reserved
	grown.memoryMB = max(grown.memoryMB, u.MemoryMB)
	grown.accelerators = max(grown.accelerators, u.Accelerators)
	grown.cores = math.Max(grown.cores, u.Cores)
	m.used.sub(e.reserved)
	m.used.add(grown)
	e.reserved = grown
}
