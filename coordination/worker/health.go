package worker

import (
	"math"
	"time"
)

const (
	// maxConsecutiveFailures is the number of consecutive failed runs that suspends a backend
	// server. Tasks fail by their own fault about twice in a thousand, so three failures in a row
	// are not a coincidence. Until a server that fails every run is suspended, it costs three jobs
	// an attempt each.
	maxConsecutiveFailures = 3
	// minSuspension is the first backoff before a suspended backend server is probed with one run.
	// It doubles up to maxSuspension. A longer backoff leaves the capacity of a recovered server
	// unused; each probe of a broken one costs one attempt of one task.
	minSuspension = 300 * time.Millisecond
	maxSuspension = 1200 * time.Millisecond
)

// health assesses a backend server by how its runs end. A server that fails runs at once looks idle
// and would attract all the work, like a black hole. Guarded by Worker.mu.
type health struct {
	consecutiveFailures int
	suspended           bool
	suspendedUntil      time.Duration
	backoff             time.Duration
	// runTimeRatio is the moving average of actual over expected run time at the server's own speed;
	// zero before the first run.
	runTimeRatio float64
	ratioAt      time.Duration
	// coldUntil is when the server stops being cold, according to its last report.
	coldUntil time.Duration
	// warmFrom is when the server was last cold, or will be.
	warmFrom time.Duration
}

func (h *health) failed(now time.Duration) {
	h.consecutiveFailures++
	if h.consecutiveFailures < maxConsecutiveFailures {
		return
	}
	h.suspend(now)
}

func (h *health) suspend(now time.Duration) {
	h.consecutiveFailures = maxConsecutiveFailures
	h.backoff = min(max(2*h.backoff, minSuspension), maxSuspension)
	h.suspended = true
	h.suspendedUntil = now + h.backoff
}

// done resets the failure count and the suspension after a successful run.
func (h *health) done() {
	*h = health{runTimeRatio: h.runTimeRatio, ratioAt: h.ratioAt, coldUntil: h.coldUntil, warmFrom: h.warmFrom}
}

// ratioWeight is the weight of one run in the moving average. About the last ten runs count, which
// take a busy server a quarter of a second.
const ratioWeight = 0.1

// detectionDelay is added to the expected run time, because the agent detects an end some
// milliseconds late, on a busy host some tens of milliseconds. It is added and not applied as a
// factor: a factor taken from tasks of 5 ms would make a server look ten times slower, and tasks of
// seconds would be refused although servers are idle. A server that is really slow is still
// detected.
const detectionDelay = 50 * time.Millisecond

func (h *health) observe(now, work, expected time.Duration) {
	if work <= 0 || expected <= 0 {
		return
	}
	ratio := float64(work) / float64(expected+detectionDelay)
	if h.runTimeRatio == 0 {
		h.runTimeRatio = 1
	}
	h.ratioAt = now
	h.runTimeRatio += ratioWeight * (ratio - h.runTimeRatio)
}

// slowdownDecay is the time constant with which a slowdown decays without new runs. Owners don't
// use a slow server while others are faster, so it has no chance to show that it has recovered and
// would otherwise stay idle for good.
const slowdownDecay = time.Second

// slowdown returns the decayed ratio, or 1 if it is below 1.5: estimates are off by a third, so a
// smaller ratio is not significant.
func (h *health) slowdown(now time.Duration) float64 {
	age := float64(now-h.ratioAt) / float64(slowdownDecay)
	ratio := 1 + (h.runTimeRatio-1)*math.Exp(-age)
	if ratio < 1.5 {
		return 1
	}
	return ratio
}

// coldSlowdown is the slowdown assumed for a cold server until its runs have shown the actual one.
const coldSlowdown = 2

// setCold sets how much longer the server reports to be cold. A cold server is assumed to be slow
// from its first run on. Otherwise it would get its full share of the work until some runs have
// ended, and all of these would be late.
func (h *health) setCold(now, cold time.Duration) {
	wasCold := now < h.coldUntil
	h.coldUntil = now + cold
	if cold > 0 || h.warmFrom > now {
		h.warmFrom = now + cold
	}
	switch {
	case cold > 0 && !wasCold:
		h.runTimeRatio, h.ratioAt = max(h.runTimeRatio, coldSlowdown), now
	case cold == 0 && wasCold:
		h.runTimeRatio = 0
	}
}

const (
	// stallOverdue is the threshold at which a server on which no run ends counts as stalled. It
	// applies to the sum of overdue over the active runs. A run contributes at most 1: a single
	// estimate may be far off, but not those of three runs at a time when no run ends at all.
	stallOverdue = 3.0
	// stallWindow is the minimum time without a successful end before a server counts as stalled. A
	// busy server ends a run every 20 ms.
	stallWindow = 150 * time.Millisecond
)

// detectStallLocked detects a server that answers and lists its runs as active but completes none.
// Its runs are stopped so that their owners start them elsewhere, and the server is suspended.
// Otherwise every job with a task there would be lost.
func (w *Worker) detectStallLocked(now time.Duration, fx *Effects) {
	if w.health.suspended || w.unresponsive || now-w.lastDone < stallWindow {
		return
	}
	var overdue float64
	runs := w.sortedRunsLocked()
	for _, r := range runs {
		if r.phase == running && !r.stopWanted {
			overdue += r.overdue(now, w.local)
		}
	}
	if overdue < stallOverdue {
		return
	}
	w.stats.Stalled++
	w.health.suspend(now)
	w.returnWaitingLocked(fx, "stalled")
	for _, r := range runs {
		// A run that must not be repeated is left to end: stopping it would fail its job for
		// certain.
		if r.phase == running && !r.stopWanted && !r.order.AtMostOnce && r.overdue(now, w.local) > 0 {
			w.stopLocked(now, fx, r, "stalled")
		}
	}
}

// overdue returns by how much the run exceeds its expected run time here, in units of that time,
// between 0 and 1.
func (r *run) overdue(now time.Duration, local localTime) float64 {
	expected := local.of(r.order.Estimate)
	if expected <= 0 {
		return 0
	}
	return min(1, max(0, float64(now-r.startedAt)/float64(expected)-1))
}

// probing reports whether the server may get only one run, which shows whether it works again.
func (h *health) probing() bool { return h.consecutiveFailures >= maxConsecutiveFailures }

func (h *health) tick(now time.Duration) {
	if h.suspended && now >= h.suspendedUntil {
		h.suspended = false
		h.consecutiveFailures = maxConsecutiveFailures - 1
	}
}
