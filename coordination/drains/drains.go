// Package drains keeps what one process knows of drained failure domains: those in which
// operators want nothing newly started. Processes that read the store learn of drains
// there; all others are told by those that they have links with. The records stand in one
// partition of the store, so a State is ordered by how far that was read, and what a
// process knows never goes back to an older one.
//
// Nothing here opens a socket or reads a clock: times are readings of the boot clock.
package drains

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Change is one record of the operators.
type Change struct {
	Domain  string
	Drained bool
}

// State is what is in force at a position of the operators' records. It is never changed
// once made.
type State struct {
	// Position is how far the records were read; zero: nothing is known yet.
	Position int64
	// Domains are the drained failure domains, sorted.
	Domains []string
}

// Has reports whether a failure domain is drained.
func (s State) Has(domain string) bool {
	_, found := slices.BinarySearch(s.Domains, domain)
	return found
}

// Book is what a process knows. It is safe for concurrent use.
type Book struct {
	mu sync.Mutex
	// known is the newest state. Guarded by mu.
	known State
	// asOf is when the store confirmed last that there was none newer. Guarded by mu.
	asOf time.Duration
}

// State returns the newest state that is known.
func (b *Book) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known
}

// Latest returns the newest state, and how long ago the store confirmed it.
func (b *Book) Latest(now time.Duration) (State, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known, now - b.asOf
}

// Told takes in a state that was confirmed so long ago, by the store or by another process.
// It reports whether other domains are drained now.
func (b *Book) Told(now time.Duration, s State, age time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.Position == 0 || s.Position < b.known.Position {
		// Told by a process that has lost the store, an older state would have work go to
		// a domain that is drained.
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

// Reader follows the operators' records for a Book. One goroutine uses it.
type Reader struct {
	book    *Book
	domains map[string]bool
}

// NewReader returns a reader that goes on where a book's state ends.
func NewReader(b *Book) *Reader {
	r := &Reader{book: b, domains: make(map[string]bool)}
	for _, domain := range b.State().Domains {
		r.domains[domain] = true
	}
	return r
}

// Begin forgets what was read: the newest records follow. A drain may have ended while
// nobody read, and no record of that is left.
func (r *Reader) Begin() { clear(r.domains) }

// Apply takes in a record.
func (r *Reader) Apply(c Change) {
	if c.Drained {
		r.domains[c.Domain] = true
		return
	}
	delete(r.domains, c.Domain)
}

// Reached notes that the store has returned all records before a position. It reports
// whether other domains are drained now.
func (r *Reader) Reached(now time.Duration, position int64) bool {
	return r.book.Told(now, State{Position: position, Domains: slices.Sorted(maps.Keys(r.domains))}, 0)
}
