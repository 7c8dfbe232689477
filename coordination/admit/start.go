package admit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
)

// resources is what running tasks hold of a worker.
type resources struct {
	cores        float64
	memoryMB     int64
	accelerators int64
	connections  int
}

func (r *resources) add(o resources) {
	r.cores += o.cores
	r.memoryMB += o.memoryMB
	r.accelerators += o.accelerators
	r.connections += o.connections
}

func (r *resources) sub(o resources) {
	r.cores -= o.cores
	r.memoryMB -= o.memoryMB
	r.accelerators -= o.accelerators
	r.connections -= o.connections
}

// atLeast returns r, or what was reported where that is more.
func (r resources) atLeast(u *state.Usage) resources {
	r.memoryMB = max(r.memoryMB, u.MemoryMB)
	r.accelerators = max(r.accelerators, u.Accelerators)
	r.cores = math.Max(r.cores, u.Cores)
	return r
}

// coreSlack absorbs rounding when fractions of cores are added up.
const coreSlack = 1e-6

// holdsLocked reports whether the worker is large enough for the task as
// declared.
func (m *Machine) holdsLocked(e *entry) bool {
	size := state.AgentLoad{Cores: m.backend.Cores, MemoryMB: m.backend.MemoryMB, Accelerators: m.backend.Accelerators}
	return size.Fits(&e.spec)
}

// fitsLocked reports whether the task may start now beside what runs. Workers
// start whatever they are given, so a yes here that is wrong runs the worker
// out of memory and takes every task on it down.
func (m *Machine) fitsLocked(e *entry) bool {
	b := m.backend
	if m.pressure.hold {
		return false
	}
	if len(m.running)+m.heldSlotsLocked()+m.reservedLocked() >= m.slotsLocked() {
		return false
	}
	need := m.needLocked(e)
	if b.Connections > 0 && m.used.connections+need.connections > b.Connections {
		return false
	}
	if m.used.accelerators+need.accelerators > b.Accelerators {
		return false
	}
	if b.MemoryMB > 0 && m.used.memoryMB+need.memoryMB > b.MemoryMB {
		return false
	}
	return b.Cores <= 0 || m.used.cores+need.cores <= b.Cores+coreSlack
}

func (m *Machine) slotsLocked() int {
	if m.backend.Connections > 0 {
		return min(m.backend.Slots, m.backend.Connections/connectionsPerTask)
	}
	return m.backend.Slots
}

// startLocked starts what waits and fits, in the queue's fair order.
func (m *Machine) startLocked(now time.Time) []coordination.Action {
	for m.startNextLocked(now) {
	}
	out := m.starts
	m.starts = nil
	return out
}

// startNextLocked starts one task if one fits, and reports whether it did.
func (m *Machine) startNextLocked(now time.Time) bool {
	e := m.queue.next(now, func(e *entry) verdict {
		switch {
		case m.unfitLocked(now, e) != state.ReasonNone:
			return shed
		case m.fitsLocked(e):
			return take
		}
		return leave
	})
	if e == nil {
		return false
	}
	m.seq++
	if reason := m.unfitLocked(now, e); reason != state.ReasonNone {
		m.refuseLocked(e, reason)
		return true
	}
	e.phase = running
	e.started = now
	e.reserved = m.needLocked(e)
	m.used.add(e.reserved)
	m.running[e.key] = e
	m.learnedLocked(now, e.key.Job.Service)
	e.operator = e.job.operator
	m.byOperator[e.operator]++
	start := coordination.StartTask{Task: e.key, Spec: e.spec, Backend: m.backend.ID}
	if !e.deadline.IsZero() {
		start.Deadline = e.deadline.Sub(now)
	}
	m.starts = append(m.starts, start)
	m.o.Metrics.started()
	return true
}

// unfitLocked says why a waiting task can't start here any more. The backend
// server may have announced another size or other services since it was taken.
// Left in the queue, such a task would keep all others from starting.
func (m *Machine) unfitLocked(now time.Time, e *entry) state.Reason {
	switch {
	case !e.deadline.IsZero() && !now.Before(e.deadline):
		return state.ReasonDeadline
	case !slices.Contains(m.backend.Services, e.key.Job.Service):
		return state.ReasonNoBackend
	case !m.holdsLocked(e):
		return state.ReasonNeverRunnable
	}
	return state.ReasonNone
}

func (m *Machine) releaseLocked(e *entry) {
	delete(m.running, e.key)
	m.pressure.ended(m.lastSeen, e)
	if m.byOperator[e.operator]--; m.byOperator[e.operator] == 0 {
		delete(m.byOperator, e.operator)
	}
	m.used.sub(e.reserved)
	e.reserved = resources{}
	m.settleUsedLocked()
	m.seq++
}

func (m *Machine) runningInOrderLocked() []*entry {
	out := make([]*entry, 0, len(m.running))
	for _, e := range m.running {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *entry) int {
		return cmp.Or(a.started.Compare(b.started), cmp.Compare(a.key.Job.Service, b.key.Job.Service),
			cmp.Compare(a.key.Job.ID, b.key.Job.ID), cmp.Compare(a.key.Index, b.key.Index))
	})
	return out
}

// Load says how the backend server stands now.
func (m *Machine) Load() state.AgentLoad {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.loadLocked(m.lastSeen)
}

func (m *Machine) loadLocked(now time.Time) state.AgentLoad {
	l := state.AgentLoad{
		ID: m.o.Self.ID, Addr: m.o.Self.Addr, Seq: m.seq,
		Region: m.o.Self.Region, Domain: m.o.Self.Domain, Rack: m.o.Self.Rack,
		Queued: m.queue.len(),
	}
	reason := m.refusalLocked(now)
	l.Draining = reason != state.ReasonNone
	if m.backend == nil {
		return l
	}
	b := m.backend
	l.Services, l.Slots = b.Services, b.Slots
	l.Cores, l.MemoryMB, l.Accelerators = b.Cores, b.MemoryMB, b.Accelerators
	l.Ejected = m.detector.ejected(now)
	if reason == state.ReasonNone {
		l.Free = m.freeLocked()
	}
	if m.detector.probing(now) {
		l.Free = max(0, min(l.Free, 1-len(m.running)-l.Queued))
	}
	return l
}

// freeLocked returns how many more tasks nobody has been promised a place for.
// A task that waits, waits for room: as long as one does there is none, even if
// slots are idle because memory is short. Offering those slots would bring tasks
// that are refused, and offered for, again and again.
func (m *Machine) freeLocked() int {
	if m.queue.len() > 0 || m.pressure.hold {
		return 0
	}
	free := m.slotsLocked() - len(m.running) - m.heldSlotsLocked()
	if n := len(m.running) + len(m.held); n > 0 {
		free = min(free, moreOf(float64(m.backend.MemoryMB), float64(m.used.memoryMB), n))
		free = min(free, moreOf(m.backend.Cores, m.used.cores, n))
	}
	return max(0, free-m.reservedLocked())
}

// moreOf returns how many more tasks fit that use as much as the n present ones
// do on average.
func moreOf(total, used float64, n int) int {
	if total <= 0 || used <= 0 {
		return math.MaxInt
	}
	return int((total - used) / (used / float64(n)))
}
