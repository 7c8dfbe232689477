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
	// bestEffortShard is the number of a shard for best-effort jobs.
	bestEffortShard = testShards + 7
)

var testBounds = Bounds{Lease: time.Second, OwnerTimeout: 1300 * time.Millisecond, ReconnectTimeout: 600 * time.Millisecond, AdoptionTimeout: 300 * time.Millisecond, Shards: testShards}

// recordedShard is the number of a shard whose jobs are recorded.
const recordedShard = 0

// fixture is a worker whose backend server has the capacity for two tasks. It collects the
// worker's effects.
type fixture struct {
	*Worker
	is     *is.I
	now    time.Duration
	clock  int64
	ends   []ListedEnd
	active map[job.RunID]bool
	events []Event
	stops  []StopCall
	// speed is the speed in orders.
	speed float64
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{Worker: New(testBounds), is: is.New(t), now: time.Hour, clock: 5000, active: make(map[job.RunID]bool)}
	f.report("i-1", 1, false)
	f.claim(bestEffortShard, 1, 1)
	return f
}

func (f *fixture) report(instance string, seq int64, draining bool) {
	f.collect(f.Report(f.now, Server{
		Instance: job.Instance{ID: instance}, Service: "desk", Labels: []string{"a", "r1"},
		Capacity: job.Demand{CPUMillis: 3200, MemoryMB: 1000}, Draining: draining, Seq: seq,
	}, f.clock))
}

func (f *fixture) claim(shard int, epoch, session int64) Claimed {
	return f.Claim(f.now, Claim{Shard: shard, Epoch: epoch, Session: session, Owner: "owner-" + strconv.Itoa(shard)})
}

// advance advances the local clock and the backend server's clock.
func (f *fixture) advance(d time.Duration) {
	f.now += d
	f.clock += d.Milliseconds()
}

// collect records effects of the worker and returns them.
func (f *fixture) collect(fx Effects) Effects {
	f.events = append(f.events, fx.Events...)
	f.stops = append(f.stops, fx.Stops...)
	return fx
}

func (f *fixture) order(number int) Order {
	return Order{
		Shard: bestEffortShard, Epoch: 1, Session: 1, Service: "desk", Demand: job.Demand{CPUMillis: 1600, MemoryMB: 64},
		Estimate: 100 * time.Millisecond, Due: f.now + time.Second, Speed: f.speed,
		Run: job.RunID{Task: job.TaskID{Job: "00000000000000aa", Index: number}, Number: 1},
	}
}

// send delivers an order and confirms the starts that result from it.
func (f *fixture) send(o Order) Effects {
	fx := f.collect(f.Order(f.now, o))
	f.confirmStarts(fx)
	return fx
}

func (f *fixture) endRun(run job.RunID, kind job.EndKind) {
	delete(f.active, run)
	f.ends = append(f.ends, ListedEnd{Seq: int64(len(f.ends)) + 1, Run: run, Kind: kind})
}

// hold makes a hold call, answers it with the server's lists, and returns the call.
func (f *fixture) hold() HoldCall {
	c, ok := f.Hold(f.now)
	f.is.True(ok)
	h := HoldResult{ClockMS: f.clock}
	for run := range f.active {
		h.Active = append(h.Active, ListedRun{Run: run})
	}
	for _, e := range f.ends {
		if e.Seq > c.Acked {
			h.Ends = append(h.Ends, e)
		}
	}
	f.confirmStarts(f.collect(f.HoldAnswered(f.now, c, h)))
	return c
}

// confirmStarts makes the backend server carry out the starts and answer them.
func (f *fixture) confirmStarts(fx Effects) {
	for _, s := range fx.Starts {
		f.active[s.Run] = true
		f.collect(f.StartAnswered(f.now, s.Instance, s.Run, StartOK, ""))
	}
}

