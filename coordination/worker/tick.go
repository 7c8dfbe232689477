package worker

import (
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// Tick runs everything that depends only on time.
func (w *Worker) Tick(now time.Duration) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	w.tickLocked(now, &fx)
	return fx
}

func (w *Worker) tickLocked(now time.Duration, fx *Effects) {
	w.health.tick(now)
	w.detectStallLocked(now, fx)
	w.expireLeaseLocked(now, fx)
	w.forgetLostLocked(now)
	w.enforceOwnerTimeoutLocked(now, fx)
	w.acknowledgeLocked()
	for _, r := range w.sortedRunsLocked() {
		if r.stopWanted && r.phase != ended && !w.unresponsive {
			w.sendStopLocked(now, fx, r)
		}
	}
	w.startWaitingLocked(now, fx)
}

// expireLeaseLocked drops all runs once the lease has expired for certain, because the backend
// server could not be reached for longer than the lease.
func (w *Worker) expireLeaseLocked(now time.Duration, fx *Effects) {
	if w.leaseExpiry == 0 || now < w.leaseExpiry || w.leaseExpiry <= w.handledExpiry {
		return
	}
	if w.awaitLeaseExpiry && now-w.lastHoldAnswer < w.leaseDuration() {
		// The server lets the lease expire by itself and lists the runs as lapsed.
		return
	}
	w.leaseExpired, w.handledExpiry = true, w.leaseExpiry
	if w.expiredRuns == nil {
		w.expiredRuns = make(map[job.RunID]bool)
	}
	loss := LossSuspected
	if w.plannedShutdown() {
		loss = NotLost
	}
	suspects := w.occupancyLocked(now).runs
	for _, r := range w.sortedRunsLocked() {
		if r.phase == waiting {
			w.dropLocked(fx, r, job.NeverRan, "server_silent")
			continue
		}
		if r.phase == ended {
			r.end.void = false
			continue
		}
		w.stats.Lapsed++
		w.expiredRuns[r.order.Run] = true
		w.endLostLocked(now, fx, r, loss, suspects, "lease_expired")
	}
}

// enforceOwnerTimeoutLocked stops the runs of owners that have been silent for longer than their
// timeout. A new owner that can't reach this agent relies on that before it starts the tasks
// elsewhere.
func (w *Worker) enforceOwnerTimeoutLocked(now time.Duration, fx *Effects) {
	for _, r := range w.sortedRunsLocked() {
		if now-w.lastHeardLocked(r) < w.ownerTimeout(r) || r.stopWanted && r.phase != ended {
			continue
		}
		if r.phase == ended {
			w.settleOrphanLocked(r)
			continue
		}
		w.stats.OwnerTimedOut++
		if r.phase == waiting {
			delete(w.runs, r.order.Run)
			continue
		}
		w.stopLocked(now, fx, r, "owner_silent")
	}
}

// settleOrphanLocked settles an end of a best-effort job whose owner is gone. Such a job is not
// recorded, so no other owner would settle the end, and the backend server's list would fill up
// with ends that can't be acknowledged behind it.
func (w *Worker) settleOrphanLocked(r *run) {
	if w.bestEffortLocked(r) {
		w.settleLocked(r)
	}
}

// ownerTimeout returns how long the owner of a run may be silent.
func (w *Worker) ownerTimeout(r *run) time.Duration {
	if !r.orderKnown {
		return w.bounds.AdoptionTimeout
	}
	return w.bounds.OwnerTimeout
}

// lastHeardLocked returns when the owner of a run was last heard. A run of an earlier incarnation
// of this agent counts from when it was found until an owner repeats its order.
func (w *Worker) lastHeardLocked(r *run) time.Duration {
	s := w.shards[r.order.Shard]
	if !r.orderKnown || s == nil {
		return r.startedAt
	}
	return s.heard
}

// Drain returns the waiting orders for a planned stop of the agent, which accepts no new ones from
// then on. It reports whether no run is active and no end waits for its owner.
func (w *Worker) Drain() (Effects, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	w.agentDraining = true
	w.returnWaitingLocked(&fx, "agent_draining")
	for _, r := range w.runs {
		if r.phase != ended || !r.end.settled {
			return fx, false
		}
	}
	return fx, true
}
