package worker

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/job"
)

const (
	testShards = 4
	// private is the number of a shard for best-effort jobs.
	private = testShards + 7
)

var testBounds = Bounds{Lease: time.Second, OwnerTimeout: 1300 * time.Millisecond, ReconnectTimeout: 600 * time.Millisecond, AdoptionTimeout: 300 * time.Millisecond, Shards: testShards}

// recorded is a shard whose jobs are recorded.
const recorded = 0

// fixture is a worker with one backend server of room for two tasks.
type fixture struct {
	*Worker
	is    *is.I
	now   time.Duration
	clock int64
	ends  []ListedEnd
	alive map[job.RunID]bool
	got   []Event
	stops []StopCall
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{Worker: New(testBounds), is: is.New(t), now: time.Hour, clock: 5000, alive: make(map[job.RunID]bool)}
	f.report("i-1", 1, false)
	f.claim(private, 1, 1)
	return f
}

func (f *fixture) report(instance string, seq int64, draining bool) {
	f.take(f.Report(f.now, Server{
		Instance: instance, Service: "desk", Labels: []string{"a", "r1"},
		Capacity: job.Demand{CPUMillis: 3200, MemoryMB: 1000}, Draining: draining, Seq: seq,
	}, f.clock))
}

func (f *fixture) claim(shard int, epoch, session int64) Claimed {
	return f.Claim(f.now, Claim{Shard: shard, Epoch: epoch, Session: session, Owner: "owner-" + strconv.Itoa(shard)})
}

// pass lets time pass on both clocks.
func (f *fixture) pass(d time.Duration) {
	f.now += d
	f.clock += d.Milliseconds()
}

func (f *fixture) take(fx Effects) Effects {
	f.got = append(f.got, fx.Events...)
	f.stops = append(f.stops, fx.Stops...)
	return fx
}

func (f *fixture) order(number int) Order {
	return Order{
		Shard: private, Epoch: 1, Session: 1, Service: "desk", Demand: job.Demand{CPUMillis: 1600, MemoryMB: 64},
		Estimate: 100 * time.Millisecond, Due: f.now + time.Second,
		Run: job.RunID{Task: job.TaskID{Job: "00000000000000aa", Index: number}, Number: 1},
	}
}

// send has an order taken in, and confirms the starts that it brings.
func (f *fixture) send(o Order) Effects {
	fx := f.take(f.Order(f.now, o))
	f.confirm(fx)
	return fx
}

func (f *fixture) end(run job.RunID, kind job.EndKind) {
	delete(f.alive, run)
	f.ends = append(f.ends, ListedEnd{Seq: int64(len(f.ends)) + 1, Run: run, Kind: kind})
}

// hold has the worker look at the backend server, and returns the call.
func (f *fixture) hold() HoldCall {
	c, ok := f.Hold(f.now)
	f.is.True(ok)
	h := HoldResult{ClockMS: f.clock}
	for run := range f.alive {
		h.Active = append(h.Active, ListedRun{Run: run})
	}
	for _, e := range f.ends {
		if e.Seq > c.Acked {
			h.Ends = append(h.Ends, e)
		}
	}
	f.confirm(f.take(f.HoldAnswered(f.now, c, h)))
	return c
}

// confirm has the backend server start what it is told.
func (f *fixture) confirm(fx Effects) {
	for _, s := range fx.Starts {
		f.alive[s.Run] = true
		f.take(f.StartAnswered(f.now, s.Instance, s.Run, StartOK, ""))
	}
}

// ended returns the ends that were told to owners.
func (f *fixture) ended() []RunState {
	var out []RunState
	for _, e := range f.got {
		if e.State.Status == Ended {
			out = append(out, e.State)
		}
	}
	return out
}