// ended returns the ends that were reported to owners.
func (f *fixture) ended() []RunState {
	var out []RunState
	for _, e := range f.events {
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
	f.is.Equal(len(f.active), 2) // the third order waits
	f.is.Equal(f.Load(f.now).Waiting, 1)
	f.endRun(f.order(0).Run, job.Done)
	f.is.Equal(f.Load(f.now).Free.CPUMillis, int64(0)) // capacity is free only once the end is listed
	c, _ := f.Hold(f.now)
	fx := f.HoldAnswered(f.now, c, HoldResult{ClockMS: f.clock, Active: []ListedRun{{Run: f.order(1).Run}}, Ends: f.ends})
	f.is.Equal(len(fx.Starts), 1)
}

// A worker is full, and an order with too little time to go elsewhere waits until it is late,
// while orders that can still meet their deadline keep arriving. Queued behind all of them, the
// late order would wait for seconds, and the client of its job, whose other tasks are done,
// would leave without an answer.
func TestLateOrderIsNotStarved(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.send(f.order(1))
	late := f.order(2)
	late.Due = f.now + late.Estimate + returnMargin
	f.send(late) // waits
	for n := 3; n < 8; n++ {
		f.advance(100 * time.Millisecond)
		f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))
		f.send(f.order(n)) // a second before its deadline
	}
	f.endRun(f.order(0).Run, job.Done)
	c, _ := f.Hold(f.now)
	fx := f.collect(f.HoldAnswered(f.now, c, HoldResult{ClockMS: f.clock, Active: []ListedRun{{Run: f.order(1).Run}}, Ends: f.ends}))
	f.is.Equal(len(fx.Starts), 1)
	f.is.Equal(fx.Starts[0].Run, late.Run)
}

// Two owners see the same free capacity and send their orders at the same time. The second
// order would wait until a task ends and be late although other workers have free capacity, so
// it is returned to its owner at once. An order that can wait that long stays.
func TestOrderThatWouldBeLateIsReturned(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.send(f.order(1))
	short := f.order(2)
	short.Due = f.now + short.Estimate + 2*returnMargin
	fx := f.send(short)
	f.is.Equal(len(fx.Events), 1)
	f.is.Equal(fx.Events[0].State.End, job.NeverRan)
	f.is.Equal(fx.Events[0].State.Reason, ReasonNoRoom)
	withSlack := f.order(3)
	withSlack.Due = f.now + withSlack.Estimate + time.Minute
	f.is.Equal(len(f.send(withSlack).Events), 0)
	f.is.Equal(f.Load(f.now).Waiting, 1)
}

// A start gets no answer and is carried out two seconds later. The worker must keep the
// capacity reserved, and the owner must not start the task elsewhere, until the run is barred
// here. Capacity freed at the timeout would let the late start overcommit the backend server,
// and a task started elsewhere would run twice.
func TestUnansweredStartKeepsItsCapacityUntilItIsBarred(t *testing.T) {
	f := newFixture(t)
	first := f.order(0)
	fx := f.collect(f.Order(f.now, first))
	f.is.Equal(len(fx.Starts), 1)
	f.collect(f.StartAnswered(f.now, job.Instance{ID: "i-1"}, first.Run, StartUnknown, "time-out"))
	f.send(f.order(1))
	f.send(f.order(2))
	f.is.Equal(f.Load(f.now).Waiting, 1) // the capacity of the first run is still reserved
	f.hold()
	f.is.Equal(len(f.stops), 1)   // the run is not listed, so a stop bars it permanently
	f.is.Equal(len(f.ended()), 0) // nothing is certain yet
	f.collect(f.StopAnswered(f.now, job.Instance{ID: "i-1"}, first.Run, true))
	f.hold()
	f.is.Equal(f.ended()[0].End, job.NeverRan)
	f.is.Equal(f.Load(f.now).Waiting, 0)
}

