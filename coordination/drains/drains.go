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

// Book holds the newest drain state that a process knows. It is safe for concurrent use.
type Book struct {
	mu sync.Mutex
	// known is the newest state. Guarded by mu.
	known State
	// asOf is when the store last confirmed that known is the newest state. Guarded by mu.
	asOf time.Duration
}

// State returns the newest known state.
func (b *Book) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known
}

// Latest returns the newest known state and how long ago the store confirmed it.
func (b *Book) Latest(now time.Duration) (State, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known, now - b.asOf
}

// Told merges a state that the store confirmed age ago; it comes from the store or from another
// process. It reports whether the set of drained domains changed.
func (b *Book) Told(now time.Duration, s State, age time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.Position == 0 || s.Position < b.known.Position {
		// A process that has lost the store may still send an older state. Accepting it
		// would send work to a drained domain.
		return false
	}
	b.asOf = max(b.asOf, now-max(age, 0))
	if s.Position == b.known.Position {
		return false
	}
	changed := !slices.Equal(s.Domains, b.known.Domains)
	b.known = s
	return changed
}

// Reader applies the operators' records to a Book. It is not safe for concurrent use.
type Reader struct {
	book    *Book
	domains map[string]bool
}

// NewReader returns a Reader that continues from the book's state.
func NewReader(b *Book) *Reader {
	r := &Reader{book: b, domains: make(map[string]bool)}
	for _, domain := range b.State().Domains {
		r.domains[domain] = true
	}
	return r
}

// Begin discards what was read, before the newest record of each domain is read again. A drain
// may have ended while nothing was read, and the record of that may be gone from the store's
// history.
func (r *Reader) Begin() { clear(r.domains) }

// Apply applies one record.
func (r *Reader) Apply(c Change) {
	if c.Drained {
		r.domains[c.Domain] = true
		return
	}
	delete(r.domains, c.Domain)
}

// Reached updates the book with the state at a position, once the store has returned all
// records before it. It reports whether the set of drained domains changed.
func (r *Reader) Reached(now time.Duration, position int64) bool {
	return r.book.Told(now, State{Position: position, Domains: slices.Sorted(maps.Keys(r.domains))}, 0)
}
