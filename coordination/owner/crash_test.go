package owner

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// newCrashFixture returns a shard with links to five agents.
func newCrashFixture(t *testing.T, records ...*job.Record) *fixture {
	t.Helper()
	return newFixture(t, records, nil, "a", "b", "c", "d", "e")
}

// lastOrder returns the most recent order.
func (f *fixture) lastOrder() Addressed[worker.Order] { return f.orders[len(f.orders)-1] }

// lostRunState returns the state in which an agent reports that an order's run was lost with
// its backend server while the given number of runs was on that server.
func lostRunState(o Addressed[worker.Order], suspects int, what worker.Loss) worker.RunState {
	return worker.RunState{
		Run: o.Value.Run, Status: worker.Ended, End: job.Lapsed, Loss: what, Instance: job.Instance{ID: "i-" + o.Node}, Suspects: suspects,
	}
}

// deliver delivers the state of a run to the shard.
func (f *fixture) deliver(o Addressed[worker.Order], s worker.RunState) {
	f.collect(f.Event(f.now, o.Node, worker.Event{Shard: f.ID, Epoch: f.Epoch, State: s}))
}

// reportLoss reports that a run was lost with its server, and writes the pending records.
func (f *fixture) reportLoss(o Addressed[worker.Order], suspects int, what worker.Loss) {
	f.deliver(o, lostRunState(o, suspects, what))
	f.now += 200 * time.Millisecond
	f.write()
}

// reportLossOutcome reports what became of the lost server.
func (f *fixture) reportLossOutcome(o Addressed[worker.Order], what worker.Loss) {
	f.deliver(o, worker.RunState{Run: o.Value.Run, Status: worker.LossUpdate, Loss: what, Instance: job.Instance{ID: "i-" + o.Node}})
}

// advance advances the clock in ticks of 50 ms and writes the pending records.
func (f *fixture) advance(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 50 * time.Millisecond {
		f.collect(f.Tick(f.now))
	}
	f.write()
}

// submitSingle submits a job of one task and returns its first order.
func (f *fixture) submitSingle() Addressed[worker.Order] {
	f.submit(testID, steps(1))
	f.write()
	return f.lastOrder()
}

// A task crashes each backend server that starts it, and other tasks run there as well. Its
// third start is alone on an agent where it has not run yet and crashes the third server. The
// task is not started again, and its job is reported as failed.
func TestTaskUnderThreeCrashesIsGivenUp(t *testing.T) {
	f := newCrashFixture(t)
	isolations := []worker.Isolation{worker.NoIsolation, worker.ApartFromSuspects, worker.Exclusive}
	been := make(map[string]bool)
	o := f.submitSingle()
	for i, want := range isolations {
		f.is.Equal(len(f.orders), i+1)
		f.is.Equal(o.Value.Isolation, want)
		f.is.True(!been[o.Node])
		been[o.Node] = true
		f.reportLoss(o, 4-i, worker.LossConfirmed)
		o = f.lastOrder()
	}
	f.is.Equal(len(f.orders), len(isolations))
	v := f.KnownState(testID)
	f.is.Equal(v.State, job.Failed)
	f.is.Equal(v.Failure, FailureCrashed)
}

// The second lost server ran nothing but the task, so only the task can have crashed it. The
// task is given up.
func TestOnlySuspectOfTheSecondCrashIsGivenUp(t *testing.T) {
	f := newCrashFixture(t)
	f.reportLoss(f.submitSingle(), 9, worker.LossConfirmed)
	f.reportLoss(f.lastOrder(), 1, worker.LossConfirmed)
	f.is.Equal(f.KnownState(testID).State, job.Failed)
	f.is.Equal(len(f.orders), 2)
}

