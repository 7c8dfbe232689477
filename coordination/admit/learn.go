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
	// since is the first start here, lines how many usage lines there were.
	since time.Time
	lines int
}

const (
	// cautiousLines is how many usage lines make a service known; with fewer
	// the largest of them may be yet to come.
	cautiousLines = 8
	// cautiousFor bounds the caution towards a service that is never reported on.
	cautiousFor = 5 * time.Second
)

// unknownLocked reports whether nothing is known yet of what a service's tasks
// really use. Until the first reports, which lag, a worker filled by declared
// sizes may be given several times what it holds.
func (m *Machine) unknownLocked(service string) bool {
	l := m.learned[service]
	if l == nil {
		return true
	}
	return l.lines < cautiousLines && m.lastSeen.Sub(l.since) < cautiousFor
}

func (m *Machine) learnedLocked(now time.Time, service string) *learned {
	l := m.learned[service]
	if l == nil {
		l = &learned{since: now}
		m.learned[service] = l
	}
	return l
}

// excess is the largest seen of late, over what was declared and by itself.
type excess struct {
	ratio    peak
	absolute peak
}

// peak is the largest value of the present and the last period. A value that
// fades instead would sink below sizes that come again, and each time the worker
// would be given a little more than it holds.
type peak struct {
	present, last float64
	turned        time.Time
}

const peakPeriod = 5 * time.Minute

func (p *peak) see(now time.Time, v float64) {
	if now.Sub(p.turned) >= peakPeriod {
		p.last, p.present, p.turned = p.present, 0, now
	}
	p.present = math.Max(p.present, v)
}

func (p *peak) value() float64 { return math.Max(p.present, p.last) }

func (x *excess) observe(now time.Time, declared, seen float64) {
	if declared > 0 {
		x.ratio.see(now, seen/declared)
	}
	x.absolute.see(now, seen)
}

// apply returns the worse of the declared and the learned size. The learned one
// scales the declared one up, but not beyond the largest size seen: where only
// some declarations are too low, scaling the right ones too would leave most of
// the worker idle.
func (x *excess) apply(declared float64) float64 {
	learned := x.absolute.value()
	if declared > 0 {
		learned = math.Min(learned, declared*x.ratio.value())
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
	if m.unknownLocked(e.key.Job.Service) {
		need.memoryMB = max(need.memoryMB, int64(m.o.Caution*float64(e.spec.MemoryMB)))
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
		m.usageLocked(now, &report[i])
	}
	out := m.relieveLocked(now)
	return append(out, m.turnLocked(now)...)
}

func (m *Machine) usageLocked(now time.Time, u *state.Usage) {
	// Reports lag: most short tasks have ended when theirs comes.
	j := m.jobs[u.Task.Job]
	if j == nil || j.entries[u.Task.Index] == nil {
		return
	}
	e := j.entries[u.Task.Index]
	l := m.learnedLocked(now, u.Task.Job.Service)
	l.lines++
	l.memory.observe(now, float64(e.declared.memoryMB), float64(u.MemoryMB))
	l.cores.observe(now, e.declared.cores, u.Cores)
	if e.phase != running {
		return
	}
	m.pressure.saw(now, e, u)
	grown := e.reserved
	grown.memoryMB = max(grown.memoryMB, u.MemoryMB)
	grown.accelerators = max(grown.accelerators, u.Accelerators)
	grown.cores = math.Max(grown.cores, u.Cores)
	m.used.sub(e.reserved)
	m.used.add(grown)
	e.reserved = grown
}