// Neither a start nor the stop that bars it is answered. The start ends when its deadline
// passes on the backend server's own clock, since the server refuses it from then on.
func TestUnansweredStartIsOverAfterItsDeadline(t *testing.T) {
	f := newFixture(t)
	o := f.order(0)
	fx := f.Order(f.now, o)
	f.collect(f.StartAnswered(f.now, job.Instance{ID: "i-1"}, o.Run, StartUnknown, "time-out"))
	f.hold()
	f.collect(f.StopAnswered(f.now, job.Instance{ID: "i-1"}, o.Run, false))
	f.clock = fx.Starts[0].Deadline
	f.hold()
	f.is.Equal(len(f.ended()), 0)
	f.clock++
	f.hold()
	f.is.Equal(f.ended()[0].End, job.NeverRan)
}

// The answer to a start is lost, but the run is active. The next list shows it, so it must not
// be stopped: its work would be lost.
func TestLostAnswerOfAStartStopsNoRun(t *testing.T) {
	f := newFixture(t)
	o := f.order(0)
	f.collect(f.Order(f.now, o))
	f.collect(f.StartAnswered(f.now, job.Instance{ID: "i-1"}, o.Run, StartUnknown, "time-out"))
	f.active[o.Run] = true
	f.hold()
	f.is.Equal(len(f.stops), 0)
	f.is.Equal(f.Load(f.now).Running, 1)
}

// Three answers in ten are lost for some seconds, so three in a row are lost about once a
// second on each server. A server that lost its waiting orders for that would be idle, and the
// jobs of the returned orders late. The server keeps its orders, and holds follow in quick
// succession, so that what a lost answer would have reported is known soon.
func TestLostAnswersKeepWaitingOrders(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.send(f.order(1))
	f.send(f.order(2)) // waits
	f.is.True(!f.hold().Lossy)
	for range 3 {
		c, ok := f.Hold(f.now)
		f.is.True(ok)
		f.collect(f.HoldFailed(f.now, c, NoAnswer))
		f.advance(70 * time.Millisecond)
	}
	f.is.Equal(len(f.ended()), 0)
	f.is.True(f.Load(f.now).Accepts)
	f.is.True(f.hold().Lossy)
	f.advance(lossyPeriod)
	f.is.True(!f.hold().Lossy)
}

// The backend server does not answer. Orders that have not been sent to it are returned at once
// and no more are accepted, since their jobs would wait for the lease to expire.
func TestUnresponsiveServerReturnsWaitingOrders(t *testing.T) {
	f := newFixture(t)
	for i := range 3 {
		f.send(f.order(i))
	}
	for range maxMissedHolds {
		f.is.Equal(len(f.ended()), 0) // fewer lost answers have no effect
		c, _ := f.Hold(f.now)
		f.collect(f.HoldFailed(f.now, c, NoAnswer))
	}
	f.is.Equal(f.ended()[0].Reason, "server_silent")
	f.is.True(!f.Load(f.now).Accepts)
	f.hold()
	f.is.True(f.Load(f.now).Accepts)
}

// Tasks make no progress on a server that still answers and lists them as active. Every job
// with a task there is lost unless the runs are stopped and started again elsewhere.
func TestStalledServerIsSuspended(t *testing.T) {
	f := newFixture(t)
	for i := range 5 {
		o := f.order(i)
		o.Demand.CPUMillis = 800
		f.send(o)
	}
	f.advance(170 * time.Millisecond)
	f.hold()
	f.is.True(f.Load(f.now).Accepts) // four tasks of 100 ms, each 70 % over its estimate
	f.advance(10 * time.Millisecond)
	f.hold()
	f.is.Equal(len(f.stops), 4)
	f.is.Equal(f.ended()[0].Reason, "stalled") // the waiting order is returned
	f.is.True(!f.Load(f.now).Accepts)
}

// A server was slow for a while. Owners prefer faster servers, so a slowdown that was
// remembered forever would leave the server idle beside full ones.
func TestSlowServerIsForgotten(t *testing.T) {
	f := newFixture(t)
	for i := range 8 {
		f.send(f.order(i))
		f.advance(300 * time.Millisecond)
		f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))
		f.endRun(f.order(i).Run, job.Done)
		f.hold()
		f.Settled(f.order(i).Run, false)
	}
	f.is.True(f.Load(f.now).Slowdown > 1.5)
	f.advance(3 * slowdownDecay)
	f.is.Equal(f.Load(f.now).Slowdown, 1.0)
}

