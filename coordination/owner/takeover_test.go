package owner

import (
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// runState is what an agent says of a run of testID's first task.
func runState(number int64, status worker.Status, end job.EndKind) worker.RunState {
	run := job.RunID{Task: job.TaskID{Job: testID}, Number: number}
	return worker.RunState{Run: run, Status: status, End: end}
}

// recorded is a job of one task that earlier owners have accepted.
func recorded() []*job.Record {
	p := job.Policy{Queue: "quotes", Service: "desk", MaxAttempts: 3, Slack: 1, Target: time.Minute}
	return []*job.Record{job.NewRecord(testID, steps(1), p, 2)}
}

// An agent answers a claim with the end of a step, and the owner orders the next
// step there at once. That order is on its way: it isn't among the agent's runs,
// and must not be taken for lost and placed a second time.
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

// A run failed, its task was ordered again at the same agent, and the link broke
// before the order arrived. The agent still lists the first run: that doesn't
// stand for the second, which is ordered anew. Otherwise the job never ends.
func TestOlderRunDoesNotStandForTheOrderedOne(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(1))
	f.write()
	f.event(f.orders[0], worker.Ended, job.FailedRun)
	f.is.Equal(len(f.orders), 2)
	f.link("a", 2, runState(1, worker.Ended, job.FailedRun))
	f.is.Equal(len(f.orders), 3)
}

// A run failed at one agent and its task runs at another when the owner dies. The
// next owner hears of the failure first. The task must not be started again
// beside the run that it hears of a moment later.
func TestFailureOfAnEarlierOwnersRunWaitsForTheOtherAgents(t *testing.T) {
	f := newFixture(t, recorded(), []string{"a", "b"})
	f.link("a", 1, runState(1, worker.Ended, job.FailedRun))
	f.is.Equal(len(f.orders), 0)
	f.link("b", 1, runState(2, worker.Running, 0))
	f.is.Equal(len(f.orders), 1) // the run that is there, repeated
	f.is.Equal(f.orders[0].Value.Run.Number, int64(2))
	f.is.Equal(len(f.settled), 1)
	f.is.True(f.settled[0].Value.Void) // the failure was replaced
}

// The same, and there is no newer run: the failure counts, and the task starts
// again once everyone has answered.
func TestFailureOfAnEarlierOwnersRunCountsInTheEnd(t *testing.T) {
	f := newFixture(t, recorded(), []string{"a", "b"})
	f.link("a", 1, runState(1, worker.Ended, job.FailedRun))
	f.link("a", 2, runState(1, worker.Ended, job.FailedRun)) // its link was made anew
	f.link("b", 1)
	f.is.Equal(len(f.orders), 1)
	f.is.True(f.orders[0].Value.Run.Number > 1)
	f.now += testBounds.MaxWriteDelay
	b := f.write()
	f.is.Equal(b.Writes[0].Record.Tasks[0].Failures, 1)
	f.is.Equal(len(f.settled), 1)
	f.is.True(!f.settled[0].Value.Void)
}

// One agent has two runs of a task: one that failed and, since, one at work. The
// failed one, named first, must not start a third.
func TestNewestRunOfATaskCounts(t *testing.T) {
	f := newFixture(t, recorded(), []string{"a"})
	f.link("a", 1, runState(1, worker.Ended, job.FailedRun), runState(2, worker.Running, 0))
	f.is.Equal(len(f.orders), 1)
	f.is.Equal(f.orders[0].Value.Run.Number, int64(2))
}

