package worker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/job"
)

// losses returns what was told of runs that were lost with their server.
func (f *fixture) losses(status Status) []RunState {
	var out []RunState
	for _, e := range f.got {
		if e.State.Loss != NotLost && e.State.Status == status {
			out = append(out, e.State)
		}
	}
	return out
}

// crash has the backend server go away with all that runs there, until its lease is over.
func (f *fixture) crash() {
	clear(f.alive)
	f.ends = nil
	for range 30 {
		f.pass(50 * time.Millisecond)
		if c, ok := f.Hold(f.now); ok {
			f.take(f.HoldFailed(f.now, c, NotSent))
		}
		f.take(f.Tick(f.now))
	}
}

// A backend server crashes under two runs and is back as another instance. Their owner is
// told with each that there were two suspects, and later that it was a crash.
func TestCrashNamesItsSuspects(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.send(f.order(1))
	f.crash()
	lost := f.losses(Ended)
	f.is.Equal(len(lost), 2)
	for _, s := range lost {
		f.is.Equal(s.Loss, LossSuspected)
		f.is.Equal(s.Suspects, 2)
		f.is.Equal(s.Instance, "i-1")
	}
	f.pass(2 * time.Second)
	f.report("i-2", 1, false)
	news := f.losses(LossUpdate)
	f.is.Equal(len(news), 2)
	f.is.Equal(news[0].Loss, LossConfirmed)
}

// The new instance reports before the lease of the old one is over.
func TestQuickReturnIsACrashAtOnce(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.report("i-2", 1, false)
	f.is.Equal(f.losses(Ended)[0].Loss, LossConfirmed)
	f.is.Equal(len(f.losses(LossUpdate)), 0)
}

// A backend server is cut off for longer than its lease, or its host was suspended, and
// answers again as the same instance: nothing has crashed.
func TestSameInstanceClearsItsRuns(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.crash()
	f.is.Equal(f.losses(Ended)[0].Loss, LossSuspected)
	f.hold()
	news := f.losses(LossUpdate)
	f.is.Equal(len(news), 1)
	f.is.Equal(news[0].Loss, LossCleared)
}

// A backend server that drains, or has said that it leaves, ends as planned, and a stop of
// the agent takes it along: its runs have done nothing.
func TestPlannedEndsRaiseNoSuspicion(t *testing.T) {
	for name, end := range map[string]func(*fixture){
		"draining": func(f *fixture) { f.report("i-1", 2, true); f.crash(); f.report("i-2", 1, false) },
		"replaced": func(f *fixture) { f.report("i-1", 2, true); f.report("i-2", 1, false) },
		"left":     func(f *fixture) { f.take(f.Deregistered("i-1")); f.report("i-2", 1, false) },
		"stopping": func(f *fixture) { f.Drain(); f.crash(); f.report("i-2", 1, false) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.send(f.order(0))
			end(f)
			f.is.Equal(len(f.losses(Ended)), 0)
			f.is.Equal(len(f.losses(LossUpdate)), 0)
		})
	}
}

// The owner of a lost run dies before the news of the loss came to it. Its successor's
// claim is answered with the loss, and what becomes of the server goes to the successor, also
// with the next link if one is lost.
func TestLossIsToldToTheNextOwner(t *testing.T) {
	f := newFixture(t)
	f.claim(recorded, 5, 1)
	o := f.order(0)
	o.Shard, o.Epoch = recorded, 5
	f.send(o)
	f.crash()
	answer := f.claim(recorded, 6, 2)
	f.is.Equal(len(answer.Runs), 0)
	f.is.Equal(len(answer.Lost), 1)
	f.is.Equal(answer.Lost[0].Loss, LossSuspected)
	f.report("i-2", 1, false)
	f.is.Equal(f.got[len(f.got)-1].Epoch, int64(6))
	// The link with that news was lost, and another is made.
	f.is.Equal(f.claim(recorded, 6, 3).Lost[0].Loss, LossConfirmed)
	f.pass(lostRetention + time.Second)
	f.take(f.Tick(f.now))
	f.is.Equal(len(f.claim(recorded, 6, 4).Lost), 0)
}

// Two tasks under which servers were lost come to one server. Started together, the next
// crash would have two suspects again; the second waits until the first has ended.
func TestSuspectsAreKeptApart(t *testing.T) {
	f := newFixture(t)
	first, second := f.order(0), f.order(1)
	first.Isolation, second.Isolation = ApartFromSuspects, ApartFromSuspects
	f.send(first)
	f.is.Equal(len(f.send(second).Starts), 0)
	f.is.Equal(len(f.send(f.order(2)).Starts), 1) // others go on
	f.is.Equal(f.Load(f.now).Suspects, 2)
	f.end(first.Run, job.Done)
	f.hold()
	f.is.Equal(len(f.alive), 2)
}

// A task under which two servers were lost waits until the server is empty, and has it for
// itself for its expected time; nothing that comes meanwhile starts beside it, and owners
// see no room. One that takes longer than it was expected to doesn't keep the server.
func TestSuspectRunsAlone(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	suspect := f.order(1)
	suspect.Isolation = Exclusive
	f.is.Equal(len(f.send(suspect).Starts), 0)
	f.is.Equal(f.Load(f.now).Free, job.Demand{})
	other := f.order(2)
	f.is.Equal(len(f.send(other).Starts), 0)
	f.end(f.order(0).Run, job.Done)
	f.hold()
	f.is.Equal(f.alive, map[job.RunID]bool{suspect.Run: true})
	f.pass(100 * time.Millisecond)
	f.hold()
	f.is.Equal(len(f.alive), 1)
	f.pass(100 * time.Millisecond)
	f.hold()
	f.is.Equal(len(f.alive), 2)
}

// What a server that stays away was lost with is not remembered for ever.
func TestLossIsForgotten(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.send(f.order(0))
	f.crash()
	f.pass(lostRetention + time.Second)
	f.take(f.Tick(f.now))
	f.report("i-2", 1, false)
	is.Equal(len(f.losses(LossUpdate)), 0)
}

// A backend server is cut off until its lease is over, is there again, and crashes later
// under another run. The first run was lost with the lease and not with a crash; told of as
// crashed with the next claim, its task would be under suspicion for nothing.
func TestLaterCrashIsNotOfEarlierRuns(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.crash()
	f.hold() // the same instance
	f.claim(private, 1, 2)
	second := f.order(1)
	second.Session = 2
	f.send(second)
	f.is.Equal(len(f.alive), 1)
	f.pass(100 * time.Millisecond)
	f.report("i-2", 1, false)
	what := make(map[job.RunID]Loss)
	for _, s := range f.claim(private, 1, 3).Lost {
		what[s.Run] = s.Loss
	}
	f.is.Equal(what, map[job.RunID]Loss{f.order(0).Run: LossCleared, f.order(1).Run: LossConfirmed})
}
