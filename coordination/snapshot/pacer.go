package snapshot

import (
	"sync"
	"time"
)

const (
	// paceBytesPerSecond is the part of a host's link that answers may take. Links of 20 Mbit/s
	// carry them without loss.
	paceBytesPerSecond = 2 << 20
	// maxPaceDelay is how long an answer may wait for earlier ones on the link. A longer wait would
	// outlast the askers' timeout of 0.9 s, and the bytes would be sent for nothing.
	maxPaceDelay = 400 * time.Millisecond
	// unpacedBytes is the size up to which an answer is always sent: it has no records, and renews
	// what the asker has.
	unpacedBytes = 1 << 10
)

// Pacer bounds the answers that a process sends to many askers at once. It is safe for concurrent
// use.
type Pacer struct {
	mu sync.Mutex
	// busyUntil is when the answers admitted so far have left. Guarded by mu.
	busyUntil time.Duration
}

// Admit reports whether an answer may be sent now. One that may not would arrive too late.
func (p *Pacer) Admit(now time.Duration, bytes int) bool {
	if bytes <= unpacedBytes {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busyUntil-now > maxPaceDelay {
		return false
	}
	p.busyUntil = max(p.busyUntil, now) + time.Duration(bytes)*time.Second/paceBytesPerSecond
	return true
}
