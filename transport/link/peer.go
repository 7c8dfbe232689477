package link

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// peer is what a node keeps of another node.
type peer struct {
	links *Links
	id    state.NodeID

	// deliver is held while Handler, Up or Down runs for this peer, and while
	// sessions come and go, so that callbacks keep the order of events.
	deliver sync.Mutex

	mu sync.Mutex
	// The fields below are guarded by mu.

	// addr is empty when the peer can't be dialled.
	addr string
	// declared says that SetPeer named the peer: it is kept until Forget.
	declared  bool
	forgotten bool
	queue     queue
	// sessions are the links that are up. More than one only while two that
	// were dialled at the same time settle, or while one is being closed.
	sessions []*session
	// active is the session that writes the queue.
	active *session
	// dialing says that a goroutine is about to make a session.
	dialing   bool
	failures  int
	notBefore time.Time
	lastUsed  time.Time
	// generation grows with each break on this side. The peer learns it by the
	// Hello and so tells a link that is left over from before a break, whose
	// last messages must not come after newer ones, from one that was dialled at
	// the same time.
	generation uint64
}

// declare returns false when the peer was forgotten meanwhile.
func (p *peer) declare(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forgotten {
		return false
	}
	p.declared = true
	p.setAddrLocked(addr)
	return true
}

func (p *peer) setAddrLocked(addr string) {
	if _, err := checkAddr(addr, p.links.opt.TLS != nil); err != nil {
		logBadAddress(p.id, err)
		addr = ""
	}
	if p.addr != addr {
		p.failures = 0
		p.notBefore = time.Time{}
	}
	p.addr = addr
}

// enqueue returns why it refused the item, or nothing.
func (p *peer) enqueue(it item) Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reason := p.refusalLocked(it.size); reason != "" {
		return reason
	}
	p.links.account(it.size)
	p.queue.push(it)
	p.activateLocked()
	return ""
}

func (p *peer) refusalLocked(size int) Reason {
	opt := &p.links.opt
	switch {
	case p.links.closed.Load():
		return ReasonClosed
	case p.forgotten:
		return ReasonUnknownPeer
	case p.addr == "" && !p.hasOpenLocked():
		return ReasonNoAddress
	case len(p.queue.items) >= opt.MaxQueue:
		return ReasonQueueFull
	case p.queue.bytes+size > max(opt.MaxQueueBytes, size):
		return ReasonQueueBytes
	case p.links.queued.Load()+int64(size) > int64(opt.MaxTotalBytes):
		return ReasonTotalBytes
	}
	return ""
}

func (p *peer) hasOpenLocked() bool {
	return slices.ContainsFunc(p.sessions, func(s *session) bool { return !s.closing })
}

// activateLocked sees to it that the queue gets written: by the active session,
// by the next one, or by a new one. A session that is being closed is waited
// for, because the next one's messages could overtake its last ones.
func (p *peer) activateLocked() {
	if p.active == nil && len(p.sessions) > 0 && !p.closingLocked() {
		p.active = p.sessions[0]
	}
	if p.active != nil {
		p.active.poke()
		return
	}
	if len(p.sessions) > 0 || len(p.queue.items) == 0 || p.dialing {
		return
	}
	if p.addr == "" {
		p.dropLocked(ReasonNoAddress)
		return
	}
	p.dialing = p.links.spawn(func() { p.links.dial(p) })
	if !p.dialing {
		p.dropLocked(ReasonClosed)
	}
}

func (p *peer) closingLocked() bool {
	return slices.ContainsFunc(p.sessions, func(s *session) bool { return s.closing })
}

// dropLocked loses what is queued.
func (p *peer) dropLocked(reason Reason) {
	p.loseLocked(&p.queue, reason)
}

func (p *peer) loseLocked(q *queue, reason Reason) {
	if len(q.items) == 0 {
		return
	}
	all := q.takeAll()
	p.links.account(-all.bytes)
	p.links.metrics.lost.WithLabelValues(string(reason)).Add(float64(len(all.items)))
}

// beginCloseLocked lets s write what is queued and then a Closing.
func (p *peer) beginCloseLocked(s *session, leaving bool) {
	if s.closing {
		return
	}
	s.closing = true
	s.leaving = leaving
	s.closeBegan = time.Now()
	if p.active == s {
		s.final = p.queue.takeAll()
		p.active = nil
	}
	s.poke()
}

func (p *peer) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.sessions {
		p.beginCloseLocked(s, true)
	}
}

func (p *peer) forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgotten = true
	p.addr = ""
	for _, s := range p.sessions {
		p.beginCloseLocked(s, false)
	}
	p.dropLocked(ReasonForgotten)
}

func (p *peer) quiet() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions) == 0 && !p.dialing && len(p.queue.items) == 0
}

// dialFailed loses what waited for the dial, unless the peer has dialled us
// meanwhile. Whoever sends next is held back for a while.
func (p *peer) dialFailed(reason Reason) {
	p.deliver.Lock()
	defer p.deliver.Unlock()
	p.mu.Lock()
	p.dialing = false
	p.failures++
	p.notBefore = time.Now().Add(p.backoffLocked())
	p.lastUsed = time.Now()
	down := len(p.sessions) == 0 && len(p.queue.items) > 0
	if down {
		p.dropLocked(reason)
	}
	p.mu.Unlock()
	if down {
		p.reportDown(reason)
	}
}

// backoffLocked doubles with each failure. Half of it is random, so that nodes
// that lost the same peer don't come back together.
func (p *peer) backoffLocked() time.Duration {
	opt := &p.links.opt
	wait := opt.MinBackoff
	for range p.failures - 1 {
		wait = min(2*wait, opt.MaxBackoff)
	}
	return wait/2 + rand.N(wait/2+1)
}

// reportDown is called with deliver held.
func (p *peer) reportDown(reason Reason) {
	p.links.metrics.downs.WithLabelValues(string(reason)).Inc()
	logDown(p.id, reason)
	p.links.opt.Down(p.id)
}

// account changes the count of bytes that wait for all peers.
func (l *Links) account(bytes int) {
	l.metrics.queued.Set(float64(l.queued.Add(int64(bytes))))
}
