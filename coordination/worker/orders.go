package worker

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// Claim is an owner's demand to be the one whose orders count for a shard.
type Claim struct {
	Shard   int
	Epoch   int64
	Session int64
	Owner   string
}

// Claimed answers a Claim with every run of the shard that is known here.
type Claimed struct {
	Claim
	// Effects are to be carried out: the claim may show that others are gone.
	Effects Effects
	// Refused is set when a newer owner, or a newer link of this one, is known, and
	// KnownEpoch is the owner's epoch then.
	Refused    bool
	KnownEpoch int64
	Runs       []RunState
	// Lost has the runs that were lost with the backend server lately.
	Lost []RunState
}

// Claim makes the owner the shard's only one, unless a newer one is known.
// Orders of older epochs and of older sessions that are still on their way are
// dropped from here on. Otherwise an order that overtook the claim on another
// connection would start a task that the new owner starts elsewhere.
func (w *Worker) Claim(now time.Duration, c Claim) Claimed {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.shards[c.Shard]
	if s != nil && (c.Epoch < s.epoch || c.Epoch == s.epoch && c.Session < s.session) {
		return Claimed{Claim: c, Refused: true, KnownEpoch: s.epoch}
	}
	w.shards[c.Shard] = &shardState{owner: c.Owner, epoch: c.Epoch, session: c.Session, heard: now}
	w.forgetOwnersLocked(now)
	out := Claimed{Claim: c}
	if c.Shard >= w.bounds.Shards {
		w.replacedLocked(now, &out.Effects, c.Owner)
	}
	for _, r := range w.runs {
		if r.order.Shard == c.Shard {
			r.order.Epoch = c.Epoch
		} else if r.known || c.Shard < w.bounds.Shards {
			// Only the shard of a job and the private ones, of best-effort
			// jobs, can know a run of an earlier life. Another shard would
			// settle its end as nobody's before anyone has recorded it.
			continue
		}
		out.Runs = append(out.Runs, r.state())
	}
	out.Lost = w.lostForLocked(c)
	return out
}

// ownerMemory is how long the epoch of a silent owner is kept: longer than any
// order of it can be on its way.
const ownerMemory = time.Minute

// forgetOwnersLocked drops shards whose owners have been silent for long.
func (w *Worker) forgetOwnersLocked(now time.Duration) {
	for id, s := range w.shards {
		if now-s.heard > ownerMemory {
			delete(w.shards, id)
		}
	}
}

func (r *run) state() RunState {
	s := RunState{Run: r.order.Run, Status: Running}
	switch r.phase {
	case waiting:
		s.Status = Waiting
	case ended:
		s.Status, s.End, s.Checkpoint, s.Work = Ended, r.end.kind, r.end.checkpoint, r.end.work
		s.Result = r.end.result
	}
	return s
}

// Release takes in that an owner has given a shard up. Its runs go on until the
// next owner claims them, or for as long as an owner may be silent.
func (w *Worker) Release(shard int, owner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.shards[shard]; s != nil && s.owner == owner {
		s.owner = ""
	}
}

// Unlinked takes in that an owner's link has ended. An owner that lives dials
// again at once; one that does not is given less time than a silent one, since
// the client that it has served sends its job again to another.
func (w *Worker) Unlinked(now time.Duration, owner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.shards {
		if s.owner == owner {
			s.heard = min(s.heard, now-w.bounds.OwnerSilence+w.bounds.Relink)
		}
	}
}

// Heard notes a sign of life of an owner. It returns false when the owner has
// been silent for too long already: its new owner may count on that silence, so
// a message that a suspension or a healed link delivers late must not revive
// its runs. The owner has to claim its shards anew. Those that it doesn't claim
// then are not its own any more: it may have given one up while the link was
// down, and each frame of a sound link would count as one of a silent owner.
func (w *Worker) Heard(now time.Duration, owner string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	inTime := true
	for _, s := range w.shards {
		if s.owner != owner {
			continue
		}
		if now-s.heard >= w.bounds.OwnerSilence {
			s.owner = ""
			inTime = false
			continue
		}
		s.heard = now
	}
	return inTime
}

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

// Stop ends a run on its owner's word.
func (w *Worker) Stop(now time.Duration, shard int, epoch int64, id job.RunID) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	s := w.shards[shard]
	if s == nil || s.epoch != epoch {
		return fx
	}
	if r := w.runs[id]; r != nil {
		w.stopLocked(now, &fx, r, "stopped")
	}
	w.pumpLocked(now, &fx)
	return fx
}

// stopLocked drops a waiting run, and has a started one stopped.
func (w *Worker) stopLocked(now time.Duration, fx *Effects, r *run, reason string) {
	switch r.phase {
	case waiting:
		w.dropLocked(fx, r.order.Run, r, job.NeverRan, reason)
	case ended:
	default:
		r.stopWanted = true
		w.callStopLocked(now, fx, r)
	}
}

// stopRetry is the pause before a stop without an answer is sent again: a few
// round trips on the same host, short against the cancellation bound of 3 s.
const stopRetry = 100 * time.Millisecond

func (w *Worker) callStopLocked(now time.Duration, fx *Effects, r *run) {
	if r.stopping || r.stopAnswered || now < r.nextStop {
		return
	}
	r.stopping = true
	r.nextStop = now + stopRetry
	fx.Stops = append(fx.Stops, StopCall{Instance: w.server.Instance, Run: r.order.Run})
}

// StopAnswered takes in the outcome of a StopCall.
func (w *Worker) StopAnswered(now time.Duration, instance string, id job.RunID, answered bool) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	r := w.runs[id]
	if r == nil || instance != w.server.Instance {
		return fx
	}
	r.stopping = false
	if answered {
		r.stopAnswered = true
		r.confirmedBy = w.holds
	}
	return fx
}
