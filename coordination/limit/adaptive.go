package limit

import (
	"sync"
	"time"
)

// The adaptive limit is additive increase, multiplicative decrease on tasks in
// flight. docs of the choice: TestAdaptiveAgainstGradient measures both on the
// same queue.
const (
	// congested is the ratio of response to no-load response above which the
	// fleet counts as queueing.
	congested = 2.0
	// decrease is what the limit is multiplied by after a congested round.
	decrease = 0.85
	// increase is the part of the limit that a calm round adds, at least 1.
	increase = 0.05
	// roundSamples and roundTime bound a round: it ends when both are reached.
	roundSamples = 16
	roundTime    = 50 * time.Millisecond
	// inUse is the part of the limit that must be in flight before it grows:
	// an idle entry learns nothing about capacity.
	inUse = 0.5
)

// adaptive is the concurrency limit of one entry, in tasks in flight.
type adaptive struct {
	floor, ceiling float64

	mu      sync.Mutex
	limit   float64   // guarded by mu
	round   time.Time // guarded by mu; start of the round
	samples int       // guarded by mu
	slow    int       // guarded by mu; samples of the round that were congested
	peak    int64     // guarded by mu; most tasks in flight seen in the round
}

func newAdaptive(floor, start, ceiling int) *adaptive {
	return &adaptive{floor: float64(floor), ceiling: float64(ceiling), limit: float64(start)}
}

// observe takes one finished submission: ratio is its response time over the
// no-load response time of its class; failed marks a refusal by the fleet for
// want of capacity.
func (a *adaptive) observe(now time.Time, ratio float64, failed bool, inFlight int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.samples == 0 {
		a.round = now
	}
	a.samples++
	a.peak = max(a.peak, inFlight)
	if failed || ratio > congested {
		a.slow++
	}
	if a.samples < roundSamples || now.Sub(a.round) < roundTime {
		return
	}
	a.endRoundLocked()
}

// endRoundLocked moves the limit by what most of the round's samples say, so
// that a few stragglers don't shrink it.
func (a *adaptive) endRoundLocked() {
	switch {
	case a.slow*2 > a.samples:
		a.limit = max(a.floor, a.limit*decrease)
	case float64(a.peak) >= a.limit*inUse:
		a.limit = min(a.ceiling, a.limit+max(1, a.limit*increase))
	}
	a.samples, a.slow, a.peak = 0, 0, 0
}

func (a *adaptive) current() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(a.limit)
}