func TestStartsNoMoreThanFits(t *testing.T) {
	f := newFixture(t)
	for i := range 3 {
		f.send(f.order(i))
	}
	f.is.Equal(len(f.alive), 2) // the third waits
	f.is.Equal(f.Load(f.now).Waiting, 1)
	f.end(f.order(0).Run, job.Done)
	f.is.Equal(f.Load(f.now).Free.CPUMillis, int64(0)) // room is free only when the end is listed
	c, _ := f.Hold(f.now)
	fx := f.HoldAnswered(f.now, c, HoldResult{ClockMS: f.clock, Active: []ListedRun{{Run: f.order(1).Run}}, Ends: f.ends})
	f.is.Equal(len(fx.Starts), 1)
}

// A worker is full, and an order with too little time to go elsewhere waits until it is
// late. Orders that can still be in time keep coming. Put behind them all, it would wait for seconds, and the client of
// its job, whose other tasks are done, would leave with nothing.
func TestLateOrderIsNotStarved(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.send(f.order(1))
	late := f.order(2)
	late.Due = f.now + late.Estimate + returnMargin
	f.send(late) // has to wait
	for n := 3; n < 8; n++ {
		f.pass(100 * time.Millisecond)
		f.Heard(f.now, "owner-"+strconv.Itoa(private))
		f.send(f.order(n)) // in time for a second
	}
	f.end(f.order(0).Run, job.Done)
	c, _ := f.Hold(f.now)
	fx := f.take(f.HoldAnswered(f.now, c, HoldResult{ClockMS: f.clock, Active: []ListedRun{{Run: f.order(1).Run}}, Ends: f.ends}))
	f.is.Equal(len(fx.Starts), 1)
	f.is.Equal(fx.Starts[0].Run, late.Run)
}

// Two owners see the same free room and send their orders there at once. The second would
// wait until a task ends, and be late, while other workers have room: its owner has it back
// at once. An order that can wait that long stays.
func TestOrderThatWouldBeLateGoesBack(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.send(f.order(1))
	short := f.order(2)
	short.Due = f.now + short.Estimate + 2*returnMargin
	fx := f.send(short)
	f.is.Equal(len(fx.Events), 1)
	f.is.Equal(fx.Events[0].State.End, job.NeverRan)
	f.is.Equal(fx.Events[0].State.Reason, ReasonNoRoom)
	patient := f.order(3)
	patient.Due = f.now + patient.Estimate + time.Minute
	f.is.Equal(len(f.send(patient).Events), 0)
	f.is.Equal(f.Load(f.now).Waiting, 1)
}

// A start gets no answer and is carried out two seconds later. Its owner sees
// the task started elsewhere only once the run is barred here: if the room were
// given away at the time-out, the late start would put the backend server over
// its room, and if the owner started the task anew, it would run twice.
func TestUnansweredStartKeepsItsRoomUntilItIsBarred(t *testing.T) {
	f := newFixture(t)
	first := f.order(0)
	fx := f.take(f.Order(f.now, first))
	f.is.Equal(len(fx.Starts), 1)
	f.take(f.StartAnswered(f.now, "i-1", first.Run, StartUnknown, "time-out"))
	f.send(f.order(1))
	f.send(f.order(2))
	f.is.Equal(f.Load(f.now).Waiting, 1) // the room of the first is not free
	f.hold()
	f.is.Equal(len(f.stops), 1)   // it is not listed: a stop bars the run for good
	f.is.Equal(len(f.ended()), 0) // nothing is certain yet
	f.take(f.StopAnswered(f.now, "i-1", first.Run, true))
	f.hold()
	f.is.Equal(f.ended()[0].End, job.NeverRan)
	f.is.Equal(f.Load(f.now).Waiting, 0)
}

// Neither the start nor the stop that bars it is answered. The deadline in the
// start passes on the backend server's own clock: from then on it refuses it.
func TestUnansweredStartIsOverAfterItsDeadline(t *testing.T) {
	f := newFixture(t)
	o := f.order(0)
	fx := f.Order(f.now, o)
	f.take(f.StartAnswered(f.now, "i-1", o.Run, StartUnknown, "time-out"))
	f.hold()
	f.take(f.StopAnswered(f.now, "i-1", o.Run, false))
	f.clock = fx.Starts[0].Deadline
	f.hold()
	f.is.Equal(len(f.ended()), 0)
	f.clock++
	f.hold()
	f.is.Equal(f.ended()[0].End, job.NeverRan)
}

