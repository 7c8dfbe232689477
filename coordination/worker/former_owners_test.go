package worker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/job"
)

// newFixtureWithFormerRun returns a restarted agent that finds a run from before its restart.
// The run belongs to one of two entries whose orders its previous incarnation accepted.
func newFixtureWithFormerRun(t *testing.T) (*fixture, job.RunID) {
	f := newFixture(t)
	f.SetFormerOwners([]string{"entry-1/old", "entry-2/old"})
	run := job.RunID{Task: job.TaskID{Job: "00000000000000ee"}, Number: 1}
	f.active[run] = true
	f.hold()
	return f, run
}

// All processes are killed at once while the backend servers go on. Clients reconnect to
// entries that do not know the old runs, and found every worker full of them until those had
// been without an owner for 0.3 s. Claims by the entries' new incarnations show that the
// earlier ones are gone, so the runs are stopped with the last such claim. They must not be
// stopped before that, since an entry that is still alive may repeat its orders.
func TestRunsOfEntriesThatAreGoneStopAtOnce(t *testing.T) {
	f, run := newFixtureWithFormerRun(t)
	f.claimAs("entry-1/new", bestEffortShard+1)
	f.claimAs("entry-3/new", bestEffortShard+2)
	f.is.Equal(len(f.stops), 0)
	f.claimAs("entry-2/new", bestEffortShard+3)
	f.is.Equal(len(f.stops), 1)
	f.is.Equal(f.stops[0].Run, run)
}

// One of two entries did not restart while the agent did. The run goes on until the adoption
// timeout has passed.
func TestRunMayBelongToALiveEntry(t *testing.T) {
	f, _ := newFixtureWithFormerRun(t)
	f.claimAs("entry-1/new", bestEffortShard+1)
	f.claimAs("entry-2/old", bestEffortShard+2)
	f.is.Equal(len(f.stops), 0)
	f.advance(testBounds.AdoptionTimeout + time.Millisecond)
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.stops), 1)
}

// An entry is killed, its clients are cut off, and it starts again. The agent kept running and
// knows which runs belong to the entry's earlier incarnation. These are stopped with the new
// claim, and the runs of other owners go on.
func TestNewIncarnationOfAnEntryStopsEarlierRuns(t *testing.T) {
	f := newFixture(t)
	f.claimAs("entry-1/old", bestEffortShard+1)
	f.claimAs("entry-2/old", bestEffortShard+2)
	for i, shard := range []int{bestEffortShard + 1, bestEffortShard + 2} {
		o := f.order(i + 1)
		o.Shard = shard
		f.send(o)
	}
	f.claimAs("entry-1/new", bestEffortShard+3)
	f.is.Equal(len(f.stops), 1)
	f.is.Equal(f.stops[0].Run.Number, int64(1))
}

func (f *fixture) claimAs(owner string, shard int) {
	f.collect(f.Claim(f.now, Claim{Shard: shard, Epoch: 1, Session: 1, Owner: owner}).Effects)
}

// A backend server answers starts within a few milliseconds and then leaves one in twenty
// unanswered. The caller's short job is late if the agent waits much longer for a lost answer
// than answers usually take.
func TestHoldTimeoutFollowsTheResponseTimes(t *testing.T) {
	is := is.New(t)
	var a responseTimes
	is.Equal(a.timeout(), maxResponseTimeout)
	for i := range 60 {
		a.observe(time.Duration(2+i%3) * time.Millisecond)
	}
	is.Equal(a.timeout(), minResponseTimeout)
	a.timedOut()
	is.True(a.timeout() < 2*minResponseTimeout)
	// The host becomes slow: no answer arrives in time until the timeout has grown.
	for range 12 {
		a.timedOut()
	}
	is.Equal(a.timeout(), maxResponseTimeout)
}

// All processes were killed in a deployment without recorded jobs, so no owner ever claims a
// shard. The ends of runs from before the restart were kept for owners and blocked every later
// end on the backend server's list: eight seconds later the list was full, and no job was
// served.
func TestEndsOfAnEarlierIncarnationDoNotBlock(t *testing.T) {
	f := newFixture(t)
	f.SetFormerOwners([]string{"entry-1/old"})
	old := job.RunID{Task: job.TaskID{Job: "00000000000000ee"}, Number: 1}
	f.active[old] = true
	f.hold()
	f.endRun(old, job.Done)
	f.hold()
	f.is.Equal(f.hold().Acked, int64(1))
	found := f.Claim(f.now, Claim{Shard: bestEffortShard + 1, Epoch: 1, Session: 1, Owner: "entry-1/old"})
	f.is.Equal(len(found.Runs), 1) // its entry may still be alive and claim it
	f.is.True(!f.HasOrphanedEnds(f.now + 2*orphanAfter))
}

// Runs from before the agent's restart may be of recorded jobs. The end of such a run is not
// acknowledged before its owner has claimed the shard. If no owner does, the agent reports that
// the end is orphaned.
func TestEndOfARecordedJobWaitsForItsOwner(t *testing.T) {
	f := newFixture(t)
	old := job.RunID{Task: job.TaskID{Job: "00000000000000ee"}, Number: 1}
	f.active[old] = true
	f.hold()
	f.endRun(old, job.Done)
	f.hold()
	f.is.Equal(f.hold().Acked, int64(0))
	f.is.True(!f.HasOrphanedEnds(f.now))
	f.is.True(f.HasOrphanedEnds(f.now + 2*orphanAfter))
}

// A backend server answers quickly for a while. Then a job whose tasks may not be repeated
// starts a thousand of them, and some starts take 30 ms. With a timeout of 20 ms each of these
// was stopped just after it had started, and the caller was told that its job was cut off.
func TestStartThatMayNotBeRepeatedIsWaitedForLonger(t *testing.T) {
	f := newFixture(t)
	for range 60 {
		f.responses.observe(2 * time.Millisecond)
	}
	usual, once := f.order(1), f.order(2)
	once.AtMostOnce = true
	f.is.Equal(f.collect(f.Order(f.now, usual)).Starts[0].ResponseTimeout, minResponseTimeout)
	f.is.Equal(f.collect(f.Order(f.now, once)).Starts[0].ResponseTimeout, maxResponseTimeout)
}

// A backend server on a busy host answers starts in 2 ms, but takes 60 ms to list a thousand
// tasks. The timeout for a list must grow with each missing answer, so that the lease is
// extended before it expires and no run is cut off.
func TestListsThatAreSlowAreWaitedFor(t *testing.T) {
	f := newFixture(t)
	for range 60 {
		f.responses.observe(2 * time.Millisecond)
	}
	for want := minResponseTimeout; want < maxResponseTimeout; want *= 2 {
		c, ok := f.Hold(f.now)
		f.is.True(ok)
		f.is.True(c.ResponseTimeout >= want)
		f.collect(f.HoldFailed(f.now, c, NoAnswer))
	}
	c, _ := f.Hold(f.now)
	f.is.Equal(c.ResponseTimeout, maxResponseTimeout)
}
