package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/job"
)

// TestTasksThatAreLateEverywhereAreNotBlocked guards against tasks that can't be in time any more
// and wait behind one that waits for a fast server, while a slow one is free.
func TestTasksThatAreLateEverywhereAreNotBlocked(t *testing.T) {
	is := is.New(t)
	speeds := []float64{.6, 1, 1, 1.6}
	f := newSpeedFleet(speeds...)
	fill := func(from int) {
		for i := from; i < len(speeds); i++ {
			f.full(i, speeds[i], 300*time.Millisecond)
		}
	}
	fill(0)
	policy := job.Policy{Queue: "q", Service: "desk", Slack: 10}
	wait := func(id string, run, left time.Duration) {
		spec := job.Spec{BestEffort: true, Steps: []job.Step{{Count: 1, Demand: job.Demand{CPUMillis: 1000, MemoryMB: 64}, Estimate: run}}}
		fx := f.s.Submit(f.now, job.ID(id), spec, policy, func(Response) {})
		is.Equal(len(fx.Orders), 0)
		f.s.jobs[job.ID(id)].due = f.now + left
		w := &f.s.waiting.tasks[len(f.s.waiting.tasks)-1]
		is.Equal(w.id.Job, job.ID(id))
		w.latestStart = f.now + left - run
	}
	wait("long", 1200*time.Millisecond, 1100*time.Millisecond)
	wait("short", 60*time.Millisecond, -20*time.Millisecond)
	f.report(0, speedLoad(.6, 16000))
	fx := f.s.AgentsUpdated(f.now)
	is.Equal(len(fx.Orders), 1)
	is.Equal(fx.Orders[0].Value.Run.Task.Job, job.ID("short"))
}

// TestServersAreReservedThatAreJustFastEnough guards against short tasks that take, beside slower
// servers, the only one that is fast enough for a task that waits.
func TestServersAreReservedThatAreJustFastEnough(t *testing.T) {
	is := is.New(t)
	var b backlog
	now, key := time.Hour, placementKey{service: "desk"}
	add := func(run, left time.Duration) {
		b.add(waitingTask{key: key, latestStart: now + left - run, run: run})
	}
	reserved := func() float64 { return b.reservedSpeed(now, key, -maxSpeedStep) }
	is.Equal(reserved(), 0.0)
	add(60*time.Millisecond, -time.Millisecond) // late everywhere
	is.Equal(reserved(), 0.0)
	add(1200*time.Millisecond, 800*time.Millisecond)
	is.True(reserved() > 1.45)
	is.True(reserved() < 1.6)
}
