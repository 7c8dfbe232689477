package worker

import (
	"testing"

	"github.com/shallotstep/shallotstep/state/job"
)

// An agent that has not seen the lists of its backend server must not say that it knows its runs.
func TestClaimNamesTheServerOnceItsListsWereSeen(t *testing.T) {
	f := newFixture(t)
	f.bounds.Incarnation = "a/2"
	f.is.Equal(f.claim(recordedShard, 1, 1).Incarnation, Incarnation{Agent: "a/2"})
	f.hold()
	f.is.Equal(f.claim(recordedShard, 1, 2).Incarnation, Incarnation{Agent: "a/2", Server: job.Instance{ID: "i-1"}})
}

// A restarted agent finds a run on its server, which then ends as planned. Whether the run may be
// repeated is not known, so the next owner has to hear of it.
func TestPlannedEndOfAFoundRunIsReportedToTheNextOwner(t *testing.T) {
	f := newFixture(t)
	f.active[f.order(0).Run] = true
	f.hold()
	f.report("i-1", 2, true)
	f.report("i-2", 1, false)
	lost := f.claim(f.order(0).Run.Task.Job.Shard(testShards), 1, 1).Lost
	f.is.Equal(len(lost), 1)
	f.is.Equal(lost[0].Run, f.order(0).Run)
	f.is.Equal(lost[0].Loss, LossCleared)
	f.is.Equal(len(f.losses(Ended)), 0) // and nothing is suspected
}

// A restarted agent's first holds go unanswered for longer than the lease. The end that the server then
// lists is of a run that this incarnation never knew, so nobody was told that it lapsed. If the end
// were settled as such, its task would be started again.
func TestFoundEndAfterAnExpiredLeaseIsReported(t *testing.T) {
	f := newFixture(t)
	f.claim(recordedShard, 1, 1)
	f.missHold()
	f.advance(2 * testBounds.Lease)
	f.collect(f.Tick(f.now))
	f.endRun(f.order(0).Run, job.Done)
	f.hold()
	f.is.Equal(len(f.ended()), 1)
	f.is.Equal(f.ended()[0].End, job.Done)
	shard := f.order(0).Run.Task.Job.Shard(testShards)
	f.is.Equal(len(f.claim(shard, 1, 1).Runs), 1) // until its owner has settled it
	f.is.Equal(f.hold().Acked, int64(0))
}
