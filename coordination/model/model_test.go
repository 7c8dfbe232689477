package model

import (
	"flag"
	"testing"
)

var (
	seeds     = flag.Int("model.seeds", 60, "how many worlds TestWorlds plays")
	firstSeed = flag.Uint64("model.seed", 1, "the first world's seed")
	rare      = flag.Bool("model.rare", false, "take the safeguards out that only rare worlds need")
	tries     = flag.Int("model.tries", 400, "how many worlds a mutant has to be caught in")
)

// racedSeeds is how many worlds are played with the race detector.
const racedSeeds = 5

// Owners die, freeze and go on without knowing that they were replaced; agents
// restart and freeze; executors crash, take calls late and lose answers; links
// are cut; the store rejects writes and loses answers; clocks differ; tasks crash
// the executors that start them, capacities shrink, and failure domains are drained.
// Whatever happens: no task runs twice at a time or after its acknowledged end, nothing
// accepted is lost, no shown end changes, nothing refused runs, no executor gets more than
// fits, nothing starts in a drained domain, and no task is started on and on that takes
// executors down.
func TestWorlds(t *testing.T) {
	steps, worlds := 0, *seeds
	if raced {
		worlds = min(worlds, racedSeeds)
	}
	for seed := *firstSeed; seed < *firstSeed+uint64(worlds); seed++ {
		w := newWorld(seed, whole)
		w.run()
		steps += w.steps
		for _, f := range w.faults {
			t.Errorf("seed %d: %s", seed, f)
		}
	}
	t.Logf("%d worlds, %d steps", worlds, steps)
}

// mutants are those that some tens of worlds catch.
var mutants = []mutant{
	noStoreFence, claimsWithoutRuns, agentsNotNamed, agentsNotWritten, noTakeoverWait, noWaitOut,
	acceptedUnwritten, settledUnwritten, anyOrder, voidAcked, lossesUntold, capacityKept,
	drainsIgnored, drainsNotLooked, drainsGoBack,
}

// rareMutants need several faults within milliseconds, or clocks that differ for
// long: hundreds or thousands of worlds. They are played by hand.
var rareMutants = []mutant{
	noOwnerSilence, noCallFence, noDeadline, wildClocks, noRenewLimit, claimsUnconfirmed, waitsUnconfirmed, repeatsStart,
}

// Each safeguard is taken out in turn. A model that doesn't notice would prove
// nothing of it.
func TestEachSafeguardIsNeeded(t *testing.T) {
	if raced {
		t.Skip("runs without the race detector, see .ci/run")
	}
	list := mutants
	if *rare {
		list = rareMutants
	}
	for _, m := range list {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			for seed := *firstSeed; seed < *firstSeed+uint64(*tries); seed++ {
				w := newWorld(seed, m)
				w.run()
				if len(w.faults) > 0 {
					t.Logf("seed %d: %s", seed, w.faults[0])
					return
				}
			}
			t.Errorf("not caught in %d worlds", *tries)
		})
	}
}
