package node

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/declare"
	"github.com/shallotstep/shallotstep/state"
)

// Readers returns how far every process known here has read the declarations,
// this entry and the other entries among them, latest first. A member of the
// roster of which nothing was heard is there too.
func (e *Entry) Readers(now time.Time) []declare.Lag {
	said := e.gossip.Readings()
	others := make([]declare.Reading, 0, len(said))
	heard := make(map[state.NodeID]bool, len(said))
	for _, r := range said {
		heard[r.ID] = true
		others = append(others, declare.Reading{
			ID: r.ID, Offset: r.Offset, At: r.At, Said: r.Said, Incomplete: r.Incomplete, Entry: r.Outside,
		})
	}
	out := e.declare.Lags(now, others)
	for i := range out {
		out[i].Entry = out[i].Entry || out[i].ID == e.self.ID
	}
	for _, m := range e.keeper.Roster().Members() {
		if !heard[m.ID] {
			out = append(out, declare.Lag{Reading: declare.Reading{ID: m.ID}})
		}
	}
	return out
}

// unread returns the processes that are not known to have read an offset of the
// declarations: members of the roster, and others that were heard lately. The
// declare machine calls it with its lock held.
func (e *Entry) unread(_ time.Time, offset int64) []state.NodeID {
	var out []state.NodeID
	heard := make(map[state.NodeID]bool)
	for _, r := range e.gossip.Readings() {
		heard[r.ID] = true
		if r.Offset < offset {
			out = append(out, r.ID)
		}
	}
	for _, m := range e.keeper.Roster().Members() {
		if !heard[m.ID] {
			out = append(out, m.ID)
		}
	}
	slices.Sort(out)
	return out
}
