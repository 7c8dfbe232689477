package worker

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/speed"
	"github.com/shallotstep/shallotstep/state/job"
)

// Expected run times are those of a server of speed 1. Everything that is about the time on this
// server divides them by its speed as the owner that sent the order knows it: relative to the other
// servers, and 1 unless it differs significantly. The measured speed may share a factor with these.

// Speed is how fast one instance of a backend server is.
type Speed struct {
	Instance job.Instance
	// Speed is 2 if the instance is twice as fast as expected run times say; 0 is unknown.
	Speed float64
	// Runs is the number of runs that Speed rests on.
	Runs int
}

// RestoreSpeed continues with a speed that an earlier incarnation of the agent has stored, if the
// same instance of the backend server is known or reports next. It returns false if no speed can be
// like that.
func (w *Worker) RestoreSpeed(now time.Duration, s Speed) bool {
	if !speed.Valid(s.Speed, s.Runs) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.formerSpeed = s
	if w.reported {
		w.restoreSpeedLocked(now)
	}
	return true
}

// restoreSpeedLocked takes over the stored speed once it is known which instance runs, unless its
// speed has been measured already.
func (w *Worker) restoreSpeedLocked(now time.Duration) {
	former := w.formerSpeed
	w.formerSpeed = Speed{}
	if !w.bounds.LearnSpeed || former.Instance != w.server.Instance {
		return
	}
	if _, runs := w.speed.Speed(now); runs == 0 {
		w.speed.Restore(now, former.Speed, former.Runs)
	}
}

// Speed returns the speed of the backend server.
func (w *Worker) Speed(now time.Duration) Speed {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := Speed{Instance: w.server.Instance}
	s.Speed, s.Runs = w.speed.Speed(now)
	return s
}

// learnSpeedLocked learns from a run that has completed. Its start and its end must have been seen:
// after a missed hold it is unknown when a run ended, and an unanswered start may have been carried
// out late. The server must have been warm all the while.
func (w *Worker) learnSpeedLocked(now time.Duration, r *run) {
	if !w.bounds.LearnSpeed || w.afterMissedHold || !r.startSeen || r.startedAt < w.health.warmFrom {
		return
	}
	// A run that goes on from a checkpoint takes less than its whole task.
	if r.order.Checkpoint == "" {
		w.speed.Observe(now, r.order.Estimate, r.end.work)
	}
}

// localEstimate returns how long the task is expected to run on this server.
func (o *Order) localEstimate() time.Duration {
	if o.Speed <= 0 || o.Speed == 1 {
		return o.Estimate
	}
	return time.Duration(float64(o.Estimate) / o.Speed)
}

// latestStart returns when the task has to start here to end when it is due.
func (o *Order) latestStart() time.Duration { return o.Due - o.localEstimate() }
