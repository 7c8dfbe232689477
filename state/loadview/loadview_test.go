package loadview

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

func load(i int, seq uint64, domains int) state.AgentLoad {
	return state.AgentLoad{
		ID: state.NodeID(fmt.Sprintf("a%03d", i)), Seq: seq, Region: "r", Domain: fmt.Sprint("d", i%domains),
		Services: []string{"s"}, Slots: 8, Free: int(seq),
	}
}

// News of an agent arrives late, repeated and out of order, and again after
// the agent was evicted. Only newer news counts, and the evicted one stays away.
func TestOldNewsChangesNothing(t *testing.T) {
	is := is.New(t)
	v := New(Options{})
	now := time.Unix(1000, 0)
	is.True(v.Merge(now, load(1, 5, 1), 0))
	is.True(!v.Merge(now, load(1, 4, 1), 0))
	is.True(!v.Merge(now, load(1, 5, 1), 0))
	is.True(!v.Merge(now, load(2, 9, 1), time.Hour))
	is.Equal(v.Candidates("s")[0].Free, 5)
	v.Forget(now, "a001")
	is.True(!v.Merge(now, load(1, 6, 1), 0))
	is.Equal(len(v.Candidates("s")), 0)
}

func TestSilentAgentsAreForgotten(t *testing.T) {
	is := is.New(t)
	v := New(Options{})
	now := time.Unix(1000, 0)
	v.Merge(now, load(1, 1, 1), 0)
	v.Merge(now.Add(DefaultTTL), load(2, 1, 1), 0)
	v.Prune(now.Add(DefaultTTL + time.Second))
	is.Equal(len(v.Candidates("s")), 1)
}

// 990 agents in four domains: every node's subset is spread over the domains,
// each agent is in about as many subsets as any other, and one agent's going
// changes at most one place of a subset.
func TestSubsetsAreEvenAndStable(t *testing.T) {
	is := is.New(t)
	const agents, k, domains = 990, 32, 4
	var loads []state.AgentLoad
	for i := range agents {
		loads = append(loads, load(i, 1, domains))
	}
	count := map[state.NodeID]int{}
	for i := range agents {
		self := state.Member{ID: loads[i].ID, Region: "r"}
		perDomain := map[string]int{}
		set := Subset(self, loads, k)
		for _, l := range set {
			count[l.ID]++
			perDomain[l.Domain]++
		}
		for _, n := range perDomain {
			is.Equal(n, k/domains)
		}
		if i > 20 {
			continue
		}
		kept := 0
		fewer := Subset(self, loads[1:], k)
		for _, a := range set {
			for _, b := range fewer {
				if a.ID == b.ID {
					kept++
				}
			}
		}
		is.True(kept >= k-1)
	}
	for _, n := range count {
		is.True(n > 8 && n < 64)
	}
}

func TestRareWorkerIsFoundBeyondTheSubset(t *testing.T) {
	is := is.New(t)
	v := New(Options{Self: state.Member{ID: "me"}, Subset: 4})
	now := time.Unix(1000, 0)
	for i := range 100 {
		l := load(i, 1, 4)
		if i == 77 {
			l.Accelerators = 8
		}
		v.Merge(now, l, 0)
	}
	is.Equal(len(v.Candidates("s")), 4)
	rare := v.CandidatesFor("s", &state.Task{Accelerators: 8})
	is.Equal(len(rare), 1)
}
