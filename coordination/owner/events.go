package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// Event handles a run event from an agent.
func (s *Shard) Event(now time.Duration, node string, e worker.Event) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	if s.closed || e.Epoch != s.Epoch {
		return fx
	}
	if l := s.links[node]; l == nil || !l.claimed {
		return fx
	}
	if e.State.Status == worker.LossUpdate {
		s.lossUpdateLocked(now, &fx, node, e.State)
		return fx
	}
	if e.State.Status == worker.Ended {
		s.runEndedLocked(now, &fx, node, e.State)
		return fx
	}
	j := s.jobs[e.State.Run.Task.Job]
	if j == nil {
		return fx
	}
	t := s.taskLocked(j, e.State.Run.Task)
	if t != nil && t.node == node && t.number == e.State.Run.Number && t.phase == ordered {
		s.runStartedLocked(j, t)
	}
	return fx
}

func (s *Shard) runStartedLocked(j *jobState, t *task) {
	t.phase = active
	if !j.started {
		j.started = true
		s.unqueueLocked(j)
	}
}

func (s *Shard) unqueueLocked(j *jobState) {
	if !j.rec.Spec.BestEffort {
		s.queued[j.rec.Policy.Queue]--
	}
}

// runEndedLocked handles the end of a run.
func (s *Shard) runEndedLocked(now time.Duration, fx *Effects, node string, r worker.RunState) {
	j := s.jobs[r.Run.Task.Job]
	var t *task
	if j != nil && !j.removing {
		t = s.taskLocked(j, r.Run.Task)
	}
	if t != nil && s.failureCountedLocked(fx, node, r, j, t) {
		return
	}
	if t != nil && t.phase == inDoubt {
		s.reconcileRunLocked(now, fx, node, r)
		return
	}
	if t == nil || t.phase == finished || t.phase == idle || t.number != r.Run.Number || t.node != node {
		s.supersededLocked(now, fx, node, r, j)
		return
	}
	if t.phase == stopping && j.rec.Policy.AtMostOnce && s.unrecordedEndLocked(j, r.Run) != nil {
		// Only the record of the job's end prevents this task from being repeated, so the run's end
		// is settled after that record is written.
		t.phase = finished
		t.settleWhenRecorded(node, Settlement{Run: r.Run})
		return
	}
	if t.phase == stopping && r.End != job.Done && r.End != job.FailedRun {
		fx.settle(node, Settlement{Run: r.Run})
		t.phase = idle
		s.retryTaskLocked(now, fx, j, r.Run.Task, t)
		return
	}
	rec := j.rec.Task(r.Run.Task)
	if r.Checkpoint != "" {
		rec.Checkpoint = r.Checkpoint
	}
	if r.End == job.Done || r.End == job.FailedRun {
		s.clearSuspectLocked(fx, rec, r.Run, node)
	}
	switch r.End {
	case job.Done:
		rec.Result, rec.Work = r.Result, r.Work
		if !j.started {
			s.runStartedLocked(j, t)
		}
		s.fleet.ObserveRunTime(j.rec.Policy.Queue, node, j.rec.Spec.Steps[r.Run.Task.Step].Estimate, r.Work)
		s.taskDoneLocked(now, fx, j, t, rec, node, r.Run)
	case job.FailedRun:
		if !j.started {
			s.runStartedLocked(j, t)
		}
		rec.ClearedRun = r.Run.Number
		s.runFailedLocked(now, fx, j, t, rec, node, r.Run)
	default:
		if j.rec.Policy.AtMostOnce && r.End != job.NeverRan && !j.rec.State.Final() {
			t.phase = finished
			t.settleWhenRecorded(node, Settlement{Run: r.Run})
			s.failJobLocked(now, fx, j, FailureLost)
			return
		}
		fx.log(Decision{Kind: "run_over", Job: j.rec.ID, Run: r.Run, Node: node, Reason: r.Reason + "/" + r.End.String(), Age: now - j.acceptedAt})
		fx.settle(node, Settlement{Run: r.Run})
		s.closeOrderLocked(j, t, r)
		if r.Loss != worker.NotLost {
			s.runLostWithServerLocked(now, fx, j, t, rec, node, r)
			return
		}
		t.phase = idle
		if r.End == job.NeverRan && r.Reason != worker.ReasonNoRoom && r.Reason != worker.ReasonDomainDrained {
			t.failedNode = node
		}
		s.retryTaskLocked(now, fx, j, r.Run.Task, t)
	}
}

func (s *Shard) retryTaskLocked(now time.Duration, fx *Effects, j *jobState, id job.TaskID, t *task) {
	if j.rec.State.Final() {
		t.phase = finished
		return
	}
	s.placeOrQueueLocked(now, fx, j, id, t)
}

// taskDoneLocked marks a task as done. The run's end is settled once that is recorded: if it were
// acknowledged without a record, the next owner would run the task again.
func (s *Shard) taskDoneLocked(now time.Duration, fx *Effects, j *jobState, t *task, rec *job.TaskRecord, node string, run job.RunID) {
	t.phase = finished
	rec.Done = true
	j.remaining--
	t.settleWhenRecorded(node, Settlement{Run: run})
	if j.rec.State.Final() {
		s.scheduleWriteLocked(fx, j, now)
		return
	}
	if j.remaining == 0 {
		s.finishJobLocked(now, fx, j, job.Completed)
		return
	}
	s.scheduleWriteLocked(fx, j, now+s.bounds.MaxWriteDelay)
	if len(j.rec.Spec.Steps) > 1 {
		s.dispatchLocked(now, fx, j)
	}
}