// On a busy host the ends of very short tasks are detected late. That delay must not count as a
// slowdown of the server.
func TestLateDetectionOfShortTasksIsNoSlowdown(t *testing.T) {
	f := newFixture(t)
	for i := range 8 {
		o := f.order(i)
		o.Estimate = 5 * time.Millisecond
		f.send(o)
		f.advance(60 * time.Millisecond)
		f.endRun(o.Run, job.Done)
		f.hold()
		f.Settled(o.Run, false)
	}
	f.is.Equal(f.Load(f.now).Slowdown, 1.0)
}

// One task takes far longer than its client estimated. This is the task's own run time: stopped
// and started elsewhere, it would take as long again.
func TestOneLongTaskIsNoStall(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	for range 10 {
		f.advance(100 * time.Millisecond)
		f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))
		f.hold()
	}
	f.is.Equal(len(f.stops), 0)
}

// A hold overtakes a start on another connection, so its list lacks the run. The run must not
// be taken for lost, or the task would be started again beside it.
func TestListFromBeforeTheStartLosesNothing(t *testing.T) {
	f := newFixture(t)
	c, _ := f.Hold(f.now)
	f.send(f.order(0))
	f.collect(f.HoldAnswered(f.now, c, HoldResult{ClockMS: f.clock}))
	f.is.Equal(len(f.ended()), 0)
	f.is.Equal(f.Load(f.now).Running, 1)
}

// The owner of a best-effort job is lost after a run has ended here, so no owner settles the
// end. Later ends could not be acknowledged behind it, and the backend server's list would fill
// up to its limit. Runs that ended after that would be missing from the list, taken for lost
// and started again.
func TestEndOfALostOwnerDoesNotBlockTheOthers(t *testing.T) {
	f := newFixture(t)
	f.claim(bestEffortShard+1, 1, 1)
	lost := f.order(0)
	lost.Shard = bestEffortShard + 1
	f.send(lost)
	f.endRun(lost.Run, job.Done)
	f.hold()
	for i := 0; i < 30; i++ {
		f.advance(100 * time.Millisecond)
		f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))
		f.hold()
	}
	f.send(f.order(1))
	f.endRun(f.order(1).Run, job.Done)
	f.hold()
	f.Settled(f.order(1).Run, false)
	f.is.Equal(f.hold().Acked, int64(2))
}

// The list of ends is full and lacks the end of a run. The run must not be taken for lost: it
// may have ended as done.
func TestRunMissingFromFullListIsNotLost(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	c, _ := f.Hold(f.now)
	h := HoldResult{ClockMS: f.clock}
	for i := range maxListedEnds {
		run := job.RunID{Task: job.TaskID{Job: "00000000000000bb", Index: i}, Number: 1}
		h.Ends = append(h.Ends, ListedEnd{Seq: int64(i + 1), Run: run, Kind: job.Done})
	}
	f.events = nil
	f.collect(f.HoldAnswered(f.now, c, h))
	for _, e := range f.ended() {
		f.is.True(e.Run != f.order(0).Run)
	}
}

// A newer owner has claimed the shard, and an order of the old one arrives late on another
// connection. Started here, the task would run beside the new owner's run of it.
func TestOrderOfAnEarlierOwnerIsDropped(t *testing.T) {
	f := newFixture(t)
	f.is.True(!f.claim(1, 5, 1).Refused)
	f.is.True(!f.claim(1, 6, 1).Refused)
	f.is.True(f.claim(1, 5, 2).Refused) // a later claim of the old owner is refused
	o := f.order(0)
	o.Shard, o.Epoch = 1, 5
	fx := f.collect(f.Order(f.now, o))
	f.is.Equal(len(fx.Starts)+len(fx.Events), 0)
}

