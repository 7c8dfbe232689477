package worker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/job"
)

// say has the backend server report a capacity; its clock goes on with each report.
func (f *fixture) say(seq, cpuMillis int64) {
	f.pass(time.Millisecond)
	f.sayAt(seq, cpuMillis, f.clock)
}

func (f *fixture) sayAt(seq, cpuMillis, clock int64) {
	f.confirm(f.take(f.Report(f.now, Server{
		Instance: "i-1", Service: "desk", Labels: []string{"a", "r1"}, Seq: seq,
		Capacity: job.Demand{CPUMillis: cpuMillis, MemoryMB: 1000},
	}, clock)))
}

// free is what owners are told of the room.
func (f *fixture) free() int64 { return f.Load(f.now).Free.CPUMillis }

// A backend server says that it has half of its room left while two tasks run. It starts
// what it is told, so a third start would bring it over. The two keep their room, nothing
// starts before both have ended, and what would wait too long goes back as not run.
func TestNothingStartsBeyondARoomThatHasShrunk(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.send(f.order(1))
	f.say(2, 1600)
	f.is.Equal(f.free(), int64(-1600))
	urgent := f.order(2)
	urgent.Due = f.now + 150*time.Millisecond
	f.is.Equal(len(f.send(urgent).Starts), 0)
	f.is.Equal(f.ended()[0].Reason, ReasonNoRoom) // handed back
	patient := f.order(3)
	f.is.Equal(len(f.send(patient).Starts), 0)
	f.end(f.order(0).Run, job.Done)
	f.hold()
	f.is.Equal(len(f.alive), 1) // one still runs, and takes all there is
	f.end(f.order(1).Run, job.Done)
	f.hold()
	f.is.Equal(f.alive, map[job.RunID]bool{patient.Run: true})
}

// Orders wait at an agent when its server shrinks. One is more than the server has now,
// another would start too late: both go back at once, so that their owners find others.
func TestWhatWaitsGoesBackWhenTheRoomShrinks(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.send(f.order(1))
	wide, urgent := f.order(2), f.order(3)
	wide.Demand.CPUMillis = 3200
	urgent.Due = f.now + 190*time.Millisecond
	f.send(wide)
	f.send(urgent)
	f.is.Equal(len(f.ended()), 0)
	f.say(2, 1600)
	reasons := make(map[job.RunID]string)
	for _, e := range f.ended() {
		f.is.Equal(e.End, job.NeverRan)
		reasons[e.Run] = e.Reason
	}
	f.is.Equal(reasons, map[job.RunID]string{wide.Run: reasonTooLarge, urgent.Run: ReasonNoRoom})
}

// The room grows again: what waits starts with the report that says so, not with the next end.
func TestRoomThatGrowsIsUsedAtOnce(t *testing.T) {
	f := newFixture(t)
	f.say(2, 0)
	f.is.Equal(len(f.send(f.order(0)).Starts), 0) // it is more than there is
	f.say(3, 1600)
	f.send(f.order(1))
	f.send(f.order(2))
	f.is.Equal(len(f.alive), 1)
	f.say(4, 3200)
	f.is.Equal(len(f.alive), 2)
}

// Reports overtake one another, are repeated, or come late. What is older than the newest
// word changes nothing: the room of an old word was given out again, and brought the
// server over what it had.
func TestOldWordsOnTheRoomChangeNothing(t *testing.T) {
	f := newFixture(t)
	early := f.clock
	f.say(5, 1600)
	f.is.Equal(f.free(), int64(1600))
	f.sayAt(4, 3200, early) // held up on its way
	f.is.Equal(f.free(), int64(1600))
	f.sayAt(5, 3200, f.clock) // a number that was there already
	f.is.Equal(f.free(), int64(1600))
	f.say(6, 3200)
	f.is.Equal(f.free(), int64(3200))
	f.say(7, 1600)
	f.is.Equal(f.free(), int64(1600))

	// An answer to a call counts alike, by the server's clock.
	c, _ := f.Hold(f.now)
	f.pass(10 * time.Millisecond)
	f.take(f.HoldAnswered(f.now, c, HoldResult{ClockMS: f.clock, Capacity: &job.Demand{CPUMillis: 800, MemoryMB: 1000}}))
	f.is.Equal(f.free(), int64(800))
	f.sayAt(8, 3200, f.clock-5) // said before that answer
	f.is.Equal(f.free(), int64(800))
	f.say(9, 3200)
	f.is.Equal(f.free(), int64(3200))
}

// A run is being stopped, and the fate of a start is unknown, when the room shrinks. Both
// keep their room: the server may still have them.
func TestStopsAndDoubtfulStartsKeepTheirRoom(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.take(f.Stop(f.now, private, 1, f.order(0).Run))
	fx := f.take(f.Order(f.now, f.order(1)))
	f.take(f.StartAnswered(f.now, "i-1", fx.Starts[0].Run, StartUnknown, ""))
	f.say(2, 1600)
	f.is.Equal(f.free(), int64(-1600))
	f.is.Equal(len(f.send(f.order(2)).Starts), 0)
}

// A new instance has room of its own, whatever the last one had left, and a clock that
// begins anew.
func TestNewInstanceHasItsOwnRoom(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.say(2, 0)
	is.True(f.CapacityChanged())
	f.clock = 3
	f.report("i-2", 0, false)
	is.Equal(f.free(), int64(3200))
	is.True(!f.CapacityChanged())
}

// The sizes differ, and memory may be what lacks: so many runs have to end first.
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
