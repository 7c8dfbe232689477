package roster

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
)

// formerKept is how many departed agents a roster remembers, so that a leaving
// agent can still be reached for the claims it holds.
const formerKept = 256

// ErrGap means that records before this one are missing. Applying it would
// give another roster than everybody else's.
var ErrGap = errors.New("roster records are missing")

// Roster is the state after the records up to Offset. It never changes; Apply
// returns a new one. The zero offset is the empty roster: offsets start at 1.
type Roster struct {
	offset int64
	epoch  state.Epoch
	agents []*agent // sorted by id
	former []state.Member
	// regions is copied when a region in it changes.
	regions map[string]*region
	// A reader that began after the log's first record has no roster until it
	// meets a valid snapshot. first is the first offset it read, changed the
	// last that may have changed the roster.
	unrooted bool
	first    int64
	changed  int64
}

type region struct {
	agents []*agent
	slots  *[Shares]slot
}

// Change is what a record did to the roster.
type Change struct {
	// Kind is empty when the record had no effect.
	Kind Kind
	// Member joined, left or was evicted.
	Member state.Member
	// Lost and AcceptRerun are those of ConfirmLost.
	Lost        []state.NodeID
	AcceptRerun bool
	// Shares lists the shares whose pair changed. It is left empty when a
	// reader takes its first roster from a snapshot: then all did.
	Shares []ShareChange
}

// ShareChange is the change of one share's pair.
type ShareChange struct {
	Region string
	Share  uint32
	Before Pair
	After  Pair
}

// New returns the empty roster before the first record.
func New() *Roster {
	return &Roster{}
}

// Epoch is the offset of the last record that changed the members.
func (r *Roster) Epoch() state.Epoch { return r.epoch }

// Offset is the offset of the last record read.
func (r *Roster) Offset() int64 { return r.offset }

// Rooted reports whether the roster is known. It isn't while a reader that
// began in the middle of the log waits for a snapshot.
func (r *Roster) Rooted() bool { return !r.unrooted }

// Members returns the members, sorted by id.
func (r *Roster) Members() []state.Member {
	out := make([]state.Member, len(r.agents))
	for i, a := range r.agents {
		out[i] = a.Member
	}
	return out
}

// Member returns the member with this id.
func (r *Roster) Member(id state.NodeID) (state.Member, bool) {
	i, ok := r.find(id)
	if !ok {
		return state.Member{}, false
	}
	return r.agents[i].Member, true
}

// Former returns an agent that was a member lately.
func (r *Roster) Former(id state.NodeID) (state.Member, bool) {
	for _, m := range r.former {
		if m.ID == id {
			return m, true
		}
	}
	return state.Member{}, false
}

// Pair returns the pair of a share in a region.
func (r *Roster) Pair(name string, share uint32) Pair {
	reg := r.regions[name]
	if reg == nil || share >= Shares {
		return Pair{}
	}
	return reg.slots[share].pair()
}

func (r *Roster) find(id state.NodeID) (int, bool) {
	return slices.BinarySearchFunc(r.agents, id, compareID)
}

func compareID(a *agent, id state.NodeID) int {
	return strings.Compare(string(a.ID), string(id))
}

// Apply returns the roster after the record at the offset. A bad record and one
// without effect only advance the offset; so does nothing a record read before.
// The error has the cause ErrBadRecord or ErrGap; with ErrGap the roster stays.
func (r *Roster) Apply(offset int64, data []byte) (*Roster, Change, error) {
	if offset <= r.offset {
		return r, Change{}, nil
	}
	if offset != r.offset+1 && r.offset != 0 {
		return r, Change{}, errors.Wrapf(ErrGap, "at %d, record %d", r.offset, offset)
	}
	n := *r
	n.offset = offset
	if offset != r.offset+1 {
		n.unrooted = true
		n.first = offset
	}
	rec, err := Decode(data)
	if err != nil {
		return &n, Change{}, err
	}
	if n.unrooted {
		return &n, n.seek(rec), nil
	}
	return &n, n.apply(rec), nil
}

