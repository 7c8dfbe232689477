package owner

import "time"

// confirmation is what waits until the store has accepted a write of this owner that was sent after it
// began to wait. The store accepts no write of an owner that another one has replaced, so nothing was
// written before it that this owner doesn't know. Guarded by Shard.mu.
type confirmation struct {
	// barrier numbers the confirmation.
	barrier int64
	// deny replies that the confirmation can't be had now. It is nil for one that waits until it can.
	deny func(*Effects)
	do   func(time.Duration, *Effects)
}

// confirmLocked calls do once the store has accepted a write that is sent from now on, or deny if the
// store can't be asked. A private shard has no other owner.
func (s *Shard) confirmLocked(now time.Duration, fx *Effects, deny func(*Effects), do func(time.Duration, *Effects)) {
	switch {
	case s.private:
		do(now, fx)
		return
	case s.storeUnavailable && deny != nil:
		deny(fx)
		return
	}
	s.lastBarrier++
	s.confirming = append(s.confirming, confirmation{barrier: s.lastBarrier, deny: deny, do: do})
	fx.Write = true
}

// verificationDelay is how long an unverified shard waits for a write of its own, or for further changes of the group,
// before the store is asked: members that join one after the other change the group many times. It is
// shorter than the timeout after which agents stop the runs of another owner.
const verificationDelay = 700 * time.Millisecond

// MarkUnverified notes that another owner may have held the shard since it was opened here. Until the store
// has accepted a write, no request is answered from its state.
func (s *Shard) MarkUnverified(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.unverifiedLocked() {
		s.verifyAt = now + verificationDelay
	}
	s.lastBarrier++
	s.unverifiedAt = s.lastBarrier
}

// VerifyNow has the store asked at once whether an unverified shard has a newer owner.
func (s *Shard) VerifyNow(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.verifyAt = min(s.verifyAt, now)
}

// Unverified reports whether another owner may have held the shard since it was opened here.
func (s *Shard) Unverified() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unverifiedLocked()
}

func (s *Shard) unverifiedLocked() bool { return s.unverifiedAt > s.passedBarrier }

// verificationDueLocked reports whether the store has to be asked now.
func (s *Shard) verificationDueLocked(now time.Duration) bool {
	return len(s.confirming) > 0 || s.unverifiedLocked() && now >= s.verifyAt
}

// passBarrierLocked carries out what has waited for a batch that the store has accepted.
func (s *Shard) passBarrierLocked(now time.Duration, fx *Effects, barrier int64) {
	s.passedBarrier = max(s.passedBarrier, barrier)
	n := 0
	for n < len(s.confirming) && s.confirming[n].barrier <= s.passedBarrier {
		n++
	}
	ready := s.confirming[:n]
	s.confirming = s.confirming[n:]
	for _, c := range ready {
		c.do(now, fx)
	}
}

// denyLocked replies to the requests that wait for a confirmation that can't be had now.
func (s *Shard) denyLocked(fx *Effects) {
	var kept []confirmation
	for _, c := range s.confirming {
		if c.deny == nil {
			kept = append(kept, c)
			continue
		}
		c.deny(fx)
	}
	s.confirming = kept
}

// replyNotOwner returns a function that replies that another process has to be asked.
func replyNotOwner(reply func(Response)) func(*Effects) {
	return func(fx *Effects) { fx.reply(reply, Response{Outcome: NotOwner, Reason: ReasonUnconfirmed}) }
}