// The host is suspended for longer than an owner may be silent. After the suspension an order
// that waited in the socket must not start anything: the next owner relies on the owner timeout
// and has started the task elsewhere.
func TestOrderAfterASuspensionIsDropped(t *testing.T) {
	f := newFixture(t)
	f.advance(testBounds.OwnerTimeout)
	fx := f.collect(f.Order(f.now, f.order(0)))
	f.is.Equal(len(fx.Starts), 0)
	f.is.True(!f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))) // the owner has to claim again
}

// The owner is cut off. Its runs are stopped here within a time limit, since the next owner
// waits exactly that long before it starts their tasks elsewhere.
func TestRunsOfASilentOwnerAreStopped(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	for range 12 {
		f.advance(100 * time.Millisecond)
		f.hold()
	}
	f.advance(testBounds.OwnerTimeout - 1200*time.Millisecond - time.Millisecond)
	f.is.Equal(len(f.Tick(f.now).Stops), 0)
	f.advance(time.Millisecond)
	f.is.Equal(len(f.Tick(f.now).Stops), 1)
}

// An entry is killed while best-effort jobs are active. Its clients see their connections break
// and submit the jobs again to another entry 1.3 s later, which starts the tasks at once. The
// first runs must be over by then.
func TestRunsOfALostLinkAreStoppedSooner(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.LinkLost(f.now, "owner-"+strconv.Itoa(bestEffortShard))
	for range 5 {
		f.advance(100 * time.Millisecond)
		f.hold()
	}
	f.is.Equal(len(f.stops), 0) // the owner may reconnect
	f.advance(100 * time.Millisecond)
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.stops), 1)
	f.is.True(!f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard)))
}

// The agent has restarted and finds a run from before the restart. It does not know how much
// capacity the run takes, so nothing may start beside it. The run's owner learns of it through
// its claim and repeats the order.
func TestRunOfAnEarlierIncarnationIsAdopted(t *testing.T) {
	f := newFixture(t)
	o := f.order(0)
	f.active[o.Run] = true
	f.hold()
	fx := f.collect(f.Order(f.now, f.order(1)))
	f.is.Equal(len(fx.Starts), 0) // the demand of the found run is unknown
	found := f.claim(bestEffortShard, 1, 1)
	f.is.Equal(len(found.Runs), 2)
	fx = f.collect(f.Order(f.now, o))
	f.is.Equal(len(fx.Starts), 1) // the waiting order starts
}

// A run from before the agent's restart has ended, and its job is recorded. If the owner of
// another shard claimed first and were told of that end, it would settle it as unknown and have
// it acknowledged, and the job's owner would start the task again.
func TestEndIsShownOnlyToTheOwnerOfItsShard(t *testing.T) {
	f := newFixture(t)
	o := f.order(0)
	shard := o.Run.Task.Job.Shard(testShards)
	f.active[o.Run] = true
	f.hold()
	f.endRun(o.Run, job.Done)
	f.hold()
	f.is.Equal(len(f.claim((shard+1)%testShards, 1, 1).Runs), 0)
	f.is.Equal(len(f.claim(shard, 1, 1).Runs), 1)
}

// No owner knows a run from before the agent's restart, because the previous incarnation was
// itself the owner of its job. The run is stopped before the client's retry starts the task
// elsewhere, 1.8 s after the loss, of which the restart may take up to the second of the lease.
func TestRunThatNobodyKnowsIsStopped(t *testing.T) {
	f := newFixture(t)
	f.active[f.order(0).Run] = true
	f.hold()
	for range 3 {
		f.advance(100 * time.Millisecond)
		f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))
		f.hold()
	}
	f.is.Equal(len(f.stops), 1)
}

// A run from before the agent's restart ends before its owner repeats the order. The end was
// reported to no owner that knows the job, so it must be reported again, or the job never ends.
func TestEndBeforeAdoptionIsReported(t *testing.T) {
	f := newFixture(t)
	o := f.order(0)
	f.active[o.Run] = true
	f.hold()
	f.endRun(o.Run, job.Done)
	f.hold()
	f.events = nil
	f.collect(f.Order(f.now, o))
	f.is.Equal(len(f.ended()), 1)
	f.is.Equal(f.events[0].Shard, bestEffortShard)
}

