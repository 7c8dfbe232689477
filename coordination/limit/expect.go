package limit

import (
	"math"
	"math/bits"
	"sync"
	"time"
)

const (
	// learnSamples is how many samples a class needs before it is used.
	learnSamples = 16
	// noLoadDrift is how fast the no-load response may grow, per second. It
	// lets a service that became slower for good be learned anew, and is slow
	// enough that minutes of overload don't pass for the normal state.
	noLoadDrift = 0.001
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

// expectation is what a class's response times teach.
type expectation struct {
	recent Window
	noLoad time.Duration
	last   time.Time // of the latest sample
}

func (e *expectation) add(now time.Time, elapsed time.Duration) {
	e.recent.Add(elapsed)
	if e.recent.Len() < learnSamples {
		e.last = now
		return
	}
	// The lower quartile, not the minimum: one lucky run must not make every
	// ordinary one look congested.
	low := e.recent.Quantile(0.25)
	if e.noLoad == 0 {
		e.noLoad = low
	}
	grown := float64(e.noLoad) * (1 + noLoadDrift*now.Sub(e.last).Seconds())
	e.noLoad = min(low, time.Duration(grown))
	e.last = now
}

// response is the response time to expect now, zero when not learned yet.
func (e *expectation) response(now time.Time) time.Duration {
	if e.noLoad == 0 {
		return 0
	}
	wait := max(0, e.recent.Quantile(0.5)-e.noLoad)
	idle := now.Sub(e.last).Seconds() / waitHalfLife.Seconds()
	return e.noLoad + time.Duration(float64(wait)*math.Exp2(-max(0, idle)))
}

// expectShard holds a part of the classes.
type expectShard struct {
	mu      sync.Mutex
	classes map[class]*expectation // guarded by mu
}

// learn records a response time and returns it over the no-load response time,
// or 1 while that is not known.
func (s *expectShard) learn(now time.Time, c class, elapsed time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.classes[c]
	if e == nil {
		e = &expectation{}
		s.classes[c] = e
	}
	e.add(now, elapsed)
	if e.noLoad == 0 {
		return 1
	}
	return float64(elapsed) / float64(e.noLoad)
}

func (s *expectShard) response(now time.Time, c class) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.classes[c]
	if e == nil {
		return 0
	}
	return e.response(now)
}
