package claim

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// generations is how many generations make up a retention. More of them free
// memory sooner and make a lookup longer.
const generations = 8

// MaxTokenLength bounds a record's token, in bytes.
const MaxTokenLength = 255

// Record is one claim: the holder has asked for the id, with this content.
type Record struct {
	Key    state.JobKey
	Digest state.Digest
	// Holder is the home that asked for the claim.
	Holder state.NodeID
	// Token is the holder's name for the try, cut to MaxTokenLength bytes.
	Token string
	// At is when the claim was recorded, to the millisecond.
	At time.Time
}

// Table holds the claims of one agent for the shares of its region. It is safe
// for concurrent use.
type Table struct {
	retention time.Duration
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
	// Bytes is the memory they take, reckoned from the slices and the index.
	Bytes int
}

// New returns an empty table that keeps each claim for the retention.
func New(retention time.Duration) *Table {
	return &Table{retention: retention}
}

// Add records a claim. The key's id has at most state.MaxIDLength bytes. An id may have several holders: which of them was
// granted isn't known here, so none may be forgotten. The same holder with the
// same content is recorded anew only if that keeps the claim longer.
func (t *Table) Add(now time.Time, share uint32, r Record) {
	if now.Sub(r.At) >= t.retention {
		return
	}
	r.Token = r.Token[:min(len(r.Token), MaxTokenLength)]
	hash := hashOf(r.Key)
	s := &t.shards[share]
	s.mu.Lock()
	defer s.mu.Unlock()
	t.pruneLocked(s, now)
	for _, old := range findLocked(s, hash, r.Key) {
		if old.Holder == r.Holder && old.Digest == r.Digest && !r.At.After(old.At) {
			return
		}
	}
	t.generationLocked(s, r.At).add(hash, r)
}

// Find returns the claims of the id that are within their retention: none, one,
// or one for each holder and content.
func (t *Table) Find(now time.Time, share uint32, key state.JobKey) []Record {
	s := &t.shards[share]
	s.mu.Lock()
	found := findLocked(s, hashOf(key), key)
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
		if rs[i].Key == r.Key && rs[i].Holder == r.Holder && rs[i].Digest == r.Digest {
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

func findLocked(s *shard, hash uint64, key state.JobKey) []Record {
	var out []Record
	for _, g := range s.gens {
		out = g.find(hash, key, out)
	}
	return out
}

func (t *Table) span() time.Duration {
	return max(t.retention/generations, time.Millisecond)
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
	g := newGeneration(start)
	s.gens = append(s.gens, nil)
	copy(s.gens[i+1:], s.gens[i:])
	s.gens[i] = g
	return g
}
