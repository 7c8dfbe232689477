package worker

import (
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// missHold makes a hold call that gets no answer.
func (f *fixture) missHold() {
	f.advance(20 * time.Millisecond)
	c, ok := f.Hold(f.now)
	f.is.True(ok)
	f.collect(f.HoldFailed(f.now, c, NoAnswer))
}

// startUnanswered delivers an order whose start gets no answer.
func (f *fixture) startUnanswered(o Order) {
	starts := f.collect(f.Order(f.now, o)).Starts
	f.is.Equal(len(starts), 1)
	f.collect(f.StartAnswered(f.now, starts[0].Instance, starts[0].Run, StartUnknown, ""))
}

// A server has crashed, which shows first by a hold without an answer. A start is sent before more
// holds are missed. The server was silent before that start and stays silent, so its run must not
// become a suspect: after one more loss its job would fail. The run from before stays one.
func TestStartToASilentServerIsNoSuspect(t *testing.T) {
	for name, end := range map[string]func(*fixture){
		"replaced":      func(f *fixture) { f.report("i-2", 1, false) },
		"lease expired": func(f *fixture) { f.crashServer() },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.send(f.order(0))
			f.missHold()
			f.startUnanswered(f.order(1))
			end(f)
			f.is.Equal(len(f.ended()), 2)
			f.is.Equal(f.ended()[1].Run, f.order(1).Run)
			f.is.Equal(f.ended()[1].End, job.Lapsed)
			lost := f.losses(Ended)
			f.is.Equal(len(lost), 1)
			f.is.Equal(lost[0].Run, f.order(0).Run)
			f.is.Equal(lost[0].Suspects, 2)
			f.is.Equal(len(f.claim(bestEffortShard, 1, 2).Lost), 1)
		})
	}
}

// The same with a server that comes back under its ID. The start is barred there, and its run ends
// without a suspicion.
func TestStartToASilentServerIsNoSuspectAfterItsRestart(t *testing.T) {
	f := newServerFixture(t)
	f.fixture.hold()
	f.missHold()
	f.startUnanswered(f.order(0))
	f.restart()
	f.report()
	f.hold()
	f.is.Equal(len(f.stops), 1)
	f.collect(f.StopAnswered(f.now, f.stops[0].Instance, f.stops[0].Run, true))
	f.hold()
	f.is.Equal(len(f.ended()), 1)
	f.is.Equal(f.ended()[0].End, job.Lapsed)
	f.is.Equal(f.ended()[0].Loss, NotLost)
}

// A start is sent to a server that has missed a hold, and the server proves to be alive after the
// hold, or to have the run. The run may have crashed it then, and must stay a suspect: a task that
// crashes its servers would not be given up.
func TestStartToAServerThatIsAliveIsASuspect(t *testing.T) {
	for name, prepare := range map[string]func(*fixture){
		"no hold missed":       func(f *fixture) { f.startUnanswered(f.order(1)) },
		"hold answered":        func(f *fixture) { f.missHold(); f.hold(); f.startUnanswered(f.order(1)) },
		"other start answered": func(f *fixture) { f.missHold(); f.send(f.order(0)); f.startUnanswered(f.order(1)) },
		"reported":             func(f *fixture) { f.missHold(); f.report("i-1", 2, false); f.startUnanswered(f.order(1)) },
		"start answered":       func(f *fixture) { f.missHold(); f.send(f.order(1)) },
		"listed": func(f *fixture) {
			f.missHold()
			f.startUnanswered(f.order(1))
			f.active[f.order(1).Run] = true
			f.hold()
		},
		"answered after a hold": func(f *fixture) { f.missHold(); f.startUnanswered(f.order(1)); f.hold() },
		"stop answered": func(f *fixture) {
			f.send(f.order(0))
			f.missHold()
			f.collect(f.StopAnswered(f.now, job.Instance{ID: "i-1"}, f.order(0).Run, true))
			f.startUnanswered(f.order(1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			prepare(f)
			f.report("i-2", 1, false)
			suspects := make(map[job.RunID]Loss)
			for _, s := range f.losses(Ended) {
				suspects[s.Run] = s.Loss
			}
			f.is.Equal(suspects[f.order(1).Run], LossConfirmed)
		})
	}
}

// A start is under way when a silent server comes back under its ID, the new incarnation may have
// carried it out, and that is lost too. The run must be a suspect of the second loss.
func TestStartToASilentServerIsASuspectOfTheNextLoss(t *testing.T) {
	f := newServerFixture(t)
	f.fixture.hold()
	f.missHold()
	f.startUnanswered(f.order(0))
	f.restart()
	f.report()
	f.reportAs(job.Instance{ID: "i-2", StartedMS: 9000}, 1)
	f.is.Equal(len(f.losses(Ended)), 1)
	f.is.Equal(f.losses(Ended)[0].Instance, f.instance)
}

// A backend server answers starts but no holds. Its lease has expired once, and a run is started
// after that. If the expiry didn't come again, nothing would ever end the run, and its job would be
// shown as active for good.
func TestRunStartedAfterTheLeaseHasExpiredExpiresToo(t *testing.T) {
	f := newFixture(t)
	f.hold()
	f.missHold()
	f.advance(2 * testBounds.Lease)
	f.collect(f.Tick(f.now))
	f.claim(bestEffortShard, 1, 1)
	f.is.Equal(len(f.send(f.order(0)).Starts), 1)
	f.missHold()
	f.is.Equal(len(f.ended()), 0)
	f.advance(2 * testBounds.Lease)
	f.claim(bestEffortShard, 1, 1)
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.ended()), 1)
	f.is.Equal(f.ended()[0].Reason, "lease_expired")
	f.is.Equal(f.Load(f.now).Running, 0)
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.ended()), 1)
}

// An end was replaced, so the lease has to expire before other ends are acknowledged, and the backend
// server falls silent. The runs beside it must expire like all others, or their jobs never end.
func TestRunsExpireWhileAReplacedEndIsWaitedOut(t *testing.T) {
	f := newFixture(t)
	f.claim(recordedShard, 1, 1)
	replaced, other := f.order(0), f.order(1)
	replaced.Shard, other.Shard = recordedShard, recordedShard
	f.send(replaced)
	f.send(other)
	f.hold()
	f.endRun(replaced.Run, job.Done)
	f.hold()
	f.Settled(replaced.Run, true)
	for range 40 {
		f.missHold()
		f.advance(100 * time.Millisecond)
		f.claim(recordedShard, 1, 1)
		f.collect(f.Tick(f.now))
	}
	ended := f.ended()
	f.is.Equal(ended[len(ended)-1].Run, other.Run)
	f.is.Equal(ended[len(ended)-1].Reason, "lease_expired")
}
