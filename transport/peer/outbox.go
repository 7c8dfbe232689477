// Package peer links owners and entries with agents over gRPC. A link carries
// frames both ways; whatever waits for one frame to be written goes out together
// in the next.
package peer

import (
	"context"
	"sync"
	"time"
)

const (
	// heartbeatEvery is the longest time without a frame on a link that is up.
	// What goes out anyway is a sign of life too: on a busy link no frame is
	// sent for it alone.
	heartbeatInterval = 150 * time.Millisecond
	// staticWindow is how many bytes of one stream, and of one connection, may
	// be on their way. A frame has some hundred bytes. Given a fixed window gRPC
	// does not measure the bandwidth, which costs a ping and its answer for
	// nearly each frame: half of all packets on a link.
	flowControlWindow = 1 << 20
)

// outbox gathers what goes into the next frame.
type outbox[T any] struct {
	mu     sync.Mutex
	frame  *T // guarded by mu
	closed bool
	wake   chan struct{}
}

func newOutbox[T any]() *outbox[T] {
	return &outbox[T]{wake: make(chan struct{}, 1)}
}

// add lets fill extend the next frame and has it sent at once.
func (o *outbox[T]) add(fill func(*T)) {
	if o.addWithoutWake(fill) {
		select {
		case o.wake <- struct{}{}:
		default:
		}
	}
}

// addQuietly lets fill extend the next frame, whenever that is sent: within
// heartbeatEvery. It reports whether there will be one.
func (o *outbox[T]) addWithoutWake(fill func(*T)) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	if o.frame == nil {
		o.frame = new(T)
	}
	fill(o.frame)
	return true
}

// take returns the gathered frame, an empty one if there is nothing.
func (o *outbox[T]) take() *T {
	o.mu.Lock()
	defer o.mu.Unlock()
	f := o.frame
	o.frame = nil
	if f == nil {
		f = new(T)
	}
	return f
}

// close drops what is gathered and all that comes later.
func (o *outbox[T]) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.frame = nil
}

// pump sends what is gathered, and an empty frame whenever nothing was sent for
// heartbeatEvery, until the context ends or send reports false.
func (o *outbox[T]) pump(ctx context.Context, send func(*T) bool) {
	beat := time.NewTimer(heartbeatInterval)
	defer beat.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.wake:
		case <-beat.C:
		}
		if !send(o.take()) {
			return
		}
		beat.Reset(heartbeatInterval)
	}
}
