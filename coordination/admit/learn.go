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
	// since is the first start here, lines how many tasks there were usage lines on.
	since time.Time
	lines int
}

const (
	// cautiousLines is how many tasks must have been reported on to make a service
	// known; with fewer the largest of them may be yet to come. Lines on one task
	// count once: a long task alone would otherwise make its service known.
	cautiousLines = 8
	// cautiousFor bounds the caution towards a service that is never reported on,
	// cautiousAtMost towards one that is reported on seldom.
	cautiousFor    = 5 * time.Second
	cautiousAtMost = 30 * time.Second
	// cautiousParts and cautiousBy bound what a task of an unknown service is
	// taken to need: one of so many parts of the worker's memory, or so many times
	// what it declares. Until then no worker is overcommitted by tasks that need
	// less than both.
	cautiousParts = 4
	cautiousBy    = 8
)

// unknownLocked reports whether nothing is known yet of what a service's tasks
// really use. Until the first reports, which lag, a worker filled by declared
// sizes may be given several times what it holds.
func (m *Machine) unknownLocked(service string) bool {
	l := m.learned[service]
	if l == nil {
		return true
	}
	bound := cautiousFor
	if l.lines > 0 {
		bound = cautiousAtMost
	}
	return l.lines < cautiousLines && m.lastSeen.Sub(l.since) < bound
}

// cautiousLocked returns the memory to reserve for a task of a service that
// nothing is known of. The failure it is for: every agent starts its first tasks
// before any report can have come, as many as fit by sizes that may be a third of
// the real ones. With twice the declared size there were 34 such starts beyond
// the memory in nine runs of the placement simulation.
func (m *Machine) cautiousLocked(declared int64) int64 {
	if m.o.Caution <= 1 {
		return declared
	}
	need := int64(m.o.Caution * float64(declared))
	part := m.backend.MemoryMB / cautiousParts
	if declared > 0 {
		part = min(part, cautiousBy*declared)
	}
	return max(need, part)
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

// yetToCome sets by how much the largest size is taken to exceed the largest one
// seen: by this over the number of lines. Of n even draws the largest is short of
// the end by about one n-th on average. Without this part the placement
// simulation was left with 0 to 12 starts beyond the memory a run; more than that
// only lengthened responses.
const yetToCome = 1.0

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
// the worker idle. After few lines the largest is yet to come, so the bound lies
// above it by a part that shrinks with their number. Without that part tasks
// whose scaled size was known to be 11,700 MB were started as 8,100.
func (x *excess) apply(declared float64, lines int) float64 {
	learned := x.absolute.value() * (1 + yetToCome/float64(max(1, lines)))
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
		need.cores = l.cores.apply(need.cores, l.lines)
		need.memoryMB = int64(math.Ceil(l.memory.apply(float64(need.memoryMB), l.lines)))
	}
	if m.unknownLocked(e.key.Job.Service) {
		need.memoryMB = max(need.memoryMB, m.cautiousLocked(e.spec.MemoryMB))
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
	m.raiseLocked()
	out := m.relieveLocked(now)
	return append(out, m.turnLocked(now)...)
}

func (m *Machine) usageLocked(now time.Time, u *state.Usage) {
	m.heldUsageLocked(u)
	// Reports lag: most short tasks have ended when theirs comes.
	j := m.jobs[u.Task.Job]
	if j == nil || j.entries[u.Task.Index] == nil {
		return
	}
	e := j.entries[u.Task.Index]
	l := m.learnedLocked(now, u.Task.Job.Service)
	if !e.reported {
		e.reported = true
		l.lines++
	}
	l.memory.observe(now, float64(e.declared.memoryMB), float64(u.MemoryMB))
	l.cores.observe(now, e.declared.cores, u.Cores)
	if e.phase != running {
		return
	}
	m.pressure.saw(now, e, u)
	grown := e.reserved.atLeast(u)
	m.used.sub(e.reserved)
	m.used.add(grown)
	e.reserved = grown
}

// raiseLocked raises what running tasks hold to what is known by now. A task that
// started when less was known uses as much as its likes that start later.
func (m *Machine) raiseLocked() {
	for _, e := range m.running {
		grown := e.reserved
		grown.memoryMB = max(grown.memoryMB, m.needLocked(e).memoryMB)
		m.used.sub(e.reserved)
		m.used.add(grown)
		e.reserved = grown
	}
}
