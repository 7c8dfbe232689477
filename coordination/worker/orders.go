package worker

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// Order takes in an owner's order. An order that the shard's newer owner has
// overtaken is dropped without a word: the claim's answer has settled it.
func (w *Worker) Order(now time.Duration, o Order) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	s := w.shards[o.Shard]
	if s == nil || s.epoch != o.Epoch || s.session != o.Session || now-s.heard >= w.bounds.OwnerSilence {
		return fx
	}
	if r := w.runs[o.Run]; r != nil {
		w.adoptLocked(&fx, r, o)
		w.pumpLocked(now, &fx)
		return fx
	}
	if o.Repeat {
		// The run has ended while the order was on its way, and its owner is told.
		// Taken for a new order it would start the task a second time.
		return fx
	}
	r := &run{order: o, known: true}
	if reason := w.unfitLocked(o); reason != "" {
		w.stats.Refused++
		if reason == ReasonDomainDrained {
			w.stats.Drained++
		}
		w.overLocked(&fx, r, job.NeverRan, reason)
		return fx
	}
	w.queued++
	r.queue = w.queued
	w.runs[o.Run] = r
	w.pumpLocked(now, &fx)
	if r.phase == waiting && w.betterElsewhereLocked(now, r) {
		w.stats.Returned++
		delete(w.runs, o.Run)
		w.overLocked(&fx, r, job.NeverRan, ReasonNoRoom)
	}
	return fx
}

// reasonTooLarge is why an order is refused that is more than the server has.
const reasonTooLarge = "too_large"

// ReasonNoRoom is why an order is handed back that would start too late here.
const ReasonNoRoom = "no_room"

// returnMargin is the slack below which an order is not handed back any more: the way
// back and to another worker takes as long.
const returnMargin = 10 * time.Millisecond

// returnShare of an order's slack is the longest expected wait with which it stays: the
// expectation is rough.
const returnShare = 0.6

// betterElsewhereLocked reports whether a waiting order is to go back to its owner: it
// would start too late here, and has the time to go elsewhere. Several owners see the same
// free room and send their orders there at once; all but the first would wait until a task
// ends, on a worker of six some 60 ms, while others have room.
func (w *Worker) betterElsewhereLocked(now time.Duration, r *run) bool {
	slack := r.order.latestStart() - now
	ahead, overfull := w.aheadLocked(now, r)
	if slack > returnMargin {
		return ahead > time.Duration(returnShare*float64(slack))
	}
	return overfull && ahead > overfullWait
}

// aheadLocked is how long a waiting run is expected to wait for room here, and whether
// more runs here than fits.
func (w *Worker) aheadLocked(now time.Duration, r *run) (wait time.Duration, overfull bool) {
	taken := w.occupancyLocked(now)
	excess := taken.excess(w.server.Capacity)
	running, ahead := 0, excess
	var sum time.Duration
	for _, o := range w.runs {
		switch {
		case o.phase == ended:
		case o.phase != waiting:
			running++
			sum += o.order.Estimate
		case o.order.latestStart() <= r.order.latestStart():
			ahead++
		}
	}
	return time.Duration(ahead) * turnover(running, sum), excess > 0
}

// adoptLocked takes over an order for a run that is here already.
func (w *Worker) adoptLocked(fx *Effects, r *run, o Order) {
	if r.known {
		return
	}
	r.order, r.known = o, true
	if r.phase == ended {
		// Its end was told to nobody who knows the job.
		w.emitLocked(fx, r, r.state())
	}
}

// unfitLocked says why an order can't be taken here, or "".
func (w *Worker) unfitLocked(o Order) string {
	switch {
	case !w.seen:
		return "no_server"
	case w.server.Draining:
		return "draining"
	case w.closing:
		return "agent_draining"
	case w.drained:
		return ReasonDomainDrained
	case w.server.Service != o.Service:
		return "other_service"
	case o.Label != "" && !slices.Contains(w.server.Labels, o.Label):
		return "label"
	case !o.Demand.Fits(w.server.Capacity):
		return reasonTooLarge
	case w.health.suspended:
		return "unhealthy"
	case w.failing:
		return "server_silent"
	}
	if o.MaxPerWorker > 0 && w.sameStepLocked(o.Run.Task) >= o.MaxPerWorker {
		return "max_per_worker"
	}
	return ""
}

func (w *Worker) sameStepLocked(t job.TaskID) int {
	n := 0
	for id, r := range w.runs {
		if r.phase != ended && id.Task.Job == t.Job && id.Task.Step == t.Step {
			n++
		}
	}
	return n
}
