package limit

import (
	"sync"
	"time"
)

// The adaptive limit on tasks in flight is additive increase, multiplicative
// decrease, driven by the response time of a round's submissions over their own
// run times: with nobody before it, a small job takes as long as its longest
// task. That no-load response needs no learning. A learned one (a low quantile
// of past responses) was tried first and measured: runs of 50 ms to a second
// spread so widely, and the first to end are so much the shortest, that the
// limit fell to its floor at a load of 0.95 with no queue at all.
const (
	// congested is the response over the no-load response from which a round
	// counts as queueing.
	congested = 1.5
	// overhead is what a submission takes beside running: the round trips of
	// a claim and an assignment. Tasks of a millisecond must not look queued.
	overhead = 10 * time.Millisecond
	// smallJob is up to how many tasks run side by side for certain. A larger
	// job takes several turns even alone and says nothing about queueing.
	// Weighed and left, in the model of TestAdaptiveWithJobs: judging large jobs
	// by their longest task and the time their tasks take to drain shortens
	// responses under overload, but refuses jobs at 95 % for two seeds of three
	// where now none are. Allowing a part of the deadline for waiting lengthens
	// responses under overload and refuses hardly fewer at 95 %.
	smallJob = 8
	// refusing is the part of refusals for want of capacity, one in so many,
	// from which a round counts as congested. One lost home of ten is less.
	refusing = 5
	// decrease is what the limit is multiplied by after a congested round.
	decrease = 0.9
	// spare is how far above what was in flight the limit may lie when a round is
	// congested. The failure it is for: the limit of a calm entry lies far above
	// what is ever in flight. When slots go, it takes some thirty congested rounds
	// to come down to what there is, and the queue of that time makes answers late
	// for a minute. 1 refuses 3 to 5 % of hurried jobs at 95 % where 1.5 refuses 2
	// to 4 %.
	spare = 1.5
	// increase is the part of the limit that a calm round adds, at least 1.
	increase = 0.02
	// roundSamples and roundTime bound a round: it ends when both are reached.
	// A change of the limit shows in responses only after a run time.
	roundSamples = 16
	roundTime    = 100 * time.Millisecond
	// inUse is the part of the limit that must be in flight before it grows:
	// an idle entry learns nothing about capacity.
	inUse = 0.5
)

// sample is one finished submission.
type sample struct {
	elapsed time.Duration
	// ran is the no-load response, zero when it isn't known.
	ran time.Duration
	// failed says that the fleet refused or lost it for want of capacity.
	failed bool
	// inFlight is how many tasks were in flight when it ended.
	inFlight int64
}

// adaptive is the concurrency limit of one entry, in tasks in flight.
type adaptive struct {
	floor, ceiling float64

	mu    sync.Mutex
	limit float64 // guarded by mu
	round round   // guarded by mu
}

// round sums up the samples since the limit was last looked at.
type round struct {
	began       time.Time
	samples     int
	failed      int
	elapsed     time.Duration
	ran         time.Duration
	mostRunning int64
}

func newAdaptive(floor, start, ceiling int) *adaptive {
	return &adaptive{floor: float64(floor), ceiling: float64(ceiling), limit: float64(start)}
}

func (a *adaptive) observe(now time.Time, s sample) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.round.add(now, s) {
		return
	}
	switch {
	case a.round.congested():
		a.limit = max(a.floor, min(a.limit, spare*float64(a.round.mostRunning))*decrease)
	case float64(a.round.mostRunning) >= a.limit*inUse:
		a.limit = min(a.ceiling, a.limit+max(1, a.limit*increase))
	}
	a.round = round{}
}

func (a *adaptive) current() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return int64(a.limit)
}

// add takes a sample and reports whether the round is over.
func (r *round) add(now time.Time, s sample) bool {
	if r.samples == 0 {
		r.began = now
	}
	r.samples++
	r.mostRunning = max(r.mostRunning, s.inFlight)
	switch {
	case s.failed:
		r.failed++
	case s.ran > 0:
		r.elapsed += max(0, s.elapsed-overhead)
		r.ran += s.ran
	}
	return r.samples >= roundSamples && now.Sub(r.began) >= roundTime
}

// congested compares sums, so that long tasks weigh more than short ones: a
// short task behind a long one always looks bad.
func (r *round) congested() bool {
	if r.failed*refusing > r.samples {
		return true
	}
	return float64(r.elapsed) > congested*float64(r.ran) && r.ran > 0
}
