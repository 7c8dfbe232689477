package worker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/job"
)

// reportCapacity makes the backend server report a capacity and advances its clock with each
// report.
func (f *fixture) reportCapacity(seq, cpuMillis int64) {
	f.advance(time.Millisecond)
	f.reportCapacityAt(seq, cpuMillis, f.clock)
}

func (f *fixture) reportCapacityAt(seq, cpuMillis, clock int64) {
	f.confirmStarts(f.collect(f.Report(f.now, Server{
		Instance: job.Instance{ID: "i-1"}, Service: "desk", Labels: []string{"a", "r1"}, Seq: seq,
		Capacity: job.Demand{CPUMillis: cpuMillis, MemoryMB: 1000},
	}, clock)))
}

// freeCPU returns the free CPU that owners are told, in thousandths of a core.
func (f *fixture) freeCPU() int64 { return f.Load(f.now).Free.CPUMillis }

// A backend server reports half of its former capacity while two tasks run. It starts whatever
// it is told to start, so a third start would exceed the capacity. The two runs keep their
// share, nothing starts before both have ended, and an order that would wait too long is
// returned as not run.
func TestNothingStartsBeyondShrunkCapacity(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.send(f.order(1))
	f.reportCapacity(2, 1600)
	f.is.Equal(f.freeCPU(), int64(-1600))
	urgent := f.order(2)
	urgent.Due = f.now + 150*time.Millisecond
	f.is.Equal(len(f.send(urgent).Starts), 0)
	f.is.Equal(f.ended()[0].Reason, ReasonNoRoom) // returned
	withSlack := f.order(3)
	f.is.Equal(len(f.send(withSlack).Starts), 0)
	f.endRun(f.order(0).Run, job.Done)
	f.hold()
	f.is.Equal(len(f.active), 1) // the other run still takes the whole capacity
	f.endRun(f.order(1).Run, job.Done)
	f.hold()
	f.is.Equal(f.active, map[job.RunID]bool{withSlack.Run: true})
}

// Orders wait at an agent when its server shrinks. One needs more than the server has now,
// another would start too late. Both are returned at once, so that their owners place them
// elsewhere.
func TestWaitingOrdersReturnWhenCapacityShrinks(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.send(f.order(1))
	wide, urgent := f.order(2), f.order(3)
	wide.Demand.CPUMillis = 3200
	urgent.Due = f.now + 190*time.Millisecond
	f.send(wide)
	f.send(urgent)
	f.is.Equal(len(f.ended()), 0)
	f.reportCapacity(2, 1600)
	reasons := make(map[job.RunID]string)
	for _, e := range f.ended() {
		f.is.Equal(e.End, job.NeverRan)
		reasons[e.Run] = e.Reason
	}
	f.is.Equal(reasons, map[job.RunID]string{wide.Run: reasonTooLarge, urgent.Run: ReasonNoRoom})
}

// The capacity grows again. Waiting orders must start with the report that says so and not only
// with the next end of a run.
func TestGrownCapacityIsUsedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.reportCapacity(2, 0)
	f.is.Equal(len(f.send(f.order(0)).Starts), 0) // it needs more than the server has
	f.reportCapacity(3, 1600)
	f.send(f.order(1))
	f.send(f.order(2))
	f.is.Equal(len(f.active), 1)
	f.reportCapacity(4, 3200)
	f.is.Equal(len(f.active), 2)
}

// Reports overtake one another, are repeated or arrive late. A report older than the newest
// known one must change nothing: an outdated capacity was assigned again and overcommitted the
// server.
func TestOutdatedCapacityReportsAreIgnored(t *testing.T) {
	f := newFixture(t)
	early := f.clock
	f.reportCapacity(5, 1600)
	f.is.Equal(f.freeCPU(), int64(1600))
	f.reportCapacityAt(4, 3200, early) // a delayed report
	f.is.Equal(f.freeCPU(), int64(1600))
	f.reportCapacityAt(5, 3200, f.clock) // a sequence number that was received before
	f.is.Equal(f.freeCPU(), int64(1600))
	f.reportCapacity(6, 3200)
	f.is.Equal(f.freeCPU(), int64(3200))
	f.reportCapacity(7, 1600)
	f.is.Equal(f.freeCPU(), int64(1600))

	// Answers to holds are ordered with the reports by the server's clock.
	c, _ := f.Hold(f.now)
	f.advance(10 * time.Millisecond)
	f.collect(f.HoldAnswered(f.now, c, HoldResult{ClockMS: f.clock, Capacity: &job.Demand{CPUMillis: 800, MemoryMB: 1000}}))
	f.is.Equal(f.freeCPU(), int64(800))
	f.reportCapacityAt(8, 3200, f.clock-5) // reported before that answer
	f.is.Equal(f.freeCPU(), int64(800))
	f.reportCapacity(9, 3200)
	f.is.Equal(f.freeCPU(), int64(3200))
}

// The capacity shrinks while one run is being stopped and another one's start is unanswered.
// Both keep their share, since the server may still run them.
func TestStopsAndUnconfirmedStartsKeepTheirCapacity(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.collect(f.Stop(f.now, bestEffortShard, 1, f.order(0).Run))
	fx := f.collect(f.Order(f.now, f.order(1)))
	f.collect(f.StartAnswered(f.now, job.Instance{ID: "i-1"}, fx.Starts[0].Run, StartUnknown, ""))
	f.reportCapacity(2, 1600)
	f.is.Equal(f.freeCPU(), int64(-1600))
	f.is.Equal(len(f.send(f.order(2)).Starts), 0)
}

// A new instance has its own capacity, whatever the previous one reported last, and a clock
// that starts again.
func TestNewInstanceHasItsOwnCapacity(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.reportCapacity(2, 0)
	is.True(f.CapacityChanged())
	f.clock = 3
	f.report("i-2", 0, false)
	is.Equal(f.freeCPU(), int64(3200))
	is.True(!f.CapacityChanged())
}

// The excess counts the runs that have to end before another one fits. Runs differ in size, and
// memory may be the resource that is exceeded.
func TestExcess(t *testing.T) {
	is := is.New(t)
	o := occupancy{runs: 4, used: job.Demand{CPUMillis: 4000, MemoryMB: 400}}
	for _, c := range []struct {
		capacity job.Demand
		want     int
	}{
		{job.Demand{CPUMillis: 4000, MemoryMB: 400}, 0},
		{job.Demand{CPUMillis: 3999, MemoryMB: 400}, 1},
		{job.Demand{CPUMillis: 2000, MemoryMB: 400}, 2},
		{job.Demand{CPUMillis: 4000, MemoryMB: 50}, 4},
		{job.Demand{}, 4},
	} {
		is.Equal(o.excess(c.capacity), c.want)
	}
	is.Equal((&occupancy{}).excess(job.Demand{}), 0)
}
