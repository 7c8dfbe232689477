package shares

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Sums adds up, at an agent, what the callers that place work there ask for. Each caller divides
// its demand over the agents it is linked to, so that the sums of all agents are the demand of all
// callers, and a lost agent takes its part of the capacity and of the demand away together.
type Sums struct {
	mu sync.Mutex
	// callers has the last rows of each caller. Guarded by mu.
	callers map[string]news
}

// news is what a process has told last.
type news struct {
	rows []Demand
	at   time.Duration
}

// NewSums returns Sums without callers.
func NewSums() *Sums { return &Sums{callers: make(map[string]news)} }

// Update replaces what a caller asks for, and returns the number of rows that were invalid and
// dropped.
func (s *Sums) Update(now time.Duration, caller string, rows []Demand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	valid, invalid := validRows(rows)
	s.callers[caller] = news{rows: valid, at: now}
	return invalid
}

// Forget removes a caller whose link is gone.
func (s *Sums) Forget(caller string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, caller)
}

// Others returns the sum of what all callers but one ask for. It returns false for a caller that has
// not told lately what it asks for itself: the others don't hear of it either, so it must keep to its
// own part.
func (s *Sums) Others(now time.Duration, caller string) ([]Demand, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if own, ok := s.callers[caller]; !ok || now-own.at >= NewsTimeout {
		return nil, false
	}
	var rows []Demand
	for _, c := range slices.Sorted(maps.Keys(s.callers)) {
		if n := s.callers[c]; c != caller && now-n.at < NewsTimeout {
			rows = append(rows, n.rows...)
		}
	}
	return combine(rows), true
}

// validRows returns the valid ones of at most MaxRows+1 rows, and the number of the others.
func validRows(rows []Demand) (valid []Demand, invalid int) {
	for i := range rows {
		if len(valid) <= MaxRows && rows[i].Valid() {
			valid = append(valid, rows[i])
		}
	}
	return valid, len(rows) - len(valid)
}
