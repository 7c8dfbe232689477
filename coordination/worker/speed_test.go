package worker

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/job"
)

// speedFixture is a fixture whose worker learns the speed of its backend server.
func speedFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	f.bounds.LearnSpeed = true
	return f
}

// fixtureOfSpeed is a fixture whose backend server has a known speed.
func fixtureOfSpeed(t *testing.T, speed float64) *fixture {
	t.Helper()
	f := speedFixture(t)
	f.is.True(f.RestoreSpeed(f.now, Speed{Instance: job.Instance{ID: "i-1"}, Speed: speed, Runs: 600}))
	return f
}

// play plays runs that are expected to take 400 ms and take work.
func (f *fixture) play(runs int, work time.Duration) {
	for range runs {
		f.playOne(func(*Order) {}, work)
	}
}

// playOne plays one run whose order change has changed.
func (f *fixture) playOne(change func(*Order), work time.Duration) {
	o := f.order(len(f.ends))
	o.Estimate = 400 * time.Millisecond
	change(&o)
	f.send(o)
	f.advance(work)
	f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))
	f.endRun(o.Run, job.Done)
	f.hold()
	f.Settled(o.Run, false)
	f.hold()
}

// Load pattern: a server that is .6 as fast as expected, for good. Guards against a speed that
// isn't learned from ends, and against one that counts as passing slowness.
func TestSpeedIsLearnedFromEnds(t *testing.T) {
	f := speedFixture(t)
	f.is.Equal(f.Load(f.now).Speed, 0.0)
	f.play(60, 667*time.Millisecond)
	l := f.Load(f.now)
	f.is.True(math.Abs(l.Speed-0.6) < 0.06)
	f.is.True(l.SpeedRuns >= 24)
	f.is.Equal(l.Slowdown, 1.0)
}

// Guards against decisions that change although the deployment doesn't ask for speeds.
func TestSpeedStaysUnknownUnlessAskedFor(t *testing.T) {
	f := newFixture(t)
	f.RestoreSpeed(f.now, Speed{Instance: job.Instance{ID: "i-1"}, Speed: 0.5, Runs: 600})
	f.play(60, 800*time.Millisecond)
	l := f.Load(f.now)
	f.is.Equal(l.Speed, 0.0)
	f.is.Equal(l.SpeedRuns, 0)
	f.send(f.order(1000))
	f.is.Equal(f.Load(f.now).Turnover, 50*time.Millisecond)
	f.is.True(l.Slowdown > 1.5)
}

// Load pattern: a server of speed 2 turns as slow as one of speed .8. Guards against a slowdown
// that is measured against other servers, which a fast server would hide.
func TestSlowdownIsRelativeToTheServersOwnSpeed(t *testing.T) {
	f := fixtureOfSpeed(t, 2)
	f.play(10, 500*time.Millisecond)
	f.is.True(f.Load(f.now).Slowdown > 1.5)
}

// Load pattern: two runs and one order that waits, on servers of speed .5 and 2. Guards against
// backlog, turnover and slack that are those of a server of speed 1.
func TestLoadIsInLocalTime(t *testing.T) {
	for _, c := range []struct {
		speed             float64
		turnover, backlog time.Duration
		urgent            time.Duration // the part of the backlog that has to start within 200 ms
	}{
		{0.5, 200 * time.Millisecond / 3, 320 * time.Millisecond, 320 * time.Millisecond},
		{1, 100 * time.Millisecond / 3, 160 * time.Millisecond, 0},
		{2, 50 * time.Millisecond / 3, 80 * time.Millisecond, 0},
	} {
		f := fixtureOfSpeed(t, c.speed)
		for i := range 3 {
			o := f.order(i)
			o.Due = f.now + 320*time.Millisecond
			f.send(o)
		}
		l := f.Load(f.now)
		f.is.True(math.Abs(float64(l.Turnover-c.turnover)) < 10) // rounding
		f.is.Equal(l.Backlog, c.backlog)
		f.is.Equal(l.Ahead[3], c.urgent)
		f.is.Equal(l.Speed, c.speed)
	}
}

