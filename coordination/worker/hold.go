package worker

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state/job"
)

// HoldCall asks the driver to extend the lease and to list the runs.
type HoldCall struct {
	Instance string
	// Seq numbers the calls. The driver passes the call back with the answer.
	Seq   int64
	Acked int64
	// Deadline is the end of the lease on the backend server's clock, in milliseconds; zero doesn't
	// extend the lease.
	Deadline int64
	// Idle is set while nothing occupies the backend server.
	Idle bool
	// Hurry is set while the outcome of a start is unknown, so that the driver asks for the lists
	// soon.
	Hurry bool
	// Known is set while the backend server lists ends that are known here but can't be
	// acknowledged yet. The backend server then answers at once with nothing new, so the driver has
	// to pace the calls.
	Known bool
	// Lossy is set while answers of the backend server have recently been missing.
	Lossy bool
	// First is set until this incarnation of the agent has seen the lists. Nothing else is done
	// before, so the call should not wait for an end.
	First bool
	// Patience is how long to wait for the answer beyond the time that the call itself waits for an
	// end.
	Patience time.Duration
	// before is the local time at which the lease expires for certain if this call isn't carried
	// out.
	before time.Duration
}

// Listed is an entry of the backend server's list of active runs.
type Listed struct {
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

// lastGrant is how long after the last answer of a backend server its lease is still extended. A
// call without an answer may have extended it, so with endless extensions the runs of a crashed
// server would count as active forever. The limit tolerates three lost answers in a row.
const lastGrant = 600 * time.Millisecond

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

// Holding is the result of a hold.
type Holding struct {
	// ClockMS is the reading of the backend server's clock in milliseconds.
	ClockMS int64
	Active  []Listed
	Ends    []ListedEnd
	// Capacity is the capacity that the server reported with the answer; nil if it reported none.
	Capacity *job.Demand
}

// Hold returns the next hold to send. It returns false while no backend server is known.
func (w *Worker) Hold(now time.Duration) (HoldCall, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.seen || !w.clock.known {
		return HoldCall{}, false
	}
	w.holds++
	c := HoldCall{Instance: w.server.Instance, Seq: w.holds, Acked: w.acked, Idle: w.idleLocked(), Hurry: w.doubtLocked(), Known: len(w.ends) > 0, Lossy: w.lossyLocked(now), First: !w.held, Patience: w.holdPatienceLocked(), before: w.grantedEnd}
	if !w.lapsing && now-w.answered < lastGrant {
		c.Deadline = w.grantLocked(now)
	}
	return c, true
}

// holdPatienceLocked returns the response timeout of a hold. It doubles with each consecutive hold
// without an answer, up to the maximum. On a busy host lists take longer than starts, and if every
// hold timed out, the lease would expire and all runs would be cut off.
func (w *Worker) holdPatienceLocked() time.Duration {
	return min(w.answers.patience()<<min(w.misses, 3), mostPatience)
}

func (w *Worker) doubtLocked() bool {
	for _, r := range w.runs {
		if r.phase == doubtful {
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

// fullList is the number of ends at which the backend server's list may be truncated. A run that
// such a list lacks may have ended nevertheless.
const fullList = 500

// Held applies the lists that a hold returned.
func (w *Worker) Held(now time.Duration, c HoldCall, h Holding) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	if c.Instance != w.server.Instance {
		return fx
	}
	w.held = true
	w.answered = now
	w.explainLocked(&fx, LossCleared)
	// After a hold without an answer it is unknown when the runs ended.
	w.gap, w.failing, w.misses = w.misses > 0, false, 0
	w.clock.read(now, h.ClockMS)
	if h.Capacity != nil && w.sayLocked(*h.Capacity, h.ClockMS) {
		w.returnUnfitLocked(now, &fx)
	}
	listed := make(map[job.RunID]bool, len(h.Active)+len(h.Ends))
	for _, a := range h.Active {
		listed[a.Run] = true
		w.activeLocked(now, &fx, a)
	}
	slices.SortFunc(h.Ends, func(a, b ListedEnd) int { return int(a.Seq - b.Seq) })
	for _, e := range h.Ends {
		listed[e.Run] = true
		w.endedLocked(now, &fx, e)
	}
	w.clean = false
	w.unsettled = len(h.Ends)
	if len(h.Ends) < fullList {
		w.missingLocked(&fx, c, h.ClockMS, listed)
	}
	w.lapseLocked(h.ClockMS)
	w.trimLocked()
	w.tickLocked(now, &fx)
	return fx
}

func (w *Worker) activeLocked(now time.Duration, fx *Effects, a Listed) {
	r := w.runs[a.Run]
	if r == nil {
		// The run was started by an earlier incarnation of this agent, or it was reported as lapsed
		// and hasn't ended yet.
		shard := a.Run.Task.Job.Shard(w.bounds.Shards)
		w.runs[a.Run] = &run{order: Order{Shard: shard, Run: a.Run}, phase: running, startedAt: now}
		return
	}
	if r.phase == starting || r.phase == doubtful {
		w.confirmLocked(fx, r)
	}
}

func (w *Worker) endedLocked(now time.Duration, fx *Effects, e ListedEnd) {
	if e.Seq <= w.acked || w.ends[e.Seq] != nil {
		return
	}
	r := w.runs[e.Run]
	// The owner was already told that the run lapsed, and the lease did expire after this end. That
	// doesn't hold for a run that was started since.
	told := w.clean && (r == nil || r.phase == ended)
	if r == nil {
		shard := e.Run.Task.Job.Shard(w.bounds.Shards)
		r = &run{order: Order{Shard: shard, Run: e.Run}, startedAt: now}
		w.runs[e.Run] = r
	}
	if len(w.ends) == 0 && w.acked == 0 {
		// An earlier incarnation of this agent has acknowledged all ends before this one.
		w.acked = e.Seq - 1
	}
	if r.phase == running {
		r.end.work = now - r.startedAt
	}
	r.phase = ended
	r.end.seq, r.end.kind, r.end.checkpoint, r.end.result = e.Seq, e.Kind, e.Checkpoint, e.Result
	w.ends[e.Seq] = r
	w.noteHealthLocked(now, r)
	if told && !r.order.Once {
		// The end was reported as lapsed, so acknowledging it has no effect on the job.
		r.end.settled = true
		return
	}
	if told {
		// The run stays lapsed, however it really ended, until its owner has settled it.
		r.end.kind = job.Lapsed
	}
	if s := w.shards[r.order.Shard]; s != nil && !r.known {
		// The owner of the shard that the job ID maps to settles the runs that no other owner
		// knows.
		r.order.Epoch = s.epoch
	}
	w.emitLocked(fx, r, r.state())
}

func (w *Worker) noteHealthLocked(now time.Duration, r *run) {
	switch r.end.kind {
	case job.Done:
		w.health.done()
		if !w.gap {
			w.health.learn(now, r.end.work, r.order.Estimate)
		}
		w.lastDone = now
	case job.FailedRun:
		w.health.failed(now)
	}
}

// missingLocked drops runs that the backend server doesn't list and that can't run any more. A run
// that is missing in the list of a hold sent after its confirmation is gone. A run whose start was
// never answered can't start once a stop was answered, or once its deadline has passed on the
// backend server's own clock.
func (w *Worker) missingLocked(fx *Effects, c HoldCall, clockMS int64, listed map[job.RunID]bool) {
	for id, r := range w.runs {
		if listed[id] || r.phase == waiting || r.phase == ended {
			continue
		}
		kind, reason := job.Lapsed, "not_listed"
		switch r.phase {
		case starting:
			continue
		case doubtful:
			barred := r.stopAnswered && c.Seq > r.confirmedBy
			if !barred && clockMS <= r.deadline {
				// A stop bars the run from starting for good, even if the start arrives after the
				// stop.
				r.stopWanted = r.stopWanted || c.Seq > r.confirmedBy
				continue
			}
			kind, reason = job.NeverRan, "barred"
		case running:
			if c.Seq <= r.confirmedBy {
				continue
			}
		}
		w.dropLocked(fx, id, r, kind, reason)
	}
}

// lapseLocked ends the wait for the expiry of the lease once the backend server's clock is past the
// last deadline. No run is active then, and ends from before no longer count.
func (w *Worker) lapseLocked(clockMS int64) {
	if !w.lapsing || clockMS <= w.granted+lapseMargin.Milliseconds() {
		return
	}
	w.lapsing = false
	for _, r := range w.ends {
		r.end.void = false
	}
}
