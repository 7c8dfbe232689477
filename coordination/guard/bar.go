package guard

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

func (g *Guard) onBar(now time.Time, from state.NodeID, m message.Bar, acts *actions) {
	index := roster.ShareOf(m.Key)
	s := &g.shares[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := g.barLocked(s, index, now, m, acts)
	if m.Epoch > s.pair.Epoch {
		g.askRoster(now, from, acts)
	}
	acts.send(from, reply)
}

// barLocked rules the attempt out, if this agent can. An unsent attempt needs no
// ruling out; the question is then whether the id was ever granted, and only a
// member that holds every claim granted before may say no.
//
// A grant of the attempt needs both members of the pair at the attempt's epoch,
// and each of them records the id. So one that was there, has no record of the
// id and refuses the attempt from now on knows for certain that it was never
// granted and never will be, whatever the other one did.
func (g *Guard) barLocked(s *share, index uint32, now time.Time, m message.Bar, acts *actions) message.BarReply {
	reply := message.BarReply{Key: m.Key, Attempt: m.Attempt, Epoch: s.pair.Epoch}
	if g.opts.RegionOf(m.Key.Service) != g.opts.Self.Region {
		reply.Reason = state.ReasonStaleEpoch
		return reply
	}
	if found := g.find(now, index, m.Key); len(found) > 0 {
		reply.Reason = state.ReasonHomeLost
		reply.Holder = found[0].Holder
		return reply
	}
	if m.Unsent && !(s.guards(g.self) && s.complete()) {
		reply.Reason = state.ReasonClaimsUnknown
		return reply
	}
	if m.Epoch < s.pair.Epoch {
		reply.Barred = s.wasThere(m.Epoch)
		reply.Reason = g.pastReasonLocked(s, now, m, reply.Barred)
		return reply
	}
	if m.Epoch > s.pair.Epoch || !s.guards(g.self) {
		reply.Reason = state.ReasonStaleEpoch
		return reply
	}
	if !m.Unsent {
		if !s.closed[m.Attempt].byBar { // a Bar sent again is the same word
			g.fenceLocked(s, now, m.Key)
		}
		g.barNowLocked(s, index, now, m, acts)
	}
	reply.Barred = true
	reply.Reason = state.ReasonBarred
	if !s.complete() {
		reply.Reason = state.ReasonClaimsUnknown // an earlier attempt may have been granted
	}
	return reply
}

// pastReasonLocked is the reason for an attempt of an epoch that is over. That it
// is ruled out says nothing of attempts at later epochs: only one that guards the
// present one and holds all earlier claims can vouch for the id, and rules out
// what is under way.
func (g *Guard) pastReasonLocked(s *share, now time.Time, m message.Bar, barred bool) state.Reason {
	switch {
	case !barred:
		return state.ReasonStaleEpoch
	case !s.vouches(g.self, m.Epoch) && !g.disabled.idDoubt:
		return state.ReasonClaimsUnknown
	}
	g.fenceLocked(s, now, m.Key)
	return state.ReasonBarred
}

// wasThere reports whether the record holds every claim granted at the epoch,
// which is over.
func (s *share) wasThere(epoch state.Epoch) bool {
	return epoch < s.knows || epoch >= s.since
}

func (g *Guard) barNowLocked(s *share, index uint32, now time.Time, m message.Bar, acts *actions) {
	v := refuse(state.ReasonBarred)
	v.byBar = true
	g.closeLocked(s, now, m.Attempt, m.Epoch, v)
	g.metrics.bars.Inc()
	a, ok := s.asks[m.Key]
	if !ok {
		return
	}
	if a.attempt == m.Attempt {
		g.endLocked(s, index, now, a, v, acts)
		return
	}
	for i, w := range a.waiters {
		if w.attempt == m.Attempt {
			a.waiters = append(a.waiters[:i:i], a.waiters[i+1:]...)
			g.denyLocked(s, now, w, v, acts)
			return
		}
	}
}
