package gossip

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotstep/shallotstep/state"
)

const shardCount = 16

// version orders what one agent says: by change, then by repetition.
type version struct {
	seq  uint64
	beat uint32
}

func (v version) newerThan(w version) bool {
	if v.seq != w.seq {
		return v.seq > w.seq
	}
	return v.beat > w.beat
}

// entry is what is known of the news of one agent. Its load is in the view.
type entry struct {
	version version
	// said is when the agent said the version, by this node's clock.
	said time.Time
	// heard is the last sign of life of any kind.
	heard time.Time
	// passedOn is when the agent said the version that was last passed on. An
	// agent heard of for the first time counts as passed on: whoever told of it
	// tells others too.
	passedOn time.Time
}

// table is the sharded set of entries.
type table struct {
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	entries map[state.NodeID]*entry // guarded by mu
}

func (t *table) init() {
	for i := range t.shards {
		t.shards[i].entries = make(map[state.NodeID]*entry)
	}
}

func (t *table) shard(id state.NodeID) *shard {
	return &t.shards[xxhash.Sum64String(string(id))%shardCount]
}

// accept records a version and reports whether it is newer than the known one.
func (t *table) accept(id state.NodeID, v version, said time.Time) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[id]
	if !known {
		s.entries[id] = &entry{version: v, said: said, heard: said, passedOn: said}
		return true
	}
	if !v.newerThan(e.version) {
		return false
	}
	e.version = v
	e.said = said
	e.heard = later(e.heard, said)
	return true
}

// hear records a sign of life of an agent that is known.
func (t *table) hear(id state.NodeID, now time.Time) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, known := s.entries[id]; known {
		e.heard = later(e.heard, now)
	}
}

func (t *table) lastHeard(id state.NodeID) (time.Time, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[id]
	if !known {
		return time.Time{}, false
	}
	return e.heard, true
}

func (t *table) get(id state.NodeID) (entry, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[id]
	if !known {
		return entry{}, false
	}
	return *e, true
}

func (t *table) forget(id state.NodeID) {
	s := t.shard(id)
	s.mu.Lock()
	delete(s.entries, id)
	s.mu.Unlock()
}

// notePassedOn records which version of each agent was passed on.
func (t *table) notePassedOn(entries []known) {
	for i := range entries {
		s := t.shard(entries[i].id)
		s.mu.Lock()
		if e, known := s.entries[entries[i].id]; known {
			e.passedOn = entries[i].said
		}
		s.mu.Unlock()
	}
}

// known is one entry with its agent, as snapshot returns it.
type known struct {
	id state.NodeID
	entry
}

// snapshot returns the entries said after a time, in the order of ids, and
// drops those not heard since another.
func (t *table) snapshot(saidAfter, heardAfter time.Time) []known {
	var out []known
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			if e.heard.Before(heardAfter) {
				delete(s.entries, id)
				continue
			}
			if e.said.After(saidAfter) {
				out = append(out, known{id, *e})
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b known) int { return compareIDs(a.id, b.id) })
	return out
}

func compareIDs(a, b state.NodeID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
