package worker

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// phase is the progress of a run.
type phase uint8

const (
	// waiting means that the start has not been sent.
	waiting phase = iota
	// starting means that the start was sent and has not been answered.
	starting
	// unconfirmed means that the start got no answer and may still be carried out.
	unconfirmed
	// running means that the start was confirmed or the run was listed.
	running
	// ended means that the end is listed or kept for its owner, and is not yet both settled and
	// acknowledged.
	ended
)

// run is the state of one order here. Guarded by Worker.mu.
type run struct {
	order Order
	phase phase
	// orderKnown is false for a run that an earlier incarnation of this agent started. Its demand
	// is unknown until its owner repeats the order.
	orderKnown bool
	// deadline is the time on the backend server's clock, in milliseconds, after which it refuses
	// the start.
	deadline int64
	// confirmedAtHold is the number of holds sent when the start was confirmed or the stop was
	// answered. Only a later hold can show that the run is missing.
	confirmedAtHold int64
	// stopWanted is set if the run is to be stopped. The stop is repeated until one is answered.
	stopWanted   bool
	stopInFlight bool
	stopAnswered bool
	nextStop     time.Duration
	startedAt    time.Duration
	// startSeen is set if the backend server answered the start, so that startedAt is when the run
	// began.
	startSeen bool
	end       endState
	// queueSeq numbers the orders as they arrive.
	queueSeq int64
	// listed is set once the run was in a list of active runs of the present instance.
	listed bool
	// inDoubt is set while it is unknown whether the run was lost with an earlier incarnation of
	// the server or was started by the present one.
	inDoubt bool
	// loss and suspects are reported to the owner of a run that was lost with its server, which
	// was lostInstance.
	loss         Loss
	lostInstance job.Instance
	suspects     int
	// startedInSilence is set if the start was sent while the backend server was silent, and the
	// server has been silent since.
	startedInSilence bool
}

// sortedRunsLocked returns all runs in a fixed order, for walks whose effects depend on the order.
func (w *Worker) sortedRunsLocked() []*run {
	out := slices.Collect(maps.Values(w.runs))
	slices.SortFunc(out, func(a, b *run) int { return a.order.Run.Compare(b.order.Run) })
	return out
}

type endState struct {
	// seq is the backend server's sequence number of the end. It is zero if the server doesn't list
	// the end, or no longer does.
	seq        int64
	kind       job.EndKind
	checkpoint string
	result     string
	settled    bool
	void       bool
	work       time.Duration
}

// clock estimates the backend server's clock. Guarded by Worker.mu.
type clock struct {
	known  bool
	offset time.Duration
}

// update applies a clock reading, in milliseconds, that arrived at now. The estimate is never ahead
// of the backend server's clock, because the reading was taken before it arrived.
func (c *clock) update(now time.Duration, ms int64) {
	c.known = true
	c.offset = time.Duration(ms)*time.Millisecond - now
}

func (c *clock) at(now time.Duration) int64 { return int64((now + c.offset) / time.Millisecond) }

// replacedServerLocked ends all runs of an instance that another one has replaced. successor is
// zero if only that is known.
func (w *Worker) replacedServerLocked(now time.Duration, fx *Effects, successor job.Instance) {
	loss := LossConfirmed
	if w.plannedShutdown() {
		loss = LossCleared
	}
	w.resolveLossLocked(fx, loss)
	if loss == LossCleared {
		loss = NotLost
	}
	sameID := w.server.Instance.Precedes(successor)
	if sameID {
		w.stats.Restarted++
	}
	w.resetLocked(now, fx, loss, sameID)
}

// resetLocked ends all runs of an instance that is gone and reports them with the given loss.
// sameID is set if the server has started again under its ID.
func (w *Worker) resetLocked(now time.Duration, fx *Effects, loss Loss, sameID bool) {
	suspects := w.occupancyLocked(now).runs
	for _, r := range w.sortedRunsLocked() {
		if sameID && r.occupies() && !r.listed {
			w.keepInDoubtLocked(now, r, loss, suspects)
			continue
		}
		if r.phase != ended {
			w.endLostLocked(now, fx, r, loss, suspects, "instance_gone")
			continue
		}
		if r.order.AtMostOnce && !r.end.settled {
			// The owner has not recorded the end yet; see dropLocked.
			r.end.seq = 0
			continue
		}
		delete(w.runs, r.order.Run)
	}
	w.unackedEnds = make(map[int64]*run)
	w.clock = clock{}
	w.leaseDeadline, w.leaseExpiry, w.handledExpiry = 0, 0, 0
	w.awaitLeaseExpiry, w.leaseExpired, w.expiredRuns = false, false, nil
}

// keepInDoubtLocked keeps a start that the next incarnation of the server under its ID may have
// carried out, or may still carry out. A call names its instance only by the ID, so one that is
// under way reaches whichever incarnation runs when it arrives. If the run counted as lost, its task
// would be started elsewhere while it runs here. The lists of the new incarnation, or a stop there,
// resolve it. A run that the earlier incarnation has listed is gone with that.
func (w *Worker) keepInDoubtLocked(now time.Duration, r *run, loss Loss, suspects int) {
	w.recordLossLocked(now, r, loss, suspects)
	r.phase, r.inDoubt = unconfirmed, true
	r.confirmedAtHold, r.deadline = w.holds, math.MaxInt64
	r.stopInFlight, r.stopAnswered, r.nextStop = false, false, 0
}

// reportEndLocked reports the end of a run that the backend server doesn't list, unless the end is
// known already.
func (w *Worker) reportEndLocked(fx *Effects, r *run, kind job.EndKind, reason string) {
	if r.phase == ended {
		return
	}
	if r.phase == waiting {
		kind = job.NeverRan
	}
	s := RunState{Run: r.order.Run, Status: Ended, End: kind, Reason: reason}
	if r.loss != NotLost {
		s.Loss, s.Instance, s.Suspects = r.loss, r.lostInstance, r.suspects
	}
	w.emitLocked(fx, r, s)
}

// dropLocked reports the end of a run that the backend server doesn't list, and forgets the run.
// The loss of a run that must not be repeated is kept until its owner has settled it. Otherwise an
// owner that takes over before would find nothing and start the task again.
func (w *Worker) dropLocked(fx *Effects, r *run, kind job.EndKind, reason string) {
	w.reportEndLocked(fx, r, kind, reason)
	if r.order.AtMostOnce && kind == job.Lapsed && r.phase != waiting {
		r.phase, r.end = ended, endState{kind: kind}
		return
	}
	delete(w.runs, r.order.Run)
}

func (w *Worker) emitLocked(fx *Effects, r *run, s RunState) {
	fx.Events = append(fx.Events, Event{Shard: r.order.Shard, Epoch: r.order.Epoch, State: s})
}

// returnWaitingLocked returns the waiting orders to their owners.
func (w *Worker) returnWaitingLocked(fx *Effects, reason string) {
	for _, r := range w.waitingLocked() {
		w.dropLocked(fx, r, job.NeverRan, reason)
	}
}
