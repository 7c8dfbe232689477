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
			f.write()
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

// restart lets the owner give up the agent of the first order, and returns what it writes.
func (f *fixture) restart() Batch {
	first := f.orders[0]
	f.LinkLost(f.now, first.Node, 1)
	f.fleet.LinkLost(first.Node)
	f.now += testBounds.LostLinkTimeout
	f.collect(f.Tick(f.now))
	return f.NextBatch(f.now)
}

// successor returns the owner that takes over with what the store has.
func successor(t *testing.T, b Batch) *fixture {
	t.Helper()
	return newFixture(t, recordsOf(b), b.Agents)
}

func recordsOf(b Batch) []*job.Record {
	var out []*job.Record
	for i := range b.Writes {
		out = append(out, b.Writes[i].Record)
	}
	return out
}

// A task is done at an agent that is cut off, and its owner starts it again elsewhere. The owner and
// the host of the second run are lost together, so only the record can tell the next owner of that
// run. If the next owner counted the first end, a task with an acknowledged end would have been
// started again.
func TestRestartIsRecordedBeforeItIsOrdered(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	first := f.orders[0]
	b := f.restart()
	f.is.Equal(len(f.orders), 1) // nothing tells the next owner of a second run yet
	f.collect(f.Written(f.now, b))
	f.is.Equal(len(f.orders), 2)
	second := f.orders[1].Value.Run

	next := successor(t, b)
	next.link(f.orders[1].Node, 1)
	next.link(first.Node, 1, worker.RunState{Run: first.Value.Run, Status: worker.Ended, End: job.Done})
	next.is.Equal(len(next.settled), 1)
	next.is.True(next.settled[0].Value.Void)
	next.is.Equal(len(next.orders), 1)
	next.is.True(next.orders[0].Value.Run.Number > second.Number)
	next.is.Equal(next.KnownState(testID).State, job.Queued)
}

// As above, with a record of the job that is written later, for another reason. It must go on excluding
// the first run.
func TestLaterRecordsExcludeTheEarlierRun(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(2))
	f.write()
	first := f.orders[0]
	b := f.restart()
	f.collect(f.Written(f.now, b))
	var other Addressed[worker.Order]
	for _, o := range f.orders {
		if o.Value.Run.Task != first.Value.Run.Task {
			other = o
		}
	}
	f.event(other, worker.Ended, job.Done)
	f.now += testBounds.MaxWriteDelay
	f.is.Equal(f.write().Writes[0].Record.NewestRun(first.Value.Run.Task), first.Value.Run.Number+1)

	next := successor(t, b)
	next.link("a", 1)
	next.link("b", 1)
	next.event(next.orders[len(next.orders)-1], worker.Ended, job.FailedRun)
	next.now += testBounds.MaxWriteDelay
	writes := next.write().Writes
	next.is.Equal(len(writes), 1)
	next.is.Equal(writes[0].Record.NewestRun(first.Value.Run.Task), first.Value.Run.Number+1)
}

// The first run of a restarted task is still active when the next owner finds it: its agent has not
// noticed yet that its owner is gone. It is stopped, because its end could not count.
func TestExcludedRunIsStopped(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	first := f.orders[0]
	next := successor(t, f.restart())
	next.link(first.Node, 1, worker.RunState{Run: first.Value.Run, Status: worker.Running})
	next.is.Equal(len(next.stops), 1)
	next.is.Equal(next.stops[0].Value, first.Value.Run)
}

// The agent that was given up is back before the task has started again. Its end counts: the work is
// not repeated, and the record of the end excludes nothing.
func TestEndFoundBeforeTheRestartCounts(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	first := f.orders[0]
	b := f.restart()
	f.link(first.Node, 2, worker.RunState{Run: first.Value.Run, Status: worker.Ended, End: job.Done})
	f.collect(f.Written(f.now, b))
	f.is.Equal(len(f.orders), 1)
	done := f.write().Writes[0].Record
	f.is.Equal(done.State, job.Completed)
	f.is.Equal(len(done.Repeated), 0)
	f.is.Equal(len(f.settled), 1)
	f.is.True(!f.settled[0].Value.Void)
}

