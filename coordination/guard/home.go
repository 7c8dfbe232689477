package guard

import (
	"strconv"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/claim"
	"github.com/shallotstep/shallotstep/state/roster"
)

const (
	// giveUpTries bounds, in units of AskRetry, how long a claim waits for the
	// witness, and giveUpPart bounds it as a part of the retention: a yes that
	// arrives when the witness's record has expired is worth nothing.
	giveUpTries = 64
	giveUpPart  = 4
	// maxWaiters bounds the attempts that wait for another one of the same id.
	maxWaiters = 16
	// tokenBase makes tokens short.
	tokenBase = 36
)

// candidate is one attempt to have an id granted.
type candidate struct {
	key     state.JobKey
	digest  state.Digest
	attempt message.Attempt
	epoch   state.Epoch
	// fence has the numbers of the last fences that the attempt's entry was told.
	fence message.Fence
	// began is when the attempt arrived, whatever it has waited for since.
	began time.Time
}

// late reports whether the attempt has waited so long that it is given up. If it
// waited in a process that was paused, a claim that it was granted before may
// have expired, so that nothing is certain of it any more.
func (g *Guard) late(now time.Time, c candidate) bool {
	return now.Sub(c.began) >= g.giveUpAfter()
}

// ask is a claim that waits for the witness. The share's lock guards it.
type ask struct {
	candidate
	token   string
	seq     uint64
	witness state.NodeID
	next    time.Time
	// reason is why the witness said no for the time being.
	reason state.Reason
	// waiters are other attempts for the same id, in order of arrival.
	waiters []candidate
}

