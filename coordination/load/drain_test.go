package load

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/drains"
)

// thirds has the agents stand in three failure domains of one size.
func (w *world) thirds() {
	for i, a := range w.agents {
		a.domain = fmt.Sprintf("third-%d", 3*i/len(w.agents))
	}
}

// newsOfDrain is how long an entry takes to read a drain; its agents hear with the next frame.
const newsOfDrain = 10 * time.Millisecond

// drain says which failure domains are drained. With told unset the entries don't know, and
// the agents alone refuse and say so.
func (w *world) drain(told bool, domains ...string) {
	w.drains = drains.State{Position: w.drains.Position + 1, Domains: domains}
	state := w.drains
	w.after(newsOfDrain, func() {
		for _, e := range w.entries {
			if told && !e.down {
				e.fleet.SetDrained(state)
			}
		}
	})
	w.after(newsOfDrain+hop, func() {
		for _, a := range w.agents {
			a.apply(a.DrainDomain(w.now, state.Has(a.domain)))
			a.spread()
		}
	})
}

// coldLasts is how long a server that comes back is cold.
const coldLasts = 2 * time.Second

// chill has tasks on the servers of a domain take so many times as long for a while. The
// servers may say so.
func (w *world) chill(domain string, times float64, told bool) {
	for _, a := range w.agents {
		if a.domain != domain {
			continue
		}
		a.speed = times
		if told {
			a.cold = coldLasts
			a.report()
		}
		w.after(coldLasts, func() {
			a.speed, a.cold = 1, 0
			a.report()
		})
	}
}

// drained is a day on which a third of the room is gone for 3 s.
type drained struct {
	setup
	share float64
	// untold entries are not told of the drain; only their agents know.
	untold bool
	// cold is how many times as long tasks take at first when the room is back, and hidden
	// that the servers don't say so.
	cold   float64
	hidden bool
}

// settles is how long after a change what has begun before it is left out.
const settles = 700 * time.Millisecond

// play returns the mean share of the worth that is served while the room is gone, and after.
func (d drained) play(mix []class) (during, after float64) {
	for d.seed = range uint64(drainSeeds) {
		w := newWorld(d.setup)
		w.thirds()
		w.runUntil(w.now + time.Second)
		w.after(time.Second, func() { w.drain(!d.untold, "third-1") })
		w.after(time.Second+settles, func() { w.tally = make(map[string]*tally) })
		w.after(4*time.Second, func() {
			during += w.served(mix) / drainSeeds
			if d.cold > 1 {
				w.chill("third-1", d.cold, !d.hidden)
			}
			w.drain(!d.untold)
		})
		w.after(4*time.Second+settles, func() { w.tally = make(map[string]*tally) })
		w.play(mix, d.share, 6*time.Second)
		w.runUntil(w.now + 3*time.Second)
		after += w.served(mix) / drainSeeds
	}
	return during, after
}

// withoutThird is the share of the worth that a fleet serves which has been without a third
// of its room from the start.
func withoutThird(s setup, mix []class, share float64) float64 {
	var served float64
	for s.seed = range uint64(drainSeeds) {
		w := newWorld(s)
		w.thirds()
		w.runUntil(w.now + 500*time.Millisecond)
		w.drain(true, "third-1")
		w.runUntil(w.now + 500*time.Millisecond)
		w.after(time.Second+settles, func() { w.tally = make(map[string]*tally) })
		w.play(mix, share, 4*time.Second)
		served += w.served(mix) / drainSeeds
	}
	return served
}

const drainSeeds = 2

// drainFleet is the fleet on which drains are judged, and the loads; a small one is enough
// for races.
func drainFleet() (setup, []float64) {
	if judged {
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
		during, after := drained{setup: fleet, share: share}.play(grown)
		untold, untoldAfter := drained{setup: fleet, share: share, untold: true}.play(grown)
		steady := withoutThird(fleet, grown, share)
		t.Logf("load %.1f: during %.3f (entries untold %.3f, without the third from the start %.3f), after %.3f (untold %.3f)", share, during, untold, steady, after, untoldAfter)
		is.True(!judged || during > steady-0.03)
	}
}

// Guards against servers that come back cold all at once, are given their full part of the
// work and make all of it late.
func TestDomainThatComesBackColdIsNotOverrun(t *testing.T) {
	is := is.New(t)
	fleet, loads := drainFleet()
	for _, share := range loads {
		for _, cold := range []float64{2, 3} {
			_, said := drained{setup: fleet, share: share, cold: cold}.play(grown)
			_, hidden := drained{setup: fleet, share: share, cold: cold, hidden: true}.play(grown)
			t.Logf("load %.1f, %.1f times as long: after %.3f (if servers don't say so %.3f)", share, cold, said, hidden)
			is.True(!judged || share > 0.8 || said > hidden)
		}
	}
}

// Guards against starts in a drained domain under load, whoever knows of the drain.
func TestNothingStartsInADrainedThird(t *testing.T) {
	is := is.New(t)
	for _, told := range []bool{true, false} {
		w := newWorld(small)
		w.thirds()
		w.runUntil(w.now + time.Second)
		w.after(time.Second, func() { w.drain(told, "third-1") })
		var before int64
		w.after(1100*time.Millisecond, func() { before = w.startsIn("third-1") })
		w.play(grown, 0.9, 3*time.Second)
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
