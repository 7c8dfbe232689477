package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/drains"
)

// thirds has the agents stand in three failure domains of one size.
func (w *world) assignThirds() {
	for i, a := range w.agents {
		a.domain = fmt.Sprintf("third-%d", 3*i/len(w.agents))
	}
}

// newsOfDrain is how long an entry takes to read a drain; its agents hear with the next frame.
const drainReadDelay = 10 * time.Millisecond

// drain says which failure domains are drained. With told unset the entries don't know, and
// the agents alone refuse and say so.
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

// coldLasts is how long a server that comes back is cold.
const coldDuration = 2 * time.Second

// chill has tasks on the servers of a domain take so many times as long for a while. The
// servers may say so.
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

// drained is a day on which a third of the room is gone for 3 s.
type drainScenario struct {
	setup
	share float64
	// untold entries are not told of the drain; only their agents know.
	entriesUntold bool
	// cold is how many times as long tasks take at first when the room is back, and hidden
	// that the servers don't say so.
	coldFactor     float64
	coldUnreported bool
}

// settles is how long after a change what has begun before it is left out.
const settleTime = 700 * time.Millisecond

// play returns the mean share of the worth that is served while the room is gone, and after.
func (d drainScenario) run(mix []class) (during, after float64) {
	for d.seed = range uint64(drainSeeds) {
		w := newWorld(d.setup)
		w.assignThirds()
		w.runUntil(w.now + time.Second)
		w.after(time.Second, func() { w.drain(!d.entriesUntold, "third-1") })
		w.after(time.Second+settleTime, func() { w.tallies = make(map[string]*tally) })
		w.after(4*time.Second, func() {
			during += w.servedValue(mix) / drainSeeds
			if d.coldFactor > 1 {
				w.makeCold("third-1", d.coldFactor, !d.coldUnreported)
			}
			w.drain(!d.entriesUntold)
		})
		w.after(4*time.Second+settleTime, func() { w.tallies = make(map[string]*tally) })
		w.run(mix, d.share, 6*time.Second)
		w.runUntil(w.now + 3*time.Second)
		after += w.servedValue(mix) / drainSeeds
	}
	return during, after
}

// withoutThird is the share of the worth that a fleet serves which has been without a third
// of its room from the start.
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

// drainFleet is the fleet on which drains are judged, and the loads; a small one is enough
// for races.
func drainFleet() (setup, []float64) {
	if checkBounds {
		return large, []float64{.7, .9}
	}
	return small, []float64{.7}
}

// Guards against a drain that costs callers more than the room that is gone: a third of the
// workers is drained for three seconds.
func TestDrainCostsTheRoomThatIsGone(t *testing.T) {
	is := is.New(t)
	fleet, loads := drainFleet()
	for _, share := range loads {
		during, after := drainScenario{setup: fleet, share: share}.run(grownMix)
		untold, untoldAfter := drainScenario{setup: fleet, share: share, entriesUntold: true}.run(grownMix)
		steady := withoutThird(fleet, grownMix, share)
		t.Logf("load %.1f: during %.3f (entries untold %.3f, without the third from the start %.3f), after %.3f (untold %.3f)", share, during, untold, steady, after, untoldAfter)
		is.True(!checkBounds || during > steady-0.03)
	}
}

// Guards against servers that come back cold all at once, are given their full part of the
// work and make all of it late.
func TestDomainThatComesBackColdIsNotOverrun(t *testing.T) {
	is := is.New(t)
	fleet, loads := drainFleet()
	for _, share := range loads {
		for _, cold := range []float64{2, 3} {
			_, reported := drainScenario{setup: fleet, share: share, coldFactor: cold}.run(grownMix)
			_, unreported := drainScenario{setup: fleet, share: share, coldFactor: cold, coldUnreported: true}.run(grownMix)
			t.Logf("load %.1f, %.1f times as long: after %.3f (if servers don't say so %.3f)", share, cold, reported, unreported)
			is.True(!checkBounds || share > 0.8 || reported > unreported)
		}
	}
}

// Guards against starts in a drained domain under load, whoever knows of the drain.
func TestNothingStartsInADrainedThird(t *testing.T) {
	is := is.New(t)
	for _, told := range []bool{true, false} {
		w := newWorld(small)
		w.assignThirds()
		w.runUntil(w.now + time.Second)
		w.after(time.Second, func() { w.drain(told, "third-1") })
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
