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
	byBar   bool          // a Bar was answered with it
	fence   message.Fence // that keeps the attempt out, or that this "no" has set
	// fencedAt is when the fence that keeps the attempt out was set, zero if none
	// does.
	fencedAt time.Time
}

// refuse is a verdict that nothing was started by the attempt.
func refuse(reason state.Reason) verdict {
	return verdict{outcome: state.NotRun, reason: reason}
}

// fenced is the verdict on an attempt that a fence keeps out.
func fenced(f message.Fence, at time.Time) verdict {
	return verdict{outcome: state.NotRun, reason: state.ReasonBarred, fence: f, fencedAt: at}
}

// giveUp is the verdict on an ask that had no yes in time. If no member of the
// pair holds every claim granted before, an earlier submission of the id may have
// run: this attempt has not, but its caller asks about the id.
func (a *ask) giveUp() verdict {
	reason := a.giveUpReason()
	if reason == state.ReasonClaimsUnknown {
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

// certain reports whether the verdict may reach a caller as "not run" of its id.
func (v *verdict) certain() bool {
	if v.outcome != state.NotRun {
		return false
	}
	switch v.reason {
	case state.ReasonMalformed, state.ReasonIDConflict, state.ReasonClaimsUnknown:
		return false
	case state.ReasonStaleEpoch, state.ReasonLogUnavailable:
		return false // the entry tries another epoch, or says that it doesn't know
	}
	return true
}

// vouchLocked takes back what a "no" would say beyond its attempt.
//
// Ruling out an attempt takes one member of its epoch, but the entry passes the
// "no" on to a caller who asks about the id. A home that has just entered the
// pair, and whose witness is silent, lacks the claims granted before; or a pull
// brought the id's record, or another attempt was granted, after this one was
// taken up or refused. The caller was told "not run" of a job that had run, and
// could submit it under a new id.
//
// A record is told instead. Without one, claims_unknown beside NotRun says, as
// in a BarReply, that the attempt is ruled out and the id is not. The watermark
// decides, since a claim granted at the present epoch has a record at both of its
// members. What a later pair has granted that the agent hasn't heard of, nobody
// here can tell.
func (g *Guard) vouchLocked(s *share, now time.Time, c candidate, v verdict) verdict {
	if v.outcome != state.NotRun || v.reason == state.ReasonMalformed || g.disabled.idDoubt {
		return v
	}
	found := g.find(now, roster.ShareOf(c.key), c.key)
	// A conflict stands, but for a late copy after what stood in the way has
	// expired and this content was granted.
	if v.reason == state.ReasonIDConflict && !hasContent(found, claim.ContentOf(c.digest)) {
		return v
	}
	if len(found) > 0 {
		return g.heldVerdict(now, found, c.digest)
	}
	if !s.vouches(g.self, c.epoch) {
		v.reason = state.ReasonClaimsUnknown
	}
	return v
}

// vouches reports whether an id without a record here was granted at no epoch
// that the node has heard of. Of an attempt whose epoch is over, that takes more
// than its own pair's claims: the pairs since may have granted another attempt.
func (s *share) vouches(self state.NodeID, epoch state.Epoch) bool {
	if epoch < s.pair.Epoch {
		return s.guards(self) && s.complete()
	}
	return s.knows >= epoch
}

// denyLocked closes the attempt and tells the job machine.
func (g *Guard) denyLocked(s *share, now time.Time, c candidate, v verdict, acts *actions) {
	v = g.vouchLocked(s, now, c, v)
	if v.certain() && v.fence.IsZero() {
		v.fence.Home = g.fenceLocked(s, now, c.key)
	}
	if !g.disabled.closed {
		g.closeLocked(s, now, c.attempt, c.epoch, v)
	}
	g.metrics.refused(roleHome, v.reason)
	*acts = append(*acts, g.denied(s, now, c, v))
}

func (g *Guard) denied(s *share, now time.Time, c candidate, v verdict) coordination.Denied {
	if !v.fencedAt.IsZero() {
		v.fence.Age = now.Sub(v.fencedAt)
	}
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
		Fence:      v.fence,
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
// and the record may be of a claim that was never granted. The witness can, at
// the same epoch as the home; see refuseHeld. So can the agent that was granted
// the id with other content; see grantedHere.
func (g *Guard) heldVerdict(now time.Time, records []claim.Record, digest state.Digest) verdict {
	content := claim.ContentOf(digest)
	best := records[0]
	for _, r := range records {
		if r.Holder == g.self || r.Content == content && best.Holder != g.self {
			best = r
		}
	}
	v := verdict{outcome: state.Unknown, reason: state.ReasonHomeLost, holder: best.Holder}
	switch {
	case !hasContent(records, content):
		v.reason = state.ReasonIDConflict
		if g.grantedHere(now, records) || g.disabled.grantedHere {
			v.outcome = state.NotRun
		}
	case best.Holder == g.self:
		v.reason = state.ReasonNone
	}
	return v
}

// grantedHere reports whether this agent was granted the id itself, so lately
// that no other content can have been granted since, whoever guards it now.
//
// The witness recorded the claim before the grant, but no more than giveUpAfter
// before, which is what keep has beyond the retention. So all know of it until
// Retention after the grant, of which the record's time is rounded up. Before
// the grant there was no other within its retention, or this one had not been.
func (g *Guard) grantedHere(now time.Time, records []claim.Record) bool {
	for _, r := range records {
		if r.Granted && r.Holder == g.self && now.Sub(r.At)+g.claims.Unit() < g.opts.Retention {
			return true
		}
	}
	return false
}

func hasContent(records []claim.Record, content claim.Content) bool {
	for _, r := range records {
		if r.Content == content {
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
