package worker

import (
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// The capacity that a backend server reports may shrink and grow while tasks run there. The newest
// report applies from the moment it is read. Runs keep what they occupy, so the free capacity may
// become negative; waiting orders that can't start soon are returned to their owners.

// updateCapacityLocked applies a capacity that the backend server reported at clockMS of its own
// clock, and reports whether the capacity has changed. A report older than the last one applied is
// ignored: answers and reports may arrive out of order, and a stale one would give out capacity
// that no longer exists.
func (w *Worker) updateCapacityLocked(capacity job.Demand, clockMS int64) bool {
	if clockMS < w.capacityAtMS {
		return false
	}
	w.capacityAtMS = clockMS
	if capacity == w.server.Capacity {
		return false
	}
	w.capacityChanged = true
	w.stats.Resized++
	w.server.Capacity = capacity
	return true
}

// CapacityChanged reports whether the present instance has changed its capacity since it first
// reported. A capacity that an earlier incarnation of the agent stored for such an instance may be
// too large by now.
func (w *Worker) CapacityChanged() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.capacityChanged
}

// excess estimates how many runs have to end before one more fits, from their mean demand. It is
// zero while the runs don't occupy more than the capacity.
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

// overcommittedWait is the longest expected wait for which an order that is already late stays at
// an overcommitted server. Owners reserve capacity for a task for as long.
const overcommittedWait = 25 * time.Millisecond

// returnUnfitLocked returns the waiting orders that no longer fit, or can't start in time, after
// the capacity has shrunk.
func (w *Worker) returnUnfitLocked(now time.Duration, fx *Effects) {
	for _, r := range w.waitingLocked() {
		if !r.order.Demand.Fits(w.server.Capacity) {
			w.dropLocked(fx, r, job.NeverRan, reasonTooLarge)
			continue
		}
		if w.shouldReturnLocked(now, r) {
			w.stats.Returned++
			w.dropLocked(fx, r, job.NeverRan, ReasonNoRoom)
		}
	}
}
