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
const raceDetectorWorlds = 5

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
	if raceDetector {
		worlds = min(worlds, raceDetectorWorlds)
	}
	for seed := *firstSeed; seed < *firstSeed+uint64(worlds); seed++ {
		w := newWorld(seed, unmutated)
		w.run()
		steps += w.steps
		for _, f := range w.violations {
			t.Errorf("seed %d: %s", seed, f)
		}
	}
	t.Logf("%d worlds, %d steps", worlds, steps)
}

// mutants are those that some tens of worlds catch.
var mutants = []mutant{
	noStoreFence, claimsWithoutRuns, formerAgentsNotRead, agentsNotWritten, noTakeoverWait, noLostLinkWait,
	acceptedBeforeWrite, settledBeforeWrite, noOrderFence, voidEndsAcked, lossesNotReported, capacityNotUpdated,
	drainsIgnored, drainsNotRead, olderDrainsAccepted,
}

// rareMutants need several faults within milliseconds, or clocks that differ for
// long: hundreds or thousands of worlds. They are played by hand.
var rareMutants = []mutant{
	noOwnerTimeout, noCallFence, noStartDeadline, excessClockDrift, noRenewLimit, claimsUnconfirmed, lostLinksUnconfirmed, repeatsStartRuns,
}

// Each safeguard is taken out in turn. A model that doesn't notice would prove
// nothing of it.
func TestEachSafeguardIsNeeded(t *testing.T) {
	if raceDetector {
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
				if len(w.violations) > 0 {
					t.Logf("seed %d: %s", seed, w.violations[0])
					return
				}
			}
			t.Errorf("not caught in %d worlds", *tries)
		})
	}
}
