package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff computes exponentially growing delays between retries. Without it an operation that
// fails immediately, such as a call on a connection that is reset, is retried as fast as the
// processor allows: an agent beside a backend server that went down and came back made 3,600
// calls, each on a new connection, in the time in which others made 250. The zero value is not
// usable.
type Backoff struct {
	// Min is the first delay. Each further delay is twice the last one, up to Max.
	Min, Max time.Duration

	delay time.Duration
}

// Reset makes the next delay Min again. It is called after a success.
func (b *Backoff) Reset() { b.delay = 0 }

// Next advances to the next delay and returns what is left of it after a failed attempt of
// duration took, or zero. A random jitter of up to a quarter either way keeps callers that
// failed together from retrying together.
func (b *Backoff) Next(took time.Duration) time.Duration {
	b.delay = min(max(2*b.delay, b.Min), b.Max)
	wait := b.delay - took
	if wait <= 0 {
		return 0
	}
	return wait*3/4 + rand.N(wait/2+1)
}

// Wait waits for the delay that Next returns, or until ctx ends, and then returns its error.
func (b *Backoff) Wait(ctx context.Context, took time.Duration) error {
	return For(ctx, b.Next(took))
}
