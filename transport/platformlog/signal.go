package platformlog

import (
	"context"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
)

// signal ends the pause after a failed read when an append shows that the
// service is back. Without it whoever applies just after an outage waits for its
// outcome until the reader's pause of up to maxBackoff is over, and may be told
// that it is unknown though the log has confirmed it.
type signal struct {
	mu sync.Mutex
	// waiting holds the ends of the pauses by stream; guarded by mu.
	waiting map[coordination.Stream]chan struct{}
}

func (s *signal) give(stream coordination.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.waiting[stream]; c != nil {
		close(c)
		delete(s.waiting, stream)
	}
}

// await waits for the duration, for give or for the end of ctx.
func (s *signal) await(ctx context.Context, stream coordination.Stream, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.next(stream):
	case <-timer.C:
	case <-ctx.Done():
	}
}

// next returns a channel that the next give closes.
func (s *signal) next(stream coordination.Stream) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting == nil {
		s.waiting = make(map[coordination.Stream]chan struct{})
	}
	if s.waiting[stream] == nil {
		s.waiting[stream] = make(chan struct{})
	}
	return s.waiting[stream]
}
