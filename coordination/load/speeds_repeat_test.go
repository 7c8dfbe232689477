package load

import (
	"slices"
	"testing"
	"time"
)

// playWithSpeeds returns the trace of a load with a crash, hung servers and a restart, on servers of
// the given speeds.
func playWithSpeeds(seed uint64, pattern []float64, considered bool) []string {
	s := small
	s.seed = seed
	s.params.ServerSpeeds, s.learnSpeeds = considered, true
	w := newWorld(s)
	w.traced = true
	w.setSpeeds(pattern)
	w.runUntil(w.now + time.Second)
	w.after(time.Second, func() { w.crash(2) })
	w.after(3*time.Second, w.restart)
	w.run(grownMix, 0.8, 5*time.Second)
	w.runUntil(w.now + 3*time.Second)
	return w.traceLines
}

// TestEqualServersAreServedAsBefore guards against entries that decide otherwise where no speeds
// differ: one seed must give the same trace whether they go by speeds or not.
func TestEqualServersAreServedAsBefore(t *testing.T) {
	compareTraces(t, playWithSpeeds(1, equal, false), playWithSpeeds(1, equal, true))
}

// TestUnequalServersRepeat guards against decisions by speed that depend on the order of a map: one
// seed must repeat itself.
func TestUnequalServersRepeat(t *testing.T) {
	compareTraces(t, playWithSpeeds(1, farApart, true), playWithSpeeds(1, farApart, true))
}

func compareTraces(t *testing.T, first, second []string) {
	t.Helper()
	if slices.Equal(first, second) && len(first) > 0 {
		return
	}
	for i := range min(len(first), len(second)) {
		if first[i] != second[i] {
			t.Fatalf("line %d of %d is first %q, then %q", i, len(first), first[i], second[i])
		}
	}
	t.Fatalf("%d lines, then %d", len(first), len(second))
}
