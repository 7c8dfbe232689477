package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/pause"
)

const (
	// stopTimeout bounds one stop; it is repeated after the same pause.
	stopTimeout = 100 * time.Millisecond
	// holdWait is how long a hold waits for an end: an answer that is lost hides
	// ends for that long and the patience. Six fit into a lease.
	holdWait = 60 * time.Millisecond
	// hurryWait is the same while a start is in doubt: its task waits for the
	// list that shows the run, or that it is barred.
	hurryWait = 5 * time.Millisecond
	// idleWait is the same while nothing runs; nothing needs its lease then.
	idleWait = time.Second
	// knownPause spaces holds while the backend server lists ends that wait for
	// their record, up to 0.7 s. It answers at once then: without a pause the
	// agent asked 300 times a second. An end is noticed that much later at most.
	knownPause = 10 * time.Millisecond
	// lossyWait stands for holdWait while answers are missing: a lost answer hides
	// ends for 40 ms then instead of 80. Jobs of eight tasks that may take 150 ms in
	// all are late otherwise as soon as one of their ends is hidden. Each lost answer
	// costs a connection.
	lossyWait = 20 * time.Millisecond
	// holdRetry is the pause before a hold is repeated that failed at once, and
	// maxHoldRetry the longest: a backend server that is back is found that much later.
	holdRetry    = 15 * time.Millisecond
	maxHoldRetry = 200 * time.Millisecond
	// unknownWait is the pause while no backend server has reported.
	unknownWait = 20 * time.Millisecond
)

// holdLoop keeps the lease and takes in what has ended.
func (a *Agent) holdLoop(ctx context.Context) {
	lost := false
	failures := pause.Backoff{Min: holdRetry, Max: maxHoldRetry}
	for ctx.Err() == nil {
		c, ok := a.worker.Hold(bootclock.Now())
		if !ok {
			_ = pause.For(ctx, unknownWait)
			continue
		}
		if c.UnackedEnds {
			_ = pause.For(ctx, knownPause)
		}
		began := bootclock.Now()
		err := a.holdOnce(ctx, c)
		if err != nil && !lost {
			klog.InfoS("Lost the backend server", "instance", c.Instance, "err", err)
		}
		if err == nil && lost {
			klog.InfoS("The backend server is reached again", "instance", c.Instance)
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
		wait = hurryWait
	case c.Idle:
		wait = idleWait
	}
	call, cancel := context.WithTimeout(ctx, wait+c.ResponseTimeout)
	defer cancel()
	h, err := a.executor.Hold(call, c, wait)
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
	outcome, reason := a.executor.Start(ctx, c)
	now := bootclock.Now()
	a.metrics.Start.Observe((now - began).Seconds())
	if outcome != worker.StartOK {
		a.metrics.StartRefusals.WithLabelValues(startReason(outcome, reason)).Inc()
		klog.InfoS("Start not confirmed", "id", c.Run.Task.Job, "step", c.Run.Task.Step, "task", c.Run.Task.Index, "run", c.Run.Number, "instance", c.Instance, "reason", reason)
	}
	a.apply(a.worker.StartAnswered(now, c.Instance, c.Run, outcome, reason))
}

// startReason keeps the label's values few: an unanswered start carries the
// text of an error.
func startReason(o worker.StartOutcome, reason string) string {
	if o == worker.StartUnknown {
		return "no_answer"
	}
	return reason
}

func (a *Agent) stop(c worker.StopCall) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	answered := a.executor.Stop(ctx, c)
	klog.InfoS("Stop", "id", c.Run.Task.Job, "step", c.Run.Task.Step, "task", c.Run.Task.Index, "run", c.Run.Number, "answered", answered)
	a.apply(a.worker.StopAnswered(bootclock.Now(), c.Instance, c.Run, answered))
}

func (a *Agent) tickLoop(ctx context.Context) {
	t := time.NewTicker(core.TickInterval)
	defer t.Stop()
	reported := bootclock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			now := bootclock.Now()
			a.apply(a.worker.Tick(now))
			a.spreadLoad(now)
			a.keepNotes(ctx, now)
			a.checkDrains(ctx, now)
			if now-reported >= loadReportEvery {
				reported = now
				a.reportLoad()
			}
		}
	}
}

// loadReportEvery is the pace of the log line that tells how full the backend
// server is; between two of them other lines tell of each change.
const loadReportEvery = 2 * time.Second

func (a *Agent) reportLoad() {
	l := a.worker.Load(bootclock.Now())
	klog.InfoS("Load", "instance", l.Server.Instance, "accepts", l.Accepts, "free", l.Free.CPUMillis, "of", l.Server.Capacity.CPUMillis,
		"running", l.Running, "waiting", l.Waiting, "backlog", l.Backlog.Milliseconds(), "unsettled", l.Unsettled, "holds", l.Holds)
}
