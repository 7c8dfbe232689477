package worker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/job"
)

// newFixtureWithFormerRun returns an agent that finds a run of one of two entries which
// its earlier life has taken orders of.
func newFixtureWithFormerRun(t *testing.T) (*fixture, job.RunID) {
	f := newFixture(t)
	f.SetFormerOwners([]string{"entry-1/old", "entry-2/old"})
	run := job.RunID{Task: job.TaskID{Job: "00000000000000ee"}, Number: 1}
	f.alive[run] = true
	f.hold()
	return f, run
}

// All processes are killed at once; the backend servers go on. Callers come back to
// entries that know nothing of the old runs, and found every worker full of them until
// those had been silent for 0.3 s. The entries' new lives show that the earlier ones
// are gone, so the runs are stopped with the last of their claims, and not before: an
// entry that lives may repeat its orders.
func TestRunsOfEntriesThatAreGoneStopAtOnce(t *testing.T) {
	f, run := newFixtureWithFormerRun(t)
	f.claimAs("entry-1/new", private+1)
	f.claimAs("entry-3/new", private+2)
	f.is.Equal(len(f.stops), 0)
	f.claimAs("entry-2/new", private+3)
	f.is.Equal(len(f.stops), 1)
	f.is.Equal(f.stops[0].Run, run)
}

// One of two entries has kept its life while the agent restarted. Its run goes on
// until the usual time for adoption is over.
func TestRunMayBeOfAnEntryThatLives(t *testing.T) {
	f, _ := newFixtureWithFormerRun(t)
	f.claimAs("entry-1/new", private+1)
	f.claimAs("entry-2/old", private+2)
	f.is.Equal(len(f.stops), 0)
	f.pass(testBounds.AdoptionTimeout + time.Millisecond)
	f.take(f.Tick(f.now))
	f.is.Equal(len(f.stops), 1)
}

// An entry is killed and starts again; its clients were cut off. The agent has run on
// and knows which runs were of the earlier life: they are stopped with the new claim,
// those of others and of recorded jobs go on.
func TestNewLifeOfAnEntryEndsTheRunsOfTheEarlier(t *testing.T) {
	f := newFixture(t)
	f.claimAs("entry-1/old", private+1)
	f.claimAs("entry-2/old", private+2)
	for i, shard := range []int{private + 1, private + 2} {
		o := f.order(i + 1)
		o.Shard = shard
		f.send(o)
	}
	f.claimAs("entry-1/new", private+3)
	f.is.Equal(len(f.stops), 1)
	f.is.Equal(f.stops[0].Run.Number, int64(1))
}

func (f *fixture) claimAs(owner string, shard int) {
	f.take(f.Claim(f.now, Claim{Shard: shard, Epoch: 1, Session: 1, Owner: owner}).Effects)
}

// A backend server answers starts within a few milliseconds, then leaves one in twenty
// unanswered. The caller's short job is late if the agent waits for the lost answer
// much longer than answers take.
func TestPatienceFollowsTheAnswers(t *testing.T) {
	is := is.New(t)
	var a responseTimes
	is.Equal(a.timeout(), maxResponseTimeout)
	for i := range 60 {
		a.observe(time.Duration(2+i%3) * time.Millisecond)
	}
	is.Equal(a.timeout(), minResponseTimeout)
	a.timedOut()
	is.True(a.timeout() < 2*minResponseTimeout)
	// The host turns slow: no answer comes in time any more, until it is waited longer.
	for range 12 {
		a.timedOut()
	}
	is.Equal(a.timeout(), maxResponseTimeout)
}

// All processes were killed where no job is recorded, so no owner ever claims. The ends
// of the earlier life's runs were kept for owners, and with them all that the backend
// server listed behind: eight seconds later its list was full, and nobody was served.
func TestEndsOfAnEarlierLifeHoldUpNothing(t *testing.T) {
	f := newFixture(t)
	f.SetFormerOwners([]string{"entry-1/old"})
	old := job.RunID{Task: job.TaskID{Job: "00000000000000ee"}, Number: 1}
	f.alive[old] = true
	f.hold()
	f.end(old, job.Done)
	f.hold()
	f.is.Equal(f.hold().Acked, int64(1))
	found := f.Claim(f.now, Claim{Shard: private + 1, Epoch: 1, Session: 1, Owner: "entry-1/old"})
	f.is.Equal(len(found.Runs), 1) // its entry may live and ask for it
	f.is.True(!f.HasOrphanedEnds(f.now + 2*orphanAfter))
}

// An earlier life may have had runs of recorded jobs. An end of one is not acknowledged
// before its owner has claimed; when none does, the agent asks for it.
func TestEndOfARecordedJobWaitsForItsOwner(t *testing.T) {
	f := newFixture(t)
	old := job.RunID{Task: job.TaskID{Job: "00000000000000ee"}, Number: 1}
	f.alive[old] = true
	f.hold()
	f.end(old, job.Done)
	f.hold()
	f.is.Equal(f.hold().Acked, int64(0))
	f.is.True(!f.HasOrphanedEnds(f.now))
	f.is.True(f.HasOrphanedEnds(f.now + 2*orphanAfter))
}

// A backend server answers quickly for a while; then a job whose tasks may not be
// repeated starts a thousand of them. Some starts take 30 ms. Given up after 20, each
// was stopped just after it had begun, and the caller was told that its job was cut off.
func TestStartThatMayNotBeRepeatedIsWaitedForLonger(t *testing.T) {
	f := newFixture(t)
	for range 60 {
		f.responses.observe(2 * time.Millisecond)
	}
	usual, once := f.order(1), f.order(2)
	once.Once = true
	f.is.Equal(f.take(f.Order(f.now, usual)).Starts[0].ResponseTimeout, minResponseTimeout)
	f.is.Equal(f.take(f.Order(f.now, once)).Starts[0].ResponseTimeout, maxResponseTimeout)
}

// A backend server answers starts in 2 ms, and its lists, of a thousand tasks on a busy
// host, in 60. Each list is waited for longer than the one that did not come, so that
// the lease is extended before it runs out and nothing is cut off.
func TestListsThatAreSlowAreWaitedFor(t *testing.T) {
	f := newFixture(t)
	for range 60 {
		f.responses.observe(2 * time.Millisecond)
	}
	for want := minResponseTimeout; want < maxResponseTimeout; want *= 2 {
		c, ok := f.Hold(f.now)
		f.is.True(ok)
		f.is.True(c.ResponseTimeout >= want)
		f.take(f.HoldFailed(f.now, c, NoAnswer))
	}
	c, _ := f.Hold(f.now)
	f.is.Equal(c.ResponseTimeout, maxResponseTimeout)
}
