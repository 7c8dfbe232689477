package owner

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
)

// A task that must not be repeated is started by the next owner if no agent reports a run of it. That
// is only safe if the agents know all runs that were ordered at them. An agent that has restarted
// forgets runs that were lost with an earlier backend server. So the store lists the incarnation of
// each agent before such a task is ordered there, and the next owner compares the list with what
// answers its claims. An incarnation leaves the list with the records of the jobs that failed
// because of it.

// noteIncarnationLocked notes which incarnation of an agent has answered a claim, and whether it
// knows what earlier owners have ordered at the agent.
func (s *Shard) noteIncarnationLocked(fx *Effects, node string, l *linkState, answered worker.Incarnation, fromEarlierOwner bool) {
	l.incarnation = answered
	if fromEarlierOwner && slices.ContainsFunc(s.incarnations[node], func(earlier worker.Incarnation) bool { return !answered.KnowsRunsOf(earlier) }) {
		s.agentUnreached = true
		fx.log(Decision{Kind: "runs_forgotten", Node: node, Reason: answered.Agent})
	}
	if !slices.Contains(s.incarnations[node], answered) {
		s.incarnations[node] = append(s.incarnations[node], answered)
	}
	s.requestIncarnationsLocked(fx)
}

// noteAtMostOnceLocked notes that the shard has a job whose tasks must not be repeated.
func (s *Shard) noteAtMostOnceLocked(fx *Effects) {
	s.atMostOnce = true
	s.requestIncarnationsLocked(fx)
}

// requestIncarnationsLocked schedules a write of the list of incarnations if it lacks one that is
// linked, or has earlier ones that no job depends on any more.
func (s *Shard) requestIncarnationsLocked(fx *Effects) {
	if !s.atMostOnce || s.private || s.agentsDirty {
		return
	}
	for node, l := range s.links {
		stored := s.storedIncarnations[node]
		if l.claimed && (!slices.Contains(stored, l.incarnation) || len(stored) > 1 && len(s.unreconciled) == 0) {
			s.agentsDirty, fx.Write = true, true
			return
		}
	}
}

// incarnationsLocked returns the incarnations to store for the listed agents. While jobs may fail
// because of an earlier incarnation, or not all of their records go with the list, it stays there.
func (s *Shard) incarnationsLocked(nodes []string) map[string][]worker.Incarnation {
	if !s.atMostOnce {
		return nil
	}
	out := make(map[string][]worker.Incarnation, len(nodes))
	keep := len(s.unreconciled) > 0 || len(s.dirty) > maxBatch
	for _, node := range nodes {
		l := s.links[node]
		if l == nil || !l.claimed || keep {
			out[node] = slices.Clone(s.incarnations[node])
			continue
		}
		out[node] = []worker.Incarnation{l.incarnation}
	}
	return out
}

// incarnationsWrittenLocked applies the confirmation that the store has a list of incarnations.
func (s *Shard) incarnationsWrittenLocked(fx *Effects, written map[string][]worker.Incarnation) {
	s.storedIncarnations = written
	for node, list := range s.incarnations {
		var current worker.Incarnation
		if l := s.links[node]; l != nil {
			current = l.incarnation
		}
		list = slices.DeleteFunc(list, func(i worker.Incarnation) bool { return i != current && !slices.Contains(written[node], i) })
		s.incarnations[node] = list
		if len(list) == 0 {
			delete(s.incarnations, node)
		}
	}
	s.requestIncarnationsLocked(fx)
}

// mayOrderOnceLocked is mayOrderLocked for a task that must not be repeated.
func (s *Shard) mayOrderOnceLocked(node string) bool {
	return s.mayOrderLocked(node) && (s.private || slices.Contains(s.storedIncarnations[node], s.links[node].incarnation))
}

// failLostOnceLocked fails a job because a run of a task that must not be repeated was lost with its
// backend server. Only the task's agent has reported the run: the earlier owner has not recorded it.
func (s *Shard) failLostOnceLocked(now time.Duration, fx *Effects, j *jobState, t *task, node string, r worker.RunState) {
	if t.phase != inDoubt {
		return
	}
	fx.log(Decision{Kind: "run_lost", Job: j.rec.ID, Run: r.Run, Node: node, Reason: r.Instance.String()})
	s.failJobLocked(now, fx, j, FailureLost)
}
