package member

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/member/watch"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// maxEvictions bounds the evictions that a node asks for in one look. A lost
// domain of 250 members is some 250 records, about one from each agent that is
// left; the bound keeps a node with many of them from sending all in one burst
// to a log that takes several hundred appends a second.
const maxEvictions = 2

// evictLocked asks for the evictions that are this node's to write.
func (m *Machine) evictLocked(now time.Time) []coordination.Action {
	out := m.evictPredecessorsLocked(now)
	v := m.judgeLocked(now)
	m.stats.CutOff = v.cutOff
	m.stats.Silent = 0
	if v.cutOff {
		return out
	}
	grouping := watch.GroupingOf(m.region)
	for i := range m.watched {
		w := &m.watched[i]
		silent := m.silentLocked(now, w.ID)
		if silent <= m.o.EvictAfter {
			continue
		}
		m.stats.Silent++
		if len(out) < maxEvictions && silent > m.deadlineLocked(v, grouping.Group(&w.Member), w.Rank) {
			out = append(out, m.evictOneLocked(now, w.ID)...)
		}
	}
	return out
}

// deadlineLocked is how long a member must be silent before this node evicts
// it. Each further watcher waits a step longer for the ones before it, so that
// one record is written and not sixteen, and a dead evictor is replaced.
func (m *Machine) deadlineLocked(v verdict, group string, rank int) time.Duration {
	wait, long := v.wait[group]
	if !long {
		wait = m.o.EvictAfter
	}
	return wait + time.Duration(rank)*m.o.TakeoverStep
}

// evictPredecessorsLocked evicts earlier incarnations of this node, at once and
// without asking whether they were heard: this process has their address.
func (m *Machine) evictPredecessorsLocked(now time.Time) []coordination.Action {
	var out []coordination.Action
	for i := range m.region {
		if len(out) < maxEvictions && m.predecessor(&m.region[i]) {
			out = append(out, m.evictOneLocked(now, m.region[i].ID)...)
		}
	}
	return out
}

func (m *Machine) evictOneLocked(now time.Time, id state.NodeID) []coordination.Action {
	record := roster.Evict{NodeID: id, By: m.o.Self.ID}
	out := m.appendLocked(now, purpose{roster.KindEvict, id}, record)
	m.stats.Evictions += len(out)
	return out
}
