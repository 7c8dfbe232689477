package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// server plays the runs of one backend server, one after another.
type server struct {
	Estimator
	now  time.Duration
	rand *rand.Rand
	// speed and slowdown are the lasting and the passing one.
	speed, slowdown float64
	// work has the run times at speed 1, which are drawn alike.
	work []time.Duration
	// tail is the share of tasks that take seven times as long, and estimates the sigma of the
	// log-normal factor by which clients' estimates are off.
	tail, estimates float64
	// minDelay and maxDelay bound the delay with which ends are seen.
	minDelay, maxDelay time.Duration
	// interval is the time between two ends.
	interval time.Duration
}

func newServer(seed uint64, speed float64, work ...time.Duration) *server {
	return &server{
		now: time.Hour, rand: rand.New(rand.NewPCG(seed, 7)), speed: speed, slowdown: 1, work: work,
		minDelay: 2 * time.Millisecond, maxDelay: 5 * time.Millisecond, interval: 40 * time.Millisecond,
	}
}

func (s *server) run(n int) {
	for range n {
		work := s.work[s.rand.IntN(len(s.work))]
		expected := time.Duration(float64(work) * math.Exp(s.estimates*s.rand.NormFloat64()))
		took := float64(work) / s.speed * s.slowdown
		if s.rand.Float64() < s.tail {
			took *= 7
		}
		delay := s.minDelay + time.Duration(s.rand.Int64N(int64(s.maxDelay-s.minDelay)))
		s.now += s.interval
		s.Observe(s.now, expected, time.Duration(took)+delay)
	}
}

// off returns the factor by which the measured speed is off, above 1, or infinity if it is unknown.
func (s *server) off(speed float64) float64 {
	v, runs := s.Speed(s.now)
	if runs == 0 {
		return math.Inf(1)
	}
	return math.Exp(math.Abs(math.Log(v / speed)))
}

var mixed = []time.Duration{60 * time.Millisecond, 200 * time.Millisecond, 900 * time.Millisecond}

// eachSeed runs a test with ten seeds.
func eachSeed(t *testing.T, f func(is *is.I, seed uint64)) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { f(is.New(t), seed) })
	}
}

// Load pattern: uneven servers, exact estimates. Guards against speeds that aren't found, or late.
func TestUnevenSpeedsAreKnownAfterSomeDozenRuns(t *testing.T) {
	eachSeed(t, func(is *is.I, seed uint64) {
		for _, v := range []float64{0.6, 1, 1.6} {
			s := newServer(seed, v, mixed...)
			s.run(48)
			is.True(s.off(v) < 1.1)
		}
	})
}

// Guards against a speed that is taken from a few runs.
func TestSpeedIsUnknownBefore(t *testing.T) {
	is := is.New(t)
	s := newServer(1, 0.6, mixed...)
	s.run(startRuns - 1)
	v, runs := s.Speed(s.now)
	is.Equal(v, 0.0)
	is.Equal(runs, 0)
	is.Equal(s.Factor(s.now), 1.0)
}

// Load pattern: uneven servers, heavy tail, estimates that are off by a third. Guards against a tail
// or estimates that pass for the speed of a server.
func TestSpeedUnderHeavyTailAndWrongEstimates(t *testing.T) {
	eachSeed(t, func(is *is.I, seed uint64) {
		for _, v := range []float64{0.6, 1, 1.6} {
			s := newServer(seed, v, mixed...)
			s.tail, s.estimates = 0.03, 0.4
			s.run(300)
			is.True(s.off(v) < 1.1)
		}
	})
}

// Load pattern: uneven servers, short tasks beside long ones, ends seen up to 50 ms late. Guards
// against a fast server that looks slow by the delay.
func TestDelayedEndsOfShortTasksDontMakeAServerSlow(t *testing.T) {
	eachSeed(t, func(is *is.I, seed uint64) {
		for _, v := range []float64{0.6, 1, 2} {
			s := newServer(seed, v, 50*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond, 800*time.Millisecond)
			s.maxDelay = 50 * time.Millisecond
			s.run(300)
			usual := newServer(seed, 1, s.work...)
			usual.maxDelay = s.maxDelay
			usual.run(300)
			one, _ := usual.Speed(usual.now)
			is.True(s.off(v*one) < 1.1) // owners compare servers whose ends are seen alike
		}
	})
}

// Load pattern: short tasks only. Guards against a speed that never becomes known because short
// runs count little.
func TestSpeedOfShortTasksAloneIsKnown(t *testing.T) {
	is := is.New(t)
	s := newServer(1, 1.6, 50*time.Millisecond)
	s.run(startRuns)
	_, runs := s.Speed(s.now)
	is.Equal(runs, startRuns)
}

// Load pattern: a few long tasks among very many short ones. Guards against a speed that is known
// and forgotten in turn, because the short runs count for next to nothing.
func TestSpeedIsKnownBesideFewLongTasks(t *testing.T) {
	eachSeed(t, func(is *is.I, seed uint64) {
		work := make([]time.Duration, 50)
		for i := range work {
			work[i] = 5 * time.Millisecond
		}
		work[0] = time.Second
		s := newServer(seed, 1.6, work...)
		s.run(400)
		for range 100 {
			s.run(4)
			_, runs := s.Speed(s.now)
			is.True(runs >= minRuns)
		}
	})
}

// Load pattern: equal servers, heavy tail, wrong estimates. Guards against differences that are
// noise: these would move work between equal servers.
func TestEqualSpeedsStayEqual(t *testing.T) {
	eachSeed(t, func(is *is.I, seed uint64) {
		low, high := math.Inf(1), 0.0
		for i := range uint64(8) {
			s := newServer(100*seed+i, 1, mixed...)
			s.tail, s.estimates = 0.03, 0.4
			s.run(600)
			v, _ := s.Speed(s.now)
			low, high = min(low, v), max(high, v)
			is.Equal(s.Factor(s.now), 1.0)
		}
		is.True(high/low < 1.15) // a few percent to either side of the mean of eight
	})
}

