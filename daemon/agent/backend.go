package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient"
)

// Announce takes the backend server's announcement. It implements
// agentapi.Agent, as do the methods below it.
func (a *Agent) Announce(b state.Backend) error {
	now := time.Now()
	a.mu.Lock()
	replaced := a.backend.ID != "" && a.backend.ID != b.ID
	previous := a.backend.ID
	a.backend = b
	a.lastSeen = now
	a.withdrawn = false
	if replaced {
		// The one before is gone, and so is whatever ran there: waiting for
		// its answers would keep their jobs from being answered.
		a.cancelRunsLocked()
	}
	a.mu.Unlock()
	if replaced {
		klog.InfoS("Another backend server has taken the place", "backend", b.ID, "previous", previous)
		a.client.Forget(previous)
	}
	a.runner.Execute(a.machine.Announce(now, b))
	return nil
}

func (a *Agent) cancelRunsLocked() {
	for _, cancel := range a.runs {
		cancel()
	}
}

// Withdraw stops giving work to a backend server that leaves.
func (a *Agent) Withdraw(id string) int {
	a.mu.Lock()
	known := a.backend.ID == id
	if known {
		a.withdrawn = true
	}
	a.mu.Unlock()
	if !known {
		return 0
	}
	a.runner.Execute(a.machine.Withdraw(time.Now(), id))
	return int(a.running.Load())
}

// Backend returns the backend server at hand and how many tasks run there.
func (a *Agent) Backend() (state.Backend, int, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	running := int(a.running.Load())
	known := a.backend.ID != "" && !(a.withdrawn && running == 0)
	return a.backend, running, known
}

// Ready says whether the agent may get work.
func (a *Agent) Ready() bool { return a.machine.Ready() }

// Drain begins the planned stop.
func (a *Agent) Drain() {
	a.stop.Begin(func() {
		klog.InfoS("Planned stop begins", "node", a.opts.Node.Self.ID)
		a.runner.Execute(a.machine.Drain(time.Now()))
	})
}

// Draining says whether the planned stop has begun.
func (a *Agent) Draining() bool { return a.machine.Draining() }

// start has the backend server run a task and tells the machine how it ended.
func (a *Agent) start(s coordination.StartTask) {
	ctx, cancel := context.WithCancel(a.taskCtx)
	a.mu.Lock()
	backend := a.backend
	if backend.ID != s.Backend {
		// Replaced since; the machine has given the task up already. Sent to the
		// new one it would run there uncounted.
		a.mu.Unlock()
		cancel()
		a.runner.Execute(a.machine.NotStarted(time.Now(), s.Task, state.ReasonNoBackend))
		return
	}
	a.runs[s.Task] = cancel
	a.mu.Unlock()
	a.running.Add(1)
	a.tasks.Go(func() {
		res := a.client.Run(ctx, backend, s.Task, s.Spec, s.Deadline)
		cancel()
		a.mu.Lock()
		delete(a.runs, s.Task)
		a.mu.Unlock()
		a.running.Add(-1)
		a.taskEnded(s.Task, res)
	})
}

func (a *Agent) taskEnded(task state.TaskKey, res backendclient.Result) {
	now := time.Now()
	switch res.Verdict {
	case backendclient.Ran:
		res.Task.Index = task.Index
		a.runner.Execute(a.machine.Finished(now, task, res.Task))
	case backendclient.NotStarted:
		a.logEnd(task, res)
		a.runner.Execute(a.machine.NotStarted(now, task, res.Reason))
	default:
		a.logEnd(task, res)
		a.runner.Execute(a.machine.StartUnknown(now, task))
	}
}

func (a *Agent) logEnd(task state.TaskKey, res backendclient.Result) {
	klog.InfoS("A task did not end well", "service", task.Job.Service, "job", task.Job.ID, "index", task.Index,
		"verdict", res.Verdict.String(), "reason", res.Reason, "node", a.opts.Node.Self.ID, "err", res.Err)
}

// stopVerbosity is the level at which a stop is logged. Drops come in waves, with
// cancellations and failed jobs, and would bury the rest of the log.
func stopVerbosity(c coordination.Cause) klog.Level {
	if c == coordination.CauseDropped {
		return 1
	}
	return 0
}

func (a *Agent) control(c coordination.Control) {
	a.mu.Lock()
	backend := a.backend
	a.mu.Unlock()
	if c.Verb == coordination.VerbStop && klog.V(stopVerbosity(c.Cause)).Enabled() {
		klog.InfoS("A running task is stopped", "service", c.Task.Job.Service, "job", c.Task.Job.ID, "index", c.Task.Index,
			"reason", c.Cause, "operator", c.Operator, "node", a.opts.Node.Self.ID)
	}
	a.tasks.Go(func() {
		if err := a.client.Control(a.taskCtx, backend, c.Task, c.Verb); err != nil {
			klog.V(1).InfoS("A task was not controlled", "service", c.Task.Job.Service, "job", c.Task.Job.ID,
				"index", c.Task.Index, "verb", c.Verb, "err", err)
		}
	})
}

// renewLeases renews the leases of running tasks in batches, and ends the waits
// for a backend server that has been silent for too long: a frozen one would
// otherwise keep the jobs of tasks without a deadline waiting for ever.
func (a *Agent) renewLeases(ctx context.Context) {
	lease := a.opts.Backend.Lease
	if lease <= 0 {
		lease = backendclient.DefaultLease
	}
	a.every(ctx, lease/renewalsPerLease, func(b state.Backend) {
		if _, err := a.client.RenewLeases(ctx, b); err != nil {
			klog.V(1).InfoS("Leases were not renewed", "backend", b.ID, "err", err)
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.backend.TTL > 0 && time.Since(a.lastSeen) > lapsedTTLs*a.backend.TTL && !a.withdrawn {
			a.cancelRunsLocked()
		}
	})
}

// pollUsage asks for the backend server's usage reports.
func (a *Agent) pollUsage(ctx context.Context) {
	var since uint64
	var of string
	a.every(ctx, usageEvery, func(b state.Backend) {
		if b.ID != of {
			since, of = 0, b.ID
		}
		report, next, err := a.client.Usage(ctx, b, since)
		if err != nil {
			klog.V(1).InfoS("No usage report", "backend", b.ID, "err", err)
			return
		}
		since = next
		if len(report) > 0 {
			a.runner.Execute(a.machine.Usage(time.Now(), report))
		}
	})
}

// every calls f with the backend server at hand, if there is one.
func (a *Agent) every(ctx context.Context, interval time.Duration, f func(state.Backend)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			a.mu.Lock()
			b := a.backend
			a.mu.Unlock()
			if b.ID != "" {
				f(b)
			}
		}
	}
}
