package owner

import (
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

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
					if j.rec.Policy.AtMostOnce && !j.rec.State.Final() {
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
		if doubt && s.missed && j.rec.Policy.AtMostOnce {
			s.failLocked(now, fx, j, FailureLost)
			continue
		}
		if doubt {
			s.dispatchLocked(now, fx, j)
		}
	}
}
