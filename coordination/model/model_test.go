package model

import (
	"flag"
	"testing"
)

var (
	seeds     = flag.Int("model.seeds", 60, "number of worlds that TestWorlds simulates")
	firstSeed = flag.Uint64("model.seed", 1, "seed of the first world")
	rare      = flag.Bool("model.rare", false, "test the mutants that are detected only in rare worlds")
	tries     = flag.Int("model.tries", 400, "number of worlds within which each mutant must be detected")
)

// raceDetectorWorlds is the maximum number of worlds simulated under the race detector.
const raceDetectorWorlds = 5

// TestWorlds injects random faults: owners are killed, freeze, and continue without knowing that
// they were replaced; agents restart and freeze; backend servers crash and start again, with another ID
// or under the one that they had, carry out calls late and
// lose responses; links are cut; the store rejects writes and loses responses; clocks differ; tasks
// crash the backend servers that start them; capacities shrink; failure domains are drained; an agent is
// cut off while its owner and the other hosts lose power; the store turns owners away one after the other;
// a shard comes back to an owner that another one has replaced in between; the store is down while links
// are reset.
//
// It checks these invariants: no task has two concurrent runs or a run after its acknowledged end;
// no accepted job is lost, or fails before a task has used up its attempts; no task starts after that;
// no final state that a client was shown changes; no refused job runs; no
// backend server exceeds its capacity; nothing starts in a drained domain; and a task that crashes
// backend servers is not started again without limit.
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

// mutants are the mutants that are detected within tens of worlds.
var mutants = []mutant{
	noStoreFence, claimsWithoutRuns, formerAgentsNotRead, agentsNotWritten, noTakeoverWait, noLostLinkWait,
	acceptedBeforeWrite, settledBeforeWrite, noOrderFence, voidEndsAcked, lossesNotReported, capacityNotUpdated,
	drainsIgnored, drainsNotRead, olderDrainsAccepted, startTimesNotTold, restartsUnderNewIDs, restartsNotRecorded,
	shardsKept, returnsTrusted, absenceUnconfirmed, unclaimedLinksUnknown, failedRunsNotWritten,
}

// rareMutants are detected only if several faults coincide within milliseconds, or if clocks differ
// for a long time. That takes hundreds or thousands of worlds, so they are tested only with
// -model.rare.
var rareMutants = []mutant{
	noOwnerTimeout, noCallFence, noStartDeadline, excessClockDrift, noRenewLimit, incarnationsNotWritten, claimsUnconfirmed, lostLinksUnconfirmed, repeatsStartRuns, sessionsNotStarted,
}

// TestEachSafeguardIsNeeded disables each safeguard in turn. If no invariant is violated without a
// safeguard, TestWorlds does not test that safeguard.
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
			t.Errorf("mutant not detected in %d worlds", *tries)
		})
	}
}
