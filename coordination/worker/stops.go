package worker

import (
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// Stop ends a run on request of the shard's owner.
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
	w.startWaitingLocked(now, &fx)
	return fx
}

// stopLocked drops a waiting run and stops an active one.
func (w *Worker) stopLocked(now time.Duration, fx *Effects, r *run, reason string) {
	switch r.phase {
	case waiting:
		w.dropLocked(fx, r, job.NeverRan, reason)
	case ended:
	default:
		r.stopWanted = true
		w.sendStopLocked(now, fx, r)
	}
}

// stopRetry is the pause before a stop without an answer is repeated. It is a few round trips on
// the same host, and short compared with the 3 s within which a cancellation has to take effect.
const stopRetry = 100 * time.Millisecond

func (w *Worker) sendStopLocked(now time.Duration, fx *Effects, r *run) {
	if r.stopInFlight || r.stopAnswered || now < r.nextStop {
		return
	}
	r.stopInFlight = true
	r.nextStop = now + stopRetry
	fx.Stops = append(fx.Stops, StopCall{Instance: w.server.Instance, Run: r.order.Run})
}

// StopAnswered applies the outcome of a StopCall. answered is false if no answer came.
func (w *Worker) StopAnswered(now time.Duration, instance job.Instance, id job.RunID, answered bool) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	r := w.runs[id]
	if r == nil || instance != w.server.Instance {
		return fx
	}
	r.stopInFlight = false
	if answered {
		w.endSilenceLocked()
		r.stopAnswered = true
		r.confirmedAtHold = w.holds
	}
	return fx
}
