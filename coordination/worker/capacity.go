package worker

import (
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// What a backend server says that it has may shrink and grow again while tasks run there.
// The newest word counts from the moment it is read: what runs keeps its room, so that the
// free room may be negative, and what waits and can't start soon goes back to its owner.

// sayLocked takes in a word of the backend server on its capacity, said at a time of its
// clock. A word from before the one that is known changes nothing: calls overtake one
// another, and room that is gone would be given out again. It reports whether the capacity
// has changed.
func (w *Worker) sayLocked(capacity job.Demand, clockMS int64) bool {
	if clockMS < w.saidAt {
		return false
	}
	w.saidAt = clockMS
	if capacity == w.server.Capacity {
		return false
	}
	w.varies = true
	w.stats.Resized++
	w.server.Capacity = capacity
	return true
}

// Varies reports whether the present instance has changed its capacity. What an earlier
// life of the agent knew of such a one may have shrunk since.
func (w *Worker) Varies() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.varies
}

// excess is how many of the runs have to end before one more fits, since they take more
// than there is.
func (o *occupancy) excess(capacity job.Demand) int {
	if o.runs == 0 {
		return 0
	}
	n := func(used, has int64) int {
		if used <= has {
			return 0
		}
		mean := max(used/int64(o.runs), 1)
		return int((used - has + mean - 1) / mean)
	}
	return max(n(o.used.CPUMillis, capacity.CPUMillis), n(o.used.MemoryMB, capacity.MemoryMB), n(o.used.GPUs, capacity.GPUs))
}

// overfullWait is the longest expected wait with which an order that is late already stays
// at a server that has more than fits: as long as owners bind tasks for.
const overfullWait = 25 * time.Millisecond

// returnUnfitLocked hands back what waits and can't start here in time, once less fits.
func (w *Worker) returnUnfitLocked(now time.Duration, fx *Effects) {
	for id, r := range w.runs {
		if r.phase != waiting {
			continue
		}
		if !r.order.Demand.Fits(w.server.Capacity) {
			w.dropLocked(fx, id, r, job.NeverRan, reasonTooLarge)
			continue
		}
		if w.betterElsewhereLocked(now, r) {
			w.stats.Returned++
			w.dropLocked(fx, id, r, job.NeverRan, ReasonNoRoom)
		}
	}
}
