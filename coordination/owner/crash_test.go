package owner

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// newCrashFixture returns a shard with links to a few agents.
func newCrashFixture(t *testing.T, records ...*job.Record) *fixture {
	t.Helper()
	return newFixture(t, records, nil, "a", "b", "c", "d", "e")
}

// last is the order that was sent last.
func (f *fixture) last() Placed[worker.Order] { return f.orders[len(f.orders)-1] }

// lost is what an agent tells of an order's run that was lost with its backend server,
// with so many runs on it.
func lost(o Placed[worker.Order], suspects int, what worker.Loss) worker.RunState {
	return worker.RunState{
		Run: o.What.Run, Status: worker.Ended, End: job.Lapsed, Loss: what, Instance: "i-" + o.Node, Suspects: suspects,
	}
}

// tell has the shard hear of a run.
func (f *fixture) tell(o Placed[worker.Order], s worker.RunState) {
	f.take(f.Event(f.now, o.Node, worker.Event{Shard: f.ID, Epoch: f.Epoch, State: s}))
}

// lose tells that a run was lost with its server, and has what is due written.
func (f *fixture) lose(o Placed[worker.Order], suspects int, what worker.Loss) {
	f.tell(o, lost(o, suspects, what))
	f.now += 200 * time.Millisecond
	f.write()
}

// explain tells what became of that server.
func (f *fixture) explain(o Placed[worker.Order], what worker.Loss) {
	f.tell(o, worker.RunState{Run: o.What.Run, Status: worker.LossUpdate, Loss: what, Instance: "i-" + o.Node})
}

// pass lets time pass and what is due be written.
func (f *fixture) pass(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += 50 * time.Millisecond {
		f.take(f.Tick(f.now))
	}
	f.write()
}

// begin submits a job of one task and returns its first order.
func (f *fixture) begin() Placed[worker.Order] {
	f.submit(testID, steps(1))
	f.write()
	return f.last()
}

// A task crashes each backend server that starts it, and each of them has others on it.
// Its third start is alone, on an agent that it has not been to, and takes the third
// server down; the task is not started again, and its job is shown as failed.
func TestTaskUnderThreeCrashesIsGivenUp(t *testing.T) {
	f := newCrashFixture(t)
	cautions := []worker.Isolation{worker.NoIsolation, worker.ApartFromSuspects, worker.Exclusive}
	been := make(map[string]bool)
	o := f.begin()
	for i, want := range cautions {
		f.is.Equal(len(f.orders), i+1)
		f.is.Equal(o.What.Isolation, want)
		f.is.True(!been[o.Node])
		been[o.Node] = true
		f.lose(o, 4-i, worker.LossConfirmed)
		o = f.last()
	}
	f.is.Equal(len(f.orders), len(cautions))
	v := f.Lookup(testID)
	f.is.Equal(v.State, job.Failed)
	f.is.Equal(v.Failure, FailureCrashed)
}

// The second server that is lost has nothing else on it: nobody else can have done it.
func TestOnlySuspectOfTheSecondCrashIsGivenUp(t *testing.T) {
	f := newCrashFixture(t)
	f.lose(f.begin(), 9, worker.LossConfirmed)
	f.lose(f.last(), 1, worker.LossConfirmed)
	f.is.Equal(f.Lookup(testID).State, job.Failed)
	f.is.Equal(len(f.orders), 2)
}

// Servers are cut off, or lose their leases, under the same task three times, and come
// back as the same instances. Taken for crashes they would fail a job that can be done.
func TestServersThatComeBackRaiseNoSuspicion(t *testing.T) {
	f := newCrashFixture(t)
	o := f.begin()
	for range 4 {
		f.lose(o, 1, worker.LossSuspected)
		f.explain(o, worker.LossCleared)
		f.write()
		o = f.last()
		f.is.Equal(o.What.Isolation, worker.ApartFromSuspects) // it was not known yet
		f.is.Equal(len(f.jobs[testID].rec.Tasks[0].Crashes), 0)
	}
	f.event(o, worker.Ended, job.Done)
	f.write()
	f.is.Equal(f.Lookup(testID).State, job.Completed)
}

// A task has run beside one that crashes its servers, twice, and ends at its third start.
// It was innocent: those losses are forgotten, also for a failure later.
func TestNeighbourIsAcquittedWhenItEnds(t *testing.T) {
	f := newCrashFixture(t)
	f.lose(f.begin(), 5, worker.LossConfirmed)
	f.lose(f.last(), 2, worker.LossConfirmed)
	f.event(f.last(), worker.Ended, job.FailedRun)
	f.write()
	f.is.Equal(f.last().What.Isolation, worker.NoIsolation)
	f.lose(f.last(), 1, worker.LossConfirmed)
	f.is.Equal(f.Lookup(testID).State, job.Queued+1) // it goes on
	f.event(f.last(), worker.Ended, job.Done)
	f.write()
	f.is.Equal(f.Lookup(testID).State, job.Completed)
}

