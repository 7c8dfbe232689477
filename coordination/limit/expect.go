package limit

import (
	"math"
	"math/bits"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

const (
	// learnSamples is how many samples a class needs before it is used.
	learnSamples = 16
	// waitGain is the weight of a new sample in the expected wait.
	waitGain = 1.0 / 8
	// waitHalfLife is how fast an expected wait is forgotten without samples.
	// Without it a class that is shed wholly would never be tried again.
	waitHalfLife = time.Second
)

// class groups submissions of like response time: the service and the power of
// two of the number of tasks.
type class struct {
	service string
	size    int
}

func classOf(service string, tasks int) class {
	return class{service: service, size: bits.Len(uint(tasks))}
}

// expectation is what the ends of a class's submissions teach.
type expectation struct {
	run  Window
	wait float64   // seconds
	last time.Time // of the latest sample
}

func (e *expectation) add(now time.Time, elapsed, ran time.Duration) {
	if ran <= 0 {
		ran = elapsed
	}
	wait := e.waitAt(now)
	e.wait = wait + waitGain*(max(0, elapsed-ran).Seconds()-wait)
	e.run.Add(ran)
	e.last = now
}

// waitAt is the expected wait now, in seconds.
func (e *expectation) waitAt(now time.Time) float64 {
	idle := now.Sub(e.last).Seconds() / waitHalfLife.Seconds()
	return e.wait * math.Exp2(-max(0, idle))
}

// check refuses what would likely come too late.
func (e *expectation) check(now time.Time, deadline time.Duration) Verdict {
	if e.run.Len() < learnSamples {
		return Verdict{OK: true}
	}
	run, wait := e.run.Quantile(0.5).Seconds(), e.waitAt(now)
	spare := deadline.Seconds() - run
	switch {
	case spare >= wait:
		return Verdict{OK: true}
	case spare <= 0:
		// Too short for the run alone: coming back doesn't help.
		return Verdict{Reason: state.ReasonDeadlineUnreachable}
	}
	back := math.Log2(wait/spare) * waitHalfLife.Seconds()
	return Verdict{Reason: state.ReasonDeadlineUnreachable, RetryAfter: clampRetry(back)}
}

// expectShard holds a part of the classes.
type expectShard struct {
	mu      sync.Mutex
	classes map[class]*expectation // guarded by mu
}

func (s *expectShard) learn(now time.Time, c class, elapsed, ran time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.classes[c]
	if e == nil {
		e = &expectation{}
		s.classes[c] = e
	}
	e.add(now, elapsed, ran)
}

func (s *expectShard) check(now time.Time, c class, deadline time.Duration) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.classes[c]
	if e == nil {
		return Verdict{OK: true}
	}
	return e.check(now, deadline)
}
