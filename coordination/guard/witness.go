package guard

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/claim"
	"github.com/shallotstep/shallotstep/state/roster"
)

func (g *Guard) onClaimAsk(now time.Time, from state.NodeID, m message.ClaimAsk, acts *actions) {
	index := roster.ShareOf(m.Key)
	s := &g.shares[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := g.witnessLocked(s, index, now, from, m, acts)
	if !reply.Granted {
		g.metrics.refused(roleWitness, reply.Reason)
	}
	acts.send(from, reply)
}

// witnessLocked records the claim and says yes, or says why not.
func (g *Guard) witnessLocked(s *share, index uint32, now time.Time, from state.NodeID, m message.ClaimAsk, acts *actions) message.ClaimReply {
	reply := message.ClaimReply{Key: m.Key, Token: m.Token, Epoch: s.pair.Epoch}
	if reason := g.witnessRefusal(s, now, from, m, acts); reason != state.ReasonNone {
		reply.Reason = reason
		return reply
	}
	if f, ok := g.fencedLocked(s, m.Key, m.Fence); ok {
		reply.Reason, reply.Fence, reply.FenceAge = state.ReasonBarred, f.number, now.Sub(f.at)
		return reply
	}
	if g.barredLocked(s, m.Attempt) {
		reply.Reason = state.ReasonBarred
		return reply
	}
	complete := m.Knows || s.complete()
	found := g.find(now, index, m.Key)
	if conflicts(found, from, claim.ContentOf(m.Digest)) && !g.disabled.holder {
		return refuseHeld(reply, found, m.Digest, complete)
	}
	// The asker alone can grant what it holds, and asks only for what it hasn't
	// granted: the same holder gets the same yes. But one of the two must know
	// every claim granted before, or the id may have been granted already by a
	// pair of which neither has heard. A record of the same holder doesn't stand
	// in for that: it may be of another id with the same claim.ID.
	if !complete && !g.disabled.watermark {
		reply.Reason = state.ReasonClaimsUnknown
		return reply
	}
	g.claims.Add(now, index, claim.Record{
		ID: g.idOf(m.Key), Content: claim.ContentOf(m.Digest), Holder: from, At: now,
	})
	reply.Granted = true
	return reply
}

// witnessRefusal says why this agent can't act as witness for the ask.
//
// A home that was evicted while it was paused or cut off still believes in its
// epoch. It can't act, because one of its pair has gone on and refuses here.
func (g *Guard) witnessRefusal(s *share, now time.Time, from state.NodeID, m message.ClaimAsk, acts *actions) state.Reason {
	if m.Epoch > s.pair.Epoch {
		g.askRoster(now, from, acts)
	}
	switch {
	case !validKey(m.Key):
		return state.ReasonMalformed
	case m.Region != g.opts.Self.Region:
		return state.ReasonStaleEpoch
	case m.Epoch != s.pair.Epoch && !g.disabled.witnessEpoch:
		return state.ReasonStaleEpoch
	case (s.pair.Home != from || s.pair.Witness != g.self) && !g.disabled.witnessEpoch:
		return state.ReasonStaleEpoch
	case g.blind(now):
		return state.ReasonLogUnavailable
	}
	return state.ReasonNone
}

// barredLocked reports whether the attempt was barred here.
func (g *Guard) barredLocked(s *share, attempt message.Attempt) bool {
	_, closed := s.closed[attempt]
	return closed && !g.disabled.bars
}

func conflicts(found []claim.Record, holder state.NodeID, content claim.Content) bool {
	for _, r := range found {
		if r.Holder != holder || r.Content != content {
			return true
		}
	}
	return false
}

// refuseHeld names the record that stands in the way. Another content is called
// a conflict only if it is certain that this content was never granted: home and
// witness stand at one epoch, so no later pair has granted anything, and one of
// them holds every claim granted before.
func refuseHeld(reply message.ClaimReply, found []claim.Record, digest state.Digest, certain bool) message.ClaimReply {
	reply.Reason = state.ReasonHomeLost
	reply.Digest = digest // without a conflict; the record has no digest of its own
	best := found[0]
	for _, r := range found {
		if r.Content == claim.ContentOf(digest) {
			best = r
		}
	}
	if certain && best.Content != claim.ContentOf(digest) {
		reply.Reason = state.ReasonIDConflict
		reply.Digest = state.Digest{}
	}
	reply.Holder = best.Holder
	return reply
}