// Servers are cut off, or lose their leases, three times under the same task and come back as
// the same instances. Counted as crashes, these losses would fail a job that can be completed.
func TestServersThatComeBackRaiseNoSuspicion(t *testing.T) {
	f := newCrashFixture(t)
	o := f.submitSingle()
	for range 4 {
		f.reportLoss(o, 1, worker.LossSuspected)
		f.reportLossOutcome(o, worker.LossCleared)
		f.write()
		o = f.lastOrder()
		f.is.Equal(o.Value.Isolation, worker.ApartFromSuspects) // the outcome was not known when the order was sent
		f.is.Equal(len(f.jobs[testID].rec.Tasks[0].Crashes), 0)
	}
	f.event(o, worker.Ended, job.Done)
	f.write()
	f.is.Equal(f.KnownState(testID).State, job.Completed)
}

// A task ran twice beside another one that crashed its servers, and its third run ends. The
// task did not cause the crashes: those losses are forgotten and do not count towards a later
// loss.
func TestNeighbourIsClearedWhenItEnds(t *testing.T) {
	f := newCrashFixture(t)
	f.reportLoss(f.submitSingle(), 5, worker.LossConfirmed)
	f.reportLoss(f.lastOrder(), 2, worker.LossConfirmed)
	f.event(f.lastOrder(), worker.Ended, job.FailedRun)
	f.write()
	f.is.Equal(f.lastOrder().Value.Isolation, worker.NoIsolation)
	f.reportLoss(f.lastOrder(), 1, worker.LossConfirmed)
	f.is.Equal(f.KnownState(testID).State, job.Queued+1) // the job goes on
	f.event(f.lastOrder(), worker.Ended, job.Done)
	f.write()
	f.is.Equal(f.KnownState(testID).State, job.Completed)
}

// Two tasks are lost with one server, and one of them then crashes another server on its own.
// The other task is cleared of the first crash and may run beside any task again.
func TestNeighbourOfACrasherIsCleared(t *testing.T) {
	f := newCrashFixture(t)
	crasher := f.submitSingle()
	f.submit("00000000000000bb", steps(1))
	f.write()
	neighbour := f.lastOrder()
	neighbour.Node = crasher.Node // both ran on the same server
	f.jobs["00000000000000bb"].tasks[0].node = crasher.Node
	f.reportLoss(crasher, 2, worker.LossConfirmed)
	second := f.lastOrder()
	f.reportLoss(neighbour, 2, worker.LossConfirmed)
	rerun := f.lastOrder()
	f.is.Equal(rerun.Value.Isolation, worker.ApartFromSuspects)
	f.reportLoss(second, 1, worker.LossConfirmed)
	f.is.Equal(f.KnownState(testID).State, job.Failed)
	f.is.Equal(len(f.jobs["00000000000000bb"].rec.Tasks[0].Crashes), 0)
}

// A rack is lost, and with it the second server under a task that ran alone there. Other
// servers were lost at the same moment, so the task is not taken for the cause of the loss and is
// tried once more.
func TestRackThatIsLostGivesUpNoTask(t *testing.T) {
	f := newCrashFixture(t)
	f.reportLoss(f.submitSingle(), 4, worker.LossConfirmed)
	for i := range minCorrelatedLosses {
		f.recordServerLossLocked(f.now, "rack-"+strconv.Itoa(i), job.Instance{ID: "i"})
	}
	f.reportLoss(f.lastOrder(), 1, worker.LossConfirmed)
	f.is.True(!f.KnownState(testID).State.Final())
	f.is.Equal(f.lastOrder().Value.Isolation, worker.Exclusive)
}

// An owner dies after two servers were lost under a task. The next owner finds the crashes in
// the job's record, starts the task alone and gives it up after the third loss: a takeover must
// not give a task more starts.
func TestCrashesSurviveATakeover(t *testing.T) {
	f := newCrashFixture(t)
	f.reportLoss(f.submitSingle(), 4, worker.LossConfirmed)
	f.reportLoss(f.lastOrder(), 4, worker.LossConfirmed)
	rec := *f.jobs[testID].rec
	rec.Spec.Digest = ""

	next := newCrashFixture(t, &rec)
	next.advance(100 * time.Millisecond)
	next.is.Equal(len(next.orders), 1)
	next.is.Equal(next.lastOrder().Value.Isolation, worker.Exclusive)
	next.reportLoss(next.lastOrder(), 1, worker.LossConfirmed)
	next.is.Equal(next.KnownState(testID).State, job.Failed)
	next.is.Equal(len(next.orders), 1)
}

