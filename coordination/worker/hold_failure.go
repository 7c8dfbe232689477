package worker

import (
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// maxMissedHolds is the number of consecutive holds without an answer after which the backend
// server gets no more starts. Some faults lose three answers in ten: with a limit of two, orders
// would be returned several times a second, with five once in ten seconds. Holds after the first
// lost one follow quickly, each after some 40 ms, so a dead server is detected after a quarter of a
// second.
const maxMissedHolds = 5

// lossyPeriod is how long after a hold without an answer further losses are expected. It covers a
// dozen holds, of which one more is lost if one in ten is.
const lossyPeriod = time.Second

func (w *Worker) lossyLocked(now time.Duration) bool {
	return w.missedHolds > 0 || w.lastMissedHold > 0 && now-w.lastMissedHold < lossyPeriod
}

// endSilenceLocked notes that the backend server was heard.
func (w *Worker) endSilenceLocked() {
	if !w.silent {
		return
	}
	w.silent = false
	for _, r := range w.runs {
		r.startedInSilence = false
	}
}

// HoldFailed handles a hold that got no answer from the present instance.
func (w *Worker) HoldFailed(now time.Duration, c HoldCall, why HoldFailure) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	if c.Instance != w.server.Instance {
		return fx
	}
	if why == OtherInstance {
		w.replacedServerLocked(now, &fx, job.Instance{})
		w.reported = false
		return fx
	}
	if why == NotSent && c.prevLeaseExpiry != 0 {
		w.leaseExpiry = min(w.leaseExpiry, c.prevLeaseExpiry)
	}
	w.missedHolds++
	w.lastMissedHold = now
	w.silent = true
	if why == NoAnswer {
		w.responses.timedOut()
	}
	if why == NotSent || w.missedHolds >= maxMissedHolds {
		w.unresponsive = true
		w.returnWaitingLocked(&fx, "server_silent")
	}
	w.tickLocked(now, &fx)
	return fx
}
