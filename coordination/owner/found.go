package owner

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// missingLocked returns the runs that were ordered at an agent and that it doesn't
// have. An older run of the same task doesn't stand for the one that was ordered.
func (s *Shard) missingLocked(node string, has []worker.RunState) map[job.RunID]bool {
	there := make(map[job.RunID]bool, len(has))
	for _, r := range has {
		there[r.Run] = true
	}
	lost := make(map[job.RunID]bool)
	for id, j := range s.jobs {
		for n := range j.tasks {
			t := &j.tasks[n]
			if t.node != node || t.phase != ordered && t.phase != active && t.phase != stopping {
				continue
			}
			if run := (job.RunID{Task: j.rec.TaskAt(id, n), Number: t.number}); !there[run] {
				lost[run] = true
			}
		}
	}
	return lost
}

// foundLocked takes in one run that an agent has.
func (s *Shard) foundLocked(now time.Duration, fx *Effects, node string, r worker.RunState) {
	j := s.jobs[r.Run.Task.Job]
	var t *task
	if j != nil && !j.drop {
		t = s.taskLocked(j, r.Run.Task)
	}
	if t != nil && t.phase == stopping && t.node == node && t.number == r.Run.Number && r.Status == worker.Ended {
		s.endLocked(now, fx, node, r)
		return
	}
	if t == nil || t.phase == over || t.phase == stopping {
		s.surplusLocked(fx, node, r, j)
		return
	}
	if t.held != nil && r.Run.Number < t.held.What.Run.Number {
		if r.Status == worker.Ended {
			fx.void(node, r)
		} else {
			s.stopRunLocked(fx, node, r.Run)
		}
		return
	}
	s.dropHeldLocked(fx, t, r.Run)
	if s.mustHoldLocked(j, t, r) {
		t.held = &Placed[worker.RunState]{Node: node, What: r}
		return
	}
	adopt := t.phase == inDoubt || t.phase == idle && t.number <= r.Run.Number
	current := t.number == r.Run.Number && t.node == node
	if !adopt && !current {
		if t.number < r.Run.Number && r.Status != worker.Ended {
			// Two agents have runs of earlier owners: the newer one goes on.
			s.stopRunLocked(fx, t.node, job.RunID{Task: r.Run.Task, Number: t.number})
			adopt = true
		} else {
			s.surplusLocked(fx, node, r, j)
			return
		}
	}
	if adopt {
		t.number, t.node = r.Run.Number, node
		t.phase = ordered
	}
	switch r.Status {
	case worker.Ended:
		s.endLocked(now, fx, node, r)
		return
	case worker.Running:
		s.startedLocked(j, t)
	}
	// The agent may be new and not know what the run takes of its worker.
	st := &j.rec.Spec.Steps[r.Run.Task.Step]
	estimate := s.fleet.Expect(j.rec.Policy.Queue, st.Estimate)
	s.fleet.Sent(node)
	order := s.order(j, r.Run.Task, t, estimate)
	order.Repeat = true
	fx.Orders = append(fx.Orders, Placed[worker.Order]{Node: node, What: order})
}

// mustHoldLocked reports whether a run is the end of an earlier owner's that has to
// be kept until every agent that may have a newer run of the task has answered. The earlier owner may have started
// the task again after this end; taken at once, it would be started a third time
// beside that run, or count although that run has replaced it. A task that may not
// be repeated has no newer run.
func (s *Shard) mustHoldLocked(j *jobState, t *task, r worker.RunState) bool {
	return t.phase == inDoubt && r.Status == worker.Ended && len(s.waitFor) > 0 && !j.rec.Policy.AtMostOnce
}

// dropHeldLocked gives up an end that was held: a newer run was found. The same
// run may be found again, after its link was made anew.
func (s *Shard) dropHeldLocked(fx *Effects, t *task, found job.RunID) {
	if t.held != nil && t.held.What.Run != found {
		fx.void(t.held.Node, t.held.What)
	}
	t.held = nil
}

// void settles an end that a later run has replaced. Only what is done or failed
// must never be acknowledged; other ends say nothing.
func (fx *Effects) void(node string, r worker.RunState) {
	fx.settle(node, Settlement{Run: r.Run, Void: r.End == job.Done || r.End == job.FailedRun})
}

func (fx *Effects) settle(node string, what Settlement) {
	fx.Settled = append(fx.Settled, Placed[Settlement]{Node: node, What: what})
	if what.Void {
		fx.log(Decision{What: "end_voided", Job: what.Run.Task.Job, Run: what.Run, Node: node})
	}
}

// surplusLocked ends a run that doesn't count any more.
func (s *Shard) surplusLocked(fx *Effects, node string, r worker.RunState, j *jobState) {
	if j == nil && (s.private || r.Status != worker.Ended) {
		// It may be a best-effort job of another owner, which knows it. If it
		// is nobody's, the agent stops it.
		return
	}
	if r.Status == worker.Ended {
		settlement := Settlement{Run: r.Run, Void: s.voidLocked(j, r)}
		if t := s.openEndLocked(j, r.Run); t != nil {
			if t.awaits != r.Run.Number {
				t.settleLater(node, settlement)
			}
			return
		}
		fx.settle(node, settlement)
		return
	}
	s.stopRunLocked(fx, node, r.Run)
}

// openEndLocked returns the task of a run whose end, or whose job's, is not
// recorded yet. It is settled with that record: an owner that takes over before
// would know nothing of it, and start the task again after its end was
// acknowledged.
func (s *Shard) openEndLocked(j *jobState, run job.RunID) *task {
	if j == nil || j.rec.Spec.BestEffort {
		return nil
	}
	t := s.taskLocked(j, run.Task)
	if t != nil && (t.awaits == run.Number || j.rec.State.Final() && !j.shown.Final()) {
		return t
	}
	return nil
}

// voidLocked reports whether an end must never be acknowledged: the task was
// started again after it, or it would count toward a task that is settled.
func (s *Shard) voidLocked(j *jobState, r worker.RunState) bool {
	if j == nil || j.drop || r.End != job.Done && r.End != job.FailedRun {
		return false
	}
	t := s.taskLocked(j, r.Run.Task)
	if t == nil {
		return false
	}
	return t.number > r.Run.Number
}
