package admit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

// worker returns a bench beside a worker of 64,000 MB and 8 slots.
func worker(o Options) *bench {
	b := backend(8)
	b.MemoryMB = 64000
	return newBench(o, b)
}

// realMB is what the tasks that run really use, by how much more than declared.
func (b *bench) realMB(factor int64) (sum int64) {
	for _, s := range b.starts {
		if b.m.running[s.Task] != nil {
			sum += factor * s.Spec.MemoryMB
		}
	}
	return sum
}

// The first tasks of a service use three times the 3,500 MB they declare. They
// come before any report can have come, so nothing is known of them. As many
// start as a worker holds of tasks that need a quarter of it.
func TestFirstTasksStayWithinTheWorker(t *testing.T) {
	is := is.New(t)
	b := worker(Options{})
	b.handle(assign("j", 0, 3500, 0, 1, 2, 3, 4, 5, 6, 7))
	is.Equal(len(b.starts), 4)
	is.True(b.realMB(3) <= 64000)
}

// Tasks that declare nothing at all are no smaller for that.
func TestFirstTasksThatDeclareNoMemory(t *testing.T) {
	is := is.New(t)
	b := worker(Options{})
	b.handle(assign("j", 0, 0, 0, 1, 2, 3, 4, 5, 6, 7))
	is.Equal(len(b.starts), 4)
}

// Nine tasks of 2,600 MB were reported on and used three times that. Tasks that
// declare 3,900 MB may use up to 11,700; the largest one seen had 7,800. With so
// few reports a larger one is likely to come, so a ninth more is held for each:
// seven start, and not eight.
func TestFewReportsDontBoundTheLargest(t *testing.T) {
	is := is.New(t)
	b := worker(Options{})
	for i := range 9 {
		b.handle(assign("small", 0, 2600, i))
		b.do(b.m.Usage(b.now, []state.Usage{{Task: b.starts[i].Task, MemoryMB: 7800, Done: true}}))
		b.finish(b.starts[i].Task, "")
	}
	b.starts = nil
	b.handle(assign("large", 0, 3900, 0, 1, 2, 3, 4, 5, 6, 7))
	is.Equal(len(b.starts), 7)
}

// One task that is declared right runs for long and is reported on nine times.
// That says nothing about its likes: they are still unknown.
func TestManyReportsOnOneTaskTeachOnce(t *testing.T) {
	is := is.New(t)
	b := worker(Options{})
	b.handle(assign("long", 0, 3500, 0))
	for range 9 {
		b.pass(time.Second)
		b.do(b.m.Usage(b.now, []state.Usage{{Task: b.starts[0].Task, MemoryMB: 3500, Ran: time.Second}}))
	}
	b.handle(assign("j", 0, 3500, 0, 1, 2, 3, 4, 5, 6))
	is.Equal(len(b.starts), 4)
}

// Six tasks were started while the service was known to use what it declares.
// One of them is reported at three times that: the other five are its likes, and
// nothing starts beside them as long as they may use as much.
func TestWhatIsLearnedCountsForTasksThatRun(t *testing.T) {
	is := is.New(t)
	b := worker(Options{Caution: 1})
	b.handle(assign("j", 0, 3500, 0, 1, 2, 3, 4, 5, 6))
	b.do(b.m.Usage(b.now, []state.Usage{{Task: b.starts[0].Task, MemoryMB: 10500, Ran: time.Second}}))
	is.True(b.m.used.memoryMB >= 7*10500)
	b.handle(assign("k", 0, 100, 0))
	is.Equal(len(b.starts), 7)
}
