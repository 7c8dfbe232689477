package claim

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// DefaultRetention is how long a claim is kept, and so how long a job id runs at
// most once, if the settings don't say. By the table in docs/CAPACITY.md even the
// fullest agent after the loss of a failure domain has room for it at the target's
// peak held all day, in jobs of 50 tasks or more.
const DefaultRetention = 6 * time.Hour

// generations is how many generations make up a retention. More of them free
// memory sooner and make a lookup longer.
const generations = 8

// Record is one claim: the holder has asked for the id, with this content.
type Record struct {
	ID      ID
	Content Content
	// Holder is the home that asked for the claim.
	Holder state.NodeID
	// At is when the claim was recorded, rounded up to a 524,280th of the
	// retention: 165 ms for a day.
	At time.Time
	// Granted is set in the holder's own record of a claim that it was granted.
	// It isn't handed on.
	Granted bool
}

// Table holds the claims of one agent for the shares of its region. It is safe
// for concurrent use.
type Table struct {
	retention time.Duration
	seed      uint64
	shards    [roster.Shares]shard
}

// shard holds the claims of one share, oldest generation first.
type shard struct {
	mu   sync.Mutex
	gens []*generation // guarded by mu
}

// Size is what a table holds.
type Size struct {
	// Claims counts records. An id recorded by two homes counts twice.
	Claims int
	// Bytes is the memory they take, reckoned from the slices.
	Bytes int
}

// New returns an empty table that keeps each claim for the retention. Tables
// that exchange pages have different seeds.
func New(retention time.Duration, seed uint64) *Table {
	return &Table{retention: retention, seed: seed}
}

// Add records a claim. An id may have several holders: which of them was granted
// isn't known here, so none may be forgotten. The same holder with the same
// content is recorded anew only if that keeps the claim longer.
func (t *Table) Add(now time.Time, share uint32, r Record) {
	if now.Sub(r.At) >= t.retention {
		return
	}
	s := &t.shards[share]
	s.mu.Lock()
	defer s.mu.Unlock()
	t.pruneLocked(s, now)
	for _, old := range findLocked(s, &r.ID) {
		if old.Holder == r.Holder && old.Content == r.Content && !r.At.After(old.At) {
			return
		}
	}
	t.generationLocked(s, r.At).put(&r)
}

// Find returns the claims of the id that are within their retention: none, one,
// or one for each holder and content.
func (t *Table) Find(now time.Time, share uint32, id ID) []Record {
	s := &t.shards[share]
	s.mu.Lock()
	found := findLocked(s, &id)
	s.mu.Unlock()
	return t.newest(now, found)
}

// newest drops expired claims, and all but the newest of a holder and content.
func (t *Table) newest(now time.Time, found []Record) []Record {
	out := found[:0]
	for _, r := range found {
		if now.Sub(r.At) >= t.retention {
			continue
		}
		if i := sameClaim(out, r); i < 0 {
			out = append(out, r)
		} else if r.At.After(out[i].At) {
			out[i] = r
		}
	}
	return out
}

func sameClaim(rs []Record, r Record) int {
	for i := range rs {
		if rs[i].ID == r.ID && rs[i].Holder == r.Holder && rs[i].Content == r.Content {
			return i
		}
	}
	return -1
}

// Prune drops what has passed its retention in the share.
func (t *Table) Prune(now time.Time, share uint32) {
	s := &t.shards[share]
	s.mu.Lock()
	t.pruneLocked(s, now)
	s.mu.Unlock()
}

// Size adds up all shards, each under its lock in turn.
func (t *Table) Size() Size {
	var total Size
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, g := range s.gens {
			total.Claims += g.count
			total.Bytes += g.bytes()
		}
		s.mu.Unlock()
	}
	return total
}

func findLocked(s *shard, id *ID) []Record {
	var out []Record
	for _, g := range s.gens {
		out = g.find(id, out)
	}
	return out
}

func (t *Table) span() time.Duration {
	return max(t.retention/generations, time.Millisecond)
}

// Unit is what a time may be rounded up by.
func (t *Table) Unit() time.Duration {
	return t.span()/maxUnits + 1
}

func (t *Table) pruneLocked(s *shard, now time.Time) {
	keep := 0
	for keep < len(s.gens) && now.Sub(s.gens[keep].start) >= t.span()+t.retention {
		keep++
	}
	if keep > 0 {
		s.gens = append([]*generation(nil), s.gens[keep:]...)
	}
}

// generationLocked returns the generation that covers the time, with room.
// Generations stand in order of their start, which is a multiple of their span:
// claims pulled from another agent may come in any order of age, and must not
// open a generation each.
func (t *Table) generationLocked(s *shard, at time.Time) *generation {
	start := at.Truncate(t.span())
	i := len(s.gens)
	for i > 0 && s.gens[i-1].start.After(start) {
		i--
	}
	if i > 0 {
		if g := s.gens[i-1]; g.start.Equal(start) && !g.full() {
			return g
		}
	}
	g := newGeneration(start, t.Unit(), t.seed)
	s.gens = append(s.gens, nil)
	copy(s.gens[i+1:], s.gens[i:])
	s.gens[i] = g
	return g
}
