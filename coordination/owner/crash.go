package owner

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// A backend server that is lost has as many suspects as runs were on it, and mostly none of
// them is to blame. Given up by the count of such losses alone, jobs would fail that had only
// run beside a task that crashes its server. So a task under which a server was lost runs
// next apart from other suspects, and under which two were, alone. What ends is acquitted,
// and so are the neighbours of a task that is found out.
//
// A task is given up where it was the only run on the second server that was lost, or where
// three were lost under it. A loss counts once another instance has come up beside an agent
// that ran on: a server without power, one that is cut off, drains or leaves says nothing of
// its tasks. Judged wrongly as a crash it can fail a job that could be done, which is worse
// than the further server that a crash which was not counted costs.

// FailureCrashed is why a job failed one of whose tasks crashes its backend servers.
const FailureCrashed = "a task took the backend servers down on which it was started"

const (
	// aloneSuspect is the number of the lost server for which a task is given up if nothing
	// ran beside it there.
	aloneSuspect = 2
	// recordedFrom is the number of lost servers from which on a task waits for its record.
	recordedFrom = 2
	// newsOfCrash is how long a task that has to be judged waits for what becomes of its
	// last server, which is back after some seconds if it has crashed. A job of which
	// nothing runs for longer would seem forgotten.
	newsOfCrash = 2500 * time.Millisecond
	// forgetCrash is how long a task beyond the last start that it may have waits for it.
	forgetCrash = 10 * time.Second
	// togetherWithin and togetherOthers tell losses of a common cause: a rack or switch
	// takes servers down within the time in which their leases run out.
	togetherWithin = 100 * time.Millisecond
	togetherOthers = 2
	// mostLosses bounds the losses that are remembered for that.
	mostLosses = 64
)

// loss is a backend server that was lost with runs of this shard.
type loss struct {
	node, instance string
	at             time.Duration
}

// lostWithServerLocked takes in that a run was lost with its backend server.
func (s *Shard) lostWithServerLocked(now time.Duration, fx *Effects, j *jobState, t *task, rec *job.TaskRecord, node string, r worker.RunState) {
	t.phase = idle
	if j.rec.State.Final() {
		t.phase = over
		return
	}
	s.suspectLocked(now, fx, j, t, rec, node, r)
	s.orderLocked(now, fx, j, r.Run.Task, t)
}

// lostBeforeLocked takes in the runs that an agent tells to have been lost with its server,
// with the answer to a claim: the news may have been lost with the last link, or with the
// owner before.
func (s *Shard) lostBeforeLocked(now time.Duration, fx *Effects, node string, lost []worker.RunState) {
	for _, r := range lost {
		j := s.jobs[r.Run.Task.Job]
		if j == nil || j.drop || j.rec.State.Final() || j.rec.Policy.Once {
			continue
		}
		t := s.taskLocked(j, r.Run.Task)
		if t == nil || t.phase == over || r.Run.Number <= t.acquitted {
			continue
		}
		s.suspectLocked(now, fx, j, t, j.rec.Task(r.Run.Task), node, r)
	}
}

// suspectLocked notes a server that was lost under a task, unless that is known.
func (s *Shard) suspectLocked(now time.Duration, fx *Effects, j *jobState, t *task, rec *job.TaskRecord, node string, r worker.RunState) {
	if slices.ContainsFunc(rec.Crashes, func(c job.Crash) bool { return c.Run == r.Run.Number && c.Node == node }) {
		s.newsOfLossLocked(now, fx, node, r)
		return
	}
	if r.Loss == worker.LossCleared {
		return
	}
	c := job.Crash{Run: r.Run.Number, Node: node, Instance: r.Instance, Alone: r.Suspects == 1, Confirmed: r.Loss == worker.LossConfirmed}
	rec.Crashes = append(slices.Clone(rec.Crashes), c)
	s.noteLossLocked(now, c.Node, c.Instance)
	t.lostAt = now
	s.suspects[r.Run.Task] = true
	fx.log(Decision{What: "crash_suspected", Job: j.rec.ID, Run: r.Run, Node: c.Node, Reason: c.Instance, Count: r.Suspects})
	by := now + s.bounds.LazyWrite
	if len(rec.Crashes) >= recordedFrom {
		// The next start is one of the last: an owner that takes over has to know.
		by = now
	}
	s.writeLocked(fx, j, by)
}

// newsOfLossLocked takes in what became of a server that was lost under a run.
func (s *Shard) newsOfLossLocked(now time.Duration, fx *Effects, node string, r worker.RunState) {
	j := s.jobs[r.Run.Task.Job]
	if j == nil || j.rec.State.Final() || j.drop {
		return
	}
	t := s.taskLocked(j, r.Run.Task)
	if t == nil {
		return
	}
	rec := j.rec.Task(r.Run.Task)
	i := slices.IndexFunc(rec.Crashes, func(c job.Crash) bool { return c.Run == r.Run.Number && c.Node == node })
	if i < 0 {
		return
	}
	switch r.Loss {
	case worker.LossSuspected:
		return
	case worker.LossConfirmed:
		rec.Crashes = slices.Clone(rec.Crashes)
		rec.Crashes[i].Confirmed = true
	default:
		rec.Crashes = slices.Delete(slices.Clone(rec.Crashes), i, i+1)
		fx.log(Decision{What: "crash_cleared", Job: j.rec.ID, Run: r.Run, Node: node, Reason: r.Instance})
	}
	s.writeLocked(fx, j, now+s.bounds.LazyWrite)
	if t.phase == idle {
		s.orderLocked(now, fx, j, r.Run.Task, t)
	}
}

// noteLossLocked remembers a loss, once for each server.
func (s *Shard) noteLossLocked(now time.Duration, node, instance string) {
	if slices.ContainsFunc(s.losses, func(l loss) bool { return l.node == node && l.instance == instance }) {
		return
	}
	if len(s.losses) == mostLosses {
		s.losses = slices.Delete(s.losses, 0, 1)
	}
	s.losses = append(s.losses, loss{node: node, instance: instance, at: now})
}

// togetherLocked reports whether others were lost at the same moment as a server.
func (s *Shard) togetherLocked(c *job.Crash) bool {
	i := slices.IndexFunc(s.losses, func(l loss) bool { return l.node == c.Node && l.instance == c.Instance })
	if i < 0 {
		return false
	}
	others := 0
	for k, l := range s.losses {
		if k != i && max(l.at-s.losses[i].at, s.losses[i].at-l.at) <= togetherWithin {
			others++
		}
	}
	return others >= togetherOthers
}

// caution is how a task is kept apart from others.
func (s *Shard) caution(rec *job.TaskRecord) worker.Isolation {
	switch n := len(rec.Crashes); {
	case n == 0:
		return worker.NoIsolation
	case n >= s.fleet.params.CrashesAlone:
		return worker.Exclusive
	case n >= s.fleet.params.CrashesApart:
		return worker.ApartFromSuspects
	}
	return worker.NoIsolation
}

// avoided names the agents that a task goes to only when no other is there: where it has
// failed last, and where servers were lost under it.
func avoided(t *task, rec *job.TaskRecord) []string {
	var out []string
	if t.failed != "" {
		out = append(out, t.failed)
	}
	for i := range rec.Crashes {
		out = append(out, rec.Crashes[i].Node)
	}
	return out
}
