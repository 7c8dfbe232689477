package owner

import (
	"maps"
	"slices"
)

// MayHaveRuns reports whether any agent may have runs of this shard.
func (s *Shard) MayHaveRuns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unreconciled) > 0 {
		return true
	}
	for _, j := range s.jobs {
		if !j.rec.State.Final() {
			return true
		}
	}
	return false
}

// MayHaveRunsAt reports whether an agent may have a run of this shard, or an end that is not
// settled.
func (s *Shard) MayHaveRunsAt(node string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, awaited := s.unreconciled[node]; awaited {
		return true
	}
	for _, j := range s.jobs {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.node == node && (t.phase == ordered || t.phase == active || t.phase == stopping || len(t.unsettled) > 0) {
				return true
			}
		}
	}
	return false
}

// UnreconciledAgents returns the agents of earlier owners that have not answered a claim yet.
func (s *Shard) UnreconciledAgents() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.unreconciled))
}

// ReachableAgents returns the number of agents to which orders may go.
func (s *Shard) ReachableAgents() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for node := range s.links {
		if s.mayOrderLocked(node) {
			n++
		}
	}
	return n
}

// Closed reports whether the shard was given up.
func (s *Shard) Closed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}
