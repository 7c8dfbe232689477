package backendserver

import (
	"context"
	"time"
)

// Faults is what goes wrong at a server. The zero value is a healthy one.
// Shares are from 0 (never) to 1 (always), drawn from the seed.
type Faults struct {
	// FailAll fails every task at once after starting it.
	FailAll bool
	// Refuse refuses every task as not started.
	Refuse bool
	// Slow is added to the run time of each task that starts.
	Slow time.Duration
	// Freeze stops everything, as a paused process: connections are accepted
	// by the kernel, nothing is answered, nothing is announced. What fell due
	// meanwhile is done on thawing.
	Freeze bool
	// DropRequests is the share of starts whose connection breaks before the
	// task is started.
	DropRequests float64
	// DropReplies is the share of starts whose connection breaks after the
	// task has ended, in place of the reply.
	DropReplies float64
	// DropAsks is the share of other calls that break in place of the reply.
	DropAsks float64
	// UsageLag is how long usage lines are held back.
	UsageLag time.Duration
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFaultsLocked(f)
}

func (s *Server) setFaultsLocked(f Faults) {
	if f.Freeze != s.faults.Freeze {
		if f.Freeze {
			s.thawed = make(chan struct{})
		} else {
			close(s.thawed)
		}
	}
	s.faults = f
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// draw says whether a fault with this share strikes now.
func (s *Server) draw(share float64) bool {
	if share <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < share
}

// thaw waits while the server is frozen. It returns false when ctx ended or
// the server was killed.
func (s *Server) thaw(ctx context.Context) bool {
	for {
		s.mu.Lock()
		thawed := s.thawed
		s.mu.Unlock()
		select {
		case <-thawed:
		case <-ctx.Done():
			return false
		case <-s.killed:
			return false
		}
		if !s.currentFaults().Freeze {
			return ctx.Err() == nil && !s.isDead()
		}
	}
}

func (s *Server) isDead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dead
}