// The owner has started the task again after this end, so the end must never count. The lease
// must expire before this end or a later one is acknowledged.
func TestVoidEndIsAcknowledgedOnlyAfterTheLease(t *testing.T) {
	f := newFixture(t)
	f.claim(recordedShard, 1, 1)
	o := f.order(0)
	o.Shard = recordedShard
	f.send(o)
	f.endRun(o.Run, job.Done)
	f.hold()
	f.Settled(f.order(0).Run, true)
	c := f.hold()
	f.is.Equal(c.Acked, int64(0))
	f.is.Equal(c.Deadline, int64(0)) // the lease is not extended
	f.advance(time.Second)
	f.is.Equal(f.hold().Acked, int64(0))
	f.advance(100 * time.Millisecond)
	f.hold()
	f.is.Equal(f.hold().Acked, int64(1))
}

// A run of a best-effort job has ended, and its owner settles the end with its next frame, up
// to 150 ms later. The backend server answers holds at once while it lists an end, so the agent
// would call it hundreds of times a second without need. The end is acknowledged with the next
// hold, and kept for an owner that reconnects.
func TestEndOfABestEffortJobIsAcknowledgedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.endRun(f.order(0).Run, job.Done)
	f.hold()
	f.is.Equal(len(f.ended()), 1)
	c := f.hold()
	f.is.Equal(c.Acked, int64(1))
	f.is.True(!c.UnackedEnds)
	runs := f.claim(bestEffortShard, 1, 2).Runs
	f.is.Equal(len(runs), 1) // its owner may not know of it
	f.is.Equal(runs[0].End, job.Done)
	f.Settled(f.order(0).Run, false)
	f.is.Equal(len(f.claim(bestEffortShard, 1, 3).Runs), 0)
}

// As above, but the owner does not return. Its end must not be kept forever.
func TestAcknowledgedEndOfALostOwnerIsForgotten(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.endRun(f.order(0).Run, job.Done)
	f.hold()
	f.advance(testBounds.OwnerTimeout)
	f.hold()
	f.is.Equal(len(f.claim(bestEffortShard, 1, 2).Runs), 0)
}

// The end of a recorded job's run waits for the job's record. While the backend server lists
// that end, holds return at once without a new end, which HoldCall.UnackedEnds tells the driver.
func TestHoldReportsEndsThatWaitForTheirRecord(t *testing.T) {
	f := newFixture(t)
	f.claim(recordedShard, 1, 1)
	o := f.order(0)
	o.Shard = recordedShard
	f.send(o)
	f.endRun(o.Run, job.Done)
	f.hold()
	c := f.hold()
	f.is.Equal(c.Acked, int64(0))
	f.is.True(c.UnackedEnds)
	f.Settled(o.Run, false)
	c = f.hold()
	f.is.Equal(c.Acked, int64(1))
	f.is.True(!c.UnackedEnds)
}

// The backend server is unreachable. Its capacity is free, and its runs are lost, only when the
// lease has expired on a clock that runs 2 % slow.
func TestUnreachableServerKeepsCapacityUntilItsLeaseHasExpired(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.advance(1020 * time.Millisecond)
	f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.ended()), 0)
	f.advance(100 * time.Millisecond)
	f.collect(f.Tick(f.now))
	f.is.Equal(f.ended()[0].End, job.Lapsed)
}

// The backend server has crashed and refuses connections. No hold reaches it, so its lease
// expires. If each attempt counted as an extension, its runs would seem active until a new
// instance reports, and their jobs would wait for that.
func TestCrashedServerLosesItsRunsWithItsLease(t *testing.T) {
	for _, why := range []HoldFailure{NotSent, NoAnswer} {
		f := newFixture(t)
		f.send(f.order(0))
		f.hold()
		for f.now < time.Hour+1800*time.Millisecond {
			f.advance(50 * time.Millisecond)
			f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))
			c, _ := f.Hold(f.now)
			f.collect(f.HoldFailed(f.now, c, why))
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
	f.is.Equal(f.ended()[0].Reason, "draining") // the waiting order is returned
	fx := f.collect(f.Order(f.now, f.order(3)))
	f.is.Equal(len(fx.Starts), 0)
	f.report("i-1", 1, false) // a delayed report
	f.is.True(!f.Load(f.now).Accepts)
}

