package worker

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// occupancy is what the runs on a backend server occupy.
type occupancy struct {
	used job.Demand
	// demandKnown is false while the demand of a run is unknown. Its owner reports it after its
	// claim; if the owner stays silent, the run is stopped.
	demandKnown bool
	// runs counts the runs that may be on the backend server. suspects counts those of tasks under
	// which servers were lost.
	runs, suspects int
	// exclusive is set while an exclusive run has the server to itself.
	exclusive bool
}

// occupancyLocked sums up what the runs on the backend server occupy. A run counts until its end is
// listed or its lease has expired for certain: the backend server starts everything it is told to,
// whether it fits or not.
func (w *Worker) occupancyLocked(now time.Duration) occupancy {
	o := occupancy{demandKnown: true}
	for _, r := range w.runs {
		if !r.occupies() {
			continue
		}
		o.demandKnown = o.demandKnown && r.orderKnown
		o.exclusive = o.exclusive || r.runsExclusively(now)
		o.add(&r.order)
	}
	return o
}

func (o *occupancy) add(order *Order) {
	o.used = o.used.Plus(order.Demand)
	o.runs++
	if order.Isolation != NoIsolation {
		o.suspects++
	}
}

// startWaitingLocked starts waiting orders while they fit.
func (w *Worker) startWaitingLocked(now time.Duration, fx *Effects) {
	if !w.mayStartLocked() {
		return
	}
	taken := w.occupancyLocked(now)
	if !taken.demandKnown {
		return
	}
	for _, r := range w.waitingLocked() {
		if !taken.admits(&r.order) {
			if r.order.Isolation == ApartFromSuspects {
				continue // the suspect before it ends soon, so the orders behind it need not wait
			}
			return
		}
		if !r.order.Demand.Fits(w.server.Capacity.Minus(taken.used)) {
			// Later, smaller orders may not overtake: an order with a large demand would starve.
			return
		}
		taken.add(&r.order)
		taken.exclusive = r.order.Isolation == Exclusive
		w.startLocked(now, fx, r)
		if w.health.probing() {
			return
		}
	}
}

func (w *Worker) mayStartLocked() bool {
	return w.reported && w.clock.known && !w.server.Draining && !w.drained && !w.awaitLeaseExpiry && !w.unresponsive && !w.health.suspended
}

// waitingLocked returns the waiting orders, most urgent first: by their latest start, which is when
// they are due less their expected run time. Late orders keep their position. If they were moved
// behind those that can still be in time, they would wait until the worker is idle, for seconds on
// a full one, and their jobs, whose other tasks are done already, would be given up. The owners'
// admission keeps the queues so short that late orders delay only few others beyond their deadline.
func (w *Worker) waitingLocked() []*run {
	var out []*run
	for _, r := range w.runs {
		if r.phase == waiting {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int {
		if x, y := a.order.latestStart(), b.order.latestStart(); x != y {
			return int(x - y)
		}
		return int(a.queueSeq - b.queueSeq)
	})
	return out
}

func (w *Worker) startLocked(now time.Duration, fx *Effects, r *run) {
	r.phase = starting
	r.deadline = w.extendLeaseLocked(now)
	r.startedAt = now
	r.startedInSilence = w.silent
	w.stats.Started++
	fx.Starts = append(fx.Starts, StartCall{
		Instance:        w.server.Instance,
		Run:             r.order.Run,
		Payload:         r.order.Payload,
		Checkpoint:      r.order.Checkpoint,
		Deadline:        r.deadline,
		ResponseTimeout: w.startTimeout(r),
	})
}

// startTimeout returns the response timeout of a start. A start that was merely slow may begin
// after the list that lacks it and before the stop that bars it; it is then stopped. A task that
// must not be repeated would be lost that way, and its job with it, so such tasks get the maximum
// timeout.
func (w *Worker) startTimeout(r *run) time.Duration {
	if r.order.AtMostOnce {
		return maxResponseTimeout
	}
	return w.responses.timeout()
}

// extendLeaseLocked extends the lease from now and returns its end on the backend server's clock,
// in milliseconds.
func (w *Worker) extendLeaseLocked(now time.Duration) int64 {
	w.leaseDeadline = max(w.leaseDeadline, w.clock.at(now+w.bounds.Lease))
	w.leaseExpiry = now + w.leaseDuration()
	return w.leaseDeadline
}

// leaseDuration is how long after an extension the lease has expired for certain.
func (w *Worker) leaseDuration() time.Duration {
	return time.Duration(float64(w.bounds.Lease)*clockDrift) + leaseExpiryMargin
}

// StartOutcome is the outcome of a StartCall.
type StartOutcome uint8

const (
	// StartOK means that the backend server has accepted the run.
	StartOK StartOutcome = iota
	// StartRefused means that the backend server did nothing and will do nothing.
	StartRefused
	// StartUnhealthy is StartRefused by a backend server that is overloaded or failing.
	StartUnhealthy
	// StartUnknown means that there was no answer. The start may be carried out, even later.
	StartUnknown
)

// StartAnswered applies the outcome of a StartCall.
func (w *Worker) StartAnswered(now time.Duration, instance job.Instance, id job.RunID, outcome StartOutcome, reason string) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	r := w.runs[id]
	if r == nil || instance != w.server.Instance || r.phase != starting {
		return fx
	}
	if outcome != StartUnknown {
		w.endSilenceLocked()
	}
	switch outcome {
	case StartOK:
		w.responses.observe(now - r.startedAt)
		w.confirmLocked(&fx, r)
		r.startedAt, r.startSeen = now, true
	case StartRefused, StartUnhealthy:
		w.stats.Refused++
		if outcome == StartUnhealthy {
			w.health.failed(now)
		}
		w.reportEndLocked(&fx, r, job.NeverRan, reason)
		delete(w.runs, id)
	case StartUnknown:
		// Either the answer was lost and the run is active, which the next list shows, or the start
		// may still be carried out seconds later. The run occupies its capacity until one of the
		// two is certain.
		w.stats.Unconfirmed++
		w.responses.timedOut()
		r.phase = unconfirmed
		r.confirmedAtHold = w.holds
	}
	w.startWaitingLocked(now, &fx)
	return fx
}

// confirmLocked notes that a run is active.
func (w *Worker) confirmLocked(fx *Effects, r *run) {
	if r.phase == starting {
		w.emitLocked(fx, r, RunState{Run: r.order.Run, Status: Running})
	}
	r.phase, r.inDoubt, r.loss = running, false, NotLost
	r.confirmedAtHold = w.holds
}
