package owner

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// When a backend server is lost, each run on it is a suspect, and usually none of them is the
// cause. If jobs were failed by the mere number of such losses, some would fail that had only run
// beside a task that crashes its server. So after one loss a task next runs apart from other
// suspects, and after two it runs alone. A run that ends clears its task of suspicion, and once a
// task is identified as the cause of a crash, the tasks that ran beside it are cleared of that
// crash.
//
// A task is given up if it was the only run on the second server that was lost, or if three servers
// were lost under it. A loss counts once another instance has come up beside an agent that kept
// running: a server that lost power, was cut off, drains or leaves is no evidence against its
// tasks. A loss wrongly taken for a crash can fail a job that could have completed, which is worse
// than the one more server that an uncounted crash costs.

// FailureCrashed is the failure of a job one of whose tasks crashes its backend servers.
const FailureCrashed = "a task took the backend servers down on which it was started"

const (
	// aloneCrashLimit is the number of lost servers at which a task is given up if it was the only
	// run on the last of them. It is also the number of confirmed crashes with which a task is
	// given up once MaxCrashes servers were lost under it.
	aloneCrashLimit = 2
	// minCrashesToRecord is the number of lost servers from which on a task is started again only
	// after its crashes are recorded.
	minCrashesToRecord = 2
	// crashReportTimeout is how long a task waits for the confirmation that its last server
	// crashed, before it is started again or given up. A crashed server is back after some seconds.
	// A job of which nothing runs for longer would look stuck.
	crashReportTimeout = 2500 * time.Millisecond
	// unconfirmedCrashTimeout is the same for a task that has used up all its starts. After that,
	// its unconfirmed crashes no longer count.
	unconfirmedCrashTimeout = 10 * time.Second
	// correlatedLossWindow and minCorrelatedLosses identify losses with a common cause: a failed
	// rack or switch takes its servers down within the time in which their leases run out.
	correlatedLossWindow = 100 * time.Millisecond
	minCorrelatedLosses  = 2
	// maxServerLosses bounds the losses that are remembered for that.
	maxServerLosses = 64
)

// serverLoss is the loss of a backend server that had runs of this shard.
type serverLoss struct {
	node     string
	instance job.Instance
	at       time.Duration
}

// runLostWithServerLocked handles the end of a run that was lost with its backend server.
func (s *Shard) runLostWithServerLocked(now time.Duration, fx *Effects, j *jobState, t *task, rec *job.TaskRecord, node string, r worker.RunState) {
	t.phase = idle
	if j.rec.State.Final() {
		t.phase = finished
		return
	}
	s.suspectCrashLocked(now, fx, j, t, rec, node, r)
	s.placeOrQueueLocked(now, fx, j, r.Run.Task, t)
}

// reportedLossesLocked handles the lost runs that an agent lists in its answer to a claim. An
// earlier report of them may have been lost with the previous link or the previous owner.
func (s *Shard) reportedLossesLocked(now time.Duration, fx *Effects, node string, c worker.Claimed) {
	for _, r := range c.Lost {
		j := s.jobs[r.Run.Task.Job]
		if j == nil || j.removing || j.rec.State.Final() {
			continue
		}
		t := s.taskLocked(j, r.Run.Task)
		if t == nil || t.phase == finished || r.Run.Number <= j.rec.Task(r.Run.Task).ClearedRun {
			continue
		}
		if j.rec.Policy.AtMostOnce {
			if !slices.ContainsFunc(c.Runs, func(known worker.RunState) bool { return known.Run == r.Run }) {
				s.failLostOnceLocked(now, fx, j, t, node, r)
			}
			continue
		}
		s.suspectCrashLocked(now, fx, j, t, j.rec.Task(r.Run.Task), node, r)
	}
}

