// Package drains tracks which failure domains operators have drained, that is, in which no new
// work may start. Processes that read the store learn of drains from it. All others learn of
// them from their link peers. The records are kept in one partition of the store, so states are
// ordered by the position up to which that partition was read, and a process never goes back to
// an older state.
//
// The package opens no sockets and reads no clock: times are readings of the boot clock.
package drains

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Change is one drain record: an operator drained a failure domain or ended its drain.
type Change struct {
	Domain  string
	Drained bool
}

// State holds the drains in force at a position of the operators' records. It is immutable.
type State struct {
	// Position is how far the records were read. Zero means that nothing is known yet.
	Position int64
	// Domains holds the drained failure domains, sorted.
	Domains []string
}

// Has reports whether a failure domain is drained.
func (s State) Has(domain string) bool {
	_, found := slices.BinarySearch(s.Domains, domain)
	return found
}

// Tracker holds the newest drain state that a process knows. It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// known is the newest state. Guarded by mu.
	known State
	// confirmedAt is when the store last confirmed that known is the newest state. Guarded by mu.
	confirmedAt time.Duration
}

// State returns the newest known state.
func (t *Tracker) State() State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

// Latest returns the newest known state and how long ago the store confirmed it.
func (t *Tracker) Latest(now time.Duration) (State, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known, now - t.confirmedAt
}

// Update merges a state that the store confirmed age ago; it comes from the store or from
// another process. It reports whether the set of drained domains changed.
func (t *Tracker) Update(now time.Duration, s State, age time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Position == 0 || s.Position < t.known.Position {
		// A process that has lost the store may still send an older state. Accepting it
		// would send work to a drained domain.
		return false
	}
	t.confirmedAt = max(t.confirmedAt, now-max(age, 0))
	if s.Position == t.known.Position {
		return false
	}
	changed := !slices.Equal(s.Domains, t.known.Domains)
	t.known = s
	return changed
}

// Replayer applies the operators' records to a Tracker. It is not safe for concurrent use.
type Replayer struct {
	tracker *Tracker
	domains map[string]bool
}

// NewReplayer returns a Replayer that continues from the tracker's state.
func NewReplayer(t *Tracker) *Replayer {
	r := &Replayer{tracker: t, domains: make(map[string]bool)}
	for _, domain := range t.State().Domains {
		r.domains[domain] = true
	}
	return r
}

// Reset discards what was read, before the newest record of each domain is read again. A drain
// may have ended while nothing was read, and the record of that may be gone from the store's
// history.
func (r *Replayer) Reset() { clear(r.domains) }

// Apply applies one record.
func (r *Replayer) Apply(c Change) {
	if c.Drained {
		r.domains[c.Domain] = true
		return
	}
	delete(r.domains, c.Domain)
}

// Publish updates the tracker with the state at a position, once the store has returned all
// records before it. It reports whether the set of drained domains changed.
func (r *Replayer) Publish(now time.Duration, position int64) bool {
	return r.tracker.Update(now, State{Position: position, Domains: slices.Sorted(maps.Keys(r.domains))}, 0)
}