// Load pattern: a server turns five times as slow for six seconds. Guards against passing slowness
// that is learned as the speed.
func TestPassingSlownessIsNotLearned(t *testing.T) {
	eachSeed(t, func(is *is.I, seed uint64) {
		s := newServer(seed, 1.6, mixed...)
		s.tail, s.estimates = 0.03, 0.4
		s.run(300)
		s.slowdown = 5
		s.run(150)
		is.True(s.off(1.6) < 1.15)
		s.slowdown = 1
		s.run(25)
		is.True(s.off(1.6) < 1.15)
	})
}

// Load pattern: a slow server gets no work for half a minute, and is as before then. Guards against
// idle time that passes for lasting slowness.
func TestIdleTimeDoesNotMakeSlownessLast(t *testing.T) {
	is := is.New(t)
	s := newServer(3, 1, mixed...)
	s.run(600)
	s.slowdown = 5
	s.run(150)
	s.slowdown = 1
	s.now += 30 * time.Second
	s.run(20)
	is.True(s.off(1) < 1.1)
}

// Load pattern: a server is five times as slow from now on. Guards against a speed that is never
// corrected.
func TestLastingChangeBecomesTheSpeed(t *testing.T) {
	eachSeed(t, func(is *is.I, seed uint64) {
		s := newServer(seed, 1, mixed...)
		s.run(300)
		s.slowdown = 5
		s.run(450) // 18 s
		is.True(s.off(1) < 1.1)
		s.run(100) // 22 s
		is.True(s.off(0.2) < 1.1)
	})
}

// Load pattern: a server gets a third faster from now on, which isn't slowness that passes. Guards
// against small changes that are never learned.
func TestSmallChangeIsLearned(t *testing.T) {
	is := is.New(t)
	s := newServer(1, 1, mixed...)
	s.run(600)
	s.speed = 1.3
	s.run(3 * memoryRuns)
	is.True(s.off(1.3) < 1.1)
}

// Guards against a speed that is kept for good at a server that gets no work.
func TestSpeedIsForgottenSlowly(t *testing.T) {
	is := is.New(t)
	s := newServer(1, 1.6, mixed...)
	s.run(300)
	s.now += memoryTime
	v, runs := s.Speed(s.now)
	is.True(runs >= minRuns && v > 1.4)
	s.now += 10 * memoryTime
	v, runs = s.Speed(s.now)
	is.Equal(v, 0.0)
	is.Equal(runs, 0)
	s.run(startRuns - 1)
	is.True(math.IsInf(s.off(1.6), 1)) // it is learned anew
	s.run(startRuns)
	is.True(s.off(1.6) < 1.1)
}

// Guards against a number of runs that grows without bound: a change would never be learned.
func TestRunsAreBounded(t *testing.T) {
	is := is.New(t)
	s := newServer(1, 1, 400*time.Millisecond)
	s.interval = time.Millisecond
	s.run(10 * memoryRuns)
	_, runs := s.Speed(s.now)
	is.True(runs <= memoryRuns)
	is.True(runs > memoryRuns/2)
}

// Guards against run times that can't be, which would make the speed NaN or infinite.
func TestImpossibleRunTimesAreIgnored(t *testing.T) {
	is := is.New(t)
	s := newServer(1, 1, mixed...)
	for range 100 {
		s.Observe(s.now, 0, time.Second)
		s.Observe(s.now, -time.Second, time.Second)
		s.Observe(s.now, time.Second, 0)
		s.Observe(s.now, time.Second, -time.Second)
	}
	_, runs := s.Speed(s.now)
	is.Equal(runs, 0)
	for range 100 {
		s.Observe(s.now, math.MaxInt64, 1)
		s.Observe(s.now, 1, math.MaxInt64)
	}
	v, _ := s.Speed(s.now)
	is.True(Valid(v, 1))
}

// Guards against a stored speed that outweighs what is measured.
func TestRestoredSpeedGivesWay(t *testing.T) {
	is := is.New(t)
	s := newServer(1, 1, mixed...)
	is.True(s.Restore(s.now, 1.3, 500))
	v, runs := s.Speed(s.now)
	is.True(math.Abs(v-1.3) < 1e-9)
	is.Equal(runs, maxRestoredRuns)
	s.run(400)
	is.True(s.off(1) < 1.1)
}

// Guards against a stored speed that can't be one.
func TestImpossibleSpeedIsNotRestored(t *testing.T) {
	is := is.New(t)
	for _, v := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e9, 1e-9} {
		var e Estimator
		is.True(!e.Restore(0, v, 100))
		_, runs := e.Speed(0)
		is.Equal(runs, 0)
	}
	var e Estimator
	is.True(!e.Restore(0, 2, 0))
	is.True(!e.Restore(0, 2, -5))
}

// Load pattern: long tasks, then very many short ones for some seconds. Guards against short runs,
// which say little, that replace what the long ones have said.
func TestShortRunsDontReplaceLongOnes(t *testing.T) {
	is := is.New(t)
	s := newServer(1, 1.6, 800*time.Millisecond)
	s.run(300)
	_, before := s.Speed(s.now)
	s.work, s.interval = []time.Duration{50 * time.Millisecond}, 5*time.Millisecond
	s.run(900)
	_, after := s.Speed(s.now)
	is.True(after >= before*3/4)
	is.True(s.off(1.6) < 1.1)
}
