package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// accelerated returns an Assign of tasks that need so many accelerators each.
func accelerated(id string, n int64, indexes ...int) message.Assign {
	a := assign(id, 0, 10, indexes...)
	for i := range a.Tasks {
		a.Tasks[i].Accelerators = n
	}
	return a
}

// The connection to a backend server breaks under a task of 600 of 1000 MB. Its
// job hears that it may have run; but it may run on until its lease lapses, so
// nothing takes its place in the worker's memory before that.
func TestTaskOfUnknownEndHoldsItsRoom(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{Caution: 1}, backend(2))
	b.handle(assign("lost", 0, 600, 0))
	b.do(b.m.StartUnknown(b.now, b.starts[0].Task))
	is.True(b.reports[0].Results[0].Err != "")
	b.handle(assign("next", 0, 600, 0))
	b.handle(assign("small", 0, 100, 0))
	is.Equal(len(b.starts), 2) // the small one beside it
	b.handle(assign("third", 0, 100, 0))
	is.Equal(len(b.starts), 2) // two slots
	b.pass(DefaultTaskLease)
	is.Equal(b.starts[2].Task.Job.ID, "next")
}

// As above, but a usage report says that the lost task has ended.
func TestReportedEndGivesTheRoomBack(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{Caution: 1}, backend(2))
	b.handle(assign("lost", 0, 600, 0))
	lost := b.starts[0].Task
	b.do(b.m.StartUnknown(b.now, lost))
	b.handle(assign("next", 0, 600, 0))
	b.do(b.m.Usage(b.now, []state.Usage{{Task: lost, MemoryMB: 600, Ran: time.Second}}))
	is.Equal(len(b.starts), 1)
	b.do(b.m.Usage(b.now, []state.Usage{{Task: lost, MemoryMB: 600, Ran: time.Second, Done: true}}))
	is.Equal(len(b.starts), 2)
}

// A backend server is replaced by another process at the same address, while
// tasks run that hold most of the memory and all accelerators. The old process
// may have stopped listening and still be at work, until the tasks' leases lapse.
// The new one has its slots to itself, but not the worker.
func TestReplacedBackendLeavesItsTasksBehind(t *testing.T) {
	is := is.New(t)
	two := backend(2)
	two.Accelerators = 2
	b := newBench(Options{Caution: 1}, two)
	b.handle(accelerated("old", 1, 0, 1))
	other := two
	other.ID = "b2"
	b.do(b.m.Announce(b.now, other))
	b.handle(accelerated("new", 1, 0))
	is.Equal(len(b.starts), 2)
	b.handle(assign("small", 0, 10, 0, 1))
	is.Equal(len(b.starts), 4) // both slots of the new one
	b.finish(b.starts[2].Task, "")
	is.Equal(len(b.starts), 4)
	b.pass(DefaultTaskLease)
	is.Equal(b.starts[4].Task.Job.ID, "new")
}

// A worker announces itself smaller and without one of its services while tasks
// wait. One is too large for it now, one is of that service: both are refused at
// once. Cut to what the worker has, the first would start alone and run it out
// of memory; left in the queue, it would keep others from starting for good.
func TestShrunkWorkerRefusesWhatWaits(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{QueueLimit: 4, Caution: 1}, twoServices(8))
	b.handle(assign("j", 0, 400, 0))
	b.handle(assign("large", 0, 900, 0))
	a := other("other")
	a.Tasks[0].MemoryMB = 700
	b.handle(a)
	small := backend(8)
	small.MemoryMB = 500
	b.do(b.m.Announce(b.now, small))
	is.Equal(len(b.refusedFor(state.ReasonNeverRunnable)), 1)
	is.Equal(len(b.refusedFor(state.ReasonNoBackend)), 1)
	b.handle(assign("k", 0, 200, 0)) // beside 400 of 500
	is.Equal(len(b.starts), 1)
	b.finish(b.starts[0].Task, "")
	is.Equal(len(b.starts), 2)
}

// Tasks that run hold more than the worker has since it announced itself anew.
// Nothing starts until they are down to it, and then what fits.
func TestShrunkWorkerWaitsForWhatRuns(t *testing.T) {
	is := is.New(t)
	four := backend(8)
	four.Accelerators = 4
	b := newBench(Options{QueueLimit: 4, Caution: 1}, four)
	b.handle(accelerated("j", 2, 0, 1))
	four.Accelerators = 2
	b.do(b.m.Announce(b.now, four))
	b.handle(accelerated("k", 1, 0, 1))
	b.finish(b.starts[0].Task, "")
	is.Equal(len(b.starts), 2)
	b.finish(b.starts[1].Task, "")
	is.Equal(len(b.starts), 4)
}

// A cancelled task was told to stop and goes on for a while. Until it has ended
// its memory and its accelerator are not free.
func TestStoppedTaskHoldsItsRoomUntilItsEnd(t *testing.T) {
	is := is.New(t)
	one := backend(8)
	one.Accelerators = 1
	b := newBench(Options{Caution: 1}, one)
	b.handle(accelerated("j", 1, 0))
	b.handle(message.Drop{Key: key("j"), Indexes: []int{0}, Tries: []uint32{0}})
	is.Equal(len(b.stops), 1)
	b.handle(accelerated("k", 1, 0))
	b.pass(time.Second)
	is.Equal(len(b.starts), 1)
	b.finish(b.starts[0].Task, "cancelled")
	is.Equal(len(b.starts), 2)
}
