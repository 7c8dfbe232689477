package owner

import (
	"testing"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// linkFull is link for an agent without free capacity.
func (f *fixture) linkFull(node string, session int64, runs ...worker.RunState) {
	f.fleet.Linked(node)
	claim, _, fx := f.Linked(f.now, node, session)
	f.collect(fx)
	f.collect(f.Claimed(f.now, node, worker.Claimed{Claim: claim, Runs: runs}))
}

// Guards against jobs that fail after one failed run of two allowed, when the agent's link is reset while the
// task waits for capacity.
func TestFailedRunReportedAgainCountsOnce(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(1))
	f.write()
	first := f.orders[0]
	f.fleet.LinkLost("a")
	f.event(first, worker.Ended, job.FailedRun)
	failed := worker.RunState{Run: first.Value.Run, Status: worker.Ended, End: job.FailedRun}
	for session := range int64(3) {
		f.LinkLost(f.now, "a", session+1)
		f.linkFull("a", session+2, failed)
	}
	f.is.Equal(len(f.settled), 0) // the count is not recorded yet
	f.now += testBounds.MaxWriteDelay
	b := f.write()
	f.is.Equal(b.Writes[0].Record.State, job.Queued)
	f.is.Equal(b.Writes[0].Record.Tasks[0].Failures, 1)
	f.is.Equal(f.settled, []Addressed[Settlement]{{Node: "a", Value: Settlement{Run: first.Value.Run}}})

	f.linkFull("a", 5, failed) // the settlement was lost with the link
	f.is.Equal(len(f.settled), 2)
	f.link("a", 6)
	f.event(f.orders[len(f.orders)-1], worker.Ended, job.FailedRun)
	f.is.Equal(f.write().Writes[0].Record.State, job.Failed)
}

// Guards against an owner that counts a failed run which an earlier one has counted.
func TestFailedRunOfAnEarlierOwnerCountsOnce(t *testing.T) {
	records := recordedJobs()
	records[0].Policy.MaxAttempts = 2
	records[0].Tasks[0] = job.TaskRecord{Failures: 1, FailedRuns: []int64{1}}
	f := newFixture(t, records, []string{"a", "b"})
	f.link("a", 1, runState(1, worker.Ended, job.FailedRun))
	f.is.Equal(len(f.orders), 0) // the agent b may have a later run
	f.is.Equal(f.settled, []Addressed[Settlement]{{Node: "a", Value: Settlement{Run: runState(1, 0, 0).Run}}})
	f.link("b", 1)
	f.is.Equal(len(f.orders), 1)
	f.is.True(f.orders[0].Value.Run.Number > 1)
	f.event(f.orders[0], worker.Ended, job.Done)
	f.is.Equal(f.write().Writes[0].Record.State, job.Completed)
}

// Guards against an owner that leaves out a failed run which no earlier one has counted.
func TestFailedRunThatNobodyCountedCounts(t *testing.T) {
	records := recordedJobs()
	records[0].Policy.MaxAttempts = 2
	records[0].Tasks[0] = job.TaskRecord{Failures: 1, FailedRuns: []int64{1}}
	f := newFixture(t, records, []string{"a"})
	f.link("a", 1, runState(2, worker.Ended, job.FailedRun), runState(1, worker.Ended, job.FailedRun))
	f.is.Equal(f.write().Writes[0].Record.State, job.Failed)
}

// Guards against letting the lease of a backend server run out, with all its runs, for a failed run that is
// reported again after its task was started anew: its end may be acknowledged.
func TestCountedFailureIsNotVoid(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	first := f.orders[0]
	f.event(first, worker.Ended, job.FailedRun)
	f.now += testBounds.MaxWriteDelay
	f.write()
	f.is.Equal(len(f.orders), 2)
	f.LinkLost(f.now, first.Node, 1)
	f.link(first.Node, 2, worker.RunState{Run: first.Value.Run, Status: worker.Ended, End: job.FailedRun})
	f.is.Equal(len(f.settled), 2)
	f.is.True(!f.settled[1].Value.Void)
}

// Guards against an end that is never settled because its count is in no record: that of an ended job has none.
func TestCountedFailureOfAnEndedJobIsSettled(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(1))
	f.write()
	f.event(f.orders[0], worker.Ended, job.FailedRun)
	f.event(f.orders[1], worker.Ended, job.FailedRun)
	f.is.Equal(f.write().Writes[0].Record.State, job.Failed)
	n := len(f.settled)
	f.LinkLost(f.now, "a", 1)
	f.link("a", 2, worker.RunState{Run: f.orders[1].Value.Run, Status: worker.Ended, End: job.FailedRun})
	f.is.Equal(len(f.settled), n+1)
}

// Guards against an owner that suspects a task again for a lost server that an earlier owner has found the
// cause of: the agent goes on reporting the loss.
func TestClearedLossReportedToTheNextOwnerDoesNotCount(t *testing.T) {
	f := newCrashFixture(t)
	o := f.submitSingle()
	f.reportLoss(o, 2, worker.LossConfirmed)
	f.event(f.lastOrder(), worker.Ended, job.FailedRun)
	f.now += testBounds.MaxWriteDelay
	record := f.write().Writes[0].Record
	f.is.Equal(len(record.Tasks[0].Crashes), 0)
	next := newFixture(t, []*job.Record{record}, []string{o.Node})
	next.fleet.Linked(o.Node)
	claim, _, fx := next.Linked(next.now, o.Node, 1)
	next.collect(fx)
	next.collect(next.Claimed(next.now, o.Node, worker.Claimed{Claim: claim, Lost: []worker.RunState{lostRunState(o, 2, worker.LossConfirmed)}}))
	next.is.Equal(len(next.suspects), 0)
}

// Guards against a run with the number of a failed one, whose end would not count.
func TestRunsAreNumberedAboveFailedOnes(t *testing.T) {
	records := recordedJobs()
	records[0].FirstEpoch = 3 // that of the fixture
	records[0].Tasks[0] = job.TaskRecord{Failures: 2, FailedRuns: []int64{4, 5}}
	f := newFixture(t, records, nil, "a")
	f.collect(f.Tick(f.now))
	f.is.Equal(f.orders[0].Value.Run.Number, int64(6))
}
