package admit

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
)

// held is what a task may still use of the worker though it is no longer counted
// as running here: nobody knows whether it has ended.
//
// The failure it is for: the connection under a task breaks, or another process
// announces itself in place of the backend server. The task's home is told at
// once, but the task goes on until its lease lapses. Its room given to another
// runs the worker out of memory. A backend server ends a task whose lease has
// lapsed and nobody renews this one, so waiting that long suffices; a usage
// report that it has ended gives the room back sooner.
type held struct {
	key      state.TaskKey
	reserved resources
	// slot says that it has a slot of the present backend server.
	slot  bool
	until time.Time
}

// StartUnknown takes a task of which nobody can say whether the backend server
// started it, such as after a broken connection. It counts as started and
// failed: starting it again could run it twice. It may run on, so it holds its
// room until its lease has lapsed.
func (m *Machine) StartUnknown(now time.Time, key state.TaskKey) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sawLocked(now)
	e := m.running[key]
	if e == nil {
		return nil
	}
	m.holdLocked(now, e, true)
	m.finishLocked(now, e, state.TaskResult{Err: "connection to the backend server was lost"})
	return m.turnLocked(now)
}

// holdLocked keeps what a task has reserved until its lease must have lapsed. It
// stands before the task's release.
func (m *Machine) holdLocked(now time.Time, e *entry, slot bool) {
	h := held{key: e.key, reserved: e.reserved, slot: slot, until: now.Add(m.o.TaskLease)}
	h.reserved.connections = 0
	m.used.add(h.reserved)
	m.held = append(m.held, h)
	m.o.Metrics.held()
}

// expireHeldLocked lets go of tasks whose lease has lapsed.
func (m *Machine) expireHeldLocked(now time.Time) {
	m.dropHeldLocked(func(h *held) bool { return !now.Before(h.until) })
}

func (m *Machine) dropHeldLocked(gone func(*held) bool) {
	n := len(m.held)
	m.held = slices.DeleteFunc(m.held, func(h held) bool {
		if !gone(&h) {
			return false
		}
		m.used.sub(h.reserved)
		return true
	})
	if len(m.held) != n {
		m.seq++
		m.settleUsedLocked()
	}
}

// heldUsageLocked takes in a report on a task of unknown end.
func (m *Machine) heldUsageLocked(u *state.Usage) {
	if u.Done {
		m.dropHeldLocked(func(h *held) bool { return h.key == u.Task })
		return
	}
	for i := range m.held {
		if h := &m.held[i]; h.key == u.Task {
			grown := h.reserved.atLeast(u)
			m.used.sub(h.reserved)
			m.used.add(grown)
			h.reserved = grown
		}
	}
}

// leaveBehindLocked takes the slots of the present backend server from held
// tasks: they are of the one before it.
func (m *Machine) leaveBehindLocked() {
	for i := range m.held {
		m.held[i].slot = false
	}
}

func (m *Machine) heldSlotsLocked() int {
	n := 0
	for i := range m.held {
		if m.held[i].slot {
			n++
		}
	}
	return n
}

// settleUsedLocked removes what rounding left when nothing uses anything.
func (m *Machine) settleUsedLocked() {
	if len(m.running) == 0 && len(m.held) == 0 {
		m.used = resources{}
	}
}
