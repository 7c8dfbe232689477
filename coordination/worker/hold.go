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
	// Seq numbers the calls; it goes back with the answer.
	Seq   int64
	Acked int64
	// Deadline is on the backend server's clock; zero extends nothing.
	Deadline int64
	// Idle is set while nothing occupies the backend server.
	Idle bool
	// Hurry is set while a start is in doubt.
	Hurry bool
	// Known is set while the backend server lists ends that are known here and
	// can't be acknowledged yet. It answers at once then, with nothing new.
	Known bool
	// Lossy is set while answers of the backend server have been missing.
	Lossy bool
	// First is set until this life of the agent has seen the lists: nothing is
	// done before, so the call should wait for nothing.
	First bool
	// Patience is how long to wait for the answer beyond the time that it is to take.
	Patience time.Duration
	// before is when the lease ended for certain before this call.
	before time.Duration
}

// Listed is an entry of the backend server's list of active runs.
type Listed struct {
	Run        job.RunID
	Checkpoint string
}

// ListedEnd is an entry of its list of ended runs.
type ListedEnd struct {
	Seq        int64
	Run        job.RunID
	Kind       job.EndKind
	Checkpoint string
	// Result is what a run that is done returned, if anything.
	Result string
}

// lastGrant is how long after its last answer a backend server's lease is still
// extended. A call without an answer may have extended it all the same, so runs
// on a server that crashed would be at work for ever as far as anyone knows. It
// lets three lost answers in a row pass.
const lastGrant = 600 * time.Millisecond

// HoldFailure says what became of a hold without an answer.
type HoldFailure uint8

const (
	// NoAnswer leaves open whether the hold was carried out.
	NoAnswer HoldFailure = iota
	// NotSent: no connection could be made; nothing was carried out.
	NotSent
	// OtherInstance: another life of the backend server has answered.
	OtherInstance
)

// ErrNotSent says that no connection to the backend server could be made.
var ErrNotSent = errors.New("the backend server takes no connections")

// ErrOtherInstance says that another life of the backend server has answered.
var ErrOtherInstance = errors.New("another instance of the backend server answered")

// Holding is what a hold has returned.
type Holding struct {
	// ClockMS is the backend server's clock.
	ClockMS int64
	Active  []Listed
	Ends    []ListedEnd
	// Capacity is what the server says that it has; nil: nothing.
	Capacity *job.Demand
}

// Hold returns the next call, or false while no backend server is known.
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

// holdPatienceLocked is how long to wait for a list. It doubles with each one that has
// not come: on a host that is busy they take longer than starts, and if none is waited
// for the lease runs out and everything is cut off.
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

// fullList is the number of ends at which the backend server's list may be cut
// off: what it lacks may have ended all the same.
const fullList = 500

// Held takes in the lists that a hold returned.
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
	// After a hold that got no answer nobody knows when the runs have ended.
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
		// A run of an earlier life of this agent, or one that was taken as
		// lapsed and has not ended yet.
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
	// told: the owner has heard that the run lapsed, and the lease did expire
	// after this end. A run that was started since is another matter.
	told := w.clean && (r == nil || r.phase == ended)
	if r == nil {
		shard := e.Run.Task.Job.Shard(w.bounds.Shards)
		r = &run{order: Order{Shard: shard, Run: e.Run}, startedAt: now}
		w.runs[e.Run] = r
	}
	if len(w.ends) == 0 && w.acked == 0 {
		// An earlier life of this agent has acknowledged what came before.
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
		// Acknowledging it counts for nothing.
		r.end.settled = true
		return
	}
	if told {
		// It stays lost, whatever it has come to, until its owner has settled it.
		r.end.kind = job.Lapsed
	}
	if s := w.shards[r.order.Shard]; s != nil && !r.known {
		// The owner that a job's ID leads to settles what nobody else knows.
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

// missingLocked finds runs that will not come any more. A run that a hold sent
// after its confirmation doesn't list is gone. One whose start was never
// answered is barred by an answered stop, or by its deadline on the backend
// server's own clock.
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
				// A stop bars the run for good, also before it has arrived.
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

// lapseLocked ends a wanted expiry of the lease once the backend server's clock
// is past the last deadline: nothing runs there now, and no end from before
// counts any more.
func (w *Worker) lapseLocked(clockMS int64) {
	if !w.lapsing || clockMS <= w.granted+lapseMargin.Milliseconds() {
		return
	}
	w.lapsing = false
	for _, r := range w.ends {
		r.end.void = false
	}
}
