package route

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/limit"
)

const (
	// hedgeSamples is how many response times a service needs before hedging.
	hedgeSamples = 32
	// hedgeMin keeps hedges off services whose p95 is within the noise.
	hedgeMin = 5 * time.Millisecond
)

// service is what an entry learns about one service.
type service struct {
	budget *limit.RetryBudget

	mu       sync.Mutex
	jobs     limit.Window // guarded by mu; submission to answer
	requests limit.Window // guarded by mu; Assign to result
}

type services struct {
	ratio, burst float64

	mu sync.RWMutex
	m  map[string]*service // guarded by mu
}

func (s *services) init(ratio, burst float64) {
	s.ratio, s.burst = ratio, burst
	s.m = make(map[string]*service)
}

func (s *services) get(name string) *service {
	s.mu.RLock()
	sv := s.m[name]
	s.mu.RUnlock()
	if sv != nil {
		return sv
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m[name] == nil {
		s.m[name] = &service{budget: limit.NewRetryBudget(s.ratio, s.burst)}
	}
	return s.m[name]
}

func (s *service) jobDone(elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs.Add(elapsed)
}

func (s *service) requestDone(elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests.Add(elapsed)
}

// probeAfter is how long a home may be silent before it is asked again.
func (s *service) probeAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return min(probeMax, max(probeMin, probeFactor*s.jobs.Quantile(0.95)))
}

// typical is the median response time of a request, zero when unknown.
func (s *service) typical() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests.Quantile(0.5)
}

// hedgeAfter is the p95 of a request's response time; ok is false while it is
// not known.
func (s *service) hedgeAfter() (d time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.requests.Len() < hedgeSamples {
		return 0, false
	}
	return max(hedgeMin, s.requests.Quantile(0.95)), true
}
