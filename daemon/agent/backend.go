package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/pause"
)

const (
	// stopTimeout is the timeout of a stop, which the worker repeats after the same time,
	// and of a hold that only checks which instance is running.
	stopTimeout = 100 * time.Millisecond
	// holdWait is how long the backend server may wait for an end before it answers
	// a hold. A lost answer hides ends for that long plus the response timeout. Six
	// such holds fit into a lease.
	holdWait = 60 * time.Millisecond
	// unconfirmedStartWait replaces holdWait while the outcome of a start is unknown. The
	// task waits for the list that contains the run or shows that it is barred.
	unconfirmedStartWait = 5 * time.Millisecond
	// idleWait replaces holdWait while nothing runs, so that no run needs the lease.
	idleWait = time.Second
	// knownEndsPause is the pause before a hold while the backend server lists ends
	// that wait for their record, which takes up to 0.7 s. It answers at once then,
	// and without a pause the agent sent 300 holds a second. The pause delays the
	// detection of an end by at most its length.
	knownEndsPause = 10 * time.Millisecond
	// lossyWait replaces holdWait while answers have been missing. A lost answer then
	// hides ends for 40 ms instead of 80 ms. With 80 ms, a job of eight tasks that has
	// 150 ms in all is late as soon as one of its ends is hidden. Each lost answer
	// costs a connection, and shorter holds lose more answers.
	lossyWait = 20 * time.Millisecond
	// minHoldBackoff and maxHoldBackoff bound the pause before a failed hold is
	// repeated. A backend server that is back is detected up to maxHoldBackoff later.
	minHoldBackoff = 15 * time.Millisecond
	maxHoldBackoff = 200 * time.Millisecond
	// noServerPause is the interval at which holdLoop checks whether a backend server
	// has reported.
	noServerPause = 20 * time.Millisecond
)

// holdLoop sends one hold after another, which extend the lease and list the ends of runs, until
// ctx ends.
func (a *Agent) holdLoop(ctx context.Context) {
	lost := false
	var lostInstance job.Instance
	failures := pause.Backoff{Min: minHoldBackoff, Max: maxHoldBackoff}
	for ctx.Err() == nil {
		c, ok := a.worker.Hold(bootclock.Now())
		if !ok {
			_ = pause.For(ctx, noServerPause)
			continue
		}
		if c.UnackedEnds {
			_ = pause.For(ctx, knownEndsPause)
		}
		began := bootclock.Now()
		err := a.holdOnce(ctx, c)
		if err != nil && (!lost || c.Instance != lostInstance) {
			klog.InfoS("Lost the backend server", "instance", c.Instance, "err", err)
			lostInstance = c.Instance
		}
		if err == nil && lost {
			klog.InfoS("The backend server answers again", "instance", c.Instance)
		}
		lost = err != nil
		if lost {
			_ = failures.Wait(ctx, bootclock.Now()-began)
			continue
		}
		failures.Reset()
	}
}

func (a *Agent) holdOnce(ctx context.Context, c worker.HoldCall) error {
	wait := holdWait
	if c.Lossy {
		wait = lossyWait
	}
	switch {
	case c.First:
		wait = 0
	case c.UnconfirmedStart:
		wait = unconfirmedStartWait
	case c.Idle:
		wait = idleWait
	}
	call, cancel := context.WithTimeout(ctx, wait+c.ResponseTimeout)
	defer cancel()
	h, err := a.backend.Hold(call, c, wait)
	if err != nil {
		a.apply(a.worker.HoldFailed(bootclock.Now(), c, holdFailure(err)))
		return err
	}
	a.apply(a.worker.HoldAnswered(bootclock.Now(), c, h))
	return nil
}

func holdFailure(err error) worker.HoldFailure {
	switch {
	case errors.Is(err, worker.ErrOtherInstance):
		return worker.OtherInstance
	case errors.Is(err, worker.ErrNotSent):
		return worker.NotSent
	}
	return worker.NoAnswer
}

func (a *Agent) start(c worker.StartCall) {
	ctx, cancel := context.WithTimeout(context.Background(), c.ResponseTimeout)
	defer cancel()
	began := bootclock.Now()
	outcome, reason := a.backend.Start(ctx, c)
	now := bootclock.Now()
	a.metrics.Start.Observe((now - began).Seconds())
	if outcome != worker.StartOK {
		a.metrics.StartRefusals.WithLabelValues(startRefusalLabel(outcome, reason)).Inc()
		klog.InfoS("Start not confirmed", "id", c.Run.Task.Job, "step", c.Run.Task.Step, "task", c.Run.Task.Index, "run", c.Run.Number, "instance", c.Instance, "reason", reason)
	}
	a.apply(a.worker.StartAnswered(now, c.Instance, c.Run, outcome, reason))
}

// startRefusalLabel returns the metric label for a start that was not confirmed. The
// reason of an unanswered start is the text of an error, and as a label it would create
// too many time series.
func startRefusalLabel(o worker.StartOutcome, reason string) string {
	if o == worker.StartUnknown {
		return "no_answer"
	}
	return reason
}

func (a *Agent) stop(c worker.StopCall) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	answered := a.backend.Stop(ctx, c)
	klog.InfoS("Stop", "id", c.Run.Task.Job, "step", c.Run.Task.Step, "task", c.Run.Task.Index, "run", c.Run.Number, "answered", answered)
	a.apply(a.worker.StopAnswered(bootclock.Now(), c.Instance, c.Run, answered))
}

func (a *Agent) tickLoop(ctx context.Context) {
	t := time.NewTicker(core.TickInterval)
	defer t.Stop()
	loggedAt := bootclock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			now := bootclock.Now()
			a.apply(a.worker.Tick(now))
			a.sendChangedLoad(now)
			a.demand.Tick(now)
			a.checkSpeed(now)
			a.maintainNotes(ctx, now)
			a.checkDrains(ctx, now)
			if now-loggedAt >= loadLogInterval {
				loggedAt = now
				a.logLoad()
			}
		}
	}
}

// loadLogInterval is the interval of the log lines with the load of the backend server.
// Other log lines report the changes between two of them.
const loadLogInterval = 2 * time.Second

func (a *Agent) logLoad() {
	l := a.worker.Load(bootclock.Now())
	klog.InfoS("Load", "instance", l.Server.Instance, "accepts", l.Accepts, "free", l.Free.CPUMillis, "of", l.Server.Capacity.CPUMillis,
		"running", l.Running, "waiting", l.Waiting, "backlog", l.Backlog.Milliseconds(), "unsettled", l.Unsettled, "holds", l.Holds, "speed", roundSpeed(l.Speed), "speed_runs", l.SpeedRuns)
}
