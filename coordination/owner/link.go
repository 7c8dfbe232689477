package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// Linked adds a link to an agent and returns the claim to send on it first, and whether there is
// one to send. The session number rises with each link that this process makes.
//
// Each link is claimed only once. The answer to a second claim could predate an order that was sent
// after the first claim: that run would be taken for lost and started again elsewhere while it
// runs. An older session comes from a caller that does not know of the newest link yet.
func (s *Shard) Linked(now time.Duration, node string, session int64) (worker.Claim, bool, Effects) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	if l := s.links[node]; l != nil && (l.session > session || l.session == session && !l.claimDeferred) {
		return worker.Claim{}, false, fx
	}
	s.links[node] = &linkState{session: session, claimSentAt: now}
	delete(s.givenUp, node)
	if !s.storedAgents[node] && !s.private {
		s.agentsDirty = true
		fx.Write = true
	}
	return worker.Claim{Shard: s.ID, Epoch: s.Epoch, Session: session}, true, fx
}

// LinkedUnclaimed notes a new link to an agent on which the shard can't be claimed yet. Linked claims
// it later. The heartbeats on the link keep the runs there active, so the agent must not be given up by
// the time at which an earlier link was lost.
func (s *Shard) LinkedUnclaimed(node string, session int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[node]
	if _, awaited := s.unreconciled[node]; l == nil && !awaited || l != nil && l.session >= session {
		return
	}
	s.links[node] = &linkState{session: session, claimDeferred: true}
}

// claimTimeout is how long an agent may take to answer a claim. It may first have to record that
// recorded jobs run there, which takes a second with a slow store.
const claimTimeout = 3 * time.Second

// renewUnansweredLinksLocked requests new links in place of those on which a claim was not
// answered. The claim may have been lost between the link and its first frame, and without an
// answer nothing would ever be placed on that agent.
func (s *Shard) renewUnansweredLinksLocked(now time.Duration, fx *Effects) {
	for _, node := range slices.Sorted(maps.Keys(s.links)) {
		l := s.links[node]
		if l.claimed || l.lost || l.claimDeferred || now-l.claimSentAt < claimTimeout {
			continue
		}
		l.claimSentAt = now
		fx.log(Decision{Kind: "claim_unanswered", Node: node})
		fx.Reconnects = append(fx.Reconnects, node)
	}
}

// LinkLost handles the loss of a link. Runs behind it may continue; they are found when the agent
// is linked again, or given up after Bounds.LostLinkTimeout.
func (s *Shard) LinkLost(now time.Duration, node string, session int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[node]
	if l == nil || l.session != session {
		return
	}
	l.lost, l.lostAt = true, now
}

// Claimed handles an agent's answer to a claim, which lists all runs of the shard that the agent
// knows. A run that was ordered there and is not listed does not run.
func (s *Shard) Claimed(now time.Duration, node string, c worker.Claimed) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	l := s.links[node]
	if l == nil || l.session != c.Session || l.claimed || s.closed {
		return fx
	}
	if c.Refused {
		s.claimRefusedLocked(&fx, node, c.KnownEpoch)
		return fx
	}
	l.claimed = true
	_, fromEarlierOwner := s.unreconciled[node]
	delete(s.unreconciled, node)
	s.noteIncarnationLocked(&fx, node, l, c.Incarnation, fromEarlierOwner)
	s.reportedLossesLocked(now, &fx, node, c)
	lost := s.missingLocked(node, c.Runs)
	// Of several runs of a task the newest counts, so it is handled first: an older run that failed
	// would otherwise be repeated beside it.
	slices.SortStableFunc(c.Runs, func(a, b worker.RunState) int { return cmp.Compare(b.Run.Number, a.Run.Number) })
	for _, r := range c.Runs {
		s.reconcileRunLocked(now, &fx, node, r)
	}
	// Only runs that were missing before the loop above are lost. It may have placed new orders at
	// this agent, which are on their way.
	s.resetLostTasksLocked(now, &fx, false, func(id job.TaskID, t *task) bool {
		return t.node == node && lost[job.RunID{Task: id, Number: t.number}]
	})
	s.resolveInDoubtLocked(now, &fx)
	s.placeWaitingLocked(now, &fx)
	return fx
}

// claimRefusedLocked handles the refusal of a claim. If the agent knows a newer epoch, the shard
// has another owner. Otherwise the agent knows a newer link of this owner, and the claim on the
// next link, which has a higher session, will be answered. That case must not close the shard: the
// best-effort shard of an entry, which is never assigned again, was closed this way, and the entry
// refused every job until it restarted although it reported ready.
func (s *Shard) claimRefusedLocked(fx *Effects, node string, knownEpoch int64) {
	if knownEpoch > s.Epoch {
		fx.log(Decision{Kind: "claim_refused", Node: node, Reason: "newer_owner"})
		s.closeLocked(fx)
		return
	}
	fx.log(Decision{Kind: "claim_refused", Node: node, Reason: "newer_link"})
	fx.Reconnects = append(fx.Reconnects, node)
}

func (s *Shard) stopRunLocked(fx *Effects, node string, run job.RunID) {
	fx.Stops = append(fx.Stops, Addressed[job.RunID]{Node: node, Value: run})
}

// closeLocked closes the shard because another owner has taken over, and answers all waiting
// clients.
func (s *Shard) closeLocked(fx *Effects) {
	if s.closed {
		return
	}
	s.closed = true
	s.releaseAllLocked()
	s.denyLocked(fx)
	s.confirming = nil
	jobs := slices.Collect(maps.Values(s.jobs))
	sortJobs(jobs)
	for _, j := range jobs {
		for _, w := range slices.Concat(j.waiters, j.cancelWaiters, j.watchers) {
			fx.reply(w, Response{Outcome: Unknown, Reason: ReasonOwnerChanged})
		}
		j.waiters, j.cancelWaiters, j.watchers = nil, nil, nil
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