// The store accepts no writes when the second server is lost under a task. The task must not
// start again before the crash is recorded, since an owner that takes over would not know of
// it.
func TestSuspectWaitsForItsRecord(t *testing.T) {
	f := newCrashFixture(t)
	f.reportLoss(f.submitSingle(), 4, worker.LossConfirmed)
	o := f.lastOrder()
	f.deliver(o, lostRunState(o, 3, worker.LossConfirmed))
	f.collect(f.Tick(f.now + time.Second))
	f.is.Equal(len(f.orders), 2)
	f.write()
	f.is.Equal(len(f.orders), 3)
}

// The agents of the servers that were lost under a task are lost too, so no owner learns
// whether the servers crashed. The task is started once more after the third loss, and then
// waits.
func TestUnexplainedLossesHoldATaskBack(t *testing.T) {
	f := newCrashFixture(t)
	o := f.submitSingle()
	for range 3 {
		f.reportLoss(o, 2, worker.LossSuspected)
		f.advance(3 * time.Second)
		o = f.lastOrder()
	}
	f.is.Equal(len(f.orders), 4)
	f.reportLoss(o, 1, worker.LossSuspected)
	f.advance(5 * time.Second)
	f.is.Equal(len(f.orders), 4)
	f.advance(6 * time.Second)
	f.is.Equal(len(f.orders), 5) // the last loss has been forgotten
	f.is.Equal(f.lastOrder().Value.Isolation, worker.NoIsolation)
}

// One task of a wide job crashes its servers. The other tasks go on as long as it is not certain
// that this task is the cause. Once it is given up, their runs are stopped.
func TestOthersOfAWideJobGoOnUntilItIsCertain(t *testing.T) {
	is := is.New(t)
	f := newCrashFixture(t)
	f.submit(testID, steps(20))
	f.write()
	crasher := f.orders[0]
	index := crasher.Value.Run.Task.Index
	f.reportLoss(crasher, 9, worker.LossConfirmed)
	f.reportLoss(f.lastOrderOfTask(index), 3, worker.LossConfirmed)
	is.Equal(len(f.stops), 0)
	f.advance(100 * time.Millisecond)
	f.reportLoss(f.lastOrderOfTask(index), 1, worker.LossConfirmed)
	is.Equal(f.KnownState(testID).State, job.Failed)
	is.True(len(f.stops) > 0)
}

// lastOrderOfTask returns the most recent order of a task.
func (f *fixture) lastOrderOfTask(index int) Addressed[worker.Order] {
	for i := len(f.orders) - 1; ; i-- {
		if f.orders[i].Value.Run.Task.Index == index {
			return f.orders[i]
		}
	}
}

// The report of a lost server is lost with its link. The answer to the next link's claim
// repeats it. If the run was taken as merely missing, the task was started without isolation and
// crashed another server for each lost link.
func TestLossIsReportedWithTheNextClaim(t *testing.T) {
	f := newCrashFixture(t)
	f.reportLoss(f.submitSingle(), 4, worker.LossConfirmed)
	o := f.lastOrder()
	f.LinkLost(f.now, o.Node, 1)
	f.fleet.LinkLost(o.Node)
	claim, _, fx := f.Linked(f.now, o.Node, 2)
	f.collect(fx)
	f.collect(f.Claimed(f.now, o.Node, worker.Claimed{Claim: claim, Lost: []worker.RunState{lostRunState(o, 3, worker.LossConfirmed)}}))
	f.write()
	f.is.Equal(len(f.orders), 3)
	f.is.Equal(f.lastOrder().Value.Isolation, worker.Exclusive)
}