// An owner that has taken over could not reach an agent, starts the agent's task again, and is lost
// with the host of that run. The owner after it does not wait for the agent any more. When the agent
// is back with the end of the first run, that must not count.
func TestRestartAfterATakeoverIsRecorded(t *testing.T) {
	f := newFixture(t, recordedJobs(), []string{"a", "b"})
	f.link("b", 1)
	f.now += testBounds.TakeoverTimeout
	f.collect(f.Tick(f.now))
	b := f.NextBatch(f.now)
	f.is.Equal(b.Agents, []string{"b"})
	f.is.Equal(len(f.orders), 0)
	f.collect(f.Written(f.now, b))
	f.is.Equal(len(f.orders), 1)

	next := successor(t, b)
	next.link("a", 1, runState(1, worker.Ended, job.Done))
	next.link("b", 1)
	next.is.Equal(len(next.settled), 1)
	next.is.True(next.settled[0].Value.Void)
}

// An agent answers the claim of a new owner with an end, which has to wait for another agent, and is
// cut off. It leaves the list of agents with that. The owner after this one does not wait for it, so
// it must not count the end once it has started the task again.
func TestDeferredEndOfAnAgentThatIsGivenUpIsExcluded(t *testing.T) {
	f := newFixture(t, recordedJobs(), []string{"a", "b"})
	f.link("a", 1, runState(1, worker.Ended, job.Done))
	f.LinkLost(f.now, "a", 1)
	f.now += testBounds.LostLinkTimeout
	f.collect(f.Tick(f.now))
	b := f.NextBatch(f.now)
	f.is.Equal(b.Agents, []string{"b"})
	f.collect(f.Written(f.now, b))

	next := successor(t, b)
	next.link("b", 1)
	next.is.Equal(len(next.orders), 1)
	next.link("a", 1, runState(1, worker.Ended, job.Done))
	next.is.Equal(len(next.settled), 1)
	next.is.True(next.settled[0].Value.Void)

	// The same owner excludes it, too, and a newer run counts.
	f.link("a", 2, runState(1, worker.Ended, job.Done))
	f.is.True(f.settled[0].Value.Void)
	f.link("b", 1, runState(2, worker.Ended, job.Done))
	f.write()
	f.is.Equal(f.KnownState(testID).State, job.Completed)
}

// An agent with more tasks than one call to the store takes is given up. It must stay listed until all
// of them are recorded as started again: an owner that takes over in between would not wait for it.
func TestAgentStaysListedBehindManyRecords(t *testing.T) {
	f := newFixture(t, manyRecords(2*maxBatch+2), []string{"a", "b"})
	f.link("b", 1)
	f.now += testBounds.TakeoverTimeout
	f.collect(f.Tick(f.now))
	for range 2 {
		b := f.write()
		f.is.Equal(len(b.Writes), maxBatch)
		f.is.Equal(b.Agents, []string{"a", "b"})
	}
	b := f.write()
	f.is.Equal(len(b.Writes), 2)
	f.is.Equal(b.Agents, []string{"b"})
	f.is.True(!f.WriteDue(f.now))
	// Linked again, it is listed before it gets orders.
	f.link("a", 1)
	f.is.Equal(f.write().Agents, []string{"a", "b"})
}

// A host is cut off for longer than the state of an ended job is kept. One of the job's tasks was done
// there, unknown to its owner, which started it again elsewhere. When the host is back, its end must not
// pass for one of a job that nobody knows, which is acknowledged, neither at this owner nor at the next.
func TestExcludedEndOutlastsTheRetention(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	first := f.orders[0]
	f.collect(f.Written(f.now, f.restart()))
	f.event(f.orders[1], worker.Ended, job.Done)
	b := f.write()
	next := successor(t, b)
	for _, owner := range []*fixture{f, next} {
		owner.now += testBounds.Retention + 2*maxRemovalDelay
		owner.collect(owner.Tick(owner.now))
		owner.write()
		settled := len(owner.settled)
		owner.link(first.Node, 2, worker.RunState{Run: first.Value.Run, Status: worker.Ended, End: job.Done})
		owner.is.Equal(len(owner.settled), settled+1)
		owner.is.True(owner.settled[settled].Value.Void)

		owner.now += restartedRetention
		owner.collect(owner.Tick(owner.now))
		owner.now += maxRemovalDelay
		owner.write()
		owner.is.Equal(owner.KnownState(testID).Outcome, Absent)
	}
}