// The answer to a start is lost, and the run is at work. The next list shows
// it: stopped for the lost answer, its work would be thrown away.
func TestLostAnswerOfAStartCostsNothing(t *testing.T) {
	f := newFixture(t)
	o := f.order(0)
	f.take(f.Order(f.now, o))
	f.take(f.StartAnswered(f.now, "i-1", o.Run, StartUnknown, "time-out"))
	f.alive[o.Run] = true
	f.hold()
	f.is.Equal(len(f.stops), 0)
	f.is.Equal(f.Load(f.now).Running, 1)
}

// Three answers in ten are lost for some seconds, so three in a row are, about once
// a second on each server. A server that is emptied for that stands idle while its
// orders go to others, and their jobs are late. It keeps its orders, and holds follow
// quickly, so that what a lost answer hides is seen soon.
func TestLostAnswersEmptyNoServer(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.send(f.order(1))
	f.send(f.order(2)) // has to wait
	f.is.True(!f.hold().Lossy)
	for range 3 {
		c, ok := f.Hold(f.now)
		f.is.True(ok)
		f.take(f.HoldFailed(f.now, c, NoAnswer))
		f.pass(70 * time.Millisecond)
	}
	f.is.Equal(len(f.ended()), 0)
	f.is.True(f.Load(f.now).Accepts)
	f.is.True(f.hold().Lossy)
	f.pass(lossyPeriod)
	f.is.True(!f.hold().Lossy)
}

// The backend server does not answer. Orders that have not been sent go back at
// once, and no more are taken: their jobs would wait for the lease to expire.
func TestSilentServerGivesWaitingOrdersBack(t *testing.T) {
	f := newFixture(t)
	for i := range 3 {
		f.send(f.order(i))
	}
	for range maxMissedHolds {
		f.is.Equal(len(f.ended()), 0) // a single lost answer costs nothing
		c, _ := f.Hold(f.now)
		f.take(f.HoldFailed(f.now, c, NoAnswer))
	}
	f.is.Equal(f.ended()[0].Reason, "server_silent")
	f.is.True(!f.Load(f.now).Accepts)
	f.hold()
	f.is.True(f.Load(f.now).Accepts)
}

// Tasks stand still on a server that answers and lists them as active. Each job
// with one task there is lost, unless its runs are stopped and started again
// elsewhere.
func TestStalledServerIsLeftAlone(t *testing.T) {
	f := newFixture(t)
	for i := range 5 {
		o := f.order(i)
		o.Demand.CPUMillis = 800
		f.send(o)
	}
	f.pass(170 * time.Millisecond)
	f.hold()
	f.is.True(f.Load(f.now).Accepts) // four tasks of 100 ms, each 70 % over
	f.pass(10 * time.Millisecond)
	f.hold()
	f.is.Equal(len(f.stops), 4)
	f.is.Equal(f.ended()[0].Reason, "stalled") // the order that waited
	f.is.True(!f.Load(f.now).Accepts)
}

// A server was slow for a while. Owners give it nothing while others are faster;
// remembered for good, it would stand idle beside full ones.
func TestSlowServerIsForgotten(t *testing.T) {
	f := newFixture(t)
	for i := range 8 {
		f.send(f.order(i))
		f.pass(300 * time.Millisecond)
		f.Heard(f.now, "owner-"+strconv.Itoa(private))
		f.end(f.order(i).Run, job.Done)
		f.hold()
		f.Settled(f.order(i).Run, false)
	}
	f.is.True(f.Load(f.now).Slowdown > 1.5)
	f.pass(3 * slowdownDecay)
	f.is.Equal(f.Load(f.now).Slowdown, 1.0)
}

