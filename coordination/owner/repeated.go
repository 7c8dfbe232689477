package owner

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// A task is started again, without its earlier run's end being known, once the agent of that run has
// been out of reach for long enough. The run may have ended with success before, and its agent may
// still report that. Such an end must not count once a later run has started. This owner knows of the
// later run, but the next one hears of it only from that run's agent, which may be lost together with
// this owner. So the store has to exclude the earlier runs before the later one is ordered.

// nextRunLocked returns the number of a task's next run.
func (s *Shard) nextRunLocked(j *jobState, t *task) int64 {
	return max(t.number+1, (s.Epoch-j.rec.FirstEpoch)*runsPerEpoch+1)
}

// excludeEarlierRunsLocked makes the ends of a task's earlier runs void for later owners, once its next
// run is ordered. That waits until the store has it.
func (s *Shard) excludeEarlierRunsLocked(now time.Duration, fx *Effects, j *jobState, t *task) {
	if s.private || j.rec.Spec.BestEffort || j.rec.State.Final() {
		return
	}
	t.firstCounted = s.nextRunLocked(j, t)
	s.scheduleWriteLocked(fx, j, now)
}

// restartRecorded reports whether the store has all that must be there before the task is started again.
func (t *task) restartRecorded() bool { return t.firstCounted <= t.storedFirstCounted }

// excludeDeferredEndsLocked drops the deferred ends of an agent that is given up. The next owner does
// not wait for that agent, so it must not count these ends.
func (s *Shard) excludeDeferredEndsLocked(now time.Duration, fx *Effects, node string) {
	if len(s.unreconciled) == 0 {
		return // no end is deferred
	}
	for _, j := range s.openJobsLocked() {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.deferredEnd == nil || t.deferredEnd.Node != node {
				continue
			}
			t.firstCounted = t.deferredEnd.Value.Run.Number + 1
			t.number, t.deferredEnd = t.firstCounted, nil
			s.scheduleWriteLocked(fx, j, now)
		}
	}
}

// loadRepeatedLocked applies what earlier owners have recorded of a job's repeated tasks.
func (s *Shard) loadRepeatedLocked(j *jobState) {
	for _, run := range j.rec.Repeated {
		t := s.taskLocked(j, run.Task)
		if t == nil {
			continue
		}
		t.number = max(t.number, run.Number)
		if t.phase != finished {
			t.firstCounted, t.storedFirstCounted = run.Number, run.Number
		}
	}
}

// repeatedWrittenLocked notes which runs a stored record excludes. It reports whether a task that waited
// for that may be started.
func (s *Shard) repeatedWrittenLocked(j *jobState, stored *job.Record) bool {
	released := false
	for _, run := range stored.Repeated {
		t := s.taskLocked(j, run.Task)
		if t == nil || t.storedFirstCounted >= run.Number {
			continue
		}
		waited := !t.restartRecorded()
		t.storedFirstCounted = run.Number
		released = released || waited && t.restartRecorded()
	}
	return released
}

// hasExcludedRuns reports whether runs of an ended job are excluded whose ends may still be found. Of a
// job that had ended before this owner took over, it is not known how its tasks' earlier runs ended.
func (j *jobState) hasExcludedRuns() bool {
	if j.tasks == nil {
		return len(j.rec.Repeated) > 0
	}
	return slices.ContainsFunc(j.tasks, func(t task) bool { return t.firstCounted > 0 })
}
