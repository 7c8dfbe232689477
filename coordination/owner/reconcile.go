package owner

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// missingLocked returns the runs that were ordered at an agent and are not among those it has
// reported. An older run of the same task does not count as the one that was ordered.
func (s *Shard) missingLocked(node string, reported []worker.RunState) map[job.RunID]bool {
	reportedRuns := make(map[job.RunID]bool, len(reported))
	for _, r := range reported {
		reportedRuns[r.Run] = true
	}
	lost := make(map[job.RunID]bool)
	for id, j := range s.jobs {
		for n := range j.tasks {
			t := &j.tasks[n]
			if t.node != node || t.phase != ordered && t.phase != active && t.phase != stopping {
				continue
			}
			if run := (job.RunID{Task: j.rec.TaskAt(id, n), Number: t.number}); !reportedRuns[run] {
				lost[run] = true
			}
		}
	}
	return lost
}

// reconcileRunLocked handles one run that an agent has reported in its answer to a claim.
func (s *Shard) reconcileRunLocked(now time.Duration, fx *Effects, node string, r worker.RunState) {
	j := s.jobs[r.Run.Task.Job]
	var t *task
	if j != nil && !j.removing {
		t = s.taskLocked(j, r.Run.Task)
	}
	if t != nil && s.failureCountedLocked(fx, node, r, j, t) {
		return
	}
	if t != nil && t.phase == stopping && t.node == node && t.number == r.Run.Number && r.Status == worker.Ended {
		s.runEndedLocked(now, fx, node, r)
		return
	}
	if t == nil || t.phase == finished || t.phase == stopping {
		s.supersededLocked(now, fx, node, r, j)
		return
	}
	if t.phase == inDoubt && r.Run.Number < t.firstCounted {
		s.supersededLocked(now, fx, node, r, j)
		return
	}
	if t.deferredEnd != nil && r.Run.Number < t.deferredEnd.Value.Run.Number {
		if r.Status == worker.Ended {
			fx.settleSuperseded(node, r)
		} else {
			s.stopRunLocked(fx, node, r.Run)
		}
		return
	}
	s.discardDeferredEndLocked(fx, t, r.Run)
	if s.mustDeferEndLocked(j, t, r) {
		t.deferredEnd = &Addressed[worker.RunState]{Node: node, Value: r}
		return
	}
	adopt := t.phase == inDoubt || t.phase == idle && t.number <= r.Run.Number
	current := t.number == r.Run.Number && t.node == node
	if !adopt && !current {
		if t.number < r.Run.Number && r.Status != worker.Ended {
			// Two agents have runs of this task from earlier owners: the newer run continues.
			s.stopRunLocked(fx, t.node, job.RunID{Task: r.Run.Task, Number: t.number})
			adopt = true
		} else {
			s.supersededLocked(now, fx, node, r, j)
			return
		}
	}
	if adopt {
		t.number, t.node = r.Run.Number, node
		t.phase = ordered
	}
	switch r.Status {
	case worker.Ended:
		s.runEndedLocked(now, fx, node, r)
		return
	case worker.Running:
		s.runStartedLocked(j, t)
	}
	// The agent may have restarted and not know the resources that the run takes, so the order is
	// repeated.
	st := &j.rec.Spec.Steps[r.Run.Task.Step]
	estimate := s.fleet.ExpectedRunTime(j.rec.Policy.Queue, st.Estimate)
	s.fleet.RepeatSent(node)
	order := s.newOrder(j, r.Run.Task, t, estimate)
	order.Repeat = true
	fx.Orders = append(fx.Orders, Addressed[worker.Order]{Node: node, Value: order})
}

// mustDeferEndLocked reports whether a run is the end of an earlier owner's run that must not be
// handled before every agent that may have a newer run of the task has answered. The earlier owner
// may have started the task again after this end. If the end were handled at once, the task would
// be started a third time beside that newer run, or the end would count although the newer run has
// superseded it. A task that may not be repeated has no newer run.
func (s *Shard) mustDeferEndLocked(j *jobState, t *task, r worker.RunState) bool {
	return t.phase == inDoubt && r.Status == worker.Ended && len(s.unreconciled) > 0 && !j.rec.Policy.AtMostOnce
}

// discardDeferredEndLocked discards a deferred end because another run of the task was found, and
// settles it as superseded. If the found run is the same one, which an agent reports again after
// its link was replaced, nothing is settled.
func (s *Shard) discardDeferredEndLocked(fx *Effects, t *task, found job.RunID) {
	if t.deferredEnd != nil && t.deferredEnd.Value.Run != found {
		fx.settleSuperseded(t.deferredEnd.Node, t.deferredEnd.Value)
	}
	t.deferredEnd = nil
}

// settleSuperseded settles an end that a later run has superseded. Only the ends of done and failed
// runs are void, which means that they must never be acknowledged; other ends carry no result.
func (fx *Effects) settleSuperseded(node string, r worker.RunState) {
	fx.settle(node, Settlement{Run: r.Run, Void: r.End == job.Done || r.End == job.FailedRun})
}

func (fx *Effects) settle(node string, settlement Settlement) {
	fx.Settled = append(fx.Settled, Addressed[Settlement]{Node: node, Value: settlement})
	if settlement.Void {
		fx.log(Decision{Kind: "end_voided", Job: settlement.Run.Task.Job, Run: settlement.Run, Node: node})
	}
}

// supersededLocked settles or stops a run that no longer counts.
func (s *Shard) supersededLocked(now time.Duration, fx *Effects, node string, r worker.RunState, j *jobState) {
	if j == nil && (s.private || r.Status != worker.Ended) {
		// It may be a best-effort job of another owner, which knows it. If it has no owner, the
		// agent stops it.
		return
	}
	if j == nil {
		// A newer owner may know the job. If its end were acknowledged without a record of it, that
		// owner would start the task again.
		s.confirmLocked(now, fx, nil, func(_ time.Duration, fx *Effects) {
			fx.settle(node, Settlement{Run: r.Run, Void: s.mustVoidLocked(s.jobs[r.Run.Task.Job], r)})
		})
		return
	}
	if r.Status == worker.Ended {
		settlement := Settlement{Run: r.Run, Void: s.mustVoidLocked(j, r)}
		if t := s.unrecordedEndLocked(j, r.Run); t != nil {
			if t.unrecordedRun != r.Run.Number {
				t.settleWhenRecorded(node, settlement)
			}
			return
		}
		fx.settle(node, settlement)
		return
	}
	s.stopRunLocked(fx, node, r.Run)
}

// unrecordedEndLocked returns the task of a run whose end, or whose job's end, is not recorded yet,
// and nil otherwise. Such an end is settled after the record is written: an owner that takes over
// before that would not know of it, and would start the task again after its end was acknowledged.
func (s *Shard) unrecordedEndLocked(j *jobState, run job.RunID) *task {
	if j == nil || j.rec.Spec.BestEffort {
		return nil
	}
	t := s.taskLocked(j, run.Task)
	if t != nil && (t.unrecordedRun == run.Number || j.rec.State.Final() && !j.reportedState.Final()) {
		return t
	}
	return nil
}

// mustVoidLocked reports whether an end must never be acknowledged because the task was started
// again after it.
func (s *Shard) mustVoidLocked(j *jobState, r worker.RunState) bool {
	if j == nil || j.removing || r.End != job.Done && r.End != job.FailedRun {
		return false
	}
	newest := j.rec.NewestRun(r.Run.Task)
	if t := s.taskLocked(j, r.Run.Task); t != nil {
		newest = max(newest, t.number)
	}
	return newest > r.Run.Number
}
