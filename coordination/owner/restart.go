package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// restartDecision tells whether a task under which servers were lost may be started again.
type restartDecision uint8

const (
	// restartNow: it may be started, with the isolation that its crashes require.
	restartNow restartDecision = iota
	// restartLater: the decision depends on reports about a lost server.
	restartLater
	// restartNever: the task is given up.
	restartNever
)

// restartDecisionLocked decides whether a task may be started again, by the servers lost under it.
func (s *Shard) restartDecisionLocked(now time.Duration, t *task, rec *job.TaskRecord) restartDecision {
	n, most := len(rec.Crashes), s.fleet.params.MaxCrashes
	if n == 0 {
		return restartNow
	}
	last := &rec.Crashes[n-1]
	if n < most && (n < aloneCrashLimit || !last.Alone) {
		return restartNow
	}
	confirmed := 0
	for i := range rec.Crashes {
		if rec.Crashes[i].Confirmed {
			confirmed++
		}
	}
	switch since := now - t.lostAt; {
	case confirmed >= min(aloneCrashLimit, most) && n >= most:
		return restartNever
	case confirmed == n && !s.correlatedLossLocked(last):
		return restartNever
	case confirmed < n && since < crashReportTimeout:
		return restartLater
	case n <= most:
		return restartNow
	case since < unconfirmedCrashTimeout:
		return restartLater
	}
	// No report can come for the unconfirmed crashes any more, because their agents are lost too.
	rec.Crashes = slices.DeleteFunc(slices.Clone(rec.Crashes), func(c job.Crash) bool { return !c.Confirmed })
	return restartNow
}

// mayStartSuspectLocked reports whether a task may be ordered now with regard to the servers lost
// under it. A task that is given up fails its job.
func (s *Shard) mayStartSuspectLocked(now time.Duration, fx *Effects, j *jobState, id job.TaskID, t *task) bool {
	rec := j.rec.Task(id)
	if len(rec.Crashes) == 0 {
		return true
	}
	switch s.restartDecisionLocked(now, t, rec) {
	case restartLater:
		return false
	case restartNever:
		s.failCrashingJobLocked(now, fx, j, id, t, rec)
		return false
	}
	// A crash without a record is lost with its owner, and the next owner would start the task as
	// many times again.
	return j.rec.Spec.BestEffort || len(rec.Crashes) < minCrashesToRecord || t.recordedCrash >= newestCrash(rec)
}

// newestCrash returns the number of the newest run that was lost with its server.
func newestCrash(rec *job.TaskRecord) int64 {
	var newest int64
	for i := range rec.Crashes {
		newest = max(newest, rec.Crashes[i].Run)
	}
	return newest
}

// failCrashingJobLocked fails the job of a task that crashes its servers.
func (s *Shard) failCrashingJobLocked(now time.Duration, fx *Effects, j *jobState, id job.TaskID, t *task, rec *job.TaskRecord) {
	fx.log(Decision{Kind: "crasher_given_up", Job: id.Job, Run: job.RunID{Task: id, Number: t.number}, Node: rec.Crashes[len(rec.Crashes)-1].Node, Count: len(rec.Crashes)})
	t.phase = finished
	delete(s.suspects, id)
	crashed := rec.Crashes
	s.failJobLocked(now, fx, j, FailureCrashed)
	s.clearNeighboursLocked(now, fx, crashed)
}

// clearNeighboursLocked removes the servers that a task has crashed from the crashes of the other
// suspects.
func (s *Shard) clearNeighboursLocked(now time.Duration, fx *Effects, crashed []job.Crash) {
	for _, id := range s.sortedSuspectsLocked() {
		j := s.jobs[id.Job]
		if j == nil || j.rec.State.Final() {
			delete(s.suspects, id)
			continue
		}
		rec := j.rec.Task(id)
		kept := slices.DeleteFunc(slices.Clone(rec.Crashes), func(c job.Crash) bool {
			cleared := slices.ContainsFunc(crashed, func(k job.Crash) bool { return k.Node == c.Node && k.Instance == c.Instance })
			if cleared {
				rec.ClearedRun = max(rec.ClearedRun, c.Run)
			}
			return cleared
		})
		if len(kept) == len(rec.Crashes) {
			continue
		}
		rec.Crashes = kept
		fx.log(Decision{Kind: "crash_acquitted", Job: id.Job, Run: job.RunID{Task: id}, Reason: "another_task", Count: len(kept)})
		s.scheduleWriteLocked(fx, j, now+s.bounds.MaxWriteDelay)
	}
}

// clearSuspectLocked clears a task of suspicion after a run of it has ended without its server.
func (s *Shard) clearSuspectLocked(fx *Effects, rec *job.TaskRecord, run job.RunID, node string) {
	if len(rec.Crashes) == 0 {
		return
	}
	rec.Crashes = nil
	delete(s.suspects, run.Task)
	fx.log(Decision{Kind: "crash_acquitted", Job: run.Task.Job, Run: run, Node: node, Reason: "ended"})
}

func (s *Shard) sortedSuspectsLocked() []job.TaskID {
	return slices.SortedFunc(maps.Keys(s.suspects), job.TaskID.Compare)
}

// retrySuspectsLocked tries again to start suspects that wait for reports about a server.
func (s *Shard) retrySuspectsLocked(now time.Duration, fx *Effects) {
	for _, id := range s.sortedSuspectsLocked() {
		j := s.jobs[id.Job]
		if j == nil || j.rec.State.Final() {
			delete(s.suspects, id)
			continue
		}
		// A task that was cleared while it waited for a report or for its record is started only
		// from here.
		if t := s.taskLocked(j, id); t.phase == idle && j.durable {
			s.placeOrQueueLocked(now, fx, j, id, t)
		}
		if len(j.rec.Task(id).Crashes) == 0 {
			delete(s.suspects, id)
		}
	}
}
