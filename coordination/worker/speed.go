package worker

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/speed"
	"github.com/shallotstep/shallotstep/state/job"
)

// Expected run times are those of a server of speed 1. Everything that is about the time on this
// server divides them by its speed.

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
		w.updateLocalTimeLocked(now)
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
		w.updateLocalTimeLocked(now)
	}
}

// localTime converts expected run times to the time on this server. The zero value leaves them as
// they are.
type localTime struct{ factor float64 }

func (w *Worker) updateLocalTimeLocked(now time.Duration) {
	w.local = localTime{factor: w.speed.Factor(now)}
}

// of returns how long something takes here that takes d at speed 1.
func (l localTime) of(d time.Duration) time.Duration {
	if l.factor == 0 || l.factor == 1 {
		return d
	}
	return time.Duration(float64(d) / l.factor)
}

// latestStart returns when an order has to start here to end when it is due.
func (l localTime) latestStart(o *Order) time.Duration { return o.Due - l.of(o.Estimate) }
