package worker

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// Order handles an owner's order to start a run. An order of an owner that has been superseded is
// dropped without an answer: the answer to the newer claim covers it.
func (w *Worker) Order(now time.Duration, o Order) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	s := w.shards[o.Shard]
	if s == nil || s.epoch != o.Epoch || s.session != o.Session || now-s.heard >= w.bounds.OwnerTimeout {
		return fx
	}
	if r := w.runs[o.Run]; r != nil {
		w.adoptLocked(&fx, r, o)
		w.startWaitingLocked(now, &fx)
		return fx
	}
	if o.Repeat {
		// The run ended while the order was in transit, and its owner is told. Treating it as a new
		// order would start the task a second time.
		return fx
	}
	r := &run{order: o, orderKnown: true}
	if reason := w.refusalReasonLocked(o); reason != "" {
		w.stats.Refused++
		if reason == ReasonDomainDrained {
			w.stats.Drained++
		}
		w.reportEndLocked(&fx, r, job.NeverRan, reason)
		return fx
	}
	w.lastQueueSeq++
	r.queueSeq = w.lastQueueSeq
	w.runs[o.Run] = r
	w.startWaitingLocked(now, &fx)
	if r.phase == waiting && w.shouldReturnLocked(now, r) {
		w.stats.Returned++
		delete(w.runs, o.Run)
		w.reportEndLocked(&fx, r, job.NeverRan, ReasonNoRoom)
	}
	return fx
}

// reasonTooLarge is the reason for refusing or returning an order that demands more than the
// server's capacity.
const reasonTooLarge = "too_large"

// ReasonNoRoom is the reason for returning an order that would start too late here.
const ReasonNoRoom = "no_room"

// ReasonBarred is the reason for the end of a run whose start was never answered and can't be carried
// out any more.
const ReasonBarred = "barred"

// returnMargin is the slack at or below which an order is no longer returned: the way back and to
// another worker takes as long.
const returnMargin = 10 * time.Millisecond

// maxWaitShare is the share of an order's slack up to which its expected wait may grow before it is
// returned. It is below 1 because the expected wait is a rough estimate.
const maxWaitShare = 0.6

// shouldReturnLocked reports whether a waiting order should be returned to its owner, because it
// would start too late here and has time to go elsewhere. Several owners see the same free capacity
// and send their orders there at once. All but the first would wait until a task ends, some 60 ms
// on a worker that fits six, while other workers have free capacity.
func (w *Worker) shouldReturnLocked(now time.Duration, r *run) bool {
	slack := r.order.latestStart() - now
	ahead, overcommitted := w.expectedWaitLocked(now, r)
	if slack > returnMargin {
		return ahead > time.Duration(maxWaitShare*float64(slack))
	}
	return overcommitted && ahead > overcommittedWait
}

// expectedWaitLocked returns how long a waiting run is expected to wait for capacity here, and
// whether the runs here occupy more than the capacity.
func (w *Worker) expectedWaitLocked(now time.Duration, r *run) (wait time.Duration, overcommitted bool) {
	taken := w.occupancyLocked(now)
	excess := taken.excess(w.server.Capacity)
	running, ahead := 0, excess
	var sum time.Duration
	for _, o := range w.runs {
		switch {
		case o.phase == ended:
		case o.phase != waiting:
			running++
			sum += o.order.localEstimate()
		case o.order.latestStart() <= r.order.latestStart():
			ahead++
		}
	}
	return time.Duration(ahead) * turnover(running, sum), excess > 0
}

// adoptLocked applies a repeated order to a run of an earlier incarnation of this agent, whose
// order is not known here.
func (w *Worker) adoptLocked(fx *Effects, r *run, o Order) {
	if r.orderKnown {
		return
	}
	r.order, r.orderKnown = o, true
	if r.phase == ended {
		// The end was reported before, but to no owner that knew the job.
		w.emitLocked(fx, r, r.state())
	}
}

// refusalReasonLocked returns the reason for refusing an order, or "" if it can be accepted.
func (w *Worker) refusalReasonLocked(o Order) string {
	switch {
	case !w.reported:
		return "no_server"
	case w.server.Draining:
		return "draining"
	case w.agentDraining:
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
	case w.unresponsive:
		return "server_silent"
	}
	if o.MaxPerWorker > 0 && w.countSameStepLocked(o.Run.Task) >= o.MaxPerWorker {
		return "max_per_worker"
	}
	return ""
}

func (w *Worker) countSameStepLocked(t job.TaskID) int {
	n := 0
	for id, r := range w.runs {
		if r.phase != ended && id.Task.Job == t.Job && id.Task.Step == t.Step {
			n++
		}
	}
	return n
}
