package link

import (
	"time"
)

// sweep looks for idle links, stuck links and expired peers until the end.
func (l *Links) sweep() {
	every := min(l.opt.idle(), l.opt.WriteTimeout) / 4
	tick := time.NewTicker(min(max(every, minSweep), maxSweep))
	defer tick.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case now := <-tick.C:
			l.sweepOnce(now)
		}
	}
}

func (l *Links) sweepOnce(now time.Time) {
	for _, p := range l.all() {
		stuck := p.inspect(now)
		if stuck != nil {
			// In a goroutine of its own: breaking off waits for the handler.
			l.spawn(func() { p.breakOff(stuck, ReasonStalled) })
		}
		if p.expired(now) {
			l.expire(p, now)
		}
	}
}

// inspect begins to close sessions that are idle and returns one that is stuck.
func (p *peer) inspect(now time.Time) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	opt := &p.links.opt
	for _, s := range p.sessions {
		if s.stuckLocked(now, opt.WriteTimeout) {
			return s
		}
		idle := now.Sub(time.Unix(0, s.lastUsed.Load())) > opt.idle()
		if idle && s.dialled && len(p.queue.items) == 0 {
			p.beginCloseLocked(s, false)
		}
	}
	return nil
}

// stuckLocked says whether the other side doesn't take a frame, or neither takes
// nor sends one while a session is being closed. Left alone, such a session
// would hold its queue full for ever: the library's pings are answered as long
// as the process lives.
func (s *session) stuckLocked(now time.Time, timeout time.Duration) bool {
	moved := time.Unix(0, s.lastUsed.Load())
	if s.closing && now.Sub(s.closeBegan) > timeout && now.Sub(moved) > timeout {
		return true
	}
	began := s.writeBegan.Load()
	return began != 0 && now.Sub(time.Unix(0, began)) > timeout
}

func (p *peer) expired(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.expiredLocked(now)
}

func (p *peer) expiredLocked(now time.Time) bool {
	used := p.declared || p.dialing || len(p.sessions) > 0 || len(p.queue.items) > 0
	return !used && now.Sub(p.lastUsed) > learnedTTL
}

// expire removes a peer that nobody named and that has been silent for long, so
// that the incarnations of a long-lived fleet don't pile up.
func (l *Links) expire(p *peer, now time.Time) {
	sh := l.shard(p.id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if sh.peers[p.id] == p && p.expiredLocked(now) {
		p.forgotten = true
		delete(sh.peers, p.id)
	}
}