// suspectCrashLocked records that a server was lost under a task, unless that is recorded already.
func (s *Shard) suspectCrashLocked(now time.Duration, fx *Effects, j *jobState, t *task, rec *job.TaskRecord, node string, r worker.RunState) {
	if slices.ContainsFunc(rec.Crashes, func(c job.Crash) bool { return c.Run == r.Run.Number && c.Node == node }) {
		s.lossUpdateLocked(now, fx, node, r)
		return
	}
	if r.Loss == worker.LossCleared {
		return
	}
	c := job.Crash{Run: r.Run.Number, Node: node, Instance: r.Instance, Alone: r.Suspects == 1, Confirmed: r.Loss == worker.LossConfirmed}
	rec.Crashes = append(slices.Clone(rec.Crashes), c)
	s.recordServerLossLocked(now, c.Node, c.Instance)
	t.lostAt = now
	s.suspects[r.Run.Task] = true
	fx.log(Decision{Kind: "crash_suspected", Job: j.rec.ID, Run: r.Run, Node: c.Node, Reason: c.Instance.String(), Count: r.Suspects})
	by := now + s.bounds.MaxWriteDelay
	if len(rec.Crashes) >= minCrashesToRecord {
		// The task has few starts left, and an owner that takes over has to know that.
		by = now
	}
	s.scheduleWriteLocked(fx, j, by)
}

// lossUpdateLocked handles a later report on a lost server: that it crashed, or that it did not.
func (s *Shard) lossUpdateLocked(now time.Duration, fx *Effects, node string, r worker.RunState) {
	j := s.jobs[r.Run.Task.Job]
	if j == nil || j.rec.State.Final() || j.removing {
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
		fx.log(Decision{Kind: "crash_cleared", Job: j.rec.ID, Run: r.Run, Node: node, Reason: r.Instance.String()})
	}
	s.scheduleWriteLocked(fx, j, now+s.bounds.MaxWriteDelay)
	if t.phase == idle {
		s.placeOrQueueLocked(now, fx, j, r.Run.Task, t)
	}
}

// recordServerLossLocked remembers the loss of a server, once for each instance.
func (s *Shard) recordServerLossLocked(now time.Duration, node string, instance job.Instance) {
	if slices.ContainsFunc(s.serverLosses, func(l serverLoss) bool { return l.node == node && l.instance == instance }) {
		return
	}
	if len(s.serverLosses) == maxServerLosses {
		s.serverLosses = slices.Delete(s.serverLosses, 0, 1)
	}
	s.serverLosses = append(s.serverLosses, serverLoss{node: node, instance: instance, at: now})
}

// correlatedLossLocked reports whether at least minCorrelatedLosses other servers were lost at
// about the same time as a server.
func (s *Shard) correlatedLossLocked(c *job.Crash) bool {
	i := slices.IndexFunc(s.serverLosses, func(l serverLoss) bool { return l.node == c.Node && l.instance == c.Instance })
	if i < 0 {
		return false
	}
	others := 0
	for k, l := range s.serverLosses {
		if k != i && max(l.at-s.serverLosses[i].at, s.serverLosses[i].at-l.at) <= correlatedLossWindow {
			others++
		}
	}
	return others >= minCorrelatedLosses
}

// isolation returns how strictly the runs of a task must be isolated from other runs.
func (s *Shard) isolation(rec *job.TaskRecord) worker.Isolation {
	switch n := len(rec.Crashes); {
	case n == 0:
		return worker.NoIsolation
	case n >= s.fleet.params.MinCrashesExclusive:
		return worker.Exclusive
	case n >= s.fleet.params.MinCrashesApart:
		return worker.ApartFromSuspects
	}
	return worker.NoIsolation
}

// avoidedAgents returns the agents that a task goes to only when no other is eligible: the one on
// which it failed last, and those whose servers were lost under it.
func avoidedAgents(t *task, rec *job.TaskRecord) []string {
	var out []string
	if t.failedNode != "" {
		out = append(out, t.failedNode)
	}
	for i := range rec.Crashes {
		out = append(out, rec.Crashes[i].Node)
	}
	return out
}