func (r *Roster) apply(rec Record) Change {
	switch rec := rec.(type) {
	case Join:
		return r.join(rec.Member)
	case Leave:
		return r.remove(KindLeave, rec.NodeID)
	case Evict:
		return r.remove(KindEvict, rec.NodeID)
	case ConfirmLost:
		return r.confirmLost(rec)
	}
	return Change{}
}

func (r *Roster) join(m state.Member) Change {
	at, ok := r.find(m.ID)
	if ok {
		return Change{}
	}
	a := newAgent(m)
	r.agents = slices.Insert(slices.Clone(r.agents), at, a)
	r.epoch = state.Epoch(r.offset)
	shares := r.joinRegion(a)
	return Change{Kind: KindJoin, Member: m, Shares: shares}
}

func (r *Roster) joinRegion(a *agent) []ShareChange {
	old := r.regions[a.Region]
	if old == nil {
		old = &region{slots: new([Shares]slot)}
	}
	next := &region{agents: append(slices.Clip(old.agents), a)}
	changes := next.update(old, a.Region, r.epoch, func(s slot, share uint32) (*agent, *agent) {
		return joined(s, a, share)
	})
	r.setRegion(a.Region, next)
	return changes
}

func (r *Roster) remove(kind Kind, id state.NodeID) Change {
	at, ok := r.find(id)
	if !ok {
		return Change{}
	}
	a := r.agents[at]
	r.agents = slices.Delete(slices.Clone(r.agents), at, at+1)
	r.epoch = state.Epoch(r.offset)
	r.remember(a.Member)
	shares := r.removeRegion(a)
	return Change{Kind: kind, Member: a.Member, Shares: shares}
}

func (r *Roster) removeRegion(a *agent) []ShareChange {
	old := r.regions[a.Region]
	i := slices.Index(old.agents, a)
	next := &region{agents: slices.Delete(slices.Clone(old.agents), i, i+1)}
	changes := next.update(old, a.Region, r.epoch, func(s slot, share uint32) (*agent, *agent) {
		if s.home != a && s.witness != a {
			return s.home, s.witness
		}
		return choose(next.agents, share)
	})
	r.setRegion(a.Region, next)
	return changes
}

// remember keeps the latest departed agents.
func (r *Roster) remember(m state.Member) {
	kept := r.former
	if len(kept) >= formerKept {
		kept = kept[1:]
	}
	r.former = append(slices.Clip(kept), m)
}

// update fills the slots from those of the region before the record.
func (g *region) update(old *region, name string, epoch state.Epoch, next func(slot, uint32) (*agent, *agent)) []ShareChange {
	slots := *old.slots
	changed := 0
	for i := range slots {
		share := uint32(i)
		before := slots[i]
		home, witness := next(before, share)
		if home == before.home && witness == before.witness {
			continue
		}
		after := slot{home: home, witness: witness, epoch: before.epoch}
		if before.witness == nil && witness == nil {
			slots[i] = after // no pair before or after: no epoch ends
			continue
		}
		after.epoch = epoch
		slots[i] = after
		changed++
	}
	g.slots = &slots
	return g.changes(old, name, changed)
}

func (g *region) changes(old *region, name string, count int) []ShareChange {
	out := make([]ShareChange, 0, count)
	for i := range g.slots {
		before, after := &old.slots[i], &g.slots[i]
		if before.epoch != after.epoch {
			out = append(out, ShareChange{Region: name, Share: uint32(i), Before: before.pair(), After: after.pair()})
		}
	}
	return out
}

func (r *Roster) setRegion(name string, g *region) {
	next := make(map[string]*region, len(r.regions)+1)
	for n, old := range r.regions {
		next[n] = old
	}
	next[name] = g
	r.regions = next
}

func (r *Roster) confirmLost(rec ConfirmLost) Change {
	var lost []state.NodeID
	for _, id := range rec.NodeIDs {
		if _, member := r.find(id); !member {
			lost = append(lost, id)
		}
	}
	if len(lost) == 0 {
		return Change{}
	}
	return Change{Kind: KindConfirmLost, Lost: lost, AcceptRerun: rec.AcceptRerun}
}
