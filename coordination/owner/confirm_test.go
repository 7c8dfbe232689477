package owner

import (
	"testing"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

const unknownID job.ID = "00000000000000ee"

// requests are the requests for a job that this owner doesn't know.
var requests = map[string]func(*fixture, func(Response)) Effects{
	"lookup": func(f *fixture, reply func(Response)) Effects { return f.Lookup(f.now, unknownID, reply) },
	"await":  func(f *fixture, reply func(Response)) Effects { return f.Await(f.now, unknownID, reply) },
	"cancel": func(f *fixture, reply func(Response)) Effects { return f.Cancel(f.now, unknownID, reply) },
}

// ask sends a request and returns where its responses go.
func (f *fixture) ask(request func(*fixture, func(Response)) Effects) *[]Response {
	got := &[]Response{}
	f.collect(request(f, func(v Response) { *got = append(*got, v) }))
	return got
}

// Guards against answering that there is no such job although a newer owner has accepted it.
func TestAbsenceIsConfirmedByTheStore(t *testing.T) {
	for name, request := range requests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil, nil, "a")
			got := f.ask(request)
			f.is.Equal(len(*got), 0)
			f.write()
			f.is.Equal((*got)[0].Outcome, Absent)

			got = f.ask(request)
			f.collect(f.Rejected(f.now, f.NextBatch(f.now), "busy"))
			f.is.Equal((*got)[0].Outcome, NotOwner)
			f.is.Equal((*f.ask(request))[0].Outcome, NotOwner) // at once while the store rejects
			f.write()

			got = f.ask(request)
			f.collect(f.Close()) // the store has fenced the write
			f.is.Equal((*got)[0].Outcome, NotOwner)
		})
	}
}

// Guards against an answer that rests on a write which was sent before the request came.
func TestWriteSentBeforeTheRequestConfirmsNothing(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(1))
	b := f.NextBatch(f.now)
	got := f.ask(requests["lookup"])
	f.collect(f.Written(f.now, b))
	f.is.Equal(len(*got), 0)
	f.write()
	f.is.Equal((*got)[0].Outcome, Absent)
}

// Guards against accepting a job again that a newer owner has cancelled, and against refusing it.
func TestKnownJobIsAcceptedAgainOnceConfirmed(t *testing.T) {
	f := newFixture(t, recordedJobs(), nil, "a")
	got := f.submit(testID, steps(1))
	f.collect(f.MarkStoreUnavailable())
	f.is.Equal((*got)[0].Outcome, Unknown)
	f.write()
	got = f.submit(testID, steps(1))
	f.is.Equal(len(*got), 0)
	f.write()
	f.is.Equal((*got)[0].Outcome, OK)
}

// Guards against serving the state from before another owner has held the shard.
func TestUnverifiedShardAnswersOnceConfirmed(t *testing.T) {
	f := newFixture(t, recordedJobs(), nil, "a")
	f.submit("00000000000000bb", steps(1))
	earlier := f.NextBatch(f.now)
	f.MarkUnverified(f.now)
	responses := []*[]Response{
		f.submit("00000000000000cc", steps(1)), f.submit(testID, steps(1)), f.cancel(testID),
		f.ask(func(f *fixture, reply func(Response)) Effects { return f.Lookup(f.now, testID, reply) }),
	}
	f.collect(f.Written(f.now, earlier)) // it was sent before
	f.is.True(f.Unverified())
	for _, got := range responses {
		f.is.Equal(len(*got), 0)
	}
	f.collect(f.Close())
	for _, got := range responses {
		f.is.Equal(len(*got), 1)
		f.is.True((*got)[0].Outcome == NotOwner || (*got)[0].Outcome == Unknown)
	}
}

// Guards against opening a shard anew that nobody else has held.
func TestNextWriteVerifiesAShard(t *testing.T) {
	f := newFixture(t, recordedJobs(), nil, "a")
	f.MarkUnverified(f.now)
	got := f.cancel(testID)
	f.write()
	f.is.True(!f.Unverified())
	f.write()
	f.is.Equal((*got)[0].Outcome, OK)
	f.is.True(!f.WriteDue(f.now + verificationDelay)) // nothing more is asked
}

// Guards against a call for each change of a group whose members join one after the other.
func TestChangesOfTheGroupAreVerifiedTogether(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.MarkUnverified(f.now)
	f.now += verificationDelay / 2
	f.MarkUnverified(f.now)
	f.is.True(!f.WriteDue(f.now))
	f.now += verificationDelay / 2
	f.is.True(f.WriteDue(f.now))
	f.write()
	f.is.True(!f.Unverified())
	f.MarkUnverified(f.now)
	f.VerifyNow(f.now)
	f.is.True(f.WriteDue(f.now))
}

// Guards against starting tasks of unreachable agents elsewhere that a newer owner has adopted.
func TestUnverifiedOwnerStartsNothingAgain(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	f.LinkLost(f.now, f.orders[0].Node, 1)
	f.MarkUnverified(f.now)
	f.now += testBounds.LostLinkTimeout
	f.collect(f.Tick(f.now))
	f.write()
	f.is.Equal(len(f.orders), 1)
}

// Guards against acknowledging the end of a job that a newer owner has accepted and not recorded yet.
func TestEndOfAnUnknownJobIsSettledOnceConfirmed(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	ended := runState(1, worker.Ended, job.Done)
	f.link("a", 2, ended)
	f.is.Equal(len(f.settled), 0)
	f.collect(f.Rejected(f.now, f.NextBatch(f.now), "busy"))
	f.is.Equal(len(f.settled), 0)
	f.write()
	f.is.Equal(f.settled, []Addressed[Settlement]{{Node: "a", Value: Settlement{Run: ended.Run}}})
}
