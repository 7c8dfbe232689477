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

// reclaimLocked makes tasks startable again whose runs are gone for certain.
func (s *Shard) reclaimLocked(now time.Duration, fx *Effects, gone func(job.TaskID, *task) bool) {
	for id, j := range s.jobs {
		n := 0
		for i := range j.rec.Spec.Steps {
			for k := 0; k < j.rec.Spec.Steps[i].Count; k++ {
				t := &j.tasks[n]
				n++
				tid := job.TaskID{Job: id, Step: i, Index: k}
				if (t.phase == ordered || t.phase == active || t.phase == stopping) && gone(tid, t) {
					fx.log(Decision{What: "run_lost", Job: id, Run: job.RunID{Task: tid, Number: t.number}, Node: t.node})
					t.phase = idle
					if j.rec.Policy.Once && !j.rec.State.Final() {
						s.failLocked(now, fx, j, FailureLost)
					}
				}
			}
		}
		s.dispatchLocked(now, fx, j)
	}
}

// waitOutLocked gives up links and agents of earlier owners whose bound has
// passed: what ran there was stopped or has lost its lease.
//
// Only an owner that the group has confirmed may do so. The next owner may have
// claimed the runs that this one has waited for, and keep them at work; started
// again at an agent that the next one can't reach, they would run twice.
func (s *Shard) waitOutLocked(now time.Duration, fx *Effects) {
	if s.unconfirmed {
		return
	}
	for node, l := range s.links {
		if !l.lost || now < l.lostAt+s.bounds.WaitOut {
			continue
		}
		delete(s.links, node)
		if _, awaited := s.waitFor[node]; !awaited {
			s.unnameLocked(node)
		}
		s.reclaimLocked(now, fx, func(_ job.TaskID, t *task) bool { return t.node == node })
	}
	before := len(s.waitFor)
	for node, until := range s.waitFor {
		if now >= until {
			delete(s.waitFor, node)
			s.missed = true
			if s.links[node] == nil {
				s.unnameLocked(node)
			}
			fx.log(Decision{What: "agent_waited_out", Node: node})
		}
	}
	if len(s.waitFor) < before {
		s.resolveLocked(now, fx)
	}
}

func (s *Shard) unnameLocked(node string) {
	if s.named[node] && !s.private {
		delete(s.named, node)
		s.naming = true
	}
}

// resolveLocked starts the tasks in doubt once no agent is left that could have
// a run of them.
func (s *Shard) resolveLocked(now time.Duration, fx *Effects) {
	if len(s.waitFor) > 0 {
		return
	}
	for _, j := range s.jobs {
		doubt := false
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.phase != inDoubt || j.rec.State.Final() {
				continue
			}
			if held := t.held; held != nil {
				t.held = nil
				s.foundLocked(now, fx, held.Node, held.What)
				continue
			}
			t.phase = idle
			doubt = true
		}
		if j.rec.State.Final() {
			continue
		}
		if doubt && s.missed && j.rec.Policy.Once {
			s.failLocked(now, fx, j, FailureLost)
			continue
		}
		if doubt {
			s.dispatchLocked(now, fx, j)
		}
	}
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

// Concerns reports whether anything of this shard may be at an agent.
func (s *Shard) Concerns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waitFor) > 0 {
		return true
	}
	for _, j := range s.jobs {
		if !j.rec.State.Final() {
			return true
		}
	}
	return false
}

// Occupied reports whether anything of this shard may be at an agent: a run, or an end
// that is not settled.
func (s *Shard) Occupied(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, awaited := s.waitFor[node]; awaited {
		return true
	}
	for _, j := range s.jobs {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.node == node && (t.phase == ordered || t.phase == active || t.phase == stopping || len(t.unsettled) > 0) {
				return true
			}
		}
	}
	return false
}

// Awaited names the agents of earlier owners that have not answered a claim yet.
func (s *Shard) Awaited() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.waitFor))
	for node := range s.waitFor {
		out = append(out, node)
	}
	return out
}

// Reach counts the agents to which orders may go.
func (s *Shard) Reach() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for node := range s.links {
		if s.mayOrderLocked(node) {
			n++
		}
	}
	return n
}

// Closed reports whether the shard was given up.
func (s *Shard) Closed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
