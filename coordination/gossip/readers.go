package gossip

import (
	"slices"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// maxReaders bounds the nodes whose positions are kept: a fleet at full size and
// its entries. Anybody may send positions under made-up names.
const maxReaders = 2048

// Reading is how far a node has read the declarations, by this node's clock.
type Reading struct {
	ID state.NodeID
	// Offset is the last one that it had read, 0 if none was in the log.
	Offset int64
	// At is when it read the offset; zero if it did so when it came up.
	At time.Time
	// Said is when it said this.
	Said       time.Time
	Incomplete bool
	// Outside says that the node is not one of the roster.
	Outside bool
}

// readers keeps the newest position of each node. Agents say theirs with their
// loads. Entries are in no roster and have no load; they say theirs to the agents
// that they pull from, and each agent passes on one of those that it has heard
// of, in turn, with every message of its own.
type readers struct {
	mu   sync.Mutex
	byID map[state.NodeID]Reading // guarded by mu
	turn int                      // guarded by mu
}

func (r *readers) note(now time.Time, id state.NodeID, said time.Duration, p *message.ReadPosition, outside bool) {
	if id == "" || p.Next <= 0 {
		return
	}
	reading := Reading{ID: id, Offset: p.Next - 1, Said: now.Add(-said), Incomplete: p.Incomplete, Outside: outside}
	if p.Age > 0 {
		reading.At = reading.Said.Add(-p.Age)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.byID[id]
	if known && !reading.Said.After(old.Said) || !known && len(r.byID) >= maxReaders {
		return
	}
	if r.byID == nil {
		r.byID = make(map[state.NodeID]Reading)
	}
	r.byID[id] = reading
}

// saidAt returns what an agent said of its position at a time, which is that of
// its newest load. A load that came on a Report has no position with it.
func (r *readers) saidAt(id state.NodeID, said time.Time) message.ReadPosition {
	r.mu.Lock()
	defer r.mu.Unlock()
	reading := r.byID[id]
	if !reading.Said.Equal(said) {
		return message.ReadPosition{}
	}
	return reading.position()
}

func (r *Reading) position() message.ReadPosition {
	p := message.ReadPosition{Next: r.Offset + 1, Incomplete: r.Incomplete}
	if !r.At.IsZero() {
		p.Age = r.Said.Sub(r.At)
	}
	return p
}

// next returns the position of a node outside the roster, another each time.
func (r *readers) next(now time.Time) message.ReadPosition {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []state.NodeID
	for id, reading := range r.byID {
		if reading.Outside {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return message.ReadPosition{}
	}
	slices.Sort(ids)
	r.turn = (r.turn + 1) % len(ids)
	reading := r.byID[ids[r.turn]]
	p := reading.position()
	p.ID = reading.ID
	p.Said = max(0, now.Sub(reading.Said))
	return p
}

func (r *readers) forget(id state.NodeID) {
	r.mu.Lock()
	delete(r.byID, id)
	r.mu.Unlock()
}

func (r *readers) prune(saidBefore time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, reading := range r.byID {
		if reading.Said.Before(saidBefore) {
			delete(r.byID, id)
		}
	}
}

// Readings returns the newest position known of each other node, by id. An agent
// that was forgotten isn't there, though late news of it may still come in.
func (g *Gossip) Readings() []Reading {
	r := &g.readers
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Reading, 0, len(r.byID))
	for _, reading := range r.byID {
		if _, known := g.view.Load(reading.ID); known || reading.Outside {
			out = append(out, reading)
		}
	}
	slices.SortFunc(out, func(a, b Reading) int { return compareIDs(a.ID, b.ID) })
	return out
}

// ownPosition is what this node says of itself.
func (g *Gossip) ownPosition(now time.Time) message.ReadPosition {
	if g.o.Position == nil {
		return message.ReadPosition{}
	}
	return g.o.Position(now)
}

// outsidePosition is what goes with a message of this node's: its own position
// if it is outside the roster, and one that it has heard of otherwise.
func (g *Gossip) outsidePosition(now time.Time) message.ReadPosition {
	if g.o.Agent {
		return g.readers.next(now)
	}
	p := g.ownPosition(now)
	if p.Next > 0 {
		p.ID = g.o.Self.ID
	}
	return p
}

// noteOutside takes in the position that goes with a message.
func (g *Gossip) noteOutside(now time.Time, news *message.LoadNews) {
	if p := &news.Read; p.ID != g.o.Self.ID && p.Said < g.o.Expiry {
		g.readers.note(now, p.ID, p.Said, p, true)
	}
}
