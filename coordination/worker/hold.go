package worker

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state/job"
)

// HoldCall asks the driver to extend the lease and to list the runs.
type HoldCall struct {
	Instance job.Instance
	// Seq numbers the calls. The driver passes the call back with the answer.
	Seq   int64
	Acked int64
	// Deadline is the end of the lease on the backend server's clock, in milliseconds; zero doesn't
	// extend the lease.
	Deadline int64
	// Idle is set while nothing occupies the backend server.
	Idle bool
	// UnconfirmedStart is set while the outcome of a start is unknown, so that the driver asks for
	// the lists soon.
	UnconfirmedStart bool
	// UnackedEnds is set while the backend server lists ends that are known here but can't be
	// acknowledged yet. The backend server then answers at once with nothing new, so the driver has
	// to pace the calls.
	UnackedEnds bool
	// Lossy is set while answers of the backend server have recently been missing.
	Lossy bool
	// First is set until this incarnation of the agent has seen the lists. Nothing else is done
	// before, so the call should not wait for an end.
	First bool
	// ResponseTimeout is how long to wait for the answer beyond the time that the call itself waits
	// for an end.
	ResponseTimeout time.Duration
	// prevLeaseExpiry is the local time at which the lease expires for certain if this call isn't
	// carried out.
	prevLeaseExpiry time.Duration
}

// ListedRun is an entry of the backend server's list of active runs.
type ListedRun struct {
	Run        job.RunID
	Checkpoint string
}

// ListedEnd is an entry of the backend server's list of ended runs.
type ListedEnd struct {
	Seq        int64
	Run        job.RunID
	Kind       job.EndKind
	Checkpoint string
	// Result is the result of a completed run, if it has one.
	Result string
}

// renewalCutoff is how long after the last answer of a backend server its lease is still extended.
// A call without an answer may have extended it, so with endless extensions the runs of a crashed
// server would count as active forever. The limit tolerates three lost answers in a row.
const renewalCutoff = 600 * time.Millisecond

// HoldFailure is why a hold has no result.
type HoldFailure uint8

const (
	// NoAnswer means that it is unknown whether the hold was carried out.
	NoAnswer HoldFailure = iota
	// NotSent means that no connection could be made, so the hold was not carried out.
	NotSent
	// OtherInstance means that another instance of the backend server answered.
	OtherInstance
)

// ErrNotSent is returned when no connection to the backend server could be made.
var ErrNotSent = errors.New("cannot connect to the backend server")

// ErrOtherInstance is returned when another instance of the backend server answered.
var ErrOtherInstance = errors.New("another instance of the backend server answered")

// HoldResult is the result of a hold.
type HoldResult struct {
	// StartedMS is the start time of the instance that answered; zero if it didn't say.
	StartedMS int64
	// ClockMS is the reading of the backend server's clock in milliseconds.
	ClockMS int64
	Active  []ListedRun
	Ends    []ListedEnd
	// Incomplete is set if rows of the lists could not be read. What is missing may be active.
	Incomplete bool
	// Capacity is the capacity that the server reported with the answer; nil if it reported none.
	Capacity *job.Demand
}

// Hold returns the next hold to send. It returns false while no backend server is known.
func (w *Worker) Hold(now time.Duration) (HoldCall, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.reported || !w.clock.known {
		return HoldCall{}, false
	}
	w.holds++
	c := HoldCall{Instance: w.server.Instance, Seq: w.holds, Acked: w.acked, Idle: w.idleLocked(), UnconfirmedStart: w.unconfirmedStartLocked(), UnackedEnds: len(w.unackedEnds) > 0, Lossy: w.lossyLocked(now), First: !w.listsSeen, ResponseTimeout: w.holdTimeoutLocked(), prevLeaseExpiry: w.leaseExpiry}
	if !w.awaitLeaseExpiry && now-w.lastHoldAnswer < renewalCutoff {
		c.Deadline = w.extendLeaseLocked(now)
	}
	return c, true
}

