package load

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/coordination/owner"
)

// TestAblation prints a table of the served value with each mechanism switched off:
//
//	go test ./coordination/load -run TestAblation -v -load.ablation

var ablation = flag.Bool("load.ablation", false, "run each scenario with each mechanism off in turn, and print the share of the value served")

// mechanisms are switched off one at a time.
var mechanisms = []variant{
	{"all on", func(*owner.Params) {}},
	{"late jobs accepted", func(p *owner.Params) { p.LateFactor = 0 }},
	{"late binding", func(p *owner.Params) { p.MaxPlacementWait = 0 }},
	{"priorities", func(p *owner.Params) { p.PriorityFactor = 1 }},
	{"objective share", func(p *owner.Params) { p.ObjectiveShare = 1 }},
	{"order overlap", func(p *owner.Params) { p.OrderOverlap = 0 }},
	{"stale loads avoided", func(p *owner.Params) { p.StaleLoadAge = time.Hour }},
	{"reserve for late jobs", func(p *owner.Params) { p.LateReserve = 0 }},
	{"learned run times", func(p *owner.Params) { p.RunTimeWeight = 0 }},
	{"startup grace", func(p *owner.Params) { p.StartupGrace = 0 }},
}

// alternatives are other values of the parameters that matter most. The first one has the values in
// use.
var alternatives = []variant{
	{"default", func(*owner.Params) {}},
	{"objective share .65", func(p *owner.Params) { p.ObjectiveShare = 0.65 }},
	{"objective share .85", func(p *owner.Params) { p.ObjectiveShare = 0.85 }},
	{"priority factor .9", func(p *owner.Params) { p.PriorityFactor = 0.9 }},
	{"priority factor 1", func(p *owner.Params) { p.PriorityFactor = 1 }},
	{"late jobs refused", func(p *owner.Params) { p.LateFactor = 0 }},
	{"clients' estimates", func(p *owner.Params) { p.RunTimeWeight = 0 }},
	{"pooled wait factor 1.4", func(p *owner.Params) { p.PooledWaitFactor = 1.4 }},
	{"placement wait 12 ms", func(p *owner.Params) { p.MaxPlacementWait = 12 * time.Millisecond }},
	{"placement wait 50 ms", func(p *owner.Params) { p.MaxPlacementWait = 50 * time.Millisecond }},
}

// scenarios are the loads and faults of the tables.
var scenarios = []struct {
	name string
	setup
	mix   []class
	share float64
	fault func(*world)
}{
	{"small .75", small, grownMix, 0.75, nil},
	{"small .9", small, grownMix, 0.9, nil},
	{"small 1.15", small, grownMix, 1.15, nil},
	{"large .9", large, grownMix, 0.9, nil},
	{"large 1.15", large, grownMix, 1.15, nil},
	{"shifted .9", large, shiftedMix, 0.9, nil},
	{"shifted 1.15", large, shiftedMix, 1.15, nil},
	{"wide .9", small, wideMix, 0.9, nil},
	{"wide 1.15", small, wideMix, 1.15, nil},
	{"burst", small, wideMix, 0.7, func(w *world) { w.burst(1.8, 2*time.Second) }},
	{"slow", small, wideMix, 0.7, func(w *world) { w.slow(2, 6) }},
	{"hang", small, wideMix, 0.7, func(w *world) { w.hang(2) }},
	{"crash", small, wideMix, 0.7, func(w *world) { w.crash(2) }},
	{"stale", small, wideMix, 0.8, func(w *world) { w.delayUpdates(3) }},
	{"restart", small, wideMix, 0.7, (*world).restart},
}

func TestAblation(t *testing.T) {
	if !*ablation {
		t.Skip("prints a table with -load.ablation")
	}
	printTable(mechanisms)
}

// TestWays prints the same table for other values of the parameters:
//
//	go test ./coordination/load -run TestWays -v -load.ways

var alternativesTable = flag.Bool("load.ways", false, "run each scenario with each alternative value of a parameter, and print the share of the value served")

func TestWays(t *testing.T) {
	if !*alternativesTable {
		t.Skip("prints a table with -load.ways")
	}
	printTable(alternatives)
}

// variant is a change of the parameters in use.
type variant struct {
	name  string
	apply func(*owner.Params)
}

func printTable(variants []variant) {
	table := make([][]string, len(variants))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, 4)
	for i, m := range variants {
		table[i] = make([]string, len(scenarios))
		for k, d := range scenarios {
			wg.Add(1)
			go func() {
				defer wg.Done()
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				s := d.setup
				m.apply(&s.params)
				table[i][k] = tableCell(s, d.mix, d.share, d.fault)
			}()
		}
	}
	wg.Wait()
	names := []string{"off"}
	for _, d := range scenarios {
		names = append(names, d.name)
	}
	fmt.Println("| " + strings.Join(names, " | ") + " |")
	fmt.Println("|" + strings.Repeat(" --- |", len(names)))
	for i, m := range variants {
		fmt.Println("| " + m.name + " | " + strings.Join(table[i], " | ") + " |")
	}
}

// tableCell returns the mean share of the value served over the seeds, half the difference between
// the best and the worst seed, and the share of the jobs that were not served at all.
func tableCell(s setup, mix []class, share float64, fault func(*world)) string {
	var served []float64
	var submitted, lost int
	for s.seed = range ablationSeeds {
		w := newWorld(s)
		w.runUntil(w.now + time.Second)
		if fault != nil {
			w.after(time.Second, func() { fault(w) })
		}
		w.run(mix, share, 4*time.Second)
		w.runUntil(w.now + 4*time.Second)
		served = append(served, w.servedValue(mix))
		for _, t := range w.tallies {
			submitted += t.submitted
			lost += t.refused + t.tooLate
		}
	}
	var sum float64
	for _, v := range served {
		sum += v
	}
	return fmt.Sprintf("%.3f ± %.3f, %.1f %%", sum/float64(len(served)), (slices.Max(served)-slices.Min(served))/2, 100*float64(lost)/float64(submitted))
}

const ablationSeeds = 4
