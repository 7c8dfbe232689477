package guard

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/claim"
	"github.com/shallotstep/shallotstep/state/roster"
)

// verdict is a "no" that was said of an attempt. It is kept while the attempt
// could still come again, so that the attempt is never granted later.
type verdict struct {
	epoch   state.Epoch // the attempt's epoch
	at      time.Time
	outcome state.Outcome
	reason  state.Reason
	holder  state.NodeID
	digest  state.Digest
}

// refuse is a verdict that nothing was started by the attempt.
func refuse(reason state.Reason) verdict {
	return verdict{outcome: state.NotRun, reason: reason}
}

// giveUp is the verdict on an ask that had no yes in time; see refuseID.
func (s *share) giveUp(a *ask) verdict {
	reason := a.giveUpReason()
	if reason == state.ReasonClaimsUnknown {
		return verdict{outcome: state.Unknown, reason: reason}
	}
	return s.refuseID(reason)
}

// refuseID is the verdict on an attempt that was not granted. Unless this agent
// holds every claim granted before, an earlier submission of the id may have run:
// this attempt has not, but its caller asks about the id. Told "not run" by a new
// home whose witness was silent, it could have the work done again elsewhere.
func (s *share) refuseID(reason state.Reason) verdict {
	if !s.complete() {
		return verdict{outcome: state.Unknown, reason: reason}
	}
	return refuse(reason)
}

// closeLocked rules the attempt out for good.
//
// A repeated or late submission of an attempt that was answered "not run" would
// otherwise start it after the caller was told that nobody will.
func (g *Guard) closeLocked(s *share, now time.Time, attempt message.Attempt, epoch state.Epoch, v verdict) {
	if epoch < s.pair.Epoch {
		return // the attempt's epoch is over: it can't be granted anyway
	}
	v.epoch, v.at = epoch, now
	if s.closed == nil {
		s.closed = make(map[message.Attempt]verdict)
	}
	s.closed[attempt] = v
}

// denyLocked closes the attempt and tells the job machine.
func (g *Guard) denyLocked(s *share, now time.Time, c candidate, v verdict, acts *actions) {
	if !g.disabled.closed {
		g.closeLocked(s, now, c.attempt, c.epoch, v)
	}
	g.metrics.refused(roleHome, v.reason)
	*acts = append(*acts, g.denied(s, c, v))
}

func (g *Guard) denied(s *share, c candidate, v verdict) coordination.Denied {
	epoch := s.pair.Epoch
	if region := g.opts.RegionOf(c.key.Service); region != g.opts.Self.Region {
		epoch = g.Roster().Pair(region, roster.ShareOf(c.key)).Epoch
	}
	return coordination.Denied{
		Key:        c.key,
		Attempt:    c.attempt,
		Outcome:    v.outcome,
		Reason:     v.reason,
		RetryAfter: g.retryAfter(v.reason),
		Epoch:      epoch,
		Holder:     v.holder,
		Digest:     v.digest,
	}
}

// certainty is NotRun if this agent can vouch that the attempt, of whose id it
// has no record, was never granted and won't be once it is closed here. That
// takes a member of the pair at the attempt's epoch, or an epoch without a pair.
// Anybody else may have been sent a copy of what the right home has granted.
func (g *Guard) certainty(s *share, c candidate) state.Outcome {
	ours := g.opts.RegionOf(c.key.Service) == g.opts.Self.Region
	over := c.epoch < s.pair.Epoch && s.wasThere(c.epoch)
	present := c.epoch == s.pair.Epoch && (s.guards(g.self) || !s.pair.OK)
	if ours && (over || present) || !validKey(c.key) {
		return state.NotRun
	}
	return state.Unknown
}

// retryAfter is when coming back helps, zero when it doesn't.
func (g *Guard) retryAfter(reason state.Reason) time.Duration {
	switch reason {
	case state.ReasonStaleEpoch, state.ReasonBusy:
		return g.opts.AskRetry
	case state.ReasonClaimsUnknown, state.ReasonNoPair, state.ReasonHomeUnreachable, state.ReasonLogUnavailable:
		return g.giveUpAfter()
	}
	return 0
}

// heldVerdict says why an id with records isn't granted again.
//
// One of the records may have run, and this agent can't tell which. With other
// content it can't vouch that this content never ran either: it may be behind,
// and the record may be of a claim that was never granted. Only the witness can,
// at the same epoch as the home; see refuseHeld.
func (g *Guard) heldVerdict(records []claim.Record, digest state.Digest) verdict {
	best := records[0]
	for _, r := range records {
		if r.Holder == g.self || r.Digest == digest && best.Holder != g.self {
			best = r
		}
	}
	v := verdict{outcome: state.Unknown, reason: state.ReasonHomeLost, holder: best.Holder, digest: best.Digest}
	switch {
	case !hasDigest(records, digest):
		v.reason = state.ReasonIDConflict
	case best.Holder == g.self:
		v.reason = state.ReasonNone
	}
	return v
}

func hasDigest(records []claim.Record, digest state.Digest) bool {
	for _, r := range records {
		if r.Digest == digest {
			return true
		}
	}
	return false
}

// hasOther reports whether a record has another holder than the node.
func hasOther(records []claim.Record, holder state.NodeID) bool {
	for _, r := range records {
		if r.Holder != holder {
			return true
		}
	}
	return false
}