// holdTimeoutLocked returns the response timeout of a hold. It doubles with each consecutive hold
// without an answer, up to the maximum. On a busy host lists take longer than starts, and if every
// hold timed out, the lease would expire and all runs would be cut off.
func (w *Worker) holdTimeoutLocked() time.Duration {
	return min(w.responses.timeout()<<min(w.missedHolds, 3), maxResponseTimeout)
}

func (w *Worker) unconfirmedStartLocked() bool {
	for _, r := range w.runs {
		if r.phase == unconfirmed {
			return true
		}
	}
	return false
}

func (w *Worker) idleLocked() bool {
	for _, r := range w.runs {
		if r.phase != waiting {
			return false
		}
	}
	return true
}

// maxListedEnds is the number of ends at which the backend server's list may be truncated. A run
// that such a list lacks may have ended nevertheless.
const maxListedEnds = 500

// HoldAnswered applies the lists that a hold returned.
func (w *Worker) HoldAnswered(now time.Duration, c HoldCall, h HoldResult) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	if c.Instance != w.server.Instance {
		return fx
	}
	if !w.answeredByLocked(now, &fx, job.Instance{ID: c.Instance.ID, StartedMS: h.StartedMS}) {
		return fx
	}
	w.listsSeen = true
	w.lastHoldAnswer = now
	w.endSilenceLocked()
	w.resolveLossLocked(&fx, LossCleared)
	// After a hold without an answer it is unknown when the runs ended.
	w.afterMissedHold, w.unresponsive, w.missedHolds = w.missedHolds > 0, false, 0
	w.clock.update(now, h.ClockMS)
	if h.Capacity != nil && w.updateCapacityLocked(*h.Capacity, h.ClockMS) {
		w.returnUnfitLocked(now, &fx)
	}
	listed := make(map[job.RunID]bool, len(h.Active)+len(h.Ends))
	for _, a := range h.Active {
		listed[a.Run] = true
		w.applyListedRunLocked(now, &fx, a)
	}
	slices.SortFunc(h.Ends, func(a, b ListedEnd) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, e := range h.Ends {
		listed[e.Run] = true
		w.applyListedEndLocked(now, &fx, e)
	}
	w.leaseExpired, w.expiredRuns = false, nil
	w.unsettled = len(h.Ends)
	if len(h.Ends) < maxListedEnds && !h.Incomplete {
		w.dropMissingLocked(&fx, c, h.ClockMS, listed)
	}
	w.completeLeaseExpiryLocked(h.ClockMS)
	w.acknowledgeLocked()
	w.tickLocked(now, &fx)
	return fx
}

// answeredByLocked reports whether lists come from the known instance. The lists of a new
// incarnation may arrive before its first report. They end the earlier one, but the service and
// capacity of the new one are not known, so nothing is started before the report. A server whose
// lists name an earlier start than its reports did is another one than reported, and the next report
// counts as the first.
func (w *Worker) answeredByLocked(now time.Duration, fx *Effects, answered job.Instance) bool {
	w.learnStartLocked(answered)
	if answered.StartedMS == 0 || answered == w.server.Instance {
		return true
	}
	w.replacedServerLocked(now, fx, answered)
	w.reported = false
	known := w.server.Instance
	w.server = Server{}
	if known.Precedes(answered) {
		w.server.Instance = answered
	}
	return false
}

func (w *Worker) applyListedRunLocked(now time.Duration, fx *Effects, a ListedRun) {
	r := w.runs[a.Run]
	if r == nil {
		// The run was started by an earlier incarnation of this agent, or it was reported as lapsed
		// and hasn't ended yet.
		shard := a.Run.Task.Job.Shard(w.bounds.Shards)
		w.runs[a.Run] = &run{order: Order{Shard: shard, Run: a.Run}, phase: running, startedAt: now, listed: true}
		return
	}
	if r.phase == starting || r.phase == unconfirmed {
		w.confirmLocked(fx, r)
	}
	r.listed = true
}

