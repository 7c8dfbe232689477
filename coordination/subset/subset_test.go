package subset

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"
)

const size = 32

func agents(n, domains int) []Agent {
	out := make([]Agent, n)
	for i := range out {
		out[i] = Agent{Name: fmt.Sprintf("side-%d", i), Domain: fmt.Sprintf("zone-%d", i%domains)}
	}
	return out
}

// evenShares distributes the buckets evenly, as the store's groups do.
func evenShares(processes int) []Share {
	out := make([]Share, processes)
	for n := range NumBuckets {
		out[n%processes].Buckets = append(out[n%processes].Buckets, n)
	}
	for i := range out {
		out[i].Total = NumBuckets
	}
	return out
}

func fallbackShares(processes int) []Share {
	out := make([]Share, processes)
	for i := range out {
		out[i] = FallbackShare(fmt.Sprintf("entry-%d", i))
	}
	return out
}

func choose(all []Agent, s Share) []string {
	order := Order(all, s)
	return order[:min(size, len(order))]
}

// linkCounts counts the processes that link each agent.
func linkCounts(all []Agent, shares []Share) map[string]int {
	out := make(map[string]int)
	for _, s := range shares {
		for _, name := range choose(all, s) {
			out[name]++
		}
	}
	return out
}

func spread(all []Agent, links map[string]int) (least, most int, deviation float64) {
	least = math.MaxInt
	var sum, squares float64
	for _, a := range all {
		d := links[a.Name]
		least, most = min(least, d), max(most, d)
		sum += float64(d)
		squares += float64(d * d)
	}
	mean := sum / float64(len(all))
	return least, most, math.Sqrt(squares/float64(len(all)) - mean*mean)
}

var fleets = []struct{ processes, agents, domains int }{
	{3, 11, 3}, {4, 11, 4}, {8, 51, 4}, {13, 70, 3}, {35, 160, 5}, {216, 992, 4},
}

// An agent that is in no entry's subset is idle while others are full, and nothing reports it.
// Evenly distributed buckets leave no agent out at any fleet size.
func TestEachAgentIsLinked(t *testing.T) {
	is := is.New(t)
	for _, f := range fleets {
		all := agents(f.agents, f.domains)
		least, most, dev := spread(all, linkCounts(all, evenShares(f.processes)))
		fallbackLeast, fallbackMost, fallbackDev := spread(all, linkCounts(all, fallbackShares(f.processes)))
		t.Logf("%d entries, %d agents: links per agent %d to %d (deviation %.2f), with fallback shares %d to %d (%.2f)", f.processes, f.agents, least, most, dev, fallbackLeast, fallbackMost, fallbackDev)
		is.True(least >= min(f.processes, 2))
		is.True(dev <= fallbackDev)
	}
}

// A fleet that is smaller than a subset is linked completely.
func TestSmallFleetIsLinkedCompletely(t *testing.T) {
	is := is.New(t)
	is.Equal(len(choose(agents(11, 3), evenShares(3)[0])), 11)
}

// When a failure domain is lost, every process keeps the same part of its subset.
func TestSubsetsHoldDomainsInProportion(t *testing.T) {
	is := is.New(t)
	all := agents(160, 5)
	for _, s := range slices.Concat(evenShares(35), fallbackShares(35)) {
		count := make(map[string]int)
		for _, name := range choose(all, s) {
			i := slices.IndexFunc(all, func(a Agent) bool { return a.Name == name })
			count[all[i].Domain]++
		}
		for _, n := range count {
			is.True(n == 6 || n == 7)
		}
	}
}

// moved counts the links in after that are not in before.
func moved(before, after []string) int {
	n := 0
	for _, name := range after {
		if !slices.Contains(before, name) {
			n++
		}
	}
	return n
}

// An agent is removed, part of a failure domain is lost, and a process leaves so that its
// buckets go to others. Few of the remaining links may move: each moved link costs a new
// connection and starts without a known load.
func TestChangesMoveFewLinks(t *testing.T) {
	is := is.New(t)
	all := agents(160, 5)
	shares := evenShares(35)
	count := func(after []Agent, with []Share) float64 {
		n := 0
		for i, s := range with {
			n += moved(choose(all, shares[i]), choose(after, s))
		}
		return float64(n) / float64(len(with)*size)
	}
	one := count(slices.Delete(slices.Clone(all), 7, 8), shares)
	rack := count(slices.DeleteFunc(slices.Clone(all), func(a Agent) bool {
		return a.Domain == "zone-1" && len(a.Name) == len("side-111")
	}), shares)
	gone := slices.Clone(shares[:34])
	for i, n := range shares[34].Buckets {
		gone[i] = Share{Buckets: append(slices.Clone(gone[i].Buckets), n), Total: NumBuckets}
	}
	process := count(all, gone)
	t.Logf("fraction of links moved: one agent of 160 removed %.3f, 12 of a domain of 32 removed %.3f, one process of 35 removed %.3f", one, rack, process)
	is.True(one < 0.02)
	is.True(rack < 0.15)
	is.True(process < 0.06)
}

// For random fleets and shares, the order names each agent once and does not depend on the
// order in which the agents became known.
func TestOrderIsAPureFunction(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		all := agents(1+random.IntN(60), 1+random.IntN(5))
		share := evenShares(1 + random.IntN(40))[0]
		order := Order(all, share)
		is.Equal(len(order), len(all))
		random.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
		is.Equal(Order(all, share), order)
		slices.Sort(order)
		is.Equal(len(slices.Compact(order)), len(all))
	}
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{11, 160, 992} {
		all := agents(n, 4)
		share := evenShares(35)[3]
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				Order(all, share)
			}
		})
	}
}
