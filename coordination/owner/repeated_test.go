package owner

import (
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// An agent is lost, and its task is done by a second run elsewhere. The next owner hears the end of the
// first run from that agent. It knows of the second run from the record only; if it settled the end as
// one that counts, the task would have two acknowledged runs.
func TestEndOfAnEarlierRunStaysVoidAfterATakeover(t *testing.T) {
	for name, tasks := range map[string]int{"job completed": 1, "job not completed": 2} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil, nil, "a", "b")
			f.submit(testID, steps(tasks))
			f.write()
			first := f.orders[0]
			f.LinkLost(f.now, first.Node, 1)
			f.fleet.LinkLost(first.Node)
			f.now += testBounds.LostLinkTimeout + time.Second
			f.collect(f.Tick(f.now))
			var second Addressed[worker.Order]
			for _, o := range f.orders {
				if o.Value.Run.Task == first.Value.Run.Task {
					second = o
				}
			}
			f.is.True(second.Value.Run.Number > first.Value.Run.Number)
			f.event(second, worker.Ended, job.Done)
			f.now += testBounds.MaxWriteDelay
			b := f.write()
			f.is.Equal(len(b.Writes), 1)
			f.is.Equal(b.Writes[0].Record.State == job.Completed, tasks == 1)

			next := newFixture(t, []*job.Record{b.Writes[0].Record}, []string{first.Node})
			next.link(first.Node, 1, worker.RunState{Run: first.Value.Run, Status: worker.Ended, End: job.Done})
			next.is.Equal(len(next.settled), 1)
			next.is.True(next.settled[0].Value.Void)
			if tasks > 1 {
				// A later record keeps the run for the owner after this one.
				next.cancel(testID)
				writes := next.write().Writes
				next.is.Equal(len(writes), 1)
				next.is.Equal(writes[0].Record.NewestRun(second.Value.Run.Task), second.Value.Run.Number)
			}
		})
	}
}
