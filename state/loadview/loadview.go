// Package loadview keeps what agents say of themselves: the newest load of
// each, as long as it is fresh. It is soft state. It chooses where tasks run
// and never decides who guards a claim.
//
// A node that knows a thousand agents works with a bounded subset of them for
// each service, see Candidates.
package loadview

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotstep/shallotstep/state"
)

// Defaults of Options.
const (
	// DefaultTTL is how long a load counts without news from its originator.
	DefaultTTL = 5 * time.Second
	// DefaultSubset is how many agents a node works with per service.
	DefaultSubset = 32
)

const shardCount = 16

// Options configure a View.
type Options struct {
	// Self is the node that keeps the view. Its ID picks the subset and its
	// region is preferred.
	Self state.Member
	// TTL is how long a load counts. Zero means DefaultTTL.
	TTL time.Duration
	// Subset bounds Candidates. Zero means DefaultSubset.
	Subset int
}

// View holds the newest load of each agent. It is safe for concurrent use.
type View struct {
	o      Options
	shards [shardCount]shard
	index  serviceIndex
}

type shard struct {
	mu    sync.RWMutex
	loads map[state.NodeID]entry // guarded by mu
	// gone remembers forgotten agents, so that late news of one which spreads
	// among its peers doesn't bring it back. Guarded by mu.
	gone map[state.NodeID]time.Time
}

type entry struct {
	load state.AgentLoad
	said time.Time
}

// Aged is a load and how long ago its originator said it.
type Aged struct {
	Load state.AgentLoad
	Age  time.Duration
}

// New returns an empty view.
func New(o Options) *View {
	if o.TTL <= 0 {
		o.TTL = DefaultTTL
	}
	if o.Subset <= 0 {
		o.Subset = DefaultSubset
	}
	v := &View{o: o}
	for i := range v.shards {
		v.shards[i].loads = make(map[state.NodeID]entry)
		v.shards[i].gone = make(map[state.NodeID]time.Time)
	}
	v.index.sets = make(map[string][]state.NodeID)
	return v
}

func (v *View) shard(id state.NodeID) *shard {
	return &v.shards[xxhash.Sum64String(string(id))%shardCount]
}

// Merge takes in a load that its originator said age ago. It reports whether
// this was news: an older Seq never replaces a newer one, and a load beyond the
// time to live is ignored.
func (v *View) Merge(now time.Time, load state.AgentLoad, age time.Duration) bool {
	if load.ID == "" || age > v.o.TTL {
		return false
	}
	s := v.shard(load.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, gone := s.gone[load.ID]; gone {
		return false
	}
	old, known := s.loads[load.ID]
	said := now.Add(-age)
	if known && old.load.Seq > load.Seq {
		return false
	}
	if known && old.load.Seq == load.Seq {
		if said.After(old.said) {
			old.said = said
			s.loads[load.ID] = old
		}
		return false
	}
	s.loads[load.ID] = entry{load, said}
	if !known || !sameStanding(old.load, load) {
		v.index.invalidate()
	}
	return true
}

// sameStanding reports whether two loads of one agent put it into the same
// subsets.
func sameStanding(a, b state.AgentLoad) bool {
	if a.Region != b.Region || a.Domain != b.Domain || len(a.Services) != len(b.Services) {
		return false
	}
	for i := range a.Services {
		if a.Services[i] != b.Services[i] {
			return false
		}
	}
	return true
}

// Forget drops an agent incarnation that was evicted or has left. It doesn't
// come back: a restarted agent has another ID.
func (v *View) Forget(now time.Time, id state.NodeID) {
	s := v.shard(id)
	s.mu.Lock()
	delete(s.loads, id)
	s.gone[id] = now
	s.mu.Unlock()
	v.index.invalidate()
}

// Prune drops loads past their time to live. Call it now and then.
func (v *View) Prune(now time.Time) {
	dropped := false
	for i := range v.shards {
		s := &v.shards[i]
		s.mu.Lock()
		for id, e := range s.loads {
			if now.Sub(e.said) > v.o.TTL {
				delete(s.loads, id)
				dropped = true
			}
		}
		for id, at := range s.gone {
			// News of a forgotten agent is refused by its age after this.
			if now.Sub(at) > 2*v.o.TTL {
				delete(s.gone, id)
			}
		}
		s.mu.Unlock()
	}
	if dropped {
		v.index.invalidate()
	}
}

// Load returns the newest load of one agent.
func (v *View) Load(id state.NodeID) (state.AgentLoad, bool) {
	s := v.shard(id)
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.loads[id]
	return e.load, ok
}

// All returns every load with its age, in no particular order.
func (v *View) All(now time.Time) []Aged {
	var out []Aged
	for i := range v.shards {
		s := &v.shards[i]
		s.mu.RLock()
		for _, e := range s.loads {
			out = append(out, Aged{e.load, max(0, now.Sub(e.said))})
		}
		s.mu.RUnlock()
	}
	return out
}
