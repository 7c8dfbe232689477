package limit

import (
	"sync"

	"github.com/shallotstep/shallotstep/state"
)

// Stats is what the limits have decided so far, and where they stand.
type Stats struct {
	Admitted uint64
	// Refused counts submissions by reason.
	Refused map[state.Reason]uint64
	// InFlight and Limit are in tasks.
	InFlight int64
	Limit    int64
}

type counters struct {
	mu       sync.Mutex
	admitted uint64                  // guarded by mu
	refused  map[state.Reason]uint64 // guarded by mu
}

func (c *counters) count(v Verdict) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if v.OK {
		c.admitted++
		return
	}
	if c.refused == nil {
		c.refused = make(map[state.Reason]uint64)
	}
	c.refused[v.Reason]++
}

// Stats returns a snapshot.
func (l *Limits) Stats() Stats {
	s := Stats{InFlight: l.inFlight.Load(), Limit: l.adaptive.current(), Refused: make(map[state.Reason]uint64)}
	l.stats.mu.Lock()
	defer l.stats.mu.Unlock()
	s.Admitted = l.stats.admitted
	for r, n := range l.stats.refused {
		s.Refused[r] = n
	}
	return s
}
