package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/drains"
)

// assignThirds divides the agents into three failure domains of equal size.
func (w *world) assignThirds() {
	for i, a := range w.agents {
		a.domain = fmt.Sprintf("third-%d", 3*i/len(w.agents))
	}
}

// drainReadDelay is how long an entry takes to read a drain. The agents get it with the next frame.
const drainReadDelay = 10 * time.Millisecond

// drain sets the drained failure domains. If tellEntries is not set, only the agents get the drain;
// they refuse orders and report the drain in their loads.
func (w *world) drain(tellEntries bool, domains ...string) {
	w.drains = drains.State{Position: w.drains.Position + 1, Domains: domains}
	state := w.drains
	w.after(drainReadDelay, func() {
		for _, e := range w.entries {
			if tellEntries && !e.down {
				e.fleet.SetDrained(state)
			}
		}
	})
	w.after(drainReadDelay+frameDelay, func() {
		for _, a := range w.agents {
			a.apply(a.DrainDomain(w.now, state.Has(a.domain)))
			a.sendChangedLoads()
		}
	})
}

// coldDuration is how long a backend server is cold after its return.
const coldDuration = 2 * time.Second

// makeCold multiplies the duration of tasks on the backend servers of a domain by a factor for
// coldDuration. If reported is set, the servers report that they are cold.
func (w *world) makeCold(domain string, factor float64, reported bool) {
	for _, a := range w.agents {
		if a.domain != domain {
			continue
		}
		a.durationFactor = factor
		if reported {
			a.coldRemaining = coldDuration
			a.report()
		}
		w.after(coldDuration, func() {
			a.durationFactor, a.coldRemaining = 1, 0
			a.report()
		})
	}
}

// drainScenario is a load during which a third of the capacity is drained for 3 s.
type drainScenario struct {
	setup
	share float64
	// agentsOnly is set if only the agents get the drain.
	agentsOnly bool
	// coldFactor is how many times as long tasks take at first when the drain has ended.
	// coldUnreported is set if the servers don't report that they are cold.
	coldFactor     float64
	coldUnreported bool
}

// settleTime is how long after a change outcomes are not counted, because most jobs that end then
// were submitted before the change.
const settleTime = 700 * time.Millisecond

// run returns the mean share of the value that is served during the drain, and after it.
func (d drainScenario) run(mix []class) (during, after float64) {
	for d.seed = range uint64(drainSeeds) {
		w := newWorld(d.setup)
		w.assignThirds()
		w.runUntil(w.now + time.Second)
		w.after(time.Second, func() { w.drain(!d.agentsOnly, "third-1") })
		w.after(time.Second+settleTime, func() { w.tallies = make(map[string]*tally) })
		w.after(4*time.Second, func() {
			during += w.servedValue(mix) / drainSeeds
			if d.coldFactor > 1 {
				w.makeCold("third-1", d.coldFactor, !d.coldUnreported)
			}
			w.drain(!d.agentsOnly)
		})
		w.after(4*time.Second+settleTime, func() { w.tallies = make(map[string]*tally) })
		w.run(mix, d.share, 6*time.Second)
		w.runUntil(w.now + 3*time.Second)
		after += w.servedValue(mix) / drainSeeds
	}
	return during, after
}

// withoutThird returns the mean share of the value that is served if a third of the capacity is
// drained from the start.
func withoutThird(s setup, mix []class, share float64) float64 {
	var served float64
	for s.seed = range uint64(drainSeeds) {
		w := newWorld(s)
		w.assignThirds()
		w.runUntil(w.now + 500*time.Millisecond)
		w.drain(true, "third-1")
		w.runUntil(w.now + 500*time.Millisecond)
		w.after(time.Second+settleTime, func() { w.tallies = make(map[string]*tally) })
		w.run(mix, share, 4*time.Second)
		served += w.servedValue(mix) / drainSeeds
	}
	return served
}

const drainSeeds = 2

// drainFleet returns the fleet and the loads with which drains are tested. A small fleet is enough
// to find data races.
func drainFleet() (setup, []float64) {
	if checkBounds {
		return large, []float64{.7, .9}
	}
	return small, []float64{.7}
}

// TestDrainCostsTheRoomThatIsGone guards against a drain that costs clients more than the capacity
// that is drained: the share served must be about that of a system in which the same third is
// drained from the start. A third of the workers is drained for three seconds.
func TestDrainCostsTheRoomThatIsGone(t *testing.T) {
	is := is.New(t)
	fleet, loads := drainFleet()
	for _, share := range loads {
		during, after := drainScenario{setup: fleet, share: share}.run(grownMix)
		agentsOnly, agentsOnlyAfter := drainScenario{setup: fleet, share: share, agentsOnly: true}.run(grownMix)
		steady := withoutThird(fleet, grownMix, share)
		t.Logf("load %.1f: during %.3f (entries not told %.3f, drained from the start %.3f), after %.3f (entries not told %.3f)", share, during, agentsOnly, steady, after, agentsOnlyAfter)
		is.True(!checkBounds || during > steady-0.03)
	}
}

// TestDomainThatComesBackColdIsNotOverrun guards against overload of backend servers that return
// cold all at once: if they get the same share of the work as warm ones, all of it is late.
func TestDomainThatComesBackColdIsNotOverrun(t *testing.T) {
	is := is.New(t)
	fleet, loads := drainFleet()
	for _, share := range loads {
		for _, cold := range []float64{2, 3} {
			_, reported := drainScenario{setup: fleet, share: share, coldFactor: cold}.run(grownMix)
			_, unreported := drainScenario{setup: fleet, share: share, coldFactor: cold, coldUnreported: true}.run(grownMix)
			t.Logf("load %.1f, %.1f times as long: after %.3f (if servers don't report it %.3f)", share, cold, reported, unreported)
			is.True(!checkBounds || share > 0.8 || reported > unreported)
		}
	}
}

// TestNothingStartsInADrainedThird guards against starts in a drained domain under load, whether or
// not the entries know of the drain.
func TestNothingStartsInADrainedThird(t *testing.T) {
	is := is.New(t)
	for _, tellEntries := range []bool{true, false} {
		w := newWorld(small)
		w.assignThirds()
		w.runUntil(w.now + time.Second)
		w.after(time.Second, func() { w.drain(tellEntries, "third-1") })
		var before int64
		w.after(1100*time.Millisecond, func() { before = w.startsIn("third-1") })
		w.run(grownMix, 0.9, 3*time.Second)
		is.Equal(w.startsIn("third-1"), before)
	}
}

func (w *world) startsIn(domain string) int64 {
	var n int64
	for _, a := range w.agents {
		if a.domain == domain {
			n += a.Worker.Stats().Started
		}
	}
	return n
}
