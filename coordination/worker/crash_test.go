package worker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/job"
)

// losses returns the collected states of the given status for runs lost with their server.
func (f *fixture) losses(status Status) []RunState {
	var out []RunState
	for _, e := range f.events {
		if e.State.Loss != NotLost && e.State.Status == status {
			out = append(out, e.State)
		}
	}
	return out
}

// crashServer removes all runs from the backend server and lets its holds fail until the lease
// has expired.
func (f *fixture) crashServer() {
	clear(f.active)
	f.ends = nil
	for range 30 {
		f.advance(50 * time.Millisecond)
		if c, ok := f.Hold(f.now); ok {
			f.collect(f.HoldFailed(f.now, c, NotSent))
		}
		f.collect(f.Tick(f.now))
	}
}

// A backend server crashes under two runs and returns as another instance. The owner is told
// with each lost run that there were two suspects, and later that it was a crash.
func TestCrashNamesItsSuspects(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.send(f.order(1))
	f.crashServer()
	lost := f.losses(Ended)
	f.is.Equal(len(lost), 2)
	for _, s := range lost {
		f.is.Equal(s.Loss, LossSuspected)
		f.is.Equal(s.Suspects, 2)
		f.is.Equal(s.Instance, job.Instance{ID: "i-1"})
	}
	f.advance(2 * time.Second)
	f.report("i-2", 1, false)
	news := f.losses(LossUpdate)
	f.is.Equal(len(news), 2)
	f.is.Equal(news[0].Loss, LossConfirmed)
}

// A new instance reports before the old one's lease has expired. The crash is confirmed at
// once.
func TestQuickReturnIsACrashAtOnce(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.report("i-2", 1, false)
	f.is.Equal(f.losses(Ended)[0].Loss, LossConfirmed)
	f.is.Equal(len(f.losses(LossUpdate)), 0)
}

// A backend server is cut off for longer than its lease, or its host is suspended, and it
// answers again as the same instance. Nothing has crashed, so its runs are cleared of
// suspicion.
func TestSameInstanceClearsItsRuns(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.crashServer()
	f.is.Equal(f.losses(Ended)[0].Loss, LossSuspected)
	f.hold()
	news := f.losses(LossUpdate)
	f.is.Equal(len(news), 1)
	f.is.Equal(news[0].Loss, LossCleared)
}

// A backend server that drains or has deregistered ends as planned, and a planned stop of the
// agent ends its server too. The runs on it must not become suspects.
func TestPlannedEndsRaiseNoSuspicion(t *testing.T) {
	for name, end := range map[string]func(*fixture){
		"draining": func(f *fixture) { f.report("i-1", 2, true); f.crashServer(); f.report("i-2", 1, false) },
		"replaced": func(f *fixture) { f.report("i-1", 2, true); f.report("i-2", 1, false) },
		"left":     func(f *fixture) { f.collect(f.Deregistered(job.Instance{ID: "i-1"})); f.report("i-2", 1, false) },
		"stopping": func(f *fixture) { f.Drain(); f.crashServer(); f.report("i-2", 1, false) },
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

// The owner of a lost run dies before it learns of the loss. The answer to its successor's
// claim names the loss. What becomes of the server is reported to the successor, and again with
// the next claim if a link is lost.
func TestLossIsReportedToTheNextOwner(t *testing.T) {
	f := newFixture(t)
	f.claim(recordedShard, 5, 1)
	o := f.order(0)
	o.Shard, o.Epoch = recordedShard, 5
	f.send(o)
	f.crashServer()
	answer := f.claim(recordedShard, 6, 2)
	f.is.Equal(len(answer.Runs), 0)
	f.is.Equal(len(answer.Lost), 1)
	f.is.Equal(answer.Lost[0].Loss, LossSuspected)
	f.report("i-2", 1, false)
	f.is.Equal(f.events[len(f.events)-1].Epoch, int64(6))
	// The link that carried the report was lost, and a new one is made.
	f.is.Equal(f.claim(recordedShard, 6, 3).Lost[0].Loss, LossConfirmed)
	f.advance(lostRetention + time.Second)
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.claim(recordedShard, 6, 4).Lost), 0)
}

// Two tasks under which servers were lost arrive at one server. If both ran at the same time,
// the next crash would have two suspects again, so the second waits until the first has ended.
func TestSuspectsAreKeptApart(t *testing.T) {
	f := newFixture(t)
	first, second := f.order(0), f.order(1)
	first.Isolation, second.Isolation = ApartFromSuspects, ApartFromSuspects
	f.send(first)
	f.is.Equal(len(f.send(second).Starts), 0)
	f.is.Equal(len(f.send(f.order(2)).Starts), 1) // runs without isolation still start
	f.is.Equal(f.Load(f.now).Suspects, 2)
	f.endRun(first.Run, job.Done)
	f.hold()
	f.is.Equal(len(f.active), 2)
}

// A task under which two servers were lost waits until the server is empty and then has it
// exclusively for its estimated run time. Nothing that arrives meanwhile starts beside it, and
// owners see no free capacity. A task that takes longer than estimated does not keep the server
// to itself.
func TestSuspectRunsAlone(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	suspect := f.order(1)
	suspect.Isolation = Exclusive
	f.is.Equal(len(f.send(suspect).Starts), 0)
	f.is.Equal(f.Load(f.now).Free, job.Demand{})
	other := f.order(2)
	f.is.Equal(len(f.send(other).Starts), 0)
	f.endRun(f.order(0).Run, job.Done)
	f.hold()
	f.is.Equal(f.active, map[job.RunID]bool{suspect.Run: true})
	f.advance(100 * time.Millisecond)
	f.hold()
	f.is.Equal(len(f.active), 1)
	f.advance(100 * time.Millisecond)
	f.hold()
	f.is.Equal(len(f.active), 2)
}

// The runs that were lost with a server which does not return are remembered only for a limited
// time.
func TestLossIsForgotten(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.send(f.order(0))
	f.crashServer()
	f.advance(lostRetention + time.Second)
	f.collect(f.Tick(f.now))
	f.report("i-2", 1, false)
	is.Equal(len(f.losses(LossUpdate)), 0)
}

// A backend server is cut off until its lease has expired, returns, and crashes later under
// another run. The first run was lost with the lease and not with the crash. If the answer to
// the next claim reported it as crashed, its task would be suspected wrongly.
func TestLaterCrashIsNotOfEarlierRuns(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.crashServer()
	f.hold() // the same instance
	f.claim(bestEffortShard, 1, 2)
	second := f.order(1)
	second.Session = 2
	f.send(second)
	f.is.Equal(len(f.active), 1)
	f.advance(100 * time.Millisecond)
	f.report("i-2", 1, false)
	what := make(map[job.RunID]Loss)
	for _, s := range f.claim(bestEffortShard, 1, 3).Lost {
		what[s.Run] = s.Loss
	}
	f.is.Equal(what, map[job.RunID]Loss{f.order(0).Run: LossCleared, f.order(1).Run: LossConfirmed})
}
