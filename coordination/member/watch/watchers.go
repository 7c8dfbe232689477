package watch

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotstep/shallotstep/state"
)

// Count is how many watchers a member has. Sixteen keep the graph of watchers
// connected when members are drawn at random, and the chance that all of them
// die at once is that of their failure domains.
const Count = 16

// Watchers returns up to n members that watch a member: they hear it directly
// and, if it falls silent, evict it, the first of them first. They are the
// first by rendezvous hash, so that a member that comes or goes changes few
// lists. Every other one stands in another failure group than the member, as
// long as there are any: the loss of a group must leave watchers. The members
// must all be of one region.
func Watchers(of state.Member, members []state.Member, n int) []state.Member {
	g := GroupingOf(members)
	home := g.Group(&of)
	ranked := Rank(string(of.ID), members)
	var outside, inside []state.Member
	for _, m := range ranked {
		switch {
		case m.ID == of.ID:
		case g.Group(&m) == home:
			inside = append(inside, m)
		default:
			outside = append(outside, m)
		}
	}
	return interleave(outside, inside, n)
}

// interleave takes turns between two lists until it has n or both are used up.
func interleave(a, b []state.Member, n int) []state.Member {
	out := make([]state.Member, 0, n)
	for len(out) < n && len(a)+len(b) > 0 {
		if len(a) > 0 {
			out = append(out, a[0])
			a = a[1:]
		}
		if len(b) > 0 && len(out) < n {
			out = append(out, b[0])
			b = b[1:]
		}
	}
	return out
}

// Rank orders the members by rendezvous hash for a key.
func Rank(key string, members []state.Member) []state.Member {
	type weighted struct {
		weight uint64
		index  int
	}
	seed := xxhash.Sum64String(key)
	order := make([]weighted, len(members))
	for i := range members {
		order[i] = weighted{mix(seed, xxhash.Sum64String(string(members[i].ID))), i}
	}
	slices.SortFunc(order, func(a, b weighted) int {
		if a.weight != b.weight {
			return cmp.Compare(a.weight, b.weight)
		}
		return cmp.Compare(members[a.index].ID, members[b.index].ID)
	})
	out := make([]state.Member, len(members))
	for i, w := range order {
		out[i] = members[w.index]
	}
	return out
}

// mix combines two hashes so that the order for one key tells nothing of the
// order for another.
func mix(a, b uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	hi, lo := bits.Mul64(a^odd, b|1)
	hi2, lo2 := bits.Mul64(hi^lo^b, odd)
	return hi2 ^ lo2
}