// Two tasks are lost with one server, and one of them takes another down by itself. The
// other is acquitted of the first, and runs beside anybody.
func TestNeighbourOfACrasherIsAcquitted(t *testing.T) {
	f := newCrashFixture(t)
	crasher := f.begin()
	f.submit("00000000000000bb", steps(1))
	f.write()
	neighbour := f.last()
	neighbour.Node = crasher.Node // both were there
	f.jobs["00000000000000bb"].tasks[0].node = crasher.Node
	f.lose(crasher, 2, worker.LossConfirmed)
	second := f.last()
	f.lose(neighbour, 2, worker.LossConfirmed)
	rerun := f.last()
	f.is.Equal(rerun.What.Isolation, worker.ApartFromSuspects)
	f.lose(second, 1, worker.LossConfirmed)
	f.is.Equal(f.Lookup(testID).State, job.Failed)
	f.is.Equal(len(f.jobs["00000000000000bb"].rec.Tasks[0].Crashes), 0)
}

// A rack is lost, and in it the second server under a task that was alone there: others
// were lost at the same moment, so the task is tried once more.
func TestRackThatIsLostGivesUpNoTask(t *testing.T) {
	f := newCrashFixture(t)
	f.lose(f.begin(), 4, worker.LossConfirmed)
	for i := range togetherOthers {
		f.noteLossLocked(f.now, "rack-"+strconv.Itoa(i), "i")
	}
	f.lose(f.last(), 1, worker.LossConfirmed)
	f.is.True(!f.Lookup(testID).State.Final())
	f.is.Equal(f.last().What.Isolation, worker.Exclusive)
}

// An owner dies after two servers were lost under a task. The next one finds that in the
// job's record, starts it alone, and gives it up after the third: a takeover gives no task
// more starts.
func TestCrashesOutliveTheirOwner(t *testing.T) {
	f := newCrashFixture(t)
	f.lose(f.begin(), 4, worker.LossConfirmed)
	f.lose(f.last(), 4, worker.LossConfirmed)
	rec := *f.jobs[testID].rec
	rec.Spec.Digest = ""

	next := newCrashFixture(t, &rec)
	next.pass(100 * time.Millisecond)
	next.is.Equal(len(next.orders), 1)
	next.is.Equal(next.last().What.Isolation, worker.Exclusive)
	next.lose(next.last(), 1, worker.LossConfirmed)
	next.is.Equal(next.Lookup(testID).State, job.Failed)
	next.is.Equal(len(next.orders), 1)
}

// The store takes no writes when the second server is lost under a task. It is not started
// again before that is recorded: an owner that takes over would know nothing of it.
func TestSuspectWaitsForItsRecord(t *testing.T) {
	f := newCrashFixture(t)
	f.lose(f.begin(), 4, worker.LossConfirmed)
	o := f.last()
	f.tell(o, lost(o, 3, worker.LossConfirmed))
	f.take(f.Tick(f.now + time.Second))
	f.is.Equal(len(f.orders), 2)
	f.write()
	f.is.Equal(len(f.orders), 3)
}

// Nobody hears what became of the servers that were lost under a task, since their agents
// were lost too. It is started once more after the third, and then waits.
func TestUnexplainedLossesHoldATaskBack(t *testing.T) {
	f := newCrashFixture(t)
	o := f.begin()
	for range 3 {
		f.lose(o, 2, worker.LossSuspected)
		f.pass(3 * time.Second)
		o = f.last()
	}
	f.is.Equal(len(f.orders), 4)
	f.lose(o, 1, worker.LossSuspected)
	f.pass(5 * time.Second)
	f.is.Equal(len(f.orders), 4)
	f.pass(6 * time.Second)
	f.is.Equal(len(f.orders), 5) // it is as if nothing had been
	f.is.Equal(f.last().What.Isolation, worker.NoIsolation)
}

// A job of many tasks has one that crashes its servers. As long as it may be
// innocent the others go on; once it is given up their runs are stopped.
func TestOthersOfAWideJobGoOnUntilItIsCertain(t *testing.T) {
	is := is.New(t)
	f := newCrashFixture(t)
	f.submit(testID, steps(20))
	f.write()
	crasher := f.orders[0]
	index := crasher.What.Run.Task.Index
	f.lose(crasher, 9, worker.LossConfirmed)
	f.lose(f.lastOfTask(index), 3, worker.LossConfirmed)
	is.Equal(len(f.stops), 0)
	f.pass(100 * time.Millisecond)
	f.lose(f.lastOfTask(index), 1, worker.LossConfirmed)
	is.Equal(f.Lookup(testID).State, job.Failed)
	is.True(len(f.stops) > 0)
}

func (f *fixture) lastOfTask(index int) Placed[worker.Order] {
	for i := len(f.orders) - 1; ; i-- {
		if f.orders[i].What.Run.Task.Index == index {
			return f.orders[i]
		}
	}
}

