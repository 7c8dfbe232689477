// Package peer connects owners and entries with agents over gRPC. A link carries frames in
// both directions. Content that is queued while a frame is being written is sent together in
// the next frame.
package peer

import (
	"context"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the longest time without a frame on a link that is up. Every
	// frame carries a heartbeat, so a busy link sends no extra frames for it.
	heartbeatInterval = 150 * time.Millisecond
	// flowControlWindow is the gRPC flow-control window of a stream and of a connection, in
	// bytes. A frame has a few hundred bytes. With a static window gRPC does not estimate
	// the bandwidth, which costs a ping and its answer for nearly every frame: half of all
	// packets on a link.
	flowControlWindow = 1 << 20
)

// outbox collects the content of the next frame.
type outbox[T any] struct {
	mu     sync.Mutex
	frame  *T   // guarded by mu
	closed bool // guarded by mu
	wake   chan struct{}
}

func newOutbox[T any]() *outbox[T] {
	return &outbox[T]{wake: make(chan struct{}, 1)}
}

// add calls fill to extend the next frame and wakes pump to send that frame immediately.
func (o *outbox[T]) add(fill func(*T)) {
	if o.addWithoutWake(fill) {
		select {
		case o.wake <- struct{}{}:
		default:
		}
	}
}

// addWithoutWake calls fill to extend the next frame, which is sent within heartbeatInterval.
// It returns false if the outbox is closed.
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

// take removes and returns the collected frame, or an empty frame if nothing was added.
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

// close discards the collected frame and everything that is added later.
func (o *outbox[T]) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.frame = nil
}

// pump sends the collected frames, and a frame whenever none was sent for heartbeatInterval,
// until ctx ends or send returns false.
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
