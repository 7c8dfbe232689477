// Package snapshot decides which state of a partition of the store a process holds that can't
// reach the store: what it has read itself, or what another process has read. States are ordered
// by the position up to which the partition was read, and a process never goes back to an older
// one. What the process has read itself stays in force, as before a cut; what it has been told
// holds for a limited time after the store last confirmed it to somebody.
//
// The package opens no sockets and reads no clock: times are readings of the boot clock.
package snapshot

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state/store"
)

// State has the newest record of each key of a partition, as somebody has read it. It is immutable.
type State struct {
	// Position is how far the partition was read, and is above zero.
	Position int64
	// Age is how long ago the store confirmed that there is nothing newer.
	Age time.Duration
	// Records are sorted by key and all have a value.
	Records []store.Record
}

// Decision is what becomes of a state that another process has told.
type Decision int

// Decisions on a state.
const (
	// Applied: the state is newer than the known one and replaces it.
	Applied Decision = iota
	// Confirmed: the state is the known one, and holds for longer than before.
	Confirmed
	// Older: a newer state is known.
	Older
	// Expired: the store has confirmed the state too long ago.
	Expired
	// Superseded: the process has read the store itself.
	Superseded
	// Malformed: the position or the age can't be true, or a key is missing or repeated.
	Malformed
)

// String returns the name of the decision, as metrics and log lines have it.
func (d Decision) String() string {
	return [...]string{"applied", "confirmed", "older", "expired", "superseded", "malformed"}[d]
}

// ErrMalformed is the cause of the errors of Check.
var ErrMalformed = errors.New("malformed state of a partition")

// Check returns an error if a state can't be one of a partition.
func (s *State) Check() error {
	if s.Position <= 0 || s.Age < 0 {
		return errors.Wrapf(ErrMalformed, "position %d, age %v", s.Position, s.Age)
	}
	last := ""
	for _, r := range s.Records {
		if r.Key <= last || r.Value == nil {
			return errors.Wrapf(ErrMalformed, "key %.80q after %.80q, value of %d bytes", r.Key, last, len(r.Value))
		}
		last = r.Key
	}
	return nil
}

// NewerThan reports whether a state goes further than another, or was confirmed later.
func (s *State) NewerThan(o *State) bool {
	if s.Position != o.Position {
		return s.Position > o.Position
	}
	return s.Age < o.Age
}

// Copy is a process's copy of a partition. It is safe for concurrent use.
type Copy struct {
	mu sync.Mutex
	// All fields below are guarded by mu.

	records  map[string][]byte
	position int64
	// confirmedAt is when the store last confirmed the copy, to this process or to another.
	confirmedAt time.Duration
	// read is set once this process has read the partition in the store.
	read bool
}

// Replace replaces the copy by the newest record of each key, as this process has read them.
func (c *Copy) Replace(now time.Duration, records []store.Record, position int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.read && position < c.position {
		return // an answer that was overtaken by a later one
	}
	c.records = make(map[string][]byte, len(records))
	c.extendLocked(now, records, position)
}

// Extend adds the records that this process has read from a position on, up to next. It does
// nothing if the copy ends elsewhere.
func (c *Copy) Extend(now time.Duration, records []store.Record, from, next int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.read && from == c.position {
		c.extendLocked(now, records, next)
	}
}

func (c *Copy) extendLocked(now time.Duration, records []store.Record, position int64) {
	for _, r := range records {
		if r.Value == nil {
			delete(c.records, r.Key)
			continue
		}
		c.records[r.Key] = r.Value
	}
	c.position, c.confirmedAt, c.read = position, now, true
}

// Offer decides on a state that another process has told. A state that was confirmed bound ago or
// longer changes nothing.
func (c *Copy) Offer(now time.Duration, s *State, bound time.Duration) Decision {
	if s.Check() != nil {
		return Malformed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.read:
		return Superseded
	case s.Position < c.position:
		return Older
	case s.Age >= bound:
		return Expired
	case s.Position == c.position:
		c.confirmedAt = max(c.confirmedAt, now-s.Age)
		return Confirmed
	}
	c.records = make(map[string][]byte, len(s.Records))
	for _, r := range s.Records {
		c.records[r.Key] = r.Value
	}
	c.position, c.confirmedAt = s.Position, now-s.Age
	return Applied
}

// Read reports whether this process has read the partition in the store.
func (c *Copy) Read() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read
}

// Position returns how far the copy goes; zero if there is none.
func (c *Copy) Position() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

// ConfirmedWithin reports whether the store has confirmed the copy, to this process or to another,
// less than bound ago.
func (c *Copy) ConfirmedWithin(now, bound time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position > 0 && now-c.confirmedAt < bound
}

// State returns the copy with its age, or false if there is none.
func (c *Copy) State(now time.Duration) (State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.position == 0 {
		return State{}, false
	}
	s := State{Position: c.position, Age: now - c.confirmedAt}
	for _, key := range slices.Sorted(maps.Keys(c.records)) {
		s.Records = append(s.Records, store.Record{Key: key, Value: c.records[key]})
	}
	return s, true
}