// All hosts lost power. An agent answers no claim before it has seen its server's lists, and no
// job is served until then, so its first hold must not wait for an end that may never come.
func TestFirstHoldDoesNotWait(t *testing.T) {
	f := newFixture(t)
	f.is.True(!f.Ready(f.now, 0))
	c := f.hold()
	f.is.True(c.First)
	f.is.True(f.Ready(f.now, 0))
	f.is.True(!f.hold().First)
}

// An agent restarts, and the answers of its server are lost while the server carries the calls out. Its
// holds extend the lease of the runs that it doesn't know. If it answered claims before that lease has
// expired, their owner would take the runs for lost and start their tasks elsewhere beside them.
func TestRestartedAgentWaitsForTheLeaseThatItExtends(t *testing.T) {
	f := newFixture(t)
	began := f.now
	for f.now < began+f.leaseDuration()+renewalCutoff-100*time.Millisecond {
		f.is.True(!f.Ready(f.now, f.now-began))
		f.advance(50 * time.Millisecond)
		c, _ := f.Hold(f.now)
		f.collect(f.HoldFailed(f.now, c, NoAnswer))
	}
	f.advance(200 * time.Millisecond)
	f.is.True(f.Ready(f.now, f.now-began))
}

// The agent stops as planned. Waiting orders are returned and no new ones are accepted, not
// even after the backend server's next report. Running tasks go on to their end.
func TestDrainingAgentAcceptsNoOrders(t *testing.T) {
	f := newFixture(t)
	for i := range 3 {
		f.send(f.order(i))
	}
	fx, empty := f.Drain()
	f.collect(fx)
	f.is.True(!empty)
	f.is.Equal(f.ended()[0].Reason, "agent_draining")
	f.report("i-1", 2, false)
	f.collect(f.Order(f.now, f.order(3)))
	f.is.Equal(f.ended()[1].Reason, "agent_draining")
	f.is.Equal(len(f.active), 2)
	for i := range 2 {
		f.endRun(f.order(i).Run, job.Done)
		f.hold()
		f.Settled(f.order(i).Run, false)
	}
	_, empty = f.Drain()
	f.is.True(empty)
}

// A backend server has crashed and a new instance reports. The unanswered holds of the old
// instance must not count against the new one, which would be idle until the next hold has
// returned; that hold waits for an end that cannot come.
func TestNewInstanceGetsWorkAtOnce(t *testing.T) {
	f := newFixture(t)
	c, _ := f.Hold(f.now)
	f.collect(f.HoldFailed(f.now, c, NotSent))
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

// A backend server fails every task that it starts. It looks free and would fail the last
// attempt of one job after another.
func TestServerThatFailsEverythingIsSuspended(t *testing.T) {
	f := newFixture(t)
	for i := range maxConsecutiveFailures {
		f.send(f.order(i))
		f.endRun(f.order(i).Run, job.FailedRun)
		f.hold()
	}
	f.is.True(!f.Load(f.now).Accepts)
	f.advance(minSuspension)
	f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))
	f.collect(f.Tick(f.now))
	f.is.True(f.Load(f.now).Accepts) // the server is tried again
}

// Tasks that may not be repeated take far longer than estimated. If the agent stopped them, the
// caller's job would fail, so they are left to end.
func TestOverdueRunThatMayNotBeRepeatedGoesOn(t *testing.T) {
	f := newFixture(t)
	f.report("i-1", 2, false)
	for i := range 6 {
		o := f.order(i)
		o.AtMostOnce, o.Estimate, o.Demand.CPUMillis = true, time.Millisecond, 100
		f.send(o)
	}
	for range 20 {
		f.advance(50 * time.Millisecond)
		f.hold()
	}
	f.is.Equal(len(f.stops), 0)
	f.is.Equal(len(f.ended()), 0)
}

