package guard

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// sweepShares is how many shares one Tick drops expired claims from: all of them
// within a second.
const sweepShares = 32

// activeShares are the shares that Tick has to look at.
type activeShares struct {
	mu     sync.Mutex
	shares map[uint32]struct{} // guarded by mu
	// handovers counts the shares with a handover; guarded by mu.
	handovers int
}

func (a *activeShares) add(index uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shares == nil {
		a.shares = make(map[uint32]struct{})
	}
	a.shares[index] = struct{}{}
}

func (a *activeShares) remove(index uint32) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.shares, index)
}

func (a *activeShares) sorted() []uint32 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Sorted(maps.Keys(a.shares))
}

func (a *activeShares) addHanding(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.handovers += n
}

func (a *activeShares) handing() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.handovers
}

// Tick retries what has had no answer, gives up on what has had none for long
// and drops what has expired.
func (g *Guard) Tick(now time.Time) []coordination.Action {
	g.touch(now)
	var acts actions
	for _, index := range g.active.sorted() {
		g.tickShare(now, index, &acts)
	}
	g.sweep(now)
	g.seekFreshness(now, &acts)
	return acts
}

func (g *Guard) tickShare(now time.Time, index uint32, acts *actions) {
	s := &g.shares[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropHarmless(now)
	g.tickPullLocked(s, index, now, acts)
	g.tickAsksLocked(s, index, now, acts)
	g.tickParkedLocked(s, now, acts)
	g.probeLocked(s, index, now, acts)
	if len(s.asks)+len(s.parked) == 0 && s.pull == nil && s.handover == nil {
		g.active.remove(index)
	}
}

func (g *Guard) tickPullLocked(s *share, index uint32, now time.Time, acts *actions) {
	if s.pull == nil {
		return
	}
	if s.complete() {
		s.pull = nil
		g.completedLocked(s, now)
		return
	}
	if !now.Before(s.pull.next) {
		g.nextSourceLocked(s, index, now, acts)
	}
}

func (g *Guard) tickAsksLocked(s *share, index uint32, now time.Time, acts *actions) {
	for _, a := range sortedAsks(s) {
		if s.asks[a.key] != a || now.Before(a.next) {
			continue
		}
		if g.late(now, a.candidate) {
			g.endLocked(s, index, now, a, s.giveUp(a), acts)
			continue
		}
		g.metrics.askRetries.Inc()
		g.sendAskLocked(s, now, a, acts)
	}
}

func (a *ask) giveUpReason() state.Reason {
	if a.reason == state.ReasonNone {
		return state.ReasonHomeUnreachable
	}
	return a.reason
}

// sortedAsks returns the asks in the order they began, so that the same events
// give the same actions.
func sortedAsks(s *share) []*ask {
	if len(s.asks) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Values(s.asks), func(a, b *ask) int { return cmp.Compare(a.seq, b.seq) })
}

func (g *Guard) sweep(now time.Time) {
	first := g.swept.Add(sweepShares) - sweepShares
	for i := range uint32(sweepShares) {
		index := (first + i) % roster.Shares
		g.claims.Prune(now, index)
		g.sweepClosed(now, index)
	}
}

func (g *Guard) sweepClosed(now time.Time, index uint32) {
	s := &g.shares[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	for attempt, v := range s.closed {
		if now.Sub(v.at) >= g.keep {
			delete(s.closed, attempt)
		}
	}
}

// PeerGone tells that the connection to a node has gone. Claims that wait for
// its yes are given up at once, so that their callers hear early when to come
// back; pulls go on to another source.
func (g *Guard) PeerGone(now time.Time, id state.NodeID) []coordination.Action {
	g.touch(now)
	var acts actions
	for _, index := range g.active.sorted() {
		g.peerGoneShare(now, index, id, &acts)
	}
	return acts
}

func (g *Guard) peerGoneShare(now time.Time, index uint32, id state.NodeID, acts *actions) {
	s := &g.shares[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	for a := askOf(s, id); a != nil; a = askOf(s, id) {
		g.endLocked(s, index, now, a, s.refuseID(state.ReasonHomeUnreachable), acts)
	}
	if s.pull != nil && s.pull.source == id {
		g.nextSourceLocked(s, index, now, acts)
	}
}

// askOf returns the oldest ask that waits for the witness.
func askOf(s *share, witness state.NodeID) *ask {
	for _, a := range sortedAsks(s) {
		if a.witness == witness {
			return a
		}
	}
	return nil
}