// The news that a server was lost is lost with its link. The next link's claim is answered
// with it; taken for a run that just isn't there, the task was started as if nothing had
// been, and took another server down for each lost link.
func TestLossIsHeardWithTheNextLink(t *testing.T) {
	f := newCrashFixture(t)
	f.lose(f.begin(), 4, worker.LossConfirmed)
	o := f.last()
	f.LinkLost(f.now, o.Node, 1)
	f.fleet.Lost(o.Node)
	claim, _, fx := f.Linked(f.now, o.Node, 2)
	f.take(fx)
	f.take(f.Claimed(f.now, o.Node, worker.Claimed{Claim: claim, Lost: []worker.RunState{lost(o, 3, worker.LossConfirmed)}}))
	f.write()
	f.is.Equal(len(f.orders), 3)
	f.is.Equal(f.last().What.Isolation, worker.Exclusive)
}

// A task is acquitted of one server while another run of it is at work, and that run is lost
// with its server too, whose news goes with the link. It counts: the acquittal was of the
// earlier run. Passed over, a task that crashes its servers had one more start for each.
func TestAcquittalIsOfEarlierRunsOnly(t *testing.T) {
	f := newCrashFixture(t)
	first := f.begin()
	f.lose(first, 3, worker.LossConfirmed)
	second := f.last()
	culprit := []job.Crash{{Node: first.Node, Instance: "i-" + first.Node}}
	var fx Effects
	f.acquitNeighboursLocked(f.now, &fx, culprit)
	f.take(fx)
	f.is.Equal(len(f.jobs[testID].rec.Tasks[0].Crashes), 0)
	f.LinkLost(f.now, second.Node, 1)
	claim, _, fx := f.Linked(f.now, second.Node, 2)
	f.take(fx)
	f.take(f.Claimed(f.now, second.Node, worker.Claimed{Claim: claim, Lost: []worker.RunState{
		lost(first, 3, worker.LossConfirmed), lost(second, 3, worker.LossConfirmed),
	}}))
	f.is.Equal(len(f.jobs[testID].rec.Tasks[0].Crashes), 1)
}

// Of two servers that were lost under a task, one is back as the same instance, and another
// is lost. The record has two, but not the last: the task waits for that too.
func TestSuspectWaitsForItsLastCrash(t *testing.T) {
	f := newCrashFixture(t)
	first := f.begin()
	f.lose(first, 4, worker.LossSuspected)
	f.lose(f.last(), 4, worker.LossConfirmed)
	third := f.last()
	f.explain(first, worker.LossCleared)
	f.tell(third, lost(third, 3, worker.LossConfirmed))
	f.is.Equal(len(f.orders), 3)
	f.write()
	f.is.Equal(len(f.orders), 4)
}

// Every agent without another suspect is full, so that a suspect waits for room. Tasks that
// may go anywhere go to the room that is there: behind the suspect they waited for it.
func TestWaitingSuspectHoldsNobodyUp(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	crashed := f.begin()
	full, free := "a", "b"
	if crashed.Node == "a" {
		full, free = "b", "a"
	}
	f.lose(crashed, 4, worker.LossConfirmed)
	capacity := job.Demand{CPUMillis: 16000, MemoryMB: 65536}
	busy := AgentLoad{Service: "desk", Capacity: capacity, Accepts: true, Backlog: time.Second, Turnover: 100 * time.Millisecond, Seen: 1 << 20}
	for i := range busy.Ahead {
		busy.Ahead[i] = time.Second
	}
	f.fleet.Update(f.now, full, busy)
	f.fleet.Update(f.now, free, AgentLoad{Service: "desk", Capacity: capacity, Free: capacity, Accepts: true, Suspects: 1, Seen: 1 << 20})
	f.event(f.last(), worker.Ended, job.NeverRan) // it is handed back
	f.is.True(f.Waiting())
	before := len(f.orders)
	f.submit("00000000000000bb", steps(1))
	f.write()
	f.is.Equal(len(f.orders), before+1)
	f.is.Equal(f.last().Node, free)
}

// A task waits for the record of its second loss when another task is found to have crashed
// both servers. It is acquitted, and nothing started it again: its job, accepted, never
// ended.
func TestAcquittedTaskThatWaitedIsStarted(t *testing.T) {
	f := newCrashFixture(t)
	first := f.begin()
	f.lose(first, 3, worker.LossConfirmed)
	second := f.last()
	f.tell(second, lost(second, 3, worker.LossConfirmed)) // not recorded yet
	f.is.Equal(len(f.orders), 2)
	var fx Effects
	f.acquitNeighboursLocked(f.now, &fx, []job.Crash{
		{Node: first.Node, Instance: "i-" + first.Node}, {Node: second.Node, Instance: "i-" + second.Node},
	})
	f.take(fx)
	f.pass(100 * time.Millisecond)
	f.is.Equal(len(f.orders), 3)
}
