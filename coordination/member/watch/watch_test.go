package watch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

func fleet(n, domains int) []state.Member {
	out := make([]state.Member, n)
	for i := range out {
		out[i] = state.Member{
			ID:     state.NodeID(fmt.Sprintf("agent-%d", i)),
			Domain: fmt.Sprintf("d%d", i%domains),
			Rack:   fmt.Sprintf("r%d", i%3),
		}
	}
	return out
}

// A failure domain is lost with everything in it. Had a member all its watchers
// there, nobody would be left to evict it and its shares would stay closed.
func TestHalfTheWatchersStandInOtherDomains(t *testing.T) {
	is := is.New(t)
	members := fleet(200, 2)
	for _, m := range members {
		outside := 0
		watchers := Watchers(m, members, Count)
		is.Equal(len(watchers), Count)
		for _, w := range watchers {
			is.True(w.ID != m.ID)
			if w.Domain != m.Domain {
				outside++
			}
		}
		is.Equal(outside, Count/2)
	}
}

// One member leaves: the lists it stood in get one new name each and all other
// lists stay, so that the fleet doesn't reconnect at each replacement.
func TestOneDepartureChangesFewLists(t *testing.T) {
	is := is.New(t)
	members := fleet(200, 2)
	gone := members[17]
	rest := append(append([]state.Member{}, members[:17]...), members[18:]...)
	for _, m := range rest {
		before := idSet(Watchers(m, members, Count))
		after := idSet(Watchers(m, rest, Count))
		changed := 0
		for id := range before {
			if !after[id] {
				is.Equal(id, gone.ID)
				changed++
			}
		}
		is.True(changed <= 1)
	}
}

func TestGroupingFallsBackToRacksAndMembers(t *testing.T) {
	is := is.New(t)
	is.Equal(GroupingOf(fleet(6, 2)), byDomain)
	is.Equal(GroupingOf(fleet(6, 1)), byRack)
	is.Equal(GroupingOf(fleet(1, 1)), byMember)
	is.Equal(len(Watchers(fleet(1, 1)[0], fleet(1, 1), Count)), 0)
}

func idSet(members []state.Member) map[state.NodeID]bool {
	out := make(map[state.NodeID]bool, len(members))
	for _, m := range members {
		out[m.ID] = true
	}
	return out
}

// Who watches and who is watched are computed in two ways, one for sending and
// one for judging. If they differed, an agent would send to nodes that don't
// judge it and be evicted by nodes that it doesn't send to.
func TestWatchedByAgreesWithWatchers(t *testing.T) {
	is := is.New(t)
	for _, members := range [][]state.Member{fleet(60, 2), fleet(40, 3), fleet(9, 1), fleet(2, 2), fleet(20, 19)} {
		want := make(map[state.NodeID]map[state.NodeID]int)
		for _, m := range members {
			for rank, w := range Watchers(m, members, Count) {
				if want[w.ID] == nil {
					want[w.ID] = make(map[state.NodeID]int)
				}
				want[w.ID][m.ID] = rank
			}
		}
		for _, o := range members {
			got := make(map[state.NodeID]int)
			for _, w := range WatchedBy(o, members, Count) {
				got[w.ID] = w.Rank
			}
			is.Equal(len(got), len(want[o.ID]))
			for id, rank := range want[o.ID] {
				is.Equal(got[id], rank)
			}
		}
	}
}

func BenchmarkWatchedBy(b *testing.B) {
	members := fleet(495, 2)
	for b.Loop() {
		WatchedBy(members[0], members, Count)
	}
}
