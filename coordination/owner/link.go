package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// Linked notes a link to an agent and returns the claim to send first, if there is one to
// send. The session rises with each link that this process makes.
//
// A link is claimed once. The answer to a second claim may be from before an order that
// went out after the first: the run would be taken for lost and started elsewhere, beside
// itself. An older session is of a caller that has not heard of the newest link yet.
func (s *Shard) Linked(now time.Duration, node string, session int64) (worker.Claim, bool, Effects) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	if l := s.links[node]; l != nil && l.session >= session {
		return worker.Claim{}, false, fx
	}
	s.links[node] = &linkState{session: session, since: now}
	if !s.named[node] && !s.private {
		s.naming = true
		fx.Write = true
	}
	return worker.Claim{Shard: s.ID, Epoch: s.Epoch, Session: session}, true, fx
}

// claimPatience is how long the answer to a claim may take: an agent may have to write down
// first that recorded jobs run there, which takes a slow store a second.
const claimPatience = 3 * time.Second

// renewUnansweredLocked has links made anew on which a claim got no answer. It may have been
// lost between the link and its first frame, and nothing else would ever be placed there.
func (s *Shard) renewUnansweredLocked(now time.Duration, fx *Effects) {
	for node, l := range s.links {
		if l.claimed || l.lost || now-l.since < claimPatience {
			continue
		}
		l.since = now
		fx.log(Decision{What: "claim_unanswered", Node: node})
		fx.Relinks = append(fx.Relinks, node)
	}
}

// LinkLost notes that a link is gone. Runs behind it may go on; they are waited
// out, or found when the agent is back.
func (s *Shard) LinkLost(now time.Duration, node string, session int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[node]
	if l == nil || l.session != session {
		return
	}
	l.lost, l.lostAt = true, now
}

// Claimed takes in an agent's answer to the claim: all runs of the shard that
// it knows. What was ordered there and is not among them does not run.
func (s *Shard) Claimed(now time.Duration, node string, c worker.Claimed) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	l := s.links[node]
	if l == nil || l.session != c.Session || l.claimed || s.closed {
		return fx
	}
	if c.Refused {
		s.refusedLocked(&fx, node, c.KnownEpoch)
		return fx
	}
	l.claimed = true
	delete(s.waitFor, node)
	s.lostBeforeLocked(now, &fx, node, c.Lost)
	lost := s.missingLocked(node, c.Runs)
	// Of several runs of a task the newest counts: an older one that failed would
	// otherwise be repeated beside it.
	slices.SortStableFunc(c.Runs, func(a, b worker.RunState) int { return cmp.Compare(b.Run.Number, a.Run.Number) })
	for _, r := range c.Runs {
		s.foundLocked(now, &fx, node, r)
	}
	// What was ordered just now, in place of a run that was found ended, is on
	// its way and not lost.
	s.reclaimLocked(now, &fx, func(id job.TaskID, t *task) bool {
		return t.node == node && lost[job.RunID{Task: id, Number: t.number}]
	})
	s.resolveLocked(now, &fx)
	s.placeWaitingLocked(now, &fx)
	return fx
}

// refusedLocked takes in that an agent refuses a claim. A newer epoch there is that of
// the shard's next owner. Otherwise the agent knows of a newer link of this one: taken for
// a takeover, that ended the shard of an entry's best-effort jobs, which nobody deals anew,
// and the entry refused every job for the rest of its life while it was ready. The next
// link has a higher session, and its claim is answered with what runs there.
func (s *Shard) refusedLocked(fx *Effects, node string, knownEpoch int64) {
	if knownEpoch > s.Epoch {
		fx.log(Decision{What: "claim_refused", Node: node, Reason: "newer_owner"})
		s.closeLocked(fx)
		return
	}
	fx.log(Decision{What: "claim_refused", Node: node, Reason: "newer_link"})
	fx.Relinks = append(fx.Relinks, node)
}

func (s *Shard) stopRunLocked(fx *Effects, node string, run job.RunID) {
	fx.Stops = append(fx.Stops, Placed[job.RunID]{Node: node, What: run})
}

// closeLocked gives the shard up: another owner has taken over.
func (s *Shard) closeLocked(fx *Effects) {
	if s.closed {
		return
	}
	s.closed = true
	for _, j := range s.jobs {
		for _, w := range slices.Concat(j.waiters, j.cancels, j.watchers) {
			fx.reply(w, Verdict{Outcome: Unknown, Reason: ReasonTakeover})
		}
		j.waiters, j.cancels, j.watchers = nil, nil, nil
	}
}

// Close gives the shard up.
func (s *Shard) Close() Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	s.closeLocked(&fx)
	return fx
}
