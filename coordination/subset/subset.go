// Package subset chooses the agents that a process keeps links to. Links to all agents would
// cost memory, frames and processor time, and would make placement worse: many placers with the
// same stale view of the load each pick the same agent.
//
// The choice is rendezvous hashing (highest random weight), a pure function of the agents and
// of the hash buckets that the process holds. Each bucket is held by one process at a time, and
// each agent ranks the buckets in its own pseudorandom order. Because the buckets are
// distributed evenly, the processes that link an agent are spread more evenly than by
// independent random choices, and a change of the agents or buckets moves only the links
// concerned.
package subset

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Agent holds the properties of an agent that the choice depends on.
type Agent struct {
	Name string
	// Domain is the failure domain of its host.
	Domain string
}

// Share is the subset of the hash buckets 0 to Total-1 that a process holds.
type Share struct {
	Buckets []int
	Total   int
}

// NumBuckets is the default number of hash buckets. It exceeds the number of processes that choose
// agents, so that each holds at least one, and is small enough that ranking an agent takes only
// some microseconds.
const NumBuckets = 256

// FallbackShare returns the share of a process that holds no bucket yet: one bucket, chosen by
// the hash of its name. Two processes may choose the same bucket, so that some agents get fewer
// links than others. The links are uneven then, but still correct.
func FallbackShare(name string) Share {
	return Share{Buckets: []int{int(hash(name) % NumBuckets)}, Total: NumBuckets}
}

// Order returns the names of the agents in the order in which a process with this share prefers
// them. Any prefix contains each failure domain in proportion to its size, to within one agent,
// so that the loss of a domain takes the same part of each subset.
func Order(agents []Agent, share Share) []string {
	byDomain := make(map[string][]ranked)
	for _, a := range agents {
		byDomain[a.Domain] = append(byDomain[a.Domain], rank(a, share))
	}
	all := make([]ranked, 0, len(agents))
	for _, group := range byDomain {
		slices.SortFunc(group, compareRanks)
		for i := range group {
			group[i].quantile = (float64(i) + 0.5) / float64(len(group))
		}
		all = append(all, group...)
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.quantile != b.quantile {
			return cmp.Compare(a.quantile, b.quantile)
		}
		return compareRanks(a, b)
	})
	out := make([]string, len(all))
	for i := range all {
		out[i] = all[i].name
	}
	return out
}

// ranked is an agent with its preference for the process.
type ranked struct {
	name string
	// rank is the number of buckets that the agent prefers to the best one of the process.
	rank int
	// tieBreak orders agents of equal rank, differently for each bucket.
	tieBreak uint64
	// quantile is the agent's relative position in its failure domain, between 0 and 1.
	quantile float64
}

func compareRanks(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.tieBreak, a.tieBreak), cmp.Compare(a.name, b.name))
}

func rank(a Agent, share Share) ranked {
	seed := hash(a.Name)
	var best uint64
	for _, n := range share.Buckets {
		best = max(best, weight(seed, n))
	}
	r := ranked{name: a.Name, tieBreak: best}
	for n := range share.Total {
		if weight(seed, n) > best {
			r.rank++
		}
	}
	return r
}

// weight returns how strongly an agent prefers a bucket, its rendezvous hash.
func weight(seed uint64, bucket int) uint64 { return mix(seed ^ mix(uint64(bucket)+1)) }

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s)) //nolint:errcheck // it never fails
	return mix(h.Sum64())
}

// mix is the SplitMix64 finalizer: a change of one input bit changes about half of the output
// bits.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