// failureCountedLocked reports whether an end is that of a failed run that was counted before, by this owner
// or an earlier one, and settles it once the store has the count. An agent reports an end anew on each link
// until it has acknowledged it.
func (s *Shard) failureCountedLocked(fx *Effects, node string, r worker.RunState, j *jobState, t *task) bool {
	if r.Status != worker.Ended || r.End != job.FailedRun {
		return false
	}
	n := slices.Index(j.rec.Task(r.Run.Task).FailedRuns, r.Run.Number)
	if n < 0 {
		return false
	}
	if n < t.storedFailures || j.rec.Spec.BestEffort || j.reportedState.Final() {
		fx.settle(node, Settlement{Run: r.Run})
	}
	return true
}

// runFailedLocked counts a failed run, and fails the job after the last attempt.
func (s *Shard) runFailedLocked(now time.Duration, fx *Effects, j *jobState, t *task, rec *job.TaskRecord, node string, run job.RunID) {
	rec.Failures++
	rec.FailedRuns = append(slices.Clip(rec.FailedRuns), run.Number)
	t.failedNode = node
	t.settleWhenRecorded(node, Settlement{Run: run})
	fx.log(Decision{Kind: "run_failed", Job: j.rec.ID, Run: run, Node: node, Age: now - j.acceptedAt})
	if j.rec.State.Final() {
		t.phase = finished
		s.scheduleWriteLocked(fx, j, now)
		return
	}
	if rec.Failures >= max(j.rec.Policy.MaxAttempts, 1) {
		t.phase = finished
		s.failJobLocked(now, fx, j, failureOf(run.Task, rec))
		return
	}
	t.phase = idle
	s.scheduleWriteLocked(fx, j, now+s.bounds.MaxWriteDelay)
	s.placeOrQueueLocked(now, fx, j, run.Task, t)
}

// FailureLost is the failure of a job whose run was cut off and may not be repeated.
const FailureLost = "a task was cut off with its backend server and may have run"

func failureOf(id job.TaskID, rec *job.TaskRecord) string {
	return fmt.Sprintf("task %d of step %d failed %d times", id.Index, id.Step, rec.Failures)
}

func (s *Shard) failJobLocked(now time.Duration, fx *Effects, j *jobState, failure string) {
	j.rec.Failure = failure
	s.finishJobLocked(now, fx, j, job.Failed)
}

// finishJobLocked ends a job: it stops the job's runs and schedules the write of its record.
// Waiting clients get their replies once the record is written.
func (s *Shard) finishJobLocked(now time.Duration, fx *Effects, j *jobState, state job.State) {
	j.rec.State = state
	j.rec.Elapsed = now - j.acceptedAt
	if !j.started {
		j.started = true
		s.unqueueLocked(j)
	}
	n := 0
	for i := range j.rec.Spec.Steps {
		for k := 0; k < j.rec.Spec.Steps[i].Count; k++ {
			t := &j.tasks[n]
			n++
			switch t.phase {
			case ordered, active:
				s.stopRunLocked(fx, t.node, job.RunID{Task: job.TaskID{Job: j.rec.ID, Step: i, Index: k}, Number: t.number})
				t.phase = stopping
			case stopping:
			default:
				t.phase = finished
			}
		}
	}
	if j.rec.Spec.BestEffort {
		s.reportEndLocked(now, fx, j)
		return
	}
	s.scheduleWriteLocked(fx, j, now)
}

// reportEndLocked makes a job's final state visible to clients and settles the ends of its runs.
func (s *Shard) reportEndLocked(now time.Duration, fx *Effects, j *jobState) {
	j.reportedState = j.rec.State
	s.settleAllLocked(fx, j)
	for _, w := range slices.Concat(j.cancelWaiters, j.watchers) {
		fx.reply(w, jobResponse(j))
	}
	if j.rec.Spec.BestEffort {
		for _, w := range j.waiters {
			fx.reply(w, Response{Outcome: OK, State: j.reportedState})
		}
		j.waiters = nil
	}
	j.cancelWaiters, j.watchers = nil, nil
	s.scheduleExpiryLocked(now, j)
	s.endedLocked(j)
	fx.log(Decision{Kind: "ended", Job: j.rec.ID, Reason: j.reportedState.String(), Age: now - j.acceptedAt, Wait: j.due - now})
}

// settleWhenRecorded schedules a settlement to be sent once the task's record is written.
func (t *task) settleWhenRecorded(node string, settlement Settlement) {
	t.unrecordedRun = settlement.Run.Number
	t.unsettled = append(t.unsettled, Addressed[Settlement]{Node: node, Value: settlement})
}

func (s *Shard) settleAllLocked(fx *Effects, j *jobState) {
	for i := range j.tasks {
		for _, u := range j.tasks[i].unsettled {
			fx.settle(u.Node, u.Value)
		}
		j.tasks[i].unsettled = nil
	}
}
