package load

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/owner"
)

// TestSizes prints a table of the outcomes by the size of the fleet and of the entries' subsets:
//
//	go test ./coordination/load -run TestSizes -v -load.sizes

var sizes = flag.Bool("load.sizes", false, "run the mix of a large site with many sizes of the fleet and of the subsets, and print the outcomes")

// linksPerEntry is the value of "links" in deploy/settings.jsonc.
const linksPerEntry = 32

// fleet returns a setup of the given size with default parameters.
func fleet(entries, agents, links int) setup {
	return setup{entries: entries, agents: agents, loadIntervalPerPlacer: loadIntervalPerPlacer, params: owner.DefaultParams(), links: links}
}

// outcomeShares has the share of the value that was served, and the outcomes as shares of all jobs.
type outcomeShares struct {
	served, inTime, late, refused, tooLate float64
}

// runShares runs a mix at a share of the agents' capacity, runs times with different seeds.
func (s setup) runShares(mix []class, share float64, runs int) outcomeShares {
	worlds := make([]*world, runs)
	var wg sync.WaitGroup
	for seed := range worlds {
		s.seed = uint64(seed)
		w := newWorld(s)
		worlds[seed] = w
		wg.Go(func() {
			w.runUntil(w.now + time.Second)
			w.run(mix, share, 3*time.Second)
			w.runUntil(w.now + 4*time.Second)
		})
	}
	wg.Wait()
	var sum tally
	var out outcomeShares
	for _, w := range worlds {
		out.served += w.servedValue(mix) / float64(runs)
		for _, t := range w.tallies {
			sum = sum.plus(t)
		}
	}
	submitted := float64(sum.submitted)
	out.inTime, out.late = float64(sum.inTime)/submitted, float64(sum.late)/submitted
	out.refused, out.tooLate = float64(sum.refused)/submitted, float64(sum.tooLate)/submitted
	return out
}

func (p outcomeShares) String() string {
	return fmt.Sprintf("%.3f | %.3f | %.3f | %.3f | %.3f", p.served, p.inTime, p.late, p.refused, p.tooLate)
}

func TestSizes(t *testing.T) {
	if !*sizes {
		t.Skip("prints a table with -load.sizes")
	}
	rows := []struct {
		share float64
		setup
	}{
		{.9, fleet(5, 160, 0)}, {.9, fleet(35, 160, 0)},
		{.9, fleet(35, 160, 64)}, {.9, fleet(35, 160, 40)}, {.9, fleet(35, 160, 32)}, {.9, fleet(35, 160, 24)}, {.9, fleet(35, 160, 16)},
		{.69, fleet(35, 160, 0)}, {.69, fleet(35, 160, 32)},
		{1.1, fleet(5, 160, 0)}, {1.1, fleet(35, 160, 0)}, {1.1, fleet(35, 160, 32)},
		{.9, fleet(13, 70, 0)}, {.9, fleet(13, 70, 32)},
		{.9, fleet(8, 51, 0)}, {.9, fleet(8, 51, 32)},
		{.9, fleet(216, 992, 32)},
	}
	fallback := fleet(35, 160, 32)
	fallback.fallbackBuckets = true
	rows = append(rows, struct {
		share float64
		setup
	}{.9, fallback})
	out := make([]outcomeShares, len(rows))
	semaphore := make(chan struct{}, 3)
	var wg sync.WaitGroup
	for i, r := range rows {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			out[i] = r.runShares(largeSiteMix, r.share, 2)
		})
	}
	wg.Wait()
	fmt.Println("| load | entries x agents | links of each entry | served | in time | late | refused | too late |")
	for i, r := range rows {
		how := ""
		if r.fallbackBuckets {
			how = ", fallback buckets"
		}
		fmt.Printf("| %.2f | %d x %d | %d%s | %v |\n", r.share, r.entries, r.agents, r.linksOrAll(), how, out[i])
	}
}

// TestShareInTimeDoesNotFallWithSize guards against many entries that count on the same free
// capacity. If 35 entries each link all agents, a third of the jobs are late at 90 % load; with
// five entries it is one in thirty. With links to a subset of the agents, the share in time has to
// be that of five entries at any size.
func TestShareInTimeDoesNotFallWithSize(t *testing.T) {
	is := is.New(t)
	few := fleet(5, 51, linksPerEntry).runShares(largeSiteMix, .9, sizeSeeds)
	for _, s := range []setup{fleet(13, 70, linksPerEntry), fleet(35, 160, linksPerEntry)} {
		got := s.runShares(largeSiteMix, .9, sizeSeeds)
		t.Logf("%d x %d: %v; 5 entries: %v", s.entries, s.agents, got, few)
		is.True(!checkBounds || got.inTime > few.inTime-0.03)
	}
}