// Tasks whose earlier runs ended in a known way keep no record longer.
func TestFailedRunsDoNotProlongTheRetention(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	f.event(f.orders[0], worker.Ended, job.FailedRun)
	f.event(f.orders[1], worker.Ended, job.Done)
	f.write()
	f.now += testBounds.Retention
	f.collect(f.Tick(f.now))
	f.now += maxRemovalDelay
	f.write()
	f.is.Equal(f.KnownState(testID).Outcome, Absent)
}

// The store rejects the record of a restart. Until it has taken one, the task isn't started again and the
// agent isn't off the list for the next owner.
func TestRestartWaitsForARejectedRecord(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	first := f.orders[0]
	rejected := f.restart()
	f.collect(f.Rejected(f.now, rejected, "busy"))
	f.now += time.Second
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.orders), 1)
	b := f.NextBatch(f.now)
	f.is.Equal(b.Agents, rejected.Agents)
	f.is.Equal(b.Writes[0].Record.NewestRun(first.Value.Run.Task), first.Value.Run.Number+1)
	f.collect(f.Written(f.now, b))
	f.is.Equal(len(f.orders), 2)
}

// An agent is linked again before the list without it is written. It is listed once, and gets orders.
func TestAgentLinkedAgainIsNoLongerGivenUp(t *testing.T) {
	f := newFixture(t, manyRecords(maxBatch+1), []string{"a", "b"})
	f.link("b", 1)
	f.now += testBounds.TakeoverTimeout
	f.collect(f.Tick(f.now))
	f.link("a", 1)
	f.is.Equal(f.write().Agents, []string{"a", "b"})
	f.write()
	f.is.True(f.mayOrderLocked("a"))
}

// An agent stays listed behind many records, and is linked again while the list without it is being
// written. Without another write, it would get no order for good.
func TestAgentLinkedDuringTheLastWriteIsListed(t *testing.T) {
	f := newFixture(t, manyRecords(maxBatch+1), []string{"a", "b"})
	f.link("b", 1)
	f.now += testBounds.TakeoverTimeout
	f.collect(f.Tick(f.now))
	f.is.Equal(f.write().Agents, []string{"a", "b"})
	last := f.NextBatch(f.now)
	f.is.Equal(last.Agents, []string{"b"})
	f.link("a", 1)
	f.collect(f.Written(f.now, last))
	f.is.True(!f.mayOrderLocked("a"))
	f.is.Equal(f.write().Agents, []string{"a", "b"})
	f.is.True(f.mayOrderLocked("a"))
}

// manyRecords returns the records of n jobs that earlier owners accepted.
func manyRecords(n int) []*job.Record {
	var out []*job.Record
	for i := range n {
		r := recordedJobs()[0]
		r.ID = job.ID(rune('a' + i))
		out = append(out, r)
	}
	return out
}

// A task waits in the backlog behind another one when its agent, which had not listed it before, reports a
// run of it. The agent is lost again. The entry in the backlog must not start the task before its record.
func TestWaitingTaskIsNotRestartedBeforeItsRecord(t *testing.T) {
	f := newFixture(t, manyRecords(2), []string{"a", "b"})
	full := AgentLoad{Service: "desk", Capacity: job.Demand{CPUMillis: 16000, MemoryMB: 65536}}
	claim := func(node string, session int64, runs ...worker.RunState) {
		f.fleet.Linked(node)
		f.fleet.Update(f.now, node, full)
		c, _, fx := f.Linked(f.now, node, session)
		f.collect(fx)
		f.collect(f.Claimed(f.now, node, worker.Claimed{Claim: c, Runs: runs}))
	}
	claim("a", 1)
	claim("b", 1)
	f.is.Equal(len(f.orders), 0)
	run := job.RunID{Task: job.TaskID{Job: "b"}, Number: 1}
	claim("a", 2, worker.RunState{Run: run, Status: worker.Running})
	f.is.Equal(len(f.orders), 1) // the order of the existing run, repeated

	f.LinkLost(f.now, "a", 2)
	f.fleet.LinkLost("a")
	f.now += testBounds.LostLinkTimeout
	free := full
	free.Free, free.Accepts = full.Capacity, true
	f.fleet.Update(f.now, "b", free)
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.orders), 2) // that of the other job
	f.write()
	f.is.Equal(len(f.orders), 3)
	f.is.Equal(f.orders[2].Value.Run.Task, run.Task)
}
