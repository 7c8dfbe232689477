package admit

import (
	"math"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// interest is a home's word that more tasks of an operator wait there.
type interest struct {
	home     state.NodeID
	operator string
	key      state.JobKey // the job last named
	priority int
	backlog  int
	until    time.Time
}

// interests holds what waits elsewhere, the longest unserved first.
type interests struct {
	list []interest
}

// credit is a slot kept for a home that was offered it.
type credit struct {
	home     state.NodeID
	operator string
	key      state.JobKey
	count    int
	until    time.Time
}

func (in *interests) clear() { in.list = nil }

// note takes in the newest backlog of a home for an operator and a service.
func (in *interests) note(n interest) {
	for i := range in.list {
		x := &in.list[i]
		if x.home != n.home || x.operator != n.operator || x.key.Service != n.key.Service {
			continue
		}
		if n.backlog == 0 {
			in.removeAt(i)
			return
		}
		*x = n
		return
	}
	if n.backlog > 0 {
		in.list = append(in.list, n)
	}
}

func (in *interests) removeAt(i int) {
	in.list = append(in.list[:i], in.list[i+1:]...)
}

// drop forgets a job that its home has given up.
func (in *interests) drop(home state.NodeID, key state.JobKey) {
	for i := range in.list {
		if in.list[i].home == home && in.list[i].key == key {
			in.removeAt(i)
			return
		}
	}
}

// dropHome forgets every interest of a home for a service.
func (in *interests) dropHome(home state.NodeID, service string) {
	in.list = slices.DeleteFunc(in.list, func(x interest) bool {
		return x.home == home && x.key.Service == service
	})
}

// dropGone forgets every interest of a home.
func (in *interests) dropGone(home state.NodeID) {
	in.list = slices.DeleteFunc(in.list, func(x interest) bool { return x.home == home })
}

func (m *Machine) interestLocked(now time.Time, from state.NodeID, a *message.Assign, backlog int) {
	m.interests.note(interest{
		home: from, operator: a.Operator, key: a.Key, backlog: backlog, priority: priorityOf(a),
		until: now.Add(DefaultInterestTTL),
	})
}

// offerLocked offers free slots to homes with a backlog. The offer travels with
// a result to the same home if there is one.
func (m *Machine) offerLocked(now time.Time) {
	for m.freeLocked() > 0 && len(m.interests.list) > 0 && m.detector.admits(now, len(m.running)) {
		i := m.nextInterestLocked()
		in := m.interests.list[i]
		m.interests.removeAt(i)
		if now.After(in.until) {
			continue
		}
		in.backlog--
		if in.backlog > 0 {
			m.interests.list = append(m.interests.list, in)
		}
		box := m.outboxLocked(in.home)
		box.report(in.key).Credit++
		box.urgent = true
		m.credits = append(m.credits, credit{in.home, in.operator, in.key, 1, now.Add(m.o.CreditTTL)})
	}
}

// nextInterestLocked picks the home to serve next: of the operator that would
// have the least here for its priority, the one that waits longest. Taking homes
// in turn would give most to an operator that floods many homes with jobs.
func (m *Machine) nextInterestLocked() int {
	best, least := 0, math.Inf(1)
	for i := range m.interests.list {
		in := &m.interests.list[i]
		if n := float64(m.holdingLocked(in.operator)+1) / float64(in.priority); n < least {
			best, least = i, n
		}
	}
	return best
}

// holdingLocked counts the slots that an operator's tasks have or are promised.
func (m *Machine) holdingLocked(operator string) int {
	n := m.byOperator[operator]
	for _, c := range m.credits {
		if c.operator == operator {
			n += c.count
		}
	}
	return n
}

// useCreditLocked gives back what was kept for the sender of n tasks.
func (m *Machine) useCreditLocked(from state.NodeID, service string, n int) {
	kept := m.credits[:0]
	for _, c := range m.credits {
		if c.home == from && c.key.Service == service && n > 0 {
			used := min(c.count, n)
			c.count -= used
			n -= used
		}
		if c.count > 0 {
			kept = append(kept, c)
		}
	}
	m.credits = kept
}

// expireCreditsLocked frees slots that a home was offered and made no use of.
// Such a home has nothing more to run; what it said of its backlog is forgotten
// so that it isn't asked again and again.
func (m *Machine) expireCreditsLocked(now time.Time) {
	kept := m.credits[:0]
	for _, c := range m.credits {
		if now.Before(c.until) {
			kept = append(kept, c)
			continue
		}
		m.interests.dropHome(c.home, c.key.Service)
		m.o.Metrics.creditUnused(c.count)
	}
	m.credits = kept
}

func (m *Machine) reservedLocked() int {
	n := 0
	for _, c := range m.credits {
		n += c.count
	}
	return n
}