// Ends of very short tasks are noticed late on a busy host. The delay says nothing
// of how long other tasks take here.
func TestLateNoticeOfShortTasksIsNoSlowness(t *testing.T) {
	f := newFixture(t)
	for i := range 8 {
		o := f.order(i)
		o.Estimate = 5 * time.Millisecond
		f.send(o)
		f.pass(60 * time.Millisecond)
		f.end(o.Run, job.Done)
		f.hold()
		f.Settled(o.Run, false)
	}
	f.is.Equal(f.Load(f.now).Slowdown, 1.0)
}

// One task takes far longer than its client said. It is the task's own time:
// stopped and started elsewhere, it would take as long again.
func TestOneLongTaskIsNoStall(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	for range 10 {
		f.pass(100 * time.Millisecond)
		f.Heard(f.now, "owner-"+strconv.Itoa(private))
		f.hold()
	}
	f.is.Equal(len(f.stops), 0)
}

// A hold overtakes a start on another connection: its list lacks the run. Taken
// for lost, the task would be started again beside the first run.
func TestListFromBeforeTheStartLosesNothing(t *testing.T) {
	f := newFixture(t)
	c, _ := f.Hold(f.now)
	f.send(f.order(0))
	f.take(f.HoldAnswered(f.now, c, HoldResult{ClockMS: f.clock}))
	f.is.Equal(len(f.ended()), 0)
	f.is.Equal(f.Load(f.now).Running, 1)
}

// The agent that a best-effort job went to is lost after a run has ended here.
// Nobody settles the end any more. Later ends can't be acknowledged behind it,
// the backend server's list fills up to its bound, and runs that end after that
// are missing in it: each would be taken for lost and started again.
func TestEndOfALostOwnerDoesNotBlockTheOthers(t *testing.T) {
	f := newFixture(t)
	f.claim(private+1, 1, 1)
	lost := f.order(0)
	lost.Shard = private + 1
	f.send(lost)
	f.end(lost.Run, job.Done)
	f.hold()
	for i := 0; i < 30; i++ {
		f.pass(100 * time.Millisecond)
		f.Heard(f.now, "owner-"+strconv.Itoa(private))
		f.hold()
	}
	f.send(f.order(1))
	f.end(f.order(1).Run, job.Done)
	f.hold()
	f.Settled(f.order(1).Run, false)
	f.is.Equal(f.hold().Acked, int64(2))
}

// The list of ends is full, so it lacks the end of a run. The run must not be
// taken for lost: it may have ended as done.
func TestFullListSaysNothingOfWhatItLacks(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	c, _ := f.Hold(f.now)
	h := HoldResult{ClockMS: f.clock}
	for i := range maxListedEnds {
		run := job.RunID{Task: job.TaskID{Job: "00000000000000bb", Index: i}, Number: 1}
		h.Ends = append(h.Ends, ListedEnd{Seq: int64(i + 1), Run: run, Kind: job.Done})
	}
	f.got = nil
	f.take(f.HoldAnswered(f.now, c, h))
	for _, e := range f.ended() {
		f.is.True(e.Run != f.order(0).Run)
	}
}

// A newer owner has claimed the shard; an order of the old one arrives late on
// another connection. Started, the task would run beside the new owner's start.
func TestOrderOfAnEarlierOwnerIsDropped(t *testing.T) {
	f := newFixture(t)
	f.is.True(!f.claim(1, 5, 1).Refused)
	f.is.True(!f.claim(1, 6, 1).Refused)
	f.is.True(f.claim(1, 5, 2).Refused) // the old owner's next claim is refused
	o := f.order(0)
	o.Shard, o.Epoch = 1, 5
	fx := f.take(f.Order(f.now, o))
	f.is.Equal(len(fx.Starts)+len(fx.Events), 0)
}

// The host is suspended for longer than an owner may be silent. On its return
// an order that waited in the socket must not start anything: the next owner
// counts on the silence and has started the task elsewhere.
func TestOrderAfterASuspensionIsDropped(t *testing.T) {
	f := newFixture(t)
	f.pass(testBounds.OwnerTimeout)
	fx := f.take(f.Order(f.now, f.order(0)))
	f.is.Equal(len(fx.Starts), 0)
	f.is.True(!f.Heard(f.now, "owner-"+strconv.Itoa(private))) // it has to claim anew
}

