package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

var (
	firstServer, secondServer = job.Instance{ID: "s-1"}, job.Instance{ID: "s-2"}
	beforeRestart             = worker.Incarnation{Agent: "a/1", Server: firstServer}
)

// onceJob returns the record of a job of one task that must not be repeated.
func onceJob() []*job.Record {
	p := job.Policy{Queue: "quotes", Service: "desk", MaxAttempts: 1, AtMostOnce: true, Slack: 1, Target: time.Minute}
	return []*job.Record{job.NewRecord(testID, steps(1), p, 2)}
}

// newOnceFixture returns an owner that has taken over a job that must not be repeated. The store
// lists how agent a answered the claim of the earlier owner.
func newOnceFixture(t *testing.T, records []*job.Record, mayRun ...string) *fixture {
	f := newFixture(t, nil, nil)
	f.Shard = New(f.now, 1, 3, testBounds, f.fleet, records, mayRun, map[string][]worker.Incarnation{"a": {beforeRestart}})
	return f
}

// claimedBy links an agent whose given incarnation answers the claim.
func (f *fixture) claimedBy(node string, session int64, i worker.Incarnation, lost ...worker.RunState) {
	f.fleet.Linked(node)
	f.fleet.Update(f.now, node, AgentLoad{
		Service: "desk", Capacity: job.Demand{CPUMillis: 16000, MemoryMB: 65536},
		Free: job.Demand{CPUMillis: 16000, MemoryMB: 65536}, Accepts: true,
	})
	claim, _, fx := f.Linked(f.now, node, session)
	f.collect(fx)
	f.collect(f.Claimed(f.now, node, worker.Claimed{Claim: claim, Incarnation: i, Lost: lost}))
}

// A task that must not be repeated ran at an agent that restarted, its backend server was lost, and
// its owner died before it recorded that. The next owner must not start the task again.
func TestForgottenRunFailsATaskThatMayNotBeRepeated(t *testing.T) {
	for name, c := range map[string]struct {
		answers worker.Incarnation
		starts  bool
	}{
		"same incarnation":                     {worker.Incarnation{Agent: "a/1", Server: secondServer}, true},
		"restarted beside its server":          {worker.Incarnation{Agent: "a/2", Server: firstServer}, true},
		"restarted, and the server was lost":   {worker.Incarnation{Agent: "a/2", Server: secondServer}, false},
		"restarted, and the server is silent":  {worker.Incarnation{Agent: "a/2"}, false},
		"restarted as an earlier version":      {worker.Incarnation{}, false},
		"server started again under its ID":    {worker.Incarnation{Agent: "a/2", Server: job.Instance{ID: "s-1", StartedMS: 7}}, false},
		"incarnation and server as they were":  {beforeRestart, true},
		"same incarnation, the server unknown": {worker.Incarnation{Agent: "a/1"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newOnceFixture(t, onceJob(), "a")
			f.claimedBy("a", 1, c.answers)
			f.write()
			f.write()
			f.is.Equal(len(f.orders) == 1, c.starts)
			f.is.Equal(f.KnownState(testID).State == job.Failed, !c.starts)
		})
	}
}

// As above, but the task may be repeated.
func TestForgottenRunIsRepeatedIfItMayBe(t *testing.T) {
	f := newOnceFixture(t, recordedJobs(), "a")
	f.claimedBy("a", 1, worker.Incarnation{Agent: "a/2", Server: secondServer})
	f.write()
	f.is.Equal(len(f.orders), 1)
}

// An owner finds that an agent has forgotten runs, and dies while it waits for another agent. If it
// had taken the incarnation off the stored list, the next owner would start the task again.
func TestForgottenRunStaysListedUntilItsJobIsRecorded(t *testing.T) {
	f := newOnceFixture(t, onceJob(), "a", "b")
	restarted := worker.Incarnation{Agent: "a/2", Server: secondServer}
	f.claimedBy("a", 1, restarted)
	f.is.Equal(f.write().Incarnations["a"], []worker.Incarnation{beforeRestart, restarted})
	f.claimedBy("b", 1, worker.Incarnation{Agent: "b/1", Server: firstServer})
	last := f.write()
	f.is.Equal(last.Incarnations["a"], []worker.Incarnation{restarted})
	f.is.Equal(len(last.Writes), 1) // in the same call
	f.is.Equal(last.Writes[0].Record.State, job.Failed)
	f.is.True(!f.WriteDue(f.now))
}

