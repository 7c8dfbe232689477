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

// excess follows the upper end of observed over declared.
type excess struct {
	// ratio applies to tasks that declare a size, absolute to those that don't.
	ratio    float64
	absolute float64
}

// decay is how fast an excess that is no longer seen is forgotten, per finished
// task. It rises at once: too high costs a slot for a while, too low the worker.
const decay = 0.02

func (x *excess) observe(declared, seen float64) {
	if declared > 0 {
		x.ratio = follow(x.ratio, seen/declared)
		return
	}
	x.absolute = follow(x.absolute, seen)
}

func follow(old, seen float64) float64 {
	if seen >= old {
		return seen
	}
	return old + decay*(seen-old)
}

// apply returns the worse of the declared and the learned size.
func (x *excess) apply(declared float64) float64 {
	if declared > 0 {
		return declared * math.Max(1, x.ratio)
	}
	return x.absolute
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
	e := m.running[u.Task]
	if e == nil {
		return
	}
	service := u.Task.Job.Service
	l := m.learned[service]
	if l == nil {
		l = &learned{}
		m.learned[service] = l
	}
	l.memory.observe(float64(e.spec.MemoryMB), float64(u.MemoryMB))
	l.cores.observe(e.spec.Cores, u.Cores)
	grown := e.reserved
	grown.memoryMB = max(grown.memoryMB, u.MemoryMB)
	grown.accelerators = max(grown.accelerators, u.Accelerators)
	grown.cores = math.Max(grown.cores, u.Cores)
	m.used.sub(e.reserved)
	m.used.add(grown)
	e.reserved = grown
}