// Claim asks for the id on behalf of an attempt that an entry sent to this agent
// as the home at the epoch. fence has the numbers that the entry was told of
// for the id at the epoch. One Granted or Denied for the attempt is among the
// actions of this call or a later one. Claim again for an attempt that waits
// adds no answer; for one that was denied it gives the same answer again; for
// one that was granted it is Denied with this agent as the holder.
func (g *Guard) Claim(now time.Time, key state.JobKey, digest state.Digest, attempt message.Attempt, epoch state.Epoch, fence message.Fence) []coordination.Action {
	g.touch(now)
	var acts actions
	c := candidate{key: key, digest: digest, attempt: attempt, epoch: epoch, fence: fence, began: now}
	index := roster.ShareOf(key)
	s := &g.shares[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	g.claimLocked(s, index, now, c, &acts)
	return acts
}

func (g *Guard) claimLocked(s *share, index uint32, now time.Time, c candidate, acts *actions) {
	if v, ok := s.closed[c.attempt]; ok && !(g.disabled.bars && v.reason == state.ReasonBarred) {
		*acts = append(*acts, g.denied(s, now, c, g.vouchLocked(s, now, c, v)))
		return
	}
	if a, ok := s.asks[c.key]; ok {
		g.waitLocked(s, a, now, c, acts)
		return
	}
	// The record comes first: the attempt may be a late copy of one that this
	// agent granted before it went on to another epoch.
	if found := g.find(now, index, c.key); len(found) > 0 {
		g.denyLocked(s, now, c, g.heldVerdict(now, found, c.digest), acts)
		return
	}
	if g.late(now, c) {
		g.denyLocked(s, now, c, verdict{outcome: state.Unknown, reason: state.ReasonHomeUnreachable}, acts)
		return
	}
	if f, ok := g.fencedLocked(s, c.key, c.fence.Home); ok && c.epoch == s.pair.Epoch {
		g.denyLocked(s, now, c, fenced(message.Fence{Home: f.number}, f.at), acts)
		return
	}
	reason := g.homeRefusal(s, now, c)
	if reason == state.ReasonStaleEpoch && c.epoch > s.pair.Epoch {
		g.parkLocked(s, index, now, c, acts)
		return
	}
	if reason != state.ReasonNone {
		g.denyLocked(s, now, c, verdict{outcome: g.certainty(s, c), reason: reason}, acts)
		return
	}
	if g.disabled.boundAttempt {
		c.epoch = s.pair.Epoch
	}
	a := g.newAsk(s, c)
	if s.asks == nil {
		s.asks = make(map[state.JobKey]*ask)
	}
	s.asks[c.key] = a
	g.active.add(index)
	g.sendAskLocked(s, now, a, acts)
}

// homeRefusal says why this agent can't act as home for the attempt.
//
// An attempt is bound to the epoch its entry used. Granted at another one, it
// could start after a member of its own epoch's pair has truthfully said that it
// never will.
func (g *Guard) homeRefusal(s *share, now time.Time, c candidate) state.Reason {
	region := g.opts.RegionOf(c.key.Service)
	switch {
	case !validKey(c.key):
		return state.ReasonMalformed
	case region == "":
		return state.ReasonUnknownService
	case region != g.opts.Self.Region:
		return state.ReasonStaleEpoch
	case c.epoch > s.pair.Epoch:
		return state.ReasonStaleEpoch
	case c.epoch < s.pair.Epoch && !g.disabled.boundAttempt:
		return state.ReasonStaleEpoch
	case !s.pair.OK:
		return state.ReasonNoPair
	case s.pair.Home != g.self:
		return state.ReasonStaleEpoch
	case g.blind(now):
		return state.ReasonLogUnavailable
	}
	return state.ReasonNone
}

func (g *Guard) waitLocked(s *share, a *ask, now time.Time, c candidate, acts *actions) {
	if a.attempt == c.attempt {
		return
	}
	for _, w := range a.waiters {
		if w.attempt == c.attempt {
			return
		}
	}
	if len(a.waiters) >= maxWaiters {
		g.denyLocked(s, now, c, refuse(state.ReasonBusy), acts)
		return
	}
	a.waiters = append(a.waiters, c)
}

func (g *Guard) newAsk(s *share, c candidate) *ask {
	seq := g.tokens.Add(1)
	return &ask{
		candidate: c,
		token:     strconv.FormatUint(seq, tokenBase),
		seq:       seq,
		witness:   s.pair.Witness,
	}
}

func (g *Guard) sendAskLocked(s *share, now time.Time, a *ask, acts *actions) {
	a.next = now.Add(g.opts.AskRetry)
	acts.send(a.witness, message.ClaimAsk{
		Key:     a.key,
		Region:  g.opts.Self.Region,
		Digest:  a.digest,
		Attempt: a.attempt,
		Token:   a.token,
		Epoch:   a.epoch,
		Knows:   s.complete(),
		Fence:   a.fence.Witness,
	})
}

// giveUpAfter is how long a claim waits for the witness.
func (g *Guard) giveUpAfter() time.Duration {
	return min(giveUpTries*g.opts.AskRetry, g.opts.Retention/giveUpPart)
}

func (g *Guard) onClaimReply(now time.Time, from state.NodeID, m message.ClaimReply, acts *actions) {
	index := roster.ShareOf(m.Key)
	s := &g.shares[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	a, ok := s.asks[m.Key]
	if !ok || a.token != m.Token || a.witness != from {
		return // an answer to a try that is over
	}
	if m.Granted {
		g.witnessedLocked(s, index, now, a, acts)
		return
	}
	g.refusedLocked(s, index, now, a, m, acts)
}

// witnessedLocked grants the claim that the witness has recorded.
//
// The home may have gone on to another epoch, or lost touch with the log, since
// it asked; by then another pair may have granted the id. The ask may also have
// been overtaken by a pull that brought another holder. So everything that was
// checked before asking is checked again.
func (g *Guard) witnessedLocked(s *share, index uint32, now time.Time, a *ask, acts *actions) {
	if a.epoch != s.pair.Epoch && !g.disabled.homeRecheck {
		g.endLocked(s, index, now, a, refuse(state.ReasonStaleEpoch), acts)
		return
	}
	if g.blind(now) {
		g.endLocked(s, index, now, a, refuse(state.ReasonLogUnavailable), acts)
		return
	}
	if g.late(now, a.candidate) {
		g.endLocked(s, index, now, a, refuse(state.ReasonHomeUnreachable), acts)
		return
	}
	if f, ok := g.fencedLocked(s, a.key, a.fence.Home); ok {
		g.endLocked(s, index, now, a, fenced(message.Fence{Home: f.number}, f.at), acts)
		return
	}
	if found := g.find(now, index, a.key); hasOther(found, g.self) {
		g.endLocked(s, index, now, a, g.heldVerdict(now, found, a.digest), acts)
		return
	}
	g.claims.Add(now, index, claim.Record{
		ID: g.idOf(a.key), Content: claim.ContentOf(a.digest), Holder: g.self, At: now, Granted: true,
	})
	delete(s.asks, a.key)
	g.metrics.granted.Inc()
	*acts = append(*acts, coordination.Granted{Key: a.key, Attempt: a.attempt})
	g.releaseLocked(s, index, now, a, acts)
}

// refusedLocked acts on the witness's no.
func (g *Guard) refusedLocked(s *share, index uint32, now time.Time, a *ask, m message.ClaimReply, acts *actions) {
	switch m.Reason {
	case state.ReasonClaimsUnknown:
		a.reason = m.Reason // a pull is under way: ask again until giving up
	case state.ReasonStaleEpoch:
		if m.Epoch <= s.pair.Epoch {
			a.reason = m.Reason // the witness is behind and will catch up
			return
		}
		g.askRoster(now, a.witness, acts)
		g.endLocked(s, index, now, a, refuse(state.ReasonStaleEpoch), acts)
	case state.ReasonIDConflict:
		g.endLocked(s, index, now, a, verdict{
			outcome: state.NotRun, reason: m.Reason, holder: m.Holder,
		}, acts)
	case state.ReasonHomeLost:
		g.endLocked(s, index, now, a, verdict{
			outcome: state.Unknown, reason: m.Reason, holder: m.Holder,
		}, acts)
	case state.ReasonBarred:
		g.endLocked(s, index, now, a, fenced(message.Fence{Witness: m.Fence}, now.Add(-m.FenceAge)), acts)
	default:
		g.endLocked(s, index, now, a, refuse(m.Reason), acts)
	}
}

// endLocked gives up on an ask. The claim can't be granted after that: only this
// agent could, and it has forgotten the token that a late yes would name.
func (g *Guard) endLocked(s *share, index uint32, now time.Time, a *ask, v verdict, acts *actions) {
	delete(s.asks, a.key)
	g.denyLocked(s, now, a.candidate, v, acts)
	g.releaseLocked(s, index, now, a, acts)
}

// releaseLocked lets the attempts that waited for this one have their turn. They
// don't wait for a silent witness one after another: each one's time runs from
// its arrival.
func (g *Guard) releaseLocked(s *share, index uint32, now time.Time, a *ask, acts *actions) {
	for _, w := range a.waiters {
		g.claimLocked(s, index, now, w, acts)
	}
}
