package load

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// unevenSize is the size of the fleet in the tests of unequal servers that run each time.
var unevenSize = fleet(8, 24, 0)

// compare plays a load with the servers' speeds not considered and considered. Considering them must
// serve no load worse, and refuse a tenth as many jobs beside adequate room.
func (u unevenRun) compare(t *testing.T, name string) (off, on unevenOutcome) {
	t.Helper()
	runs := uint64(2)
	if !checkBounds {
		runs = 1
	}
	var wg sync.WaitGroup
	wg.Go(func() { off = u.play(false, runs, 2*time.Second) })
	wg.Go(func() { on = u.play(true, runs, 2*time.Second) })
	wg.Wait()
	t.Logf("%s: not considered: %v; considered: %v", name, off, on)
	is := is.NewRelaxed(t)
	is.True(!checkBounds || on.served >= off.served)
	is.True(!checkBounds || on.besideRoom <= max(off.besideRoom/10, 0.001))
	return off, on
}

// TestServersFarApartAreUsedByTheirSpeed guards against long tasks on slow servers and against jobs
// that are refused beside them. Servers of speeds .6, 1 and 1.6, at a usual and at too high a load.
func TestServersFarApartAreUsedByTheirSpeed(t *testing.T) {
	is := is.New(t)
	for _, share := range []float64{.75, 1.15} {
		off, on := unevenRun{setup: unevenSize, pattern: farApart, mix: grownMix, share: share}.compare(t, "far apart")
		is.True(!checkBounds || on.served > off.served)
	}
}

// TestAFewFasterServers guards against entries that all send to the few fastest servers. A third of
// the servers is faster by .3, at a high load.
func TestAFewFasterServers(t *testing.T) {
	unevenRun{setup: unevenSize, pattern: closeTogether, mix: grownMix, share: .9}.compare(t, "a few faster ones")
}

// TestUnequalServersByLateLoads guards against entries that collide on the servers that had the most
// room in loads of 150 ms ago.
func TestUnequalServersByLateLoads(t *testing.T) {
	unevenRun{setup: unevenSize, pattern: farApart, mix: grownMix, share: .75, updateDelay: 150 * time.Millisecond}.compare(t, "late loads")
}

// TestWideJobsAmongSmallOnes guards against wide jobs that are late by one task on a slow server.
func TestWideJobsAmongSmallOnes(t *testing.T) {
	off, on := unevenRun{setup: unevenSize, pattern: farApart, mix: wideAmongSmallMix, share: .75}.compare(t, "wide among small")
	o, n := off.queues["wide"], on.queues["wide"]
	t.Logf("wide jobs: %+v; %+v", o, n)
	is := is.New(t)
	is.True(!checkBounds || n.inTimeShare() >= o.inTimeShare())
}

// TestUnequalServersWithFaults guards against speeds that make a fault worse: updates of three agents
// that are late, servers that crash and are unknown when they start again, and entries and agents
// that start anew, and servers that are slow for good from then on.
func TestUnequalServersWithFaults(t *testing.T) {
	for _, f := range []struct {
		name  string
		fault func(*world)
	}{
		{"late updates", func(w *world) { w.delayUpdates(3) }},
		{"crash", func(w *world) { w.crash(3) }},
		{"restart", (*world).restart},
		{"two fast servers turn slow", func(w *world) { w.agents[2].durationFactor, w.agents[5].durationFactor = 1/.6, 1/.6 }},
	} {
		unevenRun{setup: unevenSize, pattern: farApart, mix: grownMix, share: .7, fault: f.fault}.compare(t, f.name)
	}
}
