package model

import (
	"testing"
	"time"
)

// A seed that fails is of no use if it does not fail again. The state machines keep their state in
// maps, whose order differs from run to run: a walk over a map whose effects depend on the order
// makes two plays of a seed differ, and so do the decisions of two processes with the same inputs.
func TestSeedRepeats(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+repeatedSeeds; seed++ {
		first, second := playTraced(seed), playTraced(seed)
		for i := range min(len(first), len(second)) {
			if first[i] != second[i] {
				t.Fatalf("seed %d: line %d is first %q, then %q", seed, i, first[i], second[i])
			}
		}
		if len(first) != len(second) || len(first) == 0 {
			t.Fatalf("seed %d: %d lines, then %d", seed, len(first), len(second))
		}
	}
}

// repeatedSeeds is the number of worlds that are played twice. Each has most kinds of faults.
const repeatedSeeds = 3

func playTraced(seed uint64) []string {
	var lines []string
	w := newWorld(seed, unmutated)
	w.onTrace = func(line string) { lines = append(lines, line) }
	w.run()
	w.trace("%d steps, ended at %v", w.steps, w.now-time.Hour)
	return lines
}