// The owner is cut off. Its runs are stopped here in a bounded time, since the
// next owner waits just that long before it starts them elsewhere.
func TestRunsOfASilentOwnerAreStopped(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	for range 12 {
		f.pass(100 * time.Millisecond)
		f.hold()
	}
	f.pass(testBounds.OwnerTimeout - 1200*time.Millisecond - time.Millisecond)
	f.is.Equal(len(f.Tick(f.now).Stops), 0)
	f.pass(time.Millisecond)
	f.is.Equal(len(f.Tick(f.now).Stops), 1)
}

// An entry is killed with best-effort jobs under way. Its clients see their
// connections break, and send the jobs again 1.3 s later to another entry, which
// starts the tasks at once: the first runs must be over by then.
func TestRunsOfALostLinkAreStoppedSooner(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.Unlinked(f.now, "owner-"+strconv.Itoa(private))
	for range 5 {
		f.pass(100 * time.Millisecond)
		f.hold()
	}
	f.is.Equal(len(f.stops), 0) // the owner may be back
	f.pass(100 * time.Millisecond)
	f.take(f.Tick(f.now))
	f.is.Equal(len(f.stops), 1)
	f.is.True(!f.Heard(f.now, "owner-"+strconv.Itoa(private)))
}

// The agent has restarted and finds a run that its earlier life started. It
// does not know what the run takes of the worker, so nothing may start beside
// it. Its owner finds it by the claim and repeats the order.
func TestRunOfAnEarlierLifeIsAdopted(t *testing.T) {
	f := newFixture(t)
	o := f.order(0)
	f.alive[o.Run] = true
	f.hold()
	fx := f.take(f.Order(f.now, f.order(1)))
	f.is.Equal(len(fx.Starts), 0) // its size is not known
	found := f.claim(private, 1, 1)
	f.is.Equal(len(found.Runs), 2)
	fx = f.take(f.Order(f.now, o))
	f.is.Equal(len(fx.Starts), 1) // the order that waited
}

// An earlier life's run of a recorded job has ended. An owner of another shard
// claims first: shown that end, it would have it acknowledged as nobody's, and
// the job's owner would start the task again.
func TestEndIsShownOnlyToTheOwnerOfItsShard(t *testing.T) {
	f := newFixture(t)
	o := f.order(0)
	shard := o.Run.Task.Job.Shard(testShards)
	f.alive[o.Run] = true
	f.hold()
	f.end(o.Run, job.Done)
	f.hold()
	f.is.Equal(len(f.claim((shard+1)%testShards, 1, 1).Runs), 0)
	f.is.Equal(len(f.claim(shard, 1, 1).Runs), 1)
}

// Nobody knows a run that an earlier life started: that life ran its job itself.
// It is stopped before the client's next try starts the task elsewhere, which
// comes 1.8 s after the loss, of which the restart may take the lease's second.
func TestRunThatNobodyKnowsIsStopped(t *testing.T) {
	f := newFixture(t)
	f.alive[f.order(0).Run] = true
	f.hold()
	for range 3 {
		f.pass(100 * time.Millisecond)
		f.Heard(f.now, "owner-"+strconv.Itoa(private))
		f.hold()
	}
	f.is.Equal(len(f.stops), 1)
}

// An earlier life's run has ended before its owner repeats the order. The end
// was told to nobody who knows the job; without a repeat the job would hang.
func TestEndBeforeAdoptionIsTold(t *testing.T) {
	f := newFixture(t)
	o := f.order(0)
	f.alive[o.Run] = true
	f.hold()
	f.end(o.Run, job.Done)
	f.hold()
	f.got = nil
	f.take(f.Order(f.now, o))
	f.is.Equal(len(f.ended()), 1)
	f.is.Equal(f.got[0].Shard, private)
}

