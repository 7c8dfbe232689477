package member

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/member/watch"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

func (m *Machine) joinOrLeaveLocked(now time.Time) []coordination.Action {
	self := m.o.Self.ID
	if m.joined {
		return m.leaveLocked(now)
	}
	join := purpose{kind: roster.KindJoin, node: self}
	if m.leaving {
		m.abandonJoinLocked(join)
		return nil
	}
	if !m.mayJoinLocked(now) {
		return nil
	}
	out := m.appendLocked(now, join, roster.Join{Member: m.o.Self})
	m.stats.Joins += len(out)
	return out
}

func (m *Machine) leaveLocked(now time.Time) []coordination.Action {
	self := m.o.Self.ID
	out := m.appendLocked(now, purpose{kind: roster.KindLeave, node: self}, roster.Leave{NodeID: self})
	m.stats.Leaves += len(out)
	return out
}

// abandonJoinLocked ends a stop before the join was read. A join still under
// way would leave a member behind that nobody runs, so its fate is read first.
func (m *Machine) abandonJoinLocked(join purpose) {
	a, tried := m.pending[join]
	if !tried || a.failed || m.readAt.Sub(a.at) > m.o.AppendTimeout {
		m.left = true
	}
}

// mayJoinLocked tells whether this node hears enough of the region to be of use
// as a member. A node that others can't reach would be evicted again: a domain
// cut from the rest would append a join and an eviction for each of its agents
// as often as they start anew. After a grace it joins all the same, for
// otherwise a fleet whose hosts were all replaced would wait for the dead.
func (m *Machine) mayJoinLocked(now time.Time) bool {
	if now.Sub(m.started) >= joinGraceFactor*m.o.EvictAfter {
		return true
	}
	grouping := watch.GroupingOf(m.region)
	home := grouping.Group(&m.o.Self)
	others := 0
	for i := range m.region {
		member := &m.region[i]
		if m.predecessor(member) || grouping.Group(member) == home {
			continue
		}
		others++
		if m.aliveLocked(now, member.ID) {
			return true
		}
	}
	return others == 0
}

// predecessor tells whether a member is an earlier incarnation of this node. A
// later process holds its address, so it is dead for certain.
func (m *Machine) predecessor(member *state.Member) bool {
	self := &m.o.Self
	return member.ID != self.ID && member.Addr != "" && member.Addr == self.Addr
}
