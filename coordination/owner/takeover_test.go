package owner

import (
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// runState returns the state that an agent reports for a run of testID's first task.
func runState(number int64, status worker.Status, end job.EndKind) worker.RunState {
	run := job.RunID{Task: job.TaskID{Job: testID}, Number: number}
	return worker.RunState{Run: run, Status: status, End: end}
}

// recordedJobs returns the record of a job of one task that earlier owners accepted.
func recordedJobs() []*job.Record {
	p := job.Policy{Queue: "quotes", Service: "desk", MaxAttempts: 3, Slack: 1, Target: time.Minute}
	return []*job.Record{job.NewRecord(testID, steps(1), p, 2)}
}

// An agent answers a claim with the end of a step, and the owner immediately orders the next
// step there. That order is still on its way and is not among the agent's runs; it must not be
// taken for lost and placed a second time.
func TestOrderGivenWhileAClaimIsAnsweredIsNotLost(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(1, 1))
	f.write()
	f.link("a", 2, worker.RunState{Run: f.orders[0].Value.Run, Status: worker.Ended, End: job.Done})
	second := 0
	for _, o := range f.orders {
		if o.Value.Run.Task.Step == 1 {
			second++
		}
	}
	f.is.Equal(second, 1)
}

// A run failed, its task was ordered again at the same agent, and the link broke before the
// order arrived. The agent still lists the first run. That run must not be taken for the second
// one, which is ordered again; otherwise the job never ends.
func TestOlderRunDoesNotStandForTheOrderedOne(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(1))
	f.write()
	f.event(f.orders[0], worker.Ended, job.FailedRun)
	f.is.Equal(len(f.orders), 2)
	f.link("a", 2, runState(1, worker.Ended, job.FailedRun))
	f.is.Equal(len(f.orders), 3)
}

// A run failed at one agent and its task runs at another when the owner dies. The next owner
// learns of the failure first. It must not start the task again beside the run that the other
// agent reports a moment later.
func TestFailureOfAnEarlierOwnersRunWaitsForTheOtherAgents(t *testing.T) {
	f := newFixture(t, recordedJobs(), []string{"a", "b"})
	f.link("a", 1, runState(1, worker.Ended, job.FailedRun))
	f.is.Equal(len(f.orders), 0)
	f.link("b", 1, runState(2, worker.Running, 0))
	f.is.Equal(len(f.orders), 1) // the order of the existing run, repeated
	f.is.Equal(f.orders[0].Value.Run.Number, int64(2))
	f.is.Equal(len(f.settled), 1)
	f.is.True(f.settled[0].Value.Void) // the newer run supersedes the failure
}

// As above, but there is no newer run: the failure counts, and the task starts again once all
// agents have answered.
func TestFailureOfAnEarlierOwnersRunCountsInTheEnd(t *testing.T) {
	f := newFixture(t, recordedJobs(), []string{"a", "b"})
	f.link("a", 1, runState(1, worker.Ended, job.FailedRun))
	f.link("a", 2, runState(1, worker.Ended, job.FailedRun)) // the agent reconnected
	f.link("b", 1)
	f.is.Equal(len(f.orders), 1)
	f.is.True(f.orders[0].Value.Run.Number > 1)
	f.now += testBounds.MaxWriteDelay
	b := f.write()
	f.is.Equal(b.Writes[0].Record.Tasks[0].Failures, 1)
	f.is.Equal(len(f.settled), 1)
	f.is.True(!f.settled[0].Value.Void)
}

// An agent reports two runs of a task: one that failed, and a newer one that is active. The
// failed run is listed first and must not start a third run.
func TestNewestRunOfATaskCounts(t *testing.T) {
	f := newFixture(t, recordedJobs(), []string{"a"})
	f.link("a", 1, runState(1, worker.Ended, job.FailedRun), runState(2, worker.Running, 0))
	f.is.Equal(len(f.orders), 1)
	f.is.Equal(f.orders[0].Value.Run.Number, int64(2))
}

// A task is done, its record is still pending, and the agent reconnects and reports the end
// again. The end must not be settled before the record is written: if the owner is lost in
// between, the next one runs the task again although its end was acknowledged.
func TestRepeatedEndIsSettledWithItsRecord(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(2))
	f.write()
	f.event(f.orders[0], worker.Ended, job.Done)
	f.link("a", 2,
		worker.RunState{Run: f.orders[0].Value.Run, Status: worker.Ended, End: job.Done},
		worker.RunState{Run: f.orders[1].Value.Run, Status: worker.Running})
	f.is.Equal(len(f.settled), 0)
	f.now += testBounds.MaxWriteDelay
	f.write()
	f.is.Equal(len(f.settled), 1)
}

// A job is cancelled right after a takeover, before its agent has answered. The agent then
// reports the end of one of its tasks. The end is settled once the cancellation is recorded: an
// owner that takes over before that does not know of it and would run the task again after its
// end was acknowledged.
func TestEndOfAJobWhoseEndIsUnrecordedWaits(t *testing.T) {
	f := newFixture(t, recordedJobs(), []string{"a"})
	f.cancel(testID)
	f.link("a", 1, runState(1, worker.Ended, job.Done))
	f.is.Equal(len(f.settled), 0)
	f.write()
	f.is.Equal(len(f.settled), 1)
}