// A task is done, its record may wait a while, and the link is made anew. The
// agent names the end again. It must not be settled before the record is
// written: with the owner lost in between, the next one would run the task again
// after its end was acknowledged.
func TestEndNamedAgainIsSettledWithItsRecord(t *testing.T) {
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

// A job is cancelled right after a takeover, before its agent has answered. The
// agent then names the end of one of its tasks. It is settled once the
// cancellation is recorded: an owner that takes over before knows nothing of it,
// and would run the task again after its end was acknowledged.
func TestEndOfAJobWhoseEndIsUnrecordedWaits(t *testing.T) {
	f := newFixture(t, recorded(), []string{"a"})
	f.cancel(testID)
	f.link("a", 1, runState(1, worker.Ended, job.Done))
	f.is.Equal(len(f.settled), 0)
	f.write()
	f.is.Equal(len(f.settled), 1)
}

// The group has dropped the owner, which can't ask it, and an agent is out of its
// reach. The next owner may have claimed that agent's runs and keep them at work:
// the old one must not start them at an agent that only it can reach. Once the
// group confirms it again, it does.
func TestUnconfirmedOwnerStartsNothingAgain(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	f.LinkLost(f.now, f.orders[0].Node, 1)
	f.SetOwnershipConfirmed(false)
	f.now += testBounds.LostLinkTimeout + time.Second
	f.take(f.Tick(f.now))
	f.is.Equal(len(f.orders), 1)
	f.SetOwnershipConfirmed(true)
	f.take(f.Tick(f.now))
	f.is.Equal(len(f.orders), 2)
}

// An agent knows a newer link of an owner that is still the only one of its shard, and
// refuses the claim of another. Taken for the word that a new owner is there, the shard
// was given up: each job of an entry was answered owner_changed until its end. The link is
// made anew, and tasks go there once its next claim is answered.
func TestRefusedLinkIsMadeAnew(t *testing.T) {
	f := newFixture(t, nil, nil)
	claim, _, fx := f.Linked(f.now, "a", 1)
	f.take(fx)
	refusal := f.Claimed(f.now, "a", worker.Claimed{Claim: claim, Refused: true, KnownEpoch: f.Epoch})
	f.is.Equal(refusal.Relinks, []string{"a"})
	f.is.True(!f.Closed())
	f.is.Equal(f.ReachableAgents(), 0)

	f.LinkLost(f.now, "a", 1)
	f.link("a", 2)
	f.write()
	f.submit(testID, steps(1))
	f.write()
	f.is.Equal(len(f.orders), 1)
}

// The agent knows a newer epoch: the shard has another owner, and this one gives it up.
func TestClaimRefusedForANewerOwnerEndsTheShard(t *testing.T) {
	f := newFixture(t, nil, nil)
	claim, _, fx := f.Linked(f.now, "a", 1)
	f.take(fx)
	f.take(f.Claimed(f.now, "a", worker.Claimed{Claim: claim, Refused: true, KnownEpoch: f.Epoch + 1}))
	f.is.True(f.Closed())
}

// An owner that was unconfirmed when a link came up claims all links once the group has
// confirmed it, also those that it has claimed. The second claim was on its way when an
// order went out; the answer didn't name the run, which was taken for lost and started
// elsewhere: two runs of the task at a time. A link is claimed once.
func TestLinkIsClaimedOnce(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	_, ok, fx := f.Linked(f.now, "a", 1)
	f.take(fx)
	f.is.True(!ok)
	f.submit(testID, steps(1))
	f.write()
	f.is.Equal(len(f.orders), 1)
	_, ok, fx = f.Linked(f.now, "a", 1)
	f.take(fx)
	f.is.True(!ok)
	f.take(f.Claimed(f.now, f.orders[0].Node, worker.Claimed{Claim: worker.Claim{Shard: f.ID, Epoch: f.Epoch, Session: 1}}))
	f.is.Equal(len(f.orders), 1) // no answer to a second claim is taken
}

// A claim is lost between a link's start and its first frame, or its agent doesn't answer.
// Nothing else would ever be placed there, so the link is made anew.
func TestUnansweredClaimHasTheLinkMadeAnew(t *testing.T) {
	f := newFixture(t, nil, nil)
	_, _, fx := f.Linked(f.now, "a", 1)
	f.take(fx)
	f.now += claimTimeout - time.Millisecond
	f.is.Equal(len(f.Tick(f.now).Relinks), 0)
	f.now += time.Millisecond
	f.is.Equal(f.Tick(f.now).Relinks, []string{"a"})
	f.is.Equal(len(f.Tick(f.now).Relinks), 0)
}
