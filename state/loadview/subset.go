package loadview

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotstep/shallotstep/state"
)

// serviceIndex remembers each service's subset until an agent comes, goes or
// changes its services.
type serviceIndex struct {
	mu   sync.Mutex
	gen  uint64                    // guarded by mu
	sets map[string][]state.NodeID // guarded by mu
}

func (x *serviceIndex) invalidate() {
	x.mu.Lock()
	x.gen++
	clear(x.sets)
	x.mu.Unlock()
}

// Candidates returns the loads of the agents that this node places a service's
// tasks on: all of them up to the subset size, otherwise a subset that differs
// from node to node and changes little when agents come and go.
func (v *View) Candidates(service string) []state.AgentLoad {
	x := &v.index
	x.mu.Lock()
	ids, known := x.sets[service]
	gen := x.gen
	x.mu.Unlock()
	if !known {
		ids = v.subset(service)
		x.mu.Lock()
		if x.gen == gen {
			x.sets[service] = ids
		}
		x.mu.Unlock()
	}
	out := make([]state.AgentLoad, 0, len(ids))
	for _, id := range ids {
		if l, ok := v.Load(id); ok {
			out = append(out, l)
		}
	}
	return out
}

func (v *View) subset(service string) []state.NodeID {
	serving := v.serving(service, func(state.AgentLoad) bool { return true })
	chosen := Subset(v.o.Self, serving, v.o.Subset)
	ids := make([]state.NodeID, len(chosen))
	for i := range chosen {
		ids[i] = chosen[i].ID
	}
	return ids
}

// CandidatesFor returns up to a subset of the agents whose worker is large
// enough for the task. It looks at every known agent, so that a task that needs
// a rare worker isn't called never runnable because the subset has none.
func (v *View) CandidatesFor(service string, t *state.Task) []state.AgentLoad {
	fitting := v.serving(service, func(l state.AgentLoad) bool { return l.Fits(t) })
	return Subset(v.o.Self, fitting, v.o.Subset)
}

func (v *View) serving(service string, keep func(state.AgentLoad) bool) []state.AgentLoad {
	var out []state.AgentLoad
	for i := range v.shards {
		s := &v.shards[i]
		s.mu.RLock()
		for _, e := range s.loads {
			if slices.Contains(e.load.Services, service) && keep(e.load) {
				out = append(out, e.load)
			}
		}
		s.mu.RUnlock()
	}
	return out
}

// Subset returns k of the loads, or all of them if there are no more. It takes
// failure domains in turn, so that losing one domain leaves the rest of the
// subset, and orders agents within a domain by rendezvous hash with self, so
// that the subsets of many nodes spread evenly over the agents. Agents of
// self's own region go first.
func Subset(self state.Member, loads []state.AgentLoad, k int) []state.AgentLoad {
	byDomain := make(map[[2]string][]ranked)
	for _, l := range loads {
		d := [2]string{l.Region, l.Domain}
		byDomain[d] = append(byDomain[d], ranked{load: l, score: score(self.ID, l.ID)})
	}
	var all []ranked
	for _, domain := range byDomain {
		slices.SortFunc(domain, compareScore)
		for i := range domain {
			domain[i].turn = i
		}
		all = append(all, domain...)
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a, b := a.load.Region == self.Region, b.load.Region == self.Region; a != b {
			if a {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.turn, b.turn), compareScore(a, b))
	})
	if len(all) > k {
		all = all[:k]
	}
	out := make([]state.AgentLoad, len(all))
	for i := range all {
		out[i] = all[i].load
	}
	return out
}

type ranked struct {
	load  state.AgentLoad
	score uint64
	turn  int
}

func compareScore(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.load.ID, b.load.ID))
}

func score(self, agent state.NodeID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(self))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(agent))
	return d.Sum64()
}