// Load pattern: a full server and an order that can just wait. Guards against a slow server that
// keeps it until it is late, and a fast one that returns what it could serve in time.
func TestOrderIsReturnedByTheServersOwnSpeed(t *testing.T) {
	for _, c := range []struct {
		speed    float64
		returned bool
	}{{0.6, true}, {2, false}} {
		f := fixtureOfSpeed(t, c.speed)
		f.send(f.order(0))
		f.send(f.order(1))
		o := f.order(2)
		o.Due = f.now + 240*time.Millisecond
		f.send(o)
		f.is.Equal(len(f.ended()) == 1, c.returned)
	}
}

// Load pattern: orders of unlike length wait. On a slow server the long one has to start first,
// though it is due later. Guards against an order of starts that is right at speed 1 only.
func TestWaitingOrdersStartByTheServersOwnSpeed(t *testing.T) {
	for _, c := range []struct {
		speed float64
		first int
	}{{0.5, 3}, {1, 2}} {
		f := fixtureOfSpeed(t, c.speed)
		f.send(f.order(0))
		f.send(f.order(1))
		short, long := f.order(2), f.order(3)
		short.Due = f.now + 1000*time.Millisecond
		long.Due, long.Estimate = f.now+1300*time.Millisecond, 350*time.Millisecond
		f.send(short)
		f.send(long)
		f.endRun(f.order(0).Run, job.Done)
		f.hold()
		f.is.True(f.active[f.order(c.first).Run])
	}
}

// stalledAfter returns after how long runs of 200 ms that never end count as a stall.
func stalledAfter(f *fixture, runs int) time.Duration {
	f.collect(f.Report(f.now, Server{Instance: job.Instance{ID: "i-1"}, Service: "desk", Capacity: job.Demand{CPUMillis: 16000, MemoryMB: 1000}, Seq: 2}, f.clock))
	for i := range runs {
		o := f.order(i)
		o.Estimate = 200 * time.Millisecond
		f.send(o)
	}
	began := f.now
	for f.now-began < 2*time.Second {
		f.advance(10 * time.Millisecond)
		f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))
		f.hold()
		if f.Stats().Stalled > 0 {
			return f.now - began
		}
	}
	return 0
}

// Load pattern: six runs. A server of speed .5 takes 400 ms for each. Guards against runs that are
// stopped on a slow server because they take long, and against a fast one that hangs unnoticed.
func TestStallIsDetectedByTheServersOwnSpeed(t *testing.T) {
	is := is.New(t)
	slow, usual, fast := stalledAfter(fixtureOfSpeed(t, 0.5), 6), stalledAfter(fixtureOfSpeed(t, 1), 6), stalledAfter(fixtureOfSpeed(t, 2), 6)
	is.Equal(usual, stalledAfter(newFixture(t), 6))
	is.True(slow > 400*time.Millisecond)
	is.True(fast > 0 && fast < usual)
}

// Guards against a speed that passes to another kind of server, or to one that restarted.
func TestNewInstanceDropsTheSpeed(t *testing.T) {
	f := fixtureOfSpeed(t, 0.5)
	f.is.Equal(f.Load(f.now).Speed, 0.5)
	f.report("i-2", 1, false)
	f.is.Equal(f.Load(f.now).Speed, 0.0)
	f.send(f.order(0))
	f.is.Equal(f.Load(f.now).Turnover, 50*time.Millisecond)
}

// Guards against a stored speed that is taken for another instance, or never taken because the
// server reports after it was read.
func TestStoredSpeedIsForOneInstance(t *testing.T) {
	is := is.New(t)
	stored := Speed{Instance: job.Instance{ID: "i", StartedMS: 1000}, Speed: 1.6, Runs: 80}
	speedOf := func(reported job.Instance) float64 {
		b := testBounds
		b.LearnSpeed = true
		w := New(b)
		is.True(w.RestoreSpeed(time.Hour, stored))
		w.Report(time.Hour, Server{Instance: reported, Service: "desk", Seq: 1}, 5)
		l := w.Load(time.Hour)
		is.True(l.SpeedRuns < stored.Runs)
		return l.Speed
	}
	is.True(math.Abs(speedOf(stored.Instance)-1.6) < 1e-9)
	is.Equal(speedOf(job.Instance{ID: "i", StartedMS: 2000}), 0.0)
	is.Equal(speedOf(job.Instance{ID: "j", StartedMS: 1000}), 0.0)
}

