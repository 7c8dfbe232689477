package member

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// seeds is how many runs each kind of fault gets. The race detector has nothing
// to find in a model with one thread a world, so there it gets few.
var seeds = flag.Int("seeds", modelSeeds, "runs of the model for each kind of fault")

const (
	// shortestFault and longestFault bound the cuts and pauses: longer than a
	// single member is given, and shorter than the long wait, with the four
	// seconds between two words of a member taken off.
	shortestFault = 16 * time.Second
	longestFault  = 40 * time.Second
	faultLimit    = 3 * time.Minute
	lossLimit     = 4 * time.Minute
	// mostAppends is a handful against several hundred a second.
	mostAppends = 12
)

// outcome is what a fault came to.
type outcome struct {
	wrong   int // living members evicted
	paired  time.Duration
	appends int // questions and answers
}

func (k *kind) run(seed uint64, disabled safeguards) outcome {
	rng := rand.New(rand.NewPCG(seed, 2))
	sizes := []int{2 + rng.IntN(8), 2 + rng.IntN(8)}
	if k.three {
		sizes = []int{9 + rng.IntN(3), 9 + rng.IntN(3), 9 + rng.IntN(3)}
	}
	members := site("j", sizes...)
	f := k.draw(&sketch{rng, members})
	w := newWorld(seed, Options{disabled: disabled}, members, f)
	var out outcome
	if k.lost {
		out.paired = w.run(lossLimit, true)
	} else {
		w.run(faultLimit, false)
	}
	out.wrong = w.evictedLiving()
	out.appends = w.appends["suspect"] + w.appends["alive"]
	return out
}

// sums are the outcomes of a kind over seeds.
type sums struct {
	seeds, wrong, appends int
	paired                []time.Duration
}

func (s *sums) middle() time.Duration { return s.paired[len(s.paired)/2] }

func (s *sums) times() string {
	if s.paired[0] == 0 {
		return ""
	}
	return fmt.Sprintf("%v / %v", s.middle(), s.paired[len(s.paired)-1])
}

func (k *kind) sum(seeds int, disabled safeguards) sums {
	s := sums{seeds: seeds}
	for seed := range uint64(seeds) {
		o := k.run(seed, disabled)
		if o.wrong > 0 {
			s.wrong++
		}
		s.appends = max(s.appends, o.appends)
		s.paired = append(s.paired, o.paired)
	}
	slices.Sort(s.paired)
	return s
}

// A domain that is lost and one that is cut off look the same to those who watch
// it. Evicting a living side throws out half of the region, so whatever the
// network, the log and the processes do, no run may evict a living member that
// could reach the log; and a lost domain must be gone sooner than by waiting.
func TestModelEvictsNoLivingDomain(t *testing.T) {
	for i := range kinds {
		k := &kinds[i]
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			before := k.sum(*seeds, safeguards{short: true, back: true})
			after := k.sum(*seeds, safeguards{})
			t.Logf("%s | %d | %d | %d | %d | %s | %s", k.name, *seeds, before.wrong, after.wrong, after.appends, before.times(), after.times())
			if !k.hopeless && after.wrong > 0 {
				t.Errorf("%d of %d runs evicted a living member", after.wrong, after.seeds)
			}
			if k.lost && after.middle() > before.middle() {
				t.Errorf("slower than without the log: %v", after.middle())
			}
			if k.few && after.appends > mostAppends {
				t.Errorf("%d questions and answers", after.appends)
			}
		})
	}
}
