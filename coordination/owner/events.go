package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// Event takes in news of a run from an agent.
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
		s.newsOfLossLocked(now, &fx, node, e.State)
		return fx
	}
	if e.State.Status == worker.Ended {
		s.endLocked(now, &fx, node, e.State)
		return fx
	}
	j := s.jobs[e.State.Run.Task.Job]
	if j == nil {
		return fx
	}
	t := s.taskLocked(j, e.State.Run.Task)
	if t != nil && t.node == node && t.number == e.State.Run.Number && t.phase == ordered {
		s.startedLocked(j, t)
	}
	return fx
}

func (s *Shard) startedLocked(j *jobState, t *task) {
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

// endLocked takes in the end of a run.
func (s *Shard) endLocked(now time.Duration, fx *Effects, node string, r worker.RunState) {
	j := s.jobs[r.Run.Task.Job]
	var t *task
	if j != nil && !j.drop {
		t = s.taskLocked(j, r.Run.Task)
	}
	if t != nil && t.phase == inDoubt {
		s.foundLocked(now, fx, node, r)
		return
	}
	if t == nil || t.phase == over || t.phase == idle || t.number != r.Run.Number || t.node != node {
		s.surplusLocked(fx, node, r, j)
		return
	}
	if t.phase == stopping && j.rec.Policy.Once && s.openEndLocked(j, r.Run) != nil {
		// The record of the job's end is all that keeps it from being repeated.
		t.phase = over
		t.settleLater(node, Settlement{Run: r.Run})
		return
	}
	if t.phase == stopping && r.End != job.Done && r.End != job.FailedRun {
		fx.settle(node, Settlement{Run: r.Run})
		t.phase = idle
		s.orderAgainLocked(now, fx, j, r.Run.Task, t)
		return
	}
	rec := j.rec.Task(r.Run.Task)
	if r.Checkpoint != "" {
		rec.Checkpoint = r.Checkpoint
	}
	if r.End == job.Done || r.End == job.FailedRun {
		s.acquitLocked(fx, t, rec, r.Run, node)
	}
	switch r.End {
	case job.Done:
		rec.Result, rec.Work = r.Result, r.Work
		if !j.started {
			s.startedLocked(j, t)
		}
		s.fleet.Learn(j.rec.Policy.Queue, j.rec.Spec.Steps[r.Run.Task.Step].Estimate, r.Work)
		s.doneLocked(now, fx, j, t, rec, node, r.Run)
	case job.FailedRun:
		if !j.started {
			s.startedLocked(j, t)
		}
		s.failedLocked(now, fx, j, t, rec, node, r.Run)
	default:
		if j.rec.Policy.Once && r.End != job.NeverRan && !j.rec.State.Final() {
			t.phase = over
			t.settleLater(node, Settlement{Run: r.Run})
			s.failLocked(now, fx, j, FailureLost)
			return
		}
		fx.log(Decision{What: "run_over", Job: j.rec.ID, Run: r.Run, Node: node, Reason: r.Reason + "/" + r.End.String(), Age: now - j.accepted})
		fx.settle(node, Settlement{Run: r.Run})
		if r.Loss != worker.NotLost {
			s.lostWithServerLocked(now, fx, j, t, rec, node, r)
			return
		}
		t.phase = idle
		if r.End == job.NeverRan && r.Reason != worker.ReasonNoRoom && r.Reason != worker.ReasonDomainDrained {
			t.failed = node
		}
		s.orderAgainLocked(now, fx, j, r.Run.Task, t)
	}
}

func (s *Shard) orderAgainLocked(now time.Duration, fx *Effects, j *jobState, id job.TaskID, t *task) {
	if j.rec.State.Final() {
		t.phase = over
		return
	}
	s.orderLocked(now, fx, j, id, t)
}

// doneLocked notes that a task is complete. The end is settled once it is
// recorded: an acknowledged end that nobody has written down would make the
// next owner run the task again.
func (s *Shard) doneLocked(now time.Duration, fx *Effects, j *jobState, t *task, rec *job.TaskRecord, node string, run job.RunID) {
	t.phase = over
	rec.Done = true
	j.left--
	t.settleLater(node, Settlement{Run: run})
	if j.rec.State.Final() {
		s.writeLocked(fx, j, now)
		return
	}
	if j.left == 0 {
		s.finishLocked(now, fx, j, job.Completed)
		return
	}
	s.writeLocked(fx, j, now+s.bounds.LazyWrite)
	if len(j.rec.Spec.Steps) > 1 {
		s.dispatchLocked(now, fx, j)
	}
}

// failedLocked counts a failed run, and ends the job after the last attempt.
func (s *Shard) failedLocked(now time.Duration, fx *Effects, j *jobState, t *task, rec *job.TaskRecord, node string, run job.RunID) {
	rec.Failures++
	t.failed = node
	t.settleLater(node, Settlement{Run: run})
	fx.log(Decision{What: "run_failed", Job: j.rec.ID, Run: run, Node: node, Age: now - j.accepted})
	if j.rec.State.Final() {
		t.phase = over
		s.writeLocked(fx, j, now)
		return
	}
	if rec.Failures >= max(j.rec.Policy.MaxAttempts, 1) {
		t.phase = over
		s.failLocked(now, fx, j, failureOf(run.Task, rec))
		return
	}
	t.phase = idle
	s.writeLocked(fx, j, now+s.bounds.LazyWrite)
	s.orderLocked(now, fx, j, run.Task, t)
}

// FailureLost is why a job failed whose run was cut off and may not be repeated.
const FailureLost = "a task was cut off with its backend server and may have run"

func failureOf(id job.TaskID, rec *job.TaskRecord) string {
	return fmt.Sprintf("task %d of step %d failed %d times", id.Index, id.Step, rec.Failures)
}

func (s *Shard) failLocked(now time.Duration, fx *Effects, j *jobState, why string) {
	j.rec.Failure = why
	s.finishLocked(now, fx, j, job.Failed)
}

// finishLocked ends a job: its runs are stopped, its record is written, and
// whoever asks is told once it is.
func (s *Shard) finishLocked(now time.Duration, fx *Effects, j *jobState, state job.State) {
	j.rec.State = state
	j.rec.Elapsed = now - j.accepted
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
				t.phase = over
			}
		}
	}
	if j.rec.Spec.BestEffort {
		s.shownLocked(now, fx, j)
		return
	}
	s.writeLocked(fx, j, now)
}

