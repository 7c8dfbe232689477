// Package subset chooses which agents a process keeps links to. A process that links
// all of them pays for each with memory, frames and processor time, and decides worse:
// of many deciders with the same stale picture each picks the same agent.
//
// The choice is a pure function of the agents and of the numbers that the process
// holds. Numbers are dealt so that each is with one process at a time, and each agent
// prefers them in an order of its own. So the processes that link one agent are spread
// like a deck that was dealt, not like lots that were drawn, and a change of the agents
// or of the numbers moves only the links that it concerns.
package subset

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Agent is what the choice depends on.
type Agent struct {
	Name string
	// Domain is the failure domain of its host.
	Domain string
}

// Share is the part of the numbers from 0 to Of-1 that a process holds.
type Share struct {
	Numbers []int
	Of      int
}

// Numbers is how many numbers are enough: some more than there are processes that
// choose, so that each holds one, and few enough that ranking an agent costs some
// microseconds.
const Numbers = 256

// Guess is the share of a process that was dealt none: one number, drawn by its name.
// Two processes may draw the same one, and an agent may be liked by few. That is
// uneven and never wrong.
func Guess(name string) Share {
	return Share{Numbers: []int{int(hash(name) % Numbers)}, Of: Numbers}
}

// Order returns the names of the agents as a process with this share prefers them. Of
// each failure domain any number of the first ones has its proportional part, to within
// one, so that a lost domain takes the same part of each subset.
func Order(agents []Agent, share Share) []string {
	byDomain := make(map[string][]ranked)
	for _, a := range agents {
		byDomain[a.Domain] = append(byDomain[a.Domain], rank(a, share))
	}
	all := make([]ranked, 0, len(agents))
	for _, of := range byDomain {
		slices.SortFunc(of, compareRanks)
		for i := range of {
			of[i].place = (float64(i) + 0.5) / float64(len(of))
		}
		all = append(all, of...)
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.place != b.place {
			return cmp.Compare(a.place, b.place)
		}
		return compareRanks(a, b)
	})
	out := make([]string, len(all))
	for i := range all {
		out[i] = all[i].name
	}
	return out
}

// ranked is an agent with how much it prefers a process.
type ranked struct {
	name string
	// rank counts the numbers that the agent prefers to the best of the process's.
	rank int
	// tie decides between equal ranks, differently for each number.
	tie uint64
	// place is where it stands in its failure domain, from 0 to 1.
	place float64
}

func compareRanks(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.tie, a.tie), cmp.Compare(a.name, b.name))
}

func rank(a Agent, share Share) ranked {
	seed := hash(a.Name)
	var best uint64
	for _, n := range share.Numbers {
		best = max(best, weight(seed, n))
	}
	r := ranked{name: a.Name, tie: best}
	for n := range share.Of {
		if weight(seed, n) > best {
			r.rank++
		}
	}
	return r
}

// weight is how much an agent prefers a number: highest random weight.
func weight(seed uint64, number int) uint64 { return mix(seed ^ mix(uint64(number)+1)) }

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s)) //nolint:errcheck // it never fails
	return mix(h.Sum64())
}

// mix is the finalizer of SplitMix64: each bit of the input changes half of the output.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