// Guards against notes of another writer that make the speed NaN or infinite.
func TestImpossibleStoredSpeedIsRejected(t *testing.T) {
	f := speedFixture(t)
	for _, v := range []float64{-1, 0, math.NaN(), math.Inf(1)} {
		f.is.True(!f.RestoreSpeed(f.now, Speed{Instance: job.Instance{ID: "i-1"}, Speed: v, Runs: 100}))
	}
	f.is.True(!f.RestoreSpeed(f.now, Speed{Instance: job.Instance{ID: "i-1"}, Speed: 2, Runs: -1}))
	f.is.Equal(f.Load(f.now).Speed, 0.0)
}

// Guards against a speed that is learned from runs that say nothing of it: on a cold server, from a
// checkpoint, with an end that a missed hold hid, or with an unanswered start.
func TestSpeedIsNotLearnedFromOtherRuns(t *testing.T) {
	const work = 800 * time.Millisecond
	usual := func(*Order) {}
	for name, one := range map[string]func(f *fixture){
		"cold": func(f *fixture) {
			f.collect(f.Report(f.now, Server{Instance: job.Instance{ID: "i-1"}, Service: "desk", Labels: []string{"a"}, Capacity: job.Demand{CPUMillis: 3200, MemoryMB: 1000}, ColdRemaining: time.Second, Seq: f.server.Seq + 1}, f.clock))
			f.playOne(usual, work)
		},
		"checkpoint":  func(f *fixture) { f.playOne(func(o *Order) { o.Checkpoint = "c" }, work) },
		"missed hold": func(f *fixture) { f.playMissed(work) },
		"no answer":   func(f *fixture) { f.playUnanswered(work) },
	} {
		t.Run(name, func(t *testing.T) {
			f := speedFixture(t)
			for range 60 {
				one(f)
			}
			f.is.Equal(f.Load(f.now).SpeedRuns, 0)
			f.play(60, work) // the same runs without that are learned from
			f.is.True(f.Load(f.now).SpeedRuns > 0)
		})
	}
}

// playMissed plays a run whose end comes after a hold without an answer.
func (f *fixture) playMissed(work time.Duration) {
	o := f.order(len(f.ends))
	o.Estimate = 400 * time.Millisecond
	f.send(o)
	f.advance(work)
	f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))
	f.endRun(o.Run, job.Done)
	c, _ := f.Hold(f.now)
	f.collect(f.HoldFailed(f.now, c, NoAnswer))
	f.hold()
	f.Settled(o.Run, false)
	f.hold()
}

// playUnanswered plays a run whose start got no answer.
func (f *fixture) playUnanswered(work time.Duration) {
	o := f.order(len(f.ends))
	o.Estimate = 400 * time.Millisecond
	for _, s := range f.collect(f.Order(f.now, o)).Starts {
		f.active[s.Run] = true
		f.collect(f.StartAnswered(f.now, s.Instance, s.Run, StartUnknown, ""))
	}
	f.hold()
	f.advance(work)
	f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))
	f.endRun(o.Run, job.Done)
	f.hold()
	f.Settled(o.Run, false)
	f.hold()
}

// A warm server reports while its runs are active. Guards against each report passing for the end
// of a cold period, so that only runs shorter than its interval would be learned from.
func TestReportsOfAWarmServerDontHinderLearning(t *testing.T) {
	f := speedFixture(t)
	for i := range 60 {
		o := f.order(i)
		o.Estimate = 400 * time.Millisecond
		f.send(o)
		f.advance(200 * time.Millisecond)
		f.report("i-1", int64(i+2), false)
		f.advance(200 * time.Millisecond)
		f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))
		f.endRun(o.Run, job.Done)
		f.hold()
		f.Settled(o.Run, false)
		f.hold()
	}
	f.is.True(f.Load(f.now).SpeedRuns >= 24)
}

// Load pattern: an exclusive run and an order that waits, on a server of speed .5. Guards against
// a neighbour that is started while the run has its server to itself and is lost with it.
func TestExclusiveRunHasASlowServerForAsLongAsItTakes(t *testing.T) {
	f := fixtureOfSpeed(t, 0.5)
	o := f.order(0)
	o.Estimate, o.Isolation = 300*time.Millisecond, Exclusive
	f.send(o)
	f.advance(400 * time.Millisecond)
	f.Heard(f.now, "owner-"+strconv.Itoa(bestEffortShard))
	f.is.Equal(len(f.send(f.order(1)).Starts), 0)
	f.advance(300 * time.Millisecond)
	f.hold()
	f.is.Equal(len(f.active), 2)
}
