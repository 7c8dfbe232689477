package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// Backoff spaces the repeats of something that fails. Without it a failure that returns at
// once, such as a connection that is reset, is repeated as fast as the processor goes: one
// agent beside a backend server that went down and up made 3,600 calls, each on a new
// connection, in the time in which others made 250. The zero value is not usable.
type Backoff struct {
	// Least is the first pause; each further one is twice the last, up to Most.
	Min, Max time.Duration

	delay time.Duration
}

// Reset begins anew after a success.
func (b *Backoff) Reset() { b.delay = 0 }

// After returns the pause after a failure that took so long itself: the longer it took the
// less is left to wait. It is spread by a quarter, so that those that failed together don't
// come back together.
func (b *Backoff) Next(took time.Duration) time.Duration {
	b.delay = min(max(2*b.delay, b.Min), b.Max)
	wait := b.delay - took
	if wait <= 0 {
		return 0
	}
	return wait*3/4 + rand.N(wait/2+1)
}

// Wait pauses after a failure that took so long, or until ctx ends.
func (b *Backoff) Wait(ctx context.Context, took time.Duration) error {
	return For(ctx, b.Next(took))
}
