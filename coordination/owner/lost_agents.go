package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// resetLostTasksLocked makes tasks startable again whose runs are certain to be gone. endsUnknown is
// set if those runs may have ended before.
func (s *Shard) resetLostTasksLocked(now time.Duration, fx *Effects, endsUnknown bool, lost func(job.TaskID, *task) bool) {
	for _, j := range s.openJobsLocked() {
		id := j.rec.ID
		n := 0
		for i := range j.rec.Spec.Steps {
			for k := 0; k < j.rec.Spec.Steps[i].Count; k++ {
				t := &j.tasks[n]
				n++
				tid := job.TaskID{Job: id, Step: i, Index: k}
				if (t.phase == ordered || t.phase == active || t.phase == stopping) && lost(tid, t) {
					fx.log(Decision{Kind: "run_lost", Job: id, Run: job.RunID{Task: tid, Number: t.number}, Node: t.node})
					t.phase = idle
					if j.rec.Policy.AtMostOnce && !j.rec.State.Final() {
						s.failJobLocked(now, fx, j, FailureLost)
					}
					if endsUnknown {
						s.excludeEarlierRunsLocked(now, fx, j, t)
					}
				}
			}
		}
		s.dispatchLocked(now, fx, j)
	}
}

// expireLostAgentsLocked gives up lost links, and agents of earlier owners, whose timeouts have
// passed: the runs there were stopped or have lost their leases.
//
// Only an owner that the group has confirmed may do so. The next owner may have claimed the runs
// that this one waits for and keep them active. If this owner started their tasks again, at an
// agent that the next one can't reach, they would run twice.
func (s *Shard) expireLostAgentsLocked(now time.Duration, fx *Effects) {
	if s.ownershipUnconfirmed || s.unverifiedLocked() {
		return
	}
	for _, node := range slices.Sorted(maps.Keys(s.links)) {
		if l := s.links[node]; !l.lost || now < l.lostAt+s.bounds.LostLinkTimeout {
			continue
		}
		delete(s.links, node)
		if _, awaited := s.unreconciled[node]; !awaited {
			s.removeStoredAgentLocked(node)
		}
		s.excludeDeferredEndsLocked(now, fx, node)
		s.resetLostTasksLocked(now, fx, true, func(_ job.TaskID, t *task) bool { return t.node == node })
	}
	before := len(s.unreconciled)
	for _, node := range slices.Sorted(maps.Keys(s.unreconciled)) {
		if now >= s.unreconciled[node] && !s.claimDeferredLocked(node) {
			delete(s.unreconciled, node)
			s.agentUnreached = true
			if s.links[node] == nil {
				s.removeStoredAgentLocked(node)
			}
			fx.log(Decision{Kind: "agent_waited_out", Node: node})
		}
	}
	if len(s.unreconciled) < before {
		s.resolveInDoubtLocked(now, fx)
	}
}

// claimDeferredLocked reports whether an agent has a link on which the claim is yet to be sent.
func (s *Shard) claimDeferredLocked(node string) bool {
	l := s.links[node]
	return l != nil && l.claimDeferred && !l.lost
}

func (s *Shard) removeStoredAgentLocked(node string) {
	if s.storedAgents[node] && !s.private {
		delete(s.storedAgents, node)
		s.givenUp[node], s.agentsDirty = true, true
	}
}

// resolveInDoubtLocked starts the tasks in doubt once no agent is left that could have a run of
// them.
func (s *Shard) resolveInDoubtLocked(now time.Duration, fx *Effects) {
	if len(s.unreconciled) > 0 {
		return
	}
	s.requestIncarnationsLocked(fx)
	for _, j := range s.openJobsLocked() {
		startable := false
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.phase != inDoubt || j.rec.State.Final() {
				continue
			}
			if held := t.deferredEnd; held != nil {
				t.deferredEnd = nil
				s.reconcileRunLocked(now, fx, held.Node, held.Value)
				continue
			}
			t.phase = idle
			startable = true
			if s.agentUnreached {
				s.excludeEarlierRunsLocked(now, fx, j, t)
			}
		}
		if j.rec.State.Final() {
			continue
		}
		if startable && s.agentUnreached && j.rec.Policy.AtMostOnce {
			s.failJobLocked(now, fx, j, FailureLost)
			continue
		}
		if startable {
			s.dispatchLocked(now, fx, j)
		}
	}
}