// The store's group has dropped the owner, which cannot reach the group, and an agent is
// unreachable for the owner. The next owner may have claimed that agent's runs and keep them
// active, so the old owner must not start their tasks at an agent that only it can reach. It
// starts them once the group confirms it again.
func TestUnconfirmedOwnerStartsNothingAgain(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	f.LinkLost(f.now, f.orders[0].Node, 1)
	f.SetOwnershipConfirmed(false)
	f.now += testBounds.LostLinkTimeout + time.Second
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.orders), 1)
	f.is.True(!f.WriteDue(f.now))
	f.SetOwnershipConfirmed(true)
	f.collect(f.Tick(f.now))
	f.write()
	f.is.Equal(len(f.orders), 2)
}

// An agent knows a newer link of an owner that is still the only one of its shard, and refuses
// the claim of an older link. Taken for a takeover, the refusal made the entry give up its
// shard, and every later job of the entry was answered with owner_changed. Instead the agent is
// reconnected, and tasks go there once the next claim is answered.
func TestRefusedClaimReconnectsTheAgent(t *testing.T) {
	f := newFixture(t, nil, nil)
	claim, _, fx := f.Linked(f.now, "a", 1)
	f.collect(fx)
	refusal := f.Claimed(f.now, "a", worker.Claimed{Claim: claim, Refused: true, KnownEpoch: f.Epoch})
	f.is.Equal(refusal.Reconnects, []string{"a"})
	f.is.True(!f.Closed())
	f.is.Equal(f.ReachableAgents(), 0)

	f.LinkLost(f.now, "a", 1)
	f.link("a", 2)
	f.write()
	f.submit(testID, steps(1))
	f.write()
	f.is.Equal(len(f.orders), 1)
}

// The agent knows a newer epoch: the shard has another owner, and this one must give it up.
func TestClaimRefusedForANewerOwnerEndsTheShard(t *testing.T) {
	f := newFixture(t, nil, nil)
	claim, _, fx := f.Linked(f.now, "a", 1)
	f.collect(fx)
	f.collect(f.Claimed(f.now, "a", worker.Claimed{Claim: claim, Refused: true, KnownEpoch: f.Epoch + 1}))
	f.is.True(f.Closed())
}

// An owner that was unconfirmed when a link came up claimed all links once the group confirmed
// it, including those already claimed. An order was sent while a second claim was on its way;
// the answer did not list the run, so it was taken for lost and started elsewhere, and two runs
// of the task were active at the same time. A link must be claimed only once.
func TestLinkIsClaimedOnce(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	_, ok, fx := f.Linked(f.now, "a", 1)
	f.collect(fx)
	f.is.True(!ok)
	f.submit(testID, steps(1))
	f.write()
	f.is.Equal(len(f.orders), 1)
	_, ok, fx = f.Linked(f.now, "a", 1)
	f.collect(fx)
	f.is.True(!ok)
	f.collect(f.Claimed(f.now, f.orders[0].Node, worker.Claimed{Claim: worker.Claim{Shard: f.ID, Epoch: f.Epoch, Session: 1}}))
	f.is.Equal(len(f.orders), 1) // the answer to a second claim is ignored
}

// A claim is lost between the start of a link and its first frame, or the agent does not answer
// it. No task would ever be placed on that agent, so the link must be reconnected.
func TestUnansweredClaimReconnectsTheAgent(t *testing.T) {
	f := newFixture(t, nil, nil)
	_, _, fx := f.Linked(f.now, "a", 1)
	f.collect(fx)
	f.now += claimTimeout - time.Millisecond
	f.is.Equal(len(f.Tick(f.now).Reconnects), 0)
	f.now += time.Millisecond
	f.is.Equal(f.Tick(f.now).Reconnects, []string{"a"})
	f.is.Equal(len(f.Tick(f.now).Reconnects), 0)
}

// Guards against starting tasks of an earlier owner a second time while the claim of their agent, whose link is
// up, has to wait.
func TestAgentWhoseClaimHasToWaitIsNotWaitedOut(t *testing.T) {
	f := newFixture(t, recordedJobs(), []string{"a", "b"}, "b")
	f.LinkedUnclaimed("a", 1)
	fx := f.Tick(f.now + testBounds.TakeoverTimeout + time.Second)
	f.is.Equal(len(fx.Reconnects), 0) // a claim that was not sent is not unanswered
	f.is.Equal(f.UnreconciledAgents(), []string{"a"})
	f.now += testBounds.TakeoverTimeout + time.Second
	f.link("a", 1, runState(1, worker.Running, 0))
	f.is.Equal(len(f.orders), 1) // the order of the existing run, repeated
	f.is.Equal(f.orders[0].Value.Run.Number, int64(1))
}