// The owner has started the task anew after this end, so it must never count.
// The lease is let run out before anything behind the end is acknowledged.
func TestVoidEndIsAcknowledgedOnlyAfterTheLease(t *testing.T) {
	f := newFixture(t)
	f.claim(recorded, 1, 1)
	o := f.order(0)
	o.Shard = recorded
	f.send(o)
	f.end(o.Run, job.Done)
	f.hold()
	f.Settled(f.order(0).Run, true)
	c := f.hold()
	f.is.Equal(c.Acked, int64(0))
	f.is.Equal(c.Deadline, int64(0)) // the lease is not extended
	f.pass(time.Second)
	f.is.Equal(f.hold().Acked, int64(0))
	f.pass(100 * time.Millisecond)
	f.hold()
	f.is.Equal(f.hold().Acked, int64(1))
}

// A run of a best-effort job has ended, and its owner settles the end with its next
// frame, up to 150 ms later. The backend server answers holds at once while it
// lists an end, so the agent would ask it hundreds of times a second for nothing.
// The end is acknowledged with the next hold, and kept for an owner that links anew.
func TestEndOfABestEffortJobIsAcknowledgedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.end(f.order(0).Run, job.Done)
	f.hold()
	f.is.Equal(len(f.ended()), 1)
	c := f.hold()
	f.is.Equal(c.Acked, int64(1))
	f.is.True(!c.UnackedEnds)
	runs := f.claim(private, 1, 2).Runs
	f.is.Equal(len(runs), 1) // its owner may not have heard of it
	f.is.Equal(runs[0].End, job.Done)
	f.Settled(f.order(0).Run, false)
	f.is.Equal(len(f.claim(private, 1, 3).Runs), 0)
}

// The same with an owner that is gone for good: nothing is left of the end.
func TestAcknowledgedEndOfALostOwnerIsForgotten(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.end(f.order(0).Run, job.Done)
	f.hold()
	f.pass(testBounds.OwnerTimeout)
	f.hold()
	f.is.Equal(len(f.claim(private, 1, 2).Runs), 0)
}

// The end of a recorded job's run waits for its record. While the backend server
// lists it, holds bring nothing new, and the driver has to know.
func TestHoldTellsOfEndsThatWaitForTheirRecord(t *testing.T) {
	f := newFixture(t)
	f.claim(recorded, 1, 1)
	o := f.order(0)
	o.Shard = recorded
	f.send(o)
	f.end(o.Run, job.Done)
	f.hold()
	c := f.hold()
	f.is.Equal(c.Acked, int64(0))
	f.is.True(c.UnackedEnds)
	f.Settled(o.Run, false)
	c = f.hold()
	f.is.Equal(c.Acked, int64(1))
	f.is.True(!c.UnackedEnds)
}

// The backend server can't be reached. Its room is free, and the runs are lost,
// only when the lease has expired on a clock that runs 2 % slow.
func TestUnreachableServerKeepsRoomUntilItsLeaseHasExpired(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.pass(1020 * time.Millisecond)
	f.Heard(f.now, "owner-"+strconv.Itoa(private))
	f.take(f.Tick(f.now))
	f.is.Equal(len(f.ended()), 0)
	f.pass(100 * time.Millisecond)
	f.take(f.Tick(f.now))
	f.is.Equal(f.ended()[0].End, job.Lapsed)
}

// The backend server has crashed and refuses connections. No hold reaches it, so
// its lease runs out; taken for extended with each try, its tasks would be at
// work until a new instance reports, and their jobs would wait for that.
func TestCrashedServerLosesItsRunsWithItsLease(t *testing.T) {
	for _, why := range []HoldFailure{NotSent, NoAnswer} {
		f := newFixture(t)
		f.send(f.order(0))
		f.hold()
		for f.now < time.Hour+1800*time.Millisecond {
			f.pass(50 * time.Millisecond)
			f.Heard(f.now, "owner-"+strconv.Itoa(private))
			c, _ := f.Hold(f.now)
			f.take(f.HoldFailed(f.now, c, why))
			if why == NotSent && f.now > time.Hour+1200*time.Millisecond {
				f.is.Equal(len(f.ended()), 1)
			}
		}
		f.is.Equal(f.ended()[0].End, job.Lapsed)
	}
}