// A task is cleared of one crash while another run of it is active. That run is lost with its
// server too, and the report of this is lost with the link. The second loss must count, since
// the task was cleared of the earlier run only; otherwise a task that crashes its servers gets
// an additional start for each.
func TestOnlyEarlierRunsAreCleared(t *testing.T) {
	f := newCrashFixture(t)
	first := f.submitSingle()
	f.reportLoss(first, 3, worker.LossConfirmed)
	second := f.lastOrder()
	culprit := []job.Crash{{Node: first.Node, Instance: job.Instance{ID: "i-" + first.Node}}}
	var fx Effects
	f.clearNeighboursLocked(f.now, &fx, culprit)
	f.collect(fx)
	f.is.Equal(len(f.jobs[testID].rec.Tasks[0].Crashes), 0)
	f.LinkLost(f.now, second.Node, 1)
	claim, _, fx := f.Linked(f.now, second.Node, 2)
	f.collect(fx)
	f.collect(f.Claimed(f.now, second.Node, worker.Claimed{Claim: claim, Lost: []worker.RunState{
		lostRunState(first, 3, worker.LossConfirmed), lostRunState(second, 3, worker.LossConfirmed),
	}}))
	f.is.Equal(len(f.jobs[testID].rec.Tasks[0].Crashes), 1)
}

// Of two servers that were lost under a task, one comes back as the same instance, and then a
// third one is lost. The stored record holds two crashes at that point, but not the last one:
// the task waits for the record of that one too.
func TestSuspectWaitsForItsLastCrash(t *testing.T) {
	f := newCrashFixture(t)
	first := f.submitSingle()
	f.reportLoss(first, 4, worker.LossSuspected)
	f.reportLoss(f.lastOrder(), 4, worker.LossConfirmed)
	third := f.lastOrder()
	f.reportLossOutcome(first, worker.LossCleared)
	f.deliver(third, lostRunState(third, 3, worker.LossConfirmed))
	f.is.Equal(len(f.orders), 3)
	f.write()
	f.is.Equal(len(f.orders), 4)
}

// Every agent without another suspect is full, so that a suspect waits for capacity. Tasks that
// may run anywhere must not queue behind it but go to the free agent.
func TestWaitingSuspectDoesNotBlockOthers(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	crashed := f.submitSingle()
	full, free := "a", "b"
	if crashed.Node == "a" {
		full, free = "b", "a"
	}
	f.reportLoss(crashed, 4, worker.LossConfirmed)
	capacity := job.Demand{CPUMillis: 16000, MemoryMB: 65536}
	busy := AgentLoad{Service: "desk", Capacity: capacity, Accepts: true, Backlog: time.Second, Turnover: 100 * time.Millisecond, OrdersSeen: 1 << 20}
	for i := range busy.Ahead {
		busy.Ahead[i] = time.Second
	}
	f.fleet.Update(f.now, full, busy)
	f.fleet.Update(f.now, free, AgentLoad{Service: "desk", Capacity: capacity, Free: capacity, Accepts: true, Suspects: 1, OrdersSeen: 1 << 20})
	f.event(f.lastOrder(), worker.Ended, job.NeverRan) // the order is returned
	f.is.True(f.HasWaitingTasks())
	before := len(f.orders)
	f.submit("00000000000000bb", steps(1))
	f.write()
	f.is.Equal(len(f.orders), before+1)
	f.is.Equal(f.lastOrder().Node, free)
}

// A task waits for the record of its second loss when another task is found to have crashed
// both servers. It is cleared of suspicion and must be started again; nothing started it, and
// its accepted job never ended.
func TestClearedTaskThatWaitedIsStarted(t *testing.T) {
	f := newCrashFixture(t)
	first := f.submitSingle()
	f.reportLoss(first, 3, worker.LossConfirmed)
	second := f.lastOrder()
	f.deliver(second, lostRunState(second, 3, worker.LossConfirmed)) // the loss is not recorded yet
	f.is.Equal(len(f.orders), 2)
	var fx Effects
	f.clearNeighboursLocked(f.now, &fx, []job.Crash{
		{Node: first.Node, Instance: job.Instance{ID: "i-" + first.Node}}, {Node: second.Node, Instance: job.Instance{ID: "i-" + second.Node}},
	})
	f.collect(fx)
	f.advance(100 * time.Millisecond)
	f.is.Equal(len(f.orders), 3)
}