func (w *Worker) applyListedEndLocked(now time.Duration, fx *Effects, e ListedEnd) {
	if e.Seq <= w.acked || w.unackedEnds[e.Seq] != nil {
		return
	}
	r := w.runs[e.Run]
	// The owner was already told that the run lapsed, and the lease did expire after this end. That
	// doesn't hold for a run that was started since.
	alreadyReported := w.expiredRuns[e.Run] && (r == nil || r.phase == ended)
	if r == nil {
		shard := e.Run.Task.Job.Shard(w.bounds.Shards)
		r = &run{order: Order{Shard: shard, Run: e.Run}, startedAt: now}
		w.runs[e.Run] = r
	}
	if len(w.unackedEnds) == 0 && w.acked == 0 {
		// An earlier incarnation of this agent has acknowledged all ends before this one.
		w.acked = e.Seq - 1
	}
	if r.phase == running {
		r.end.work = now - r.startedAt
	}
	r.phase = ended
	r.end.seq, r.end.kind, r.end.checkpoint, r.end.result = e.Seq, e.Kind, e.Checkpoint, e.Result
	w.unackedEnds[e.Seq] = r
	w.updateHealthLocked(now, r)
	if alreadyReported && !r.order.AtMostOnce {
		// The end was reported as lapsed, so acknowledging it has no effect on the job.
		r.end.settled = true
		return
	}
	if alreadyReported {
		// The run stays lapsed, however it really ended, until its owner has settled it.
		r.end.kind = job.Lapsed
	}
	if s := w.shards[r.order.Shard]; s != nil && !r.orderKnown {
		// The owner of the shard that the job ID maps to settles the runs that no other owner
		// knows.
		r.order.Epoch = s.epoch
	}
	w.emitLocked(fx, r, r.state())
}

func (w *Worker) updateHealthLocked(now time.Duration, r *run) {
	switch r.end.kind {
	case job.Done:
		w.health.done()
		if !w.afterMissedHold {
			w.health.observe(now, r.end.work, r.order.localEstimate())
		}
		w.learnSpeedLocked(now, r)
		w.lastDone = now
	case job.FailedRun:
		w.health.failed(now)
	}
}

// dropMissingLocked drops runs that the backend server doesn't list and that can't run any more. A
// run that is missing in the list of a hold sent after its confirmation is gone. A run whose start
// was never answered can't start once a stop was answered, or once its deadline has passed on the
// backend server's own clock.
func (w *Worker) dropMissingLocked(fx *Effects, c HoldCall, clockMS int64, listed map[job.RunID]bool) {
	for _, r := range w.sortedRunsLocked() {
		if listed[r.order.Run] || r.phase == waiting || r.phase == ended {
			continue
		}
		kind, reason := job.Lapsed, "not_listed"
		switch r.phase {
		case starting:
			continue
		case unconfirmed:
			barred := r.stopAnswered && c.Seq > r.confirmedAtHold
			if !barred && clockMS <= r.deadline {
				// A stop bars the run from starting for good, even if the start arrives after the
				// stop.
				r.stopWanted = r.stopWanted || c.Seq > r.confirmedAtHold
				continue
			}
			if !r.inDoubt {
				kind, reason = job.NeverRan, ReasonBarred
			}
		case running:
			if c.Seq <= r.confirmedAtHold {
				continue
			}
		}
		w.dropLocked(fx, r, kind, reason)
	}
}

// completeLeaseExpiryLocked ends the wait for the expiry of the lease once the backend server's
// clock is past the last deadline. No run is active then, and ends from before no longer count.
func (w *Worker) completeLeaseExpiryLocked(clockMS int64) {
	if !w.awaitLeaseExpiry || clockMS <= w.leaseDeadline+leaseExpiryMargin.Milliseconds() {
		return
	}
	w.awaitLeaseExpiry = false
	for _, r := range w.unackedEnds {
		r.end.void = false
	}
}