func TestDrainingServerGetsNothing(t *testing.T) {
	f := newFixture(t)
	for i := range 3 {
		f.send(f.order(i))
	}
	f.report("i-1", 2, true)
	f.is.Equal(f.ended()[0].Reason, "draining") // the order that waited goes back
	fx := f.take(f.Order(f.now, f.order(3)))
	f.is.Equal(len(fx.Starts), 0)
	f.report("i-1", 1, false) // a report that was held up on its way
	f.is.True(!f.Load(f.now).Accepts)
}

// All hosts had no power. An agent answers no claim before it has seen the
// lists, and nobody is served until then, so its first look must not wait for
// an end that may not come.
func TestFirstLookWaitsForNothing(t *testing.T) {
	f := newFixture(t)
	f.is.True(!f.Ready(0))
	c := f.hold()
	f.is.True(c.First)
	f.is.True(f.Ready(0))
	f.is.True(!f.hold().First)
}

// The agent stops as planned. What waits goes back and nothing new is taken,
// also after the backend server's next report; what runs goes on to its end.
func TestStoppingAgentTakesNothingNew(t *testing.T) {
	f := newFixture(t)
	for i := range 3 {
		f.send(f.order(i))
	}
	fx, empty := f.Drain()
	f.take(fx)
	f.is.True(!empty)
	f.is.Equal(f.ended()[0].Reason, "agent_draining")
	f.report("i-1", 2, false)
	f.take(f.Order(f.now, f.order(3)))
	f.is.Equal(f.ended()[1].Reason, "agent_draining")
	f.is.Equal(len(f.alive), 2)
	for i := range 2 {
		f.end(f.order(i).Run, job.Done)
		f.hold()
		f.Settled(f.order(i).Run, false)
	}
	_, empty = f.Drain()
	f.is.True(empty)
}

// A backend server has crashed and a new instance reports. The old one's silence
// says nothing of it: it would stand idle until the next hold, which waits for an
// end that can't come, has returned.
func TestNewInstanceGetsWorkAtOnce(t *testing.T) {
	f := newFixture(t)
	c, _ := f.Hold(f.now)
	f.take(f.HoldFailed(f.now, c, NotSent))
	f.is.True(!f.Load(f.now).Accepts)
	f.report("i-2", 1, false)
	f.is.True(f.Load(f.now).Accepts)
	f.is.Equal(len(f.send(f.order(0)).Starts), 1)
}

func TestNewInstanceEndsAllRuns(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.report("i-2", 1, false)
	f.is.Equal(f.ended()[0].End, job.Lapsed)
	f.is.Equal(f.Load(f.now).Running, 0)
}

// A backend server fails all that it starts. It looks free, and would fail the
// last attempt of one job after another.
func TestServerThatFailsEverythingIsSuspended(t *testing.T) {
	f := newFixture(t)
	for i := range maxConsecutiveFailures {
		f.send(f.order(i))
		f.end(f.order(i).Run, job.FailedRun)
		f.hold()
	}
	f.is.True(!f.Load(f.now).Accepts)
	f.pass(minSuspension)
	f.Heard(f.now, "owner-"+strconv.Itoa(private))
	f.take(f.Tick(f.now))
	f.is.True(f.Load(f.now).Accepts) // it is tried again
}

// Tasks that may not be repeated take far longer than expected. The caller's
// job must not fail because the agent has stopped them: they are left to end.
func TestOverdueRunThatMayNotBeRepeatedGoesOn(t *testing.T) {
	f := newFixture(t)
	f.report("i-1", 2, false)
	for i := range 6 {
		o := f.order(i)
		o.Once, o.Estimate, o.Demand.CPUMillis = true, time.Millisecond, 100
		f.send(o)
	}
	for range 20 {
		f.pass(50 * time.Millisecond)
		f.hold()
	}
	f.is.Equal(len(f.stops), 0)
	f.is.Equal(len(f.ended()), 0)
}

