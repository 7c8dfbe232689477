package worker

import (
	"math"
	"time"
)

const (
	// failuresInRow of runs suspend a backend server. Tasks fail by their own
	// fault about twice in a thousand, so three in a row are no accident, and
	// a server that fails all it starts wastes three attempts of a job each.
	failuresInRow = 3
	// suspension is the first pause before a suspended backend server is
	// tried again with one run; it doubles up to maxSuspension. A server that
	// works again and is left out costs its share of the room, a try costs one
	// attempt of one task.
	suspension    = 300 * time.Millisecond
	maxSuspension = 1200 * time.Millisecond
)

// health judges a backend server by how its runs end. A server that fails at
// once looks free, so it would draw all the work: the pattern is a black hole.
// Guarded by Worker.mu.
type health struct {
	row       int
	suspended bool
	until     time.Duration
	pause     time.Duration
	// ratio is the mean of the measured run time over the expected one; zero
	// before the first.
	ratio   float64
	learned time.Duration
	// coldUntil is when the server stops being cold, by its last word.
	coldUntil time.Duration
}

func (h *health) failed(now time.Duration) {
	h.row++
	if h.row < failuresInRow {
		return
	}
	h.suspend(now)
}

func (h *health) suspend(now time.Duration) {
	h.row = failuresInRow
	h.pause = min(max(2*h.pause, suspension), maxSuspension)
	h.suspended = true
	h.until = now + h.pause
}

// done clears the doubts after a run that was done.
func (h *health) done() { *h = health{ratio: h.ratio, learned: h.learned, coldUntil: h.coldUntil} }

// ratioWeight is the weight of one run's ratio: about the last ten count, a
// quarter of a second of work of a busy server.
const ratioWeight = 0.1

// noticeDelay is added to the expected time: an end is noticed some milliseconds
// late, on a busy host some tens. It is no factor: measured on tasks of 5 ms it
// would make a server look ten times slow, and a task of seconds be refused
// beside idle servers. A server that is slow in earnest shows all the same.
const noticeDelay = 50 * time.Millisecond

func (h *health) learn(now, work, expected time.Duration) {
	if work <= 0 || expected <= 0 {
		return
	}
	ratio := float64(work) / float64(expected+noticeDelay)
	if h.ratio == 0 {
		h.ratio = 1
	}
	h.learned = now
	h.ratio += ratioWeight * (ratio - h.ratio)
}

// slowMemory is how long a slow server is remembered without news of it. Owners
// give it nothing while others are faster, so it has no chance to show that it
// is well again: it would stand idle for good.
const slowMemory = time.Second

// slowdown is the ratio as far as it is out of the ordinary: estimates are off
// by a third, so a smaller one says nothing.
func (h *health) slowdown(now time.Duration) float64 {
	age := float64(now-h.learned) / float64(slowMemory)
	ratio := 1 + (h.ratio-1)*math.Exp(-age)
	if ratio < 1.5 {
		return 1
	}
	return ratio
}

// coldSlowdown is how much longer runs are expected to take on a cold server until its runs
// have shown it.
const coldSlowdown = 2

// expectCold takes in for how long the server says that it is cold. It is expected to be slow
// from its first run on: otherwise it is given its full part of the work until some runs
// have ended, and all of them are late.
func (h *health) expectCold(now, cold time.Duration) {
	was := now < h.coldUntil
	h.coldUntil = now + cold
	switch {
	case cold > 0 && !was:
		h.ratio, h.learned = max(h.ratio, coldSlowdown), now
	case cold == 0 && was:
		h.ratio = 0
	}
}

const (
	// stallOverdue is the sum, over the running tasks, of the time beyond the
	// expected run time in units of it, at which a server that ends nothing
	// counts as stalled. A task counts once at most: its own estimate may be
	// far off, that of three at a time with no end among all is not.
	stallOverdue = 3.0
	// stallQuiet is the least time without an end. A busy server ends a run
	// each 20 ms.
	stallQuiet = 150 * time.Millisecond
)

// stallLocked finds a server on which tasks stand still: it answers, lists its
// runs as active and ends none. Its runs are stopped, so that their owners
// start them elsewhere, and nothing is sent to it for a while; otherwise each
// job with one task there is lost.
func (w *Worker) stallLocked(now time.Duration, fx *Effects) {
	if w.health.suspended || w.failing || now-w.lastDone < stallQuiet {
		return
	}
	var overdue float64
	for _, r := range w.runs {
		if r.phase == running && !r.stopWanted {
			overdue += r.overdue(now)
		}
	}
	if overdue < stallOverdue {
		return
	}
	w.stats.Stalled++
	w.health.suspend(now)
	w.returnWaitingLocked(fx, "stalled")
	for _, r := range w.runs {
		// A run that may not be repeated is left to end: stopped, its job would
		// fail for certain.
		if r.phase == running && !r.stopWanted && !r.order.Once && r.overdue(now) > 0 {
			w.stopLocked(now, fx, r, "stalled")
		}
	}
}

// overdue is the time that a run has been at work beyond its expected time, in
// units of that, once at most.
func (r *run) overdue(now time.Duration) float64 {
	if r.order.Estimate <= 0 {
		return 0
	}
	return min(1, max(0, float64(now-r.startedAt)/float64(r.order.Estimate)-1))
}

// probing reports whether one run is to show that the server works again.
func (h *health) probing() bool { return h.row >= failuresInRow }

func (h *health) tick(now time.Duration) {
	if h.suspended && now >= h.until {
		h.suspended = false
		h.row = failuresInRow - 1
	}
}
