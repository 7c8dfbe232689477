package worker

import "time"

// silentHolds is how many holds in a row go without an answer before nothing is
// sent to a backend server. In some troubles three answers in ten are lost: given
// up at the second, such a server would be emptied several times a second, at the
// fifth once in ten. Holds after the first follow quickly, each after some 40 ms, so
// that a server that is gone is given up after a quarter of a second.
const silentHolds = 5

// lossMemory is how long after a hold without an answer others are expected: a
// dozen holds, of which one more is missing if one in ten is.
const lossMemory = time.Second

func (w *Worker) lossyLocked(now time.Duration) bool {
	return w.misses > 0 || w.missedAt > 0 && now-w.missedAt < lossMemory
}

// HoldFailed takes in a hold without an answer of this instance.
func (w *Worker) HoldFailed(now time.Duration, c HoldCall, why HoldFailure) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	if c.Instance != w.server.Instance {
		return fx
	}
	if why == OtherInstance {
		w.replacedServerLocked(now, &fx)
		w.seen = false
		return fx
	}
	if why == NotSent && c.before != 0 {
		w.grantedEnd = min(w.grantedEnd, c.before)
	}
	w.misses++
	w.missedAt = now
	if why == NoAnswer {
		w.answers.missed()
	}
	if why == NotSent || w.misses >= silentHolds {
		w.failing = true
		w.returnWaitingLocked(&fx, "server_silent")
	}
	w.tickLocked(now, &fx)
	return fx
}
