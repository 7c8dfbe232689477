package roster

import (
	"maps"
	"slices"
	"strings"

	"github.com/shallotstep/shallotstep/state"
)

// Snapshot returns the record that stands for everything up to the roster's
// offset. It is valid only while no record that changes the roster comes
// between that offset and its own.
func (r *Roster) Snapshot() Snapshot {
	s := Snapshot{Through: r.offset, Epoch: r.epoch, Members: r.Members()}
	for _, name := range slices.Sorted(maps.Keys(r.regions)) {
		epochs := make([]state.Epoch, Shares)
		for i := range epochs {
			epochs[i] = r.regions[name].slots[i].epoch
		}
		s.Pairs = append(s.Pairs, RegionEpochs{Region: name, Epochs: epochs})
	}
	return s
}

// seek looks at a record for a reader that has no roster yet.
//
// A snapshot written while a member was being evicted may lack the eviction.
// Taking it would give a roster, and so pairs, that nobody else has. The reader
// takes a snapshot only if it has itself read every record between the
// snapshot's offset and what it stands for, and none of them can have changed
// the roster. A later snapshot serves as well, so waiting costs only time.
func (r *Roster) seek(rec Record) Change {
	snap, ok := rec.(Snapshot)
	if !ok {
		r.changed = r.offset
		return Change{}
	}
	if snap.Through < r.first-1 || snap.Through < r.changed || snap.Through >= r.offset {
		return Change{}
	}
	r.adopt(snap)
	return Change{Kind: KindSnapshot}
}

func (r *Roster) adopt(snap Snapshot) {
	r.unrooted = false
	r.epoch = snap.Epoch
	r.agents = nil
	r.regions = make(map[string]*region)
	for _, m := range snap.Members {
		r.agents = append(r.agents, newAgent(m))
	}
	slices.SortFunc(r.agents, func(a, b *agent) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, p := range snap.Pairs {
		r.regions[p.Region] = r.buildRegion(p)
	}
}

func (r *Roster) buildRegion(p RegionEpochs) *region {
	g := &region{slots: new([Shares]slot)}
	for _, a := range r.agents {
		if a.Region == p.Region {
			g.agents = append(g.agents, a)
		}
	}
	for i := range g.slots {
		home, witness := choose(g.agents, uint32(i))
		g.slots[i] = slot{home: home, witness: witness, epoch: p.Epochs[i]}
	}
	return g
}
