package link

import (
	"io"
	"slices"
	"time"
)

// attach makes s a session of its peer. It returns false when the node is
// closing down, the peer was forgotten or the session is outdated already.
func (p *peer) attach(s *session) bool {
	for old := p.deadBeside(s); old != nil; old = p.deadBeside(s) {
		reason := ReasonReplaced
		if old.peerGeneration < s.peerGeneration {
			reason = ReasonSuperseded
		}
		p.breakOff(old, reason)
	}
	p.deliver.Lock()
	defer p.deliver.Unlock()
	ok, first := p.add(s)
	if !ok {
		return false
	}
	p.links.metrics.sessionCount(s.dialled).Inc()
	logUp(p.id, s.dialled)
	if first {
		p.links.opt.Up(p.id)
	}
	return true
}

// deadBeside returns a session that the peer must have given up, because it has
// greeted again after a break or dialled again.
func (p *peer) deadBeside(s *session) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.deadBesideLocked(s)
}

func (p *peer) deadBesideLocked(s *session) *session {
	for _, old := range p.sessions {
		newer := old.peerGeneration < s.peerGeneration
		again := old.peerGeneration == s.peerGeneration && !old.dialled && !s.dialled
		if newer || again {
			return old
		}
	}
	return nil
}

// add does the part of attach under mu; deliver is held.
func (p *peer) add(s *session) (ok, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.dialled {
		p.dialing = false
	} else {
		s.generation = p.generation
	}
	if p.outdatedLocked(s) {
		p.activateLocked()
		return false, false
	}
	first = len(p.sessions) == 0
	p.failures = 0
	p.sessions = append(p.sessions, s)
	p.settleLocked()
	p.activateLocked()
	if p.links.closed.Load() {
		p.beginCloseLocked(s, true)
	}
	return true, first
}

// outdatedLocked says whether s must not be used: things have changed since the
// Hellos were written.
func (p *peer) outdatedLocked(s *session) bool {
	if p.forgotten || p.links.ctx.Err() != nil || s.generation != p.generation {
		return true
	}
	later := func(old *session) bool { return old.peerGeneration > s.peerGeneration }
	return slices.ContainsFunc(p.sessions, later) || p.deadBesideLocked(s) != nil
}

// settleLocked picks one of two sessions that were dialled at the same time:
// the one dialled by the smaller id stays, the other's dialler closes it. Both
// nodes come to the same choice without asking.
func (p *peer) settleLocked() {
	if len(p.sessions) < 2 || p.links.opt.Self < p.id {
		return
	}
	for _, s := range p.sessions {
		if s.dialled {
			p.beginCloseLocked(s, false)
		}
	}
}

// finish takes s from its peer after its stream has ended. A stream that ended
// in good order loses nothing; any other end is a break.
func (p *peer) finish(s *session, err error) {
	p.mu.Lock()
	clean := err == io.EOF && s.sentClosing && s.gotClosing && len(s.final.items) == 0
	p.mu.Unlock()
	if !clean {
		p.breakOff(s, ReasonBroken)
		return
	}
	p.deliver.Lock()
	defer p.deliver.Unlock()
	if p.remove(s) {
		p.reportDown(ReasonLeaving)
	}
}

// remove returns whether the peer has left for good.
func (p *peer) remove(s *session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := slices.Index(p.sessions, s)
	if at < 0 {
		return false
	}
	p.sessions = slices.Delete(p.sessions, at, at+1)
	p.detachLocked(s)
	left := s.peerLeaves && len(p.sessions) == 0 && !p.forgotten
	if left {
		p.dropLocked(ReasonLeaving)
		return true
	}
	p.activateLocked()
	return false
}

func (p *peer) detachLocked(s *session) {
	p.lastUsed = time.Now()
	p.loseLocked(&s.final, ReasonBroken)
	if p.active == s {
		p.active = nil
	}
	close(s.done)
	p.links.metrics.sessionCount(s.dialled).Dec()
}

// breakOff cuts s and every other session of the peer, loses what is queued and
// calls Down once. All sessions go, because Down settles all that was accepted.
func (p *peer) breakOff(s *session, reason Reason) {
	if !p.hangUpAll(s) {
		return
	}
	p.deliver.Lock()
	defer p.deliver.Unlock()
	p.mu.Lock()
	broken := slices.Contains(p.sessions, s)
	if broken {
		for _, each := range p.sessions {
			each.gone = true
			each.hangUp()
			p.detachLocked(each)
		}
		p.sessions = nil
		p.dropLocked(reason)
		if reason != ReasonSuperseded {
			// A superseded link is known to be dead at the peer.
			p.generation = p.links.generation.Add(1)
		}
	}
	report := broken && !p.forgotten
	p.mu.Unlock()
	if report {
		p.reportDown(reason)
	}
}

func (p *peer) hangUpAll(s *session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.sessions, s) {
		return false
	}
	for _, each := range p.sessions {
		each.hangUp()
	}
	return true
}