// A backend server dies with a task that may not be repeated, and the owner that is told of the
// loss dies before it has recorded it. The next owner's claim must return the loss, or that
// owner would start the task a second time.
func TestLossOfARunThatMayNotBeRepeatedIsKept(t *testing.T) {
	f := newFixture(t)
	f.claim(1, 5, 1)
	atMostOnce, again := f.order(0), f.order(1)
	atMostOnce.Shard, atMostOnce.Epoch, atMostOnce.AtMostOnce = 1, 5, true
	again.Shard, again.Epoch = 1, 5
	f.send(atMostOnce)
	f.send(again)
	f.report("i-2", 1, false)
	f.is.Equal(len(f.ended()), 2)
	got := f.claim(1, 6, 1)
	f.is.Equal(len(got.Runs), 1)
	f.is.Equal(got.Runs[0].Run, atMostOnce.Run)
	f.is.Equal(got.Runs[0].End, job.Lapsed)
	f.Settled(atMostOnce.Run, false)
	f.is.Equal(len(f.claim(1, 7, 1).Runs), 0) // the loss is recorded now
}

// The host was suspended for longer than the lease. Right afterwards an order arrives, and its
// run ends before the backend server's lists were seen again. That end must be reported: taken
// for an end of a run that lapsed, it would reach no owner, and its job would never end.
func TestRunStartedAfterTheLeaseHasRunOutIsReported(t *testing.T) {
	f := newFixture(t)
	f.claim(1, 5, 1)
	first, second := f.order(0), f.order(1)
	first.Shard, first.Epoch = 1, 5
	second.Shard, second.Epoch = 1, 5
	f.send(first)
	f.advance(1200 * time.Millisecond)
	f.collect(f.Tick(f.now))
	f.is.Equal(f.ended()[0].Run, first.Run)
	f.endRun(first.Run, job.Lapsed)
	f.claim(1, 5, 2)
	second.Session = 2
	f.send(second)
	f.is.True(f.active[second.Run])
	f.endRun(second.Run, job.Done)
	f.hold()
	f.is.Equal(len(f.ended()), 2)
	f.is.Equal(f.ended()[1].Run, second.Run)
	f.is.Equal(f.hold().Acked, int64(1)) // the second end waits for its owner
}

// An owner reconnects, is told of a run, and repeats the order so that the agent knows the
// run's demand. Meanwhile the backend server was replaced: the owner is told that the run is
// lost and starts the task elsewhere. The repeated order that arrives now must not start it
// here as well.
func TestRepeatedOrderStartsNothing(t *testing.T) {
	f := newFixture(t)
	o := f.order(0)
	f.send(o)
	f.report("i-2", 1, false)
	f.is.Equal(f.ended()[0].End, job.Lapsed)
	o.Repeat = true
	f.is.Equal(len(f.send(o).Starts), 0)
	f.is.Equal(len(f.claim(bestEffortShard, 1, 2).Runs), 0)
}

// An owner gives a shard up while its link is down, so that the agent does not learn of it, and
// no other owner claims the shard at this agent. Each frame of the owner's next link was taken
// for one of a silent owner: for a minute each link ended with its first frame, and nothing of
// the owner's other shards was placed here.
func TestReleasedShardDoesNotEndTheNextLink(t *testing.T) {
	f := newFixture(t)
	own := func(shard int, session int64) Claim {
		return Claim{Shard: shard, Epoch: 1, Session: session, Owner: "owner"}
	}
	f.Claim(f.now, own(1, 1))
	f.Claim(f.now, own(2, 1))
	f.advance(2 * testBounds.OwnerTimeout)
	f.is.True(!f.Heard(f.now, "owner")) // a late frame after the link recovered must not revive the claims

	f.Claim(f.now, own(1, 2)) // shard 2 was given up
	for range 20 {
		f.is.True(f.Heard(f.now, "owner"))
		f.advance(100 * time.Millisecond)
	}
}
