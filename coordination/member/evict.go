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
	out = append(out, m.suspectLocked(now, v)...)
	grouping := watch.GroupingOf(m.region)
	due := make(map[state.NodeID]turn)
	for i := range m.watched {
		w := &m.watched[i]
		silent := m.silentLocked(now, w.ID)
		if silent <= m.o.EvictAfter {
			continue
		}
		m.stats.Silent++
		group := grouping.Group(&w.Member)
		if silent <= m.waitLocked(now, v, group) || m.backLocked(now, group) {
			continue
		}
		t := m.turnOf(now, w)
		due[w.ID] = t
		if len(out) < maxEvictions && now.Sub(t.since) >= time.Duration(t.rank)*m.o.TakeoverStep {
			out = append(out, m.evictOneLocked(now, w.ID)...)
		}
	}
	m.due = due
	return out
}

// waitLocked is how long a member of the group must be silent.
func (m *Machine) waitLocked(now time.Time, v verdict, group string) time.Duration {
	wait, long := v.wait[group]
	switch {
	case !long:
		return m.o.EvictAfter
	case m.unansweredLocked(now, group):
		return m.shortWaitLocked()
	default:
		return wait
	}
}

// turn is this node's place in the order of those who may evict a member, and
// since when it stands there.
type turn struct {
	rank  int
	since time.Time
}

// turnOf returns the turn for a member that is due. Each further watcher waits a
// step longer for the ones before it, so that one record is written and not
// sixteen, and a dead evictor is replaced. When evictions move the watchers up,
// the wait begins anew, with one more step for a record that is under way: after
// a lost domain all of them would otherwise find themselves first in the same
// moment and write the same records.
func (m *Machine) turnOf(now time.Time, w *watch.Watched) turn {
	t, known := m.due[w.ID]
	switch {
	case !known:
		return turn{rank: w.Rank, since: now}
	case t.rank != w.Rank:
		return turn{rank: w.Rank, since: now.Add(m.o.TakeoverStep)}
	default:
		return t
	}
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
	out := m.appendLocked(now, purpose{kind: roster.KindEvict, node: id}, record)
	m.stats.Evictions += len(out)
	return out
}