// An agent restarts under an owner. Until the store lists the new incarnation, the next owner could
// not tell that it may have forgotten a run, so no task that must not be repeated is ordered there.
func TestNoOrderBeforeTheIncarnationIsRecorded(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.claimedBy("a", 1, beforeRestart)
	f.write()
	p := onceJob()[0].Policy
	f.collect(f.Submit(f.now, testID, steps(1), p, func(Response) {}))
	f.claimedBy("a", 2, worker.Incarnation{Agent: "a/2", Server: secondServer})
	b := f.NextBatch(f.now)
	f.is.Equal(len(b.Writes), 1)
	f.is.Equal(len(f.orders), 0)
	f.collect(f.Written(f.now, b))
	f.is.Equal(len(f.orders), 1)

	f.claimedBy("a", 3, worker.Incarnation{Agent: "a/3", Server: secondServer}) // its order is lost, and the job fails
	f.collect(f.Submit(f.now, "00000000000000cc", steps(1), p, func(Response) {}))
	f.is.Equal(len(f.orders), 1)
	f.write()
	f.is.Equal(len(f.orders), 2)
}

// The same for a task that becomes ready after the agent has restarted: nothing but the list holds its
// order back, because its job is recorded already.
func TestNextStepWaitsForTheRecordedIncarnation(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.claimedBy("a", 1, beforeRestart)
	f.write()
	f.collect(f.Submit(f.now, testID, steps(1, 1), onceJob()[0].Policy, func(Response) {}))
	f.write()
	first := f.orders[0]
	claim, _, fx := f.Linked(f.now, "a", 2)
	f.collect(fx)
	f.collect(f.Claimed(f.now, "a", worker.Claimed{
		Claim: claim, Incarnation: worker.Incarnation{Agent: "a/2", Server: firstServer},
		Runs: []worker.RunState{{Run: first.Value.Run, Status: worker.Running}},
	}))
	before := len(f.orders)
	f.event(first, worker.Ended, job.Done)
	f.is.Equal(len(f.orders), before)
	f.write()
	f.is.Equal(len(f.orders), before+1)
	f.is.Equal(f.orders[before].Value.Run.Task.Step, 1)
}

// More jobs fail because of a forgotten run than one call to the store takes. The incarnation must stay
// listed until the last of them is recorded: the next owner would start the tasks of the others again.
func TestForgottenRunStaysListedBehindManyRecords(t *testing.T) {
	var records []*job.Record
	for i := range maxBatch + 1 {
		r := onceJob()[0]
		r.ID = job.ID(fmt.Sprintf("%016x", i+1))
		records = append(records, r)
	}
	f := newOnceFixture(t, records, "a")
	restarted := worker.Incarnation{Agent: "a/2", Server: secondServer}
	f.claimedBy("a", 1, restarted)
	b := f.write()
	f.is.Equal(len(b.Writes), maxBatch)
	f.is.Equal(b.Incarnations["a"], []worker.Incarnation{beforeRestart, restarted})
	b = f.write()
	f.is.Equal(len(b.Writes), 1)
	f.is.Equal(b.Incarnations["a"], []worker.Incarnation{restarted})
	f.is.True(!f.WriteDue(f.now))
}

// An agent that restarted knew a run only from the lists of its server, and lost it with the server
// before the owner had repeated the order. Its answer to the next claim is the only trace.
func TestLossOfAFoundRunFailsATaskThatMayNotBeRepeated(t *testing.T) {
	f := newOnceFixture(t, onceJob(), "a")
	lost := runState(1, worker.Ended, job.Lapsed)
	lost.Loss = worker.LossCleared
	f.claimedBy("a", 1, beforeRestart, lost)
	f.write()
	f.is.Equal(len(f.orders), 0)
	f.is.Equal(f.KnownState(testID).State, job.Failed)
}