// shownLocked makes a final state visible, and settles the ends behind it.
func (s *Shard) shownLocked(now time.Duration, fx *Effects, j *jobState) {
	j.shown = j.rec.State
	s.settleAllLocked(fx, j)
	for _, w := range slices.Concat(j.cancels, j.watchers) {
		fx.reply(w, endVerdict(j))
	}
	if j.rec.Spec.BestEffort {
		for _, w := range j.waiters {
			fx.reply(w, Verdict{Outcome: OK, State: j.shown})
		}
		j.waiters = nil
	}
	j.cancels, j.watchers = nil, nil
	s.expireLocked(now, j)
	fx.log(Decision{What: "ended", Job: j.rec.ID, Reason: j.shown.String(), Age: now - j.accepted, Wait: j.due - now})
}

// settleLater has an end settled once its record is written.
func (t *task) settleLater(node string, what Settlement) {
	t.awaits = what.Run.Number
	t.unsettled = append(t.unsettled, Placed[Settlement]{Node: node, What: what})
}

func (s *Shard) settleAllLocked(fx *Effects, j *jobState) {
	for i := range j.tasks {
		for _, u := range j.tasks[i].unsettled {
			fx.settle(u.Node, u.What)
		}
		j.tasks[i].unsettled = nil
	}
}
