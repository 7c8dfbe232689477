package worker

import (
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// serverFixture is a worker whose backend server starts again under its ID.
type serverFixture struct {
	*fixture
	instance job.Instance
	// seq is the number of the server's last report.
	seq int64
}

func newServerFixture(t *testing.T) *serverFixture {
	t.Helper()
	f := &serverFixture{fixture: newFixture(t), instance: job.Instance{ID: "i-1", StartedMS: 1000}}
	for range 9 {
		f.report()
	}
	return f
}

func (f *serverFixture) report() Effects {
	f.seq++
	return f.reportAs(f.instance, f.seq)
}

func (f *serverFixture) reportAs(i job.Instance, seq int64) Effects {
	return f.collect(f.Report(f.now, Server{
		Instance: i, Service: "desk", Capacity: job.Demand{CPUMillis: 3200, MemoryMB: 1000}, Seq: seq,
	}, f.clock))
}

// restart starts the next incarnation of the server, which holds nothing and whose clock and
// numbers start anew.
func (f *serverFixture) restart() {
	f.instance.StartedMS += 5000
	f.seq, f.clock = 0, 1
	f.ends = nil
	clear(f.active)
}

// hold makes a hold call and answers it with the lists of the present incarnation.
func (f *serverFixture) hold() HoldCall {
	c, ok := f.Hold(f.now)
	f.is.True(ok)
	f.answer(c, f.instance)
	return c
}

func (f *serverFixture) answer(c HoldCall, from job.Instance) Effects {
	h := HoldResult{StartedMS: from.StartedMS, ClockMS: f.clock}
	for run := range f.active {
		h.Active = append(h.Active, ListedRun{Run: run})
	}
	for _, e := range f.ends {
		if e.Seq > c.Acked {
			h.Ends = append(h.Ends, e)
		}
	}
	fx := f.collect(f.HoldAnswered(f.now, c, h))
	f.confirmStarts(fx)
	return fx
}

// A server crashes and is back under its ID before anything else is heard of it. Its reports count
// from 1 again. If they were taken for late ones, the runs of before would hold the capacity, and
// their owners would wait for ends that never come.
func TestRestartedServerIsHeardAtOnce(t *testing.T) {
	f := newServerFixture(t)
	f.send(f.order(0))
	f.hold()
	f.restart()
	f.report()
	f.is.Equal(len(f.ended()), 1)
	f.is.Equal(f.ended()[0].End, job.Lapsed)
	f.is.Equal(f.ended()[0].Loss, LossConfirmed)
	f.is.Equal(f.ended()[0].Instance.StartedMS, int64(1000))
	f.is.Equal(f.Load(f.now).Free.CPUMillis, int64(3200))
	f.is.Equal(len(f.send(f.order(1)).Starts), 1)
}

// The ends of a restarted server are numbered from 1 again. If they counted as known, their owners
// would never hear of them; if the acknowledgements of before went on, the server would forget ends
// that nobody has seen.
func TestEndsOfRestartedServerCount(t *testing.T) {
	f := newServerFixture(t)
	for i := range 2 {
		f.send(f.order(i))
		f.endRun(f.order(i).Run, job.Done)
		f.hold()
	}
	f.is.Equal(f.hold().Acked, int64(2))
	f.restart()
	f.report()
	f.is.Equal(f.hold().Acked, int64(0))
	f.send(f.order(2))
	f.endRun(f.order(2).Run, job.Done)
	f.hold()
	last := f.ended()[len(f.ended())-1]
	f.is.Equal(last.Run, f.order(2).Run)
	f.is.Equal(last.End, job.Done)
}

// The lists of a new incarnation arrive before its first report. They end the runs of the earlier
// one, but service and capacity of the new one are unknown, so nothing may start before it reports.
func TestListsOfRestartedServerComeBeforeItsReport(t *testing.T) {
	f := newServerFixture(t)
	f.send(f.order(0))
	f.hold()
	f.restart()
	f.hold()
	f.is.Equal(f.ended()[0].End, job.Lapsed)
	f.is.True(!f.Load(f.now).Accepts)
	f.is.Equal(len(f.send(f.order(1)).Starts), 0)
	f.report()
	f.is.Equal(len(f.send(f.order(2)).Starts), 1)
}

// Messages of an earlier incarnation arrive after the first report of the new one: a report, the answer
// to a hold, and a deregistration. They must not bring back what is gone, nor end what runs now.
func TestLateMessagesOfEarlierIncarnationChangeNothing(t *testing.T) {
	f := newServerFixture(t)
	earlier := f.instance
	c, _ := f.Hold(f.now)
	f.restart()
	f.report()
	f.send(f.order(0))
	f.hold()
	before := len(f.events)
	f.reportAs(earlier, 100)
	f.active = map[job.RunID]bool{f.order(5).Run: true}
	f.answer(c, earlier)
	f.collect(f.Deregistered(earlier))
	f.is.Equal(len(f.events), before)
	f.is.Equal(f.Load(f.now).Running, 1)
	s, ok := f.Server()
	f.is.True(ok)
	f.is.Equal(s.Instance, f.instance)
}

// A server deregisters without saying when it started. If it is draining, its end is planned and no
// run is lost with it. Otherwise the message may be an earlier incarnation's, and what runs goes on.
func TestDeregistrationWithoutStartTime(t *testing.T) {
	f := newServerFixture(t)
	f.send(f.order(0))
	f.collect(f.Deregistered(job.Instance{ID: f.instance.ID}))
	f.is.Equal(f.Load(f.now).Running, 1)
	f.seq++
	f.collect(f.Report(f.now, Server{Instance: f.instance, Service: "desk", Draining: true, Seq: f.seq}, f.clock))
	f.collect(f.Deregistered(job.Instance{ID: f.instance.ID}))
	f.is.Equal(f.ended()[0].Loss, NotLost)
}

// A start is under way when the server starts again under its ID, and its answer is lost. The new
// incarnation carries the start out, since a call names its instance only by the ID. If the run
// counted as lost with the earlier incarnation, its task would be started elsewhere beside it.
func TestStartUnderWayReachesTheNextIncarnation(t *testing.T) {
	f := newServerFixture(t)
	f.hold()
	start := f.collect(f.Order(f.now, f.order(0))).Starts[0]
	f.restart()
	f.report()
	f.is.Equal(len(f.ended()), 0)
	f.active[start.Run] = true
	f.collect(f.StartAnswered(f.now, start.Instance, start.Run, StartUnknown, ""))
	f.hold()
	f.is.Equal(len(f.ended()), 0)
	f.is.Equal(f.Load(f.now).Free.CPUMillis, int64(1600))
	f.endRun(start.Run, job.Done)
	f.hold()
	f.is.Equal(f.ended()[0].End, job.Done)
	f.is.Equal(f.ended()[0].Loss, NotLost)
}

// The same with a start that was answered by the new incarnation before anything else was heard of
// it: the answer alone doesn't show which incarnation has the run.
func TestStartAnsweredByTheNextIncarnation(t *testing.T) {
	f := newServerFixture(t)
	f.hold()
	start := f.collect(f.Order(f.now, f.order(0))).Starts[0]
	f.restart()
	f.active[start.Run] = true
	f.collect(f.StartAnswered(f.now, start.Instance, start.Run, StartOK, ""))
	f.report()
	f.hold()
	f.is.Equal(len(f.ended()), 0)
	f.is.Equal(f.Load(f.now).Running, 1)
}

// A start was under way when the server crashed, and the new incarnation doesn't have the run. It
// may have crashed the server, so it counts as lost and not as never started: a task that must not
// be repeated would otherwise be started again. Before that the start is barred, since it may still
// arrive.
func TestStartUnderWayIsBarredBeforeItCountsAsLost(t *testing.T) {
	f := newServerFixture(t)
	f.hold()
	o := f.order(0)
	o.AtMostOnce = true
	start := f.collect(f.Order(f.now, o)).Starts[0]
	f.collect(f.StartAnswered(f.now, start.Instance, start.Run, StartUnknown, ""))
	f.restart()
	f.report()
	f.hold()
	f.is.Equal(len(f.ended()), 0)
	f.is.Equal(len(f.stops), 1)
	f.is.Equal(f.stops[0].Instance, f.instance)
	f.collect(f.StopAnswered(f.now, f.stops[0].Instance, f.stops[0].Run, true))
	f.hold()
	f.is.Equal(f.ended()[0].End, job.Lapsed)
	f.is.Equal(f.ended()[0].Loss, LossConfirmed)
	f.is.Equal(f.ended()[0].Instance.StartedMS, int64(1000))
}

// The clock of a restarted server starts anew. With the lease deadlines of the earlier incarnation,
// a start could stay allowed for as long as that had run.
func TestLeaseOfRestartedServerIsOnItsOwnClock(t *testing.T) {
	f := newServerFixture(t)
	f.advance(time.Minute)
	f.report()
	f.send(f.order(0))
	f.restart()
	f.report()
	c, ok := f.Hold(f.now)
	f.is.True(ok)
	f.is.True(c.Deadline <= 1+testBounds.Lease.Milliseconds())
}

// A report of another writer names a later start of the server under its ID, and is believed because
// nothing was known then. The lists of the real server must not be ignored forever.
func TestReportOfAStartThatNeverWasIsCorrected(t *testing.T) {
	f := newServerFixture(t)
	bogus := job.Instance{ID: f.instance.ID, StartedMS: 1 << 50}
	f.reportAs(bogus, 1)
	f.hold()
	f.report()
	f.hold()
	f.is.True(f.Load(f.now).Accepts)
	s, _ := f.Server()
	f.is.Equal(s.Instance, f.instance)
}

// A backend server that doesn't tell its incarnations apart is known only by its ID, and one whose
// start time becomes known is the same one.
func TestStartTimeThatBecomesKnownEndsNothing(t *testing.T) {
	f := newFixture(t)
	f.send(f.order(0))
	f.hold() // a run that was listed would count as lost with an earlier incarnation
	g := &serverFixture{fixture: f, instance: job.Instance{ID: "i-1", StartedMS: 1000}}
	g.report()
	f.is.Equal(len(f.ended()), 0)
	f.is.Equal(f.Load(f.now).Running, 1)
	g.hold()
	f.is.Equal(len(f.ended()), 0)
}