// A backend server dies with a task that may not be repeated, and the owner that
// is told of it dies before it has written that down. The next owner asks the
// agent: it must find the loss, or it would start the task a second time.
func TestLossOfARunThatMayNotBeRepeatedIsKept(t *testing.T) {
	f := newFixture(t)
	f.claim(1, 5, 1)
	once, again := f.order(0), f.order(1)
	once.Shard, once.Epoch, once.Once = 1, 5, true
	again.Shard, again.Epoch = 1, 5
	f.send(once)
	f.send(again)
	f.report("i-2", 1, false)
	f.is.Equal(len(f.ended()), 2)
	got := f.claim(1, 6, 1)
	f.is.Equal(len(got.Runs), 1)
	f.is.Equal(got.Runs[0].Run, once.Run)
	f.is.Equal(got.Runs[0].End, job.Lapsed)
	f.Settled(once.Run, false)
	f.is.Equal(len(f.claim(1, 7, 1).Runs), 0) // it is written down now
}

// The host was suspended for longer than the lease. Right after it an order comes
// in and its run ends before the backend server's lists were seen again. That
// end is news: taken for one of the runs that lapsed, nobody would ever hear of
// it, and its job would wait for ever.
func TestRunStartedAfterTheLeaseHasRunOutIsTold(t *testing.T) {
	f := newFixture(t)
	f.claim(1, 5, 1)
	first, second := f.order(0), f.order(1)
	first.Shard, first.Epoch = 1, 5
	second.Shard, second.Epoch = 1, 5
	f.send(first)
	f.pass(1200 * time.Millisecond)
	f.take(f.Tick(f.now))
	f.is.Equal(f.ended()[0].Run, first.Run)
	f.end(first.Run, job.Lapsed)
	f.claim(1, 5, 2)
	second.Session = 2
	f.send(second)
	f.is.True(f.alive[second.Run])
	f.end(second.Run, job.Done)
	f.hold()
	f.is.Equal(len(f.ended()), 2)
	f.is.Equal(f.ended()[1].Run, second.Run)
	f.is.Equal(f.hold().Acked, int64(1)) // the second awaits its owner
}

// An owner makes its link anew, is told of a run, and repeats the order so that
// the agent knows what the run takes. Meanwhile the backend server was replaced:
// the owner is told that the run is lost and starts it elsewhere. The order that
// comes in now must not start it here as well.
func TestRepeatedOrderStartsNothing(t *testing.T) {
	f := newFixture(t)
	o := f.order(0)
	f.send(o)
	f.report("i-2", 1, false)
	f.is.Equal(f.ended()[0].End, job.Lapsed)
	o.Repeat = true
	f.is.Equal(len(f.send(o).Starts), 0)
	f.is.Equal(len(f.claim(private, 1, 2).Runs), 0)
}

// An owner gives a shard up while its link is down, so that the agent doesn't hear of it,
// and nobody else claims the shard there. Each frame of the owner's next link was taken
// for one of a silent owner: the link ended with its first frame, for a minute, and
// nothing of the owner's other shards was placed here.
func TestShardGivenUpUnheardEndsNoLink(t *testing.T) {
	f := newFixture(t)
	own := func(shard int, session int64) Claim {
		return Claim{Shard: shard, Epoch: 1, Session: session, Owner: "owner"}
	}
	f.Claim(f.now, own(1, 1))
	f.Claim(f.now, own(2, 1))
	f.pass(2 * testBounds.OwnerTimeout)
	f.is.True(!f.Heard(f.now, "owner")) // what a healed link delivers late revives nothing

	f.Claim(f.now, own(1, 2)) // it has shard 2 no more
	for range 20 {
		f.is.True(f.Heard(f.now, "owner"))
		f.pass(100 * time.Millisecond)
	}
}
