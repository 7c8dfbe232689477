package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// newMemoryFixture returns a shard whose process has room for the given number of large jobs of
// largeTasks tasks.
func newMemoryFixture(t *testing.T, room int) *fixture {
	f := newFixture(t, nil, nil, "a")
	large := steps(largeTasks)
	f.fleet.params.LargeJob = sizeOf(&large) - 1
	f.fleet.memory.limit = int64(2*room) * sizeOf(&large)
	return f
}

const largeTasks = 8

func idOf(n byte) job.ID { return job.ID("00000000000000c" + string('a'+rune(n))) }

// Guards against accepted jobs of many tasks that fill the memory of their owner: they are refused, and
// small jobs still get in.
func TestLargeJobsLeaveRoomForSmallOnes(t *testing.T) {
	f := newMemoryFixture(t, 1)
	f.submit(idOf(0), steps(largeTasks))
	refused := f.submit(idOf(1), steps(largeTasks))
	f.is.Equal((*refused)[0].Outcome, Refused)
	f.is.Equal((*refused)[0].Reason, ReasonNoMemory)
	f.is.True((*refused)[0].RetryAfter > 0)
	small := f.submit(idOf(2), steps(1))
	f.write()
	f.is.Equal((*small)[0].Outcome, OK)
	f.is.Equal(f.KnownState(idOf(1)).Outcome, Absent)
}

// end ends all runs that were ordered, and records that.
func (f *fixture) end() {
	for _, o := range f.orders {
		f.event(o, worker.Ended, job.Done)
	}
	f.orders = nil
	f.write()
}

// Guards against memory that jobs keep after they have ended. Clients still get their state, and an end
// that an agent tells again is settled.
func TestEndedJobsReturnTheirMemory(t *testing.T) {
	f := newMemoryFixture(t, 1)
	for _, tasks := range []int{1, largeTasks} {
		id := idOf(byte(tasks))
		f.submit(id, steps(tasks))
		f.write()
		last := f.orders[0]
		f.end()
		f.now += forgetInterval
		f.collect(f.Tick(f.now))
		f.is.Equal(f.fleet.memory.used.Load(), int64(0))
		f.is.Equal(f.KnownState(id).State, job.Completed)
		f.settled = nil
		f.event(last, worker.Ended, job.Done)
		f.is.Equal(len(f.settled), 1)
		f.is.True(!f.settled[0].Value.Void)
	}
	f.is.Equal(f.jobs[idOf(largeTasks)].tasks, []task(nil))
	f.is.True(f.jobs[idOf(1)].tasks != nil)
}

// Guards against a large job that is forgotten while one of its runs has not ended: its end would not be
// settled.
func TestJobWithAnOpenRunIsNotForgotten(t *testing.T) {
	f := newMemoryFixture(t, 1)
	f.submit(testID, steps(largeTasks))
	f.write()
	f.cancel(testID)
	f.write()
	f.now += time.Second
	f.collect(f.Tick(f.now))
	f.is.Equal(f.KnownState(testID).State, job.Cancelled)
	f.is.True(f.fleet.memory.used.Load() > 0)
	for _, o := range f.orders {
		f.event(o, worker.Ended, job.Stopped)
	}
	f.write()
	f.now += forgetInterval
	f.collect(f.Tick(f.now))
	f.is.Equal(f.fleet.memory.used.Load(), int64(0))
}

// Guards against memory that a shard keeps which has another owner now.
func TestClosedShardReturnsItsMemory(t *testing.T) {
	f := newMemoryFixture(t, 1)
	f.submit(testID, steps(largeTasks))
	f.write()
	f.is.True(f.fleet.memory.used.Load() > 0)
	f.collect(f.Close())
	f.is.Equal(f.fleet.memory.used.Load(), int64(0))
}

// An owner that takes a shard over has to load all of its jobs, however much memory they take.
func TestTakenOverJobsCount(t *testing.T) {
	is := is.New(t)
	p := DefaultParams()
	p.JobMemory = 1
	fleet := NewFleet(1, p, 1)
	spec := steps(2)
	New(time.Hour, 1, 3, testBounds, fleet, []*job.Record{job.NewRecord(testID, spec, job.Policy{Queue: "quotes", Service: "desk"}, 1)}, nil, nil)
	is.Equal(fleet.memory.used.Load(), sizeOf(&spec))
}
