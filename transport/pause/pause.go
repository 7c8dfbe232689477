// Package pause waits for a fixed or growing time and stops waiting when a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for d and returns nil, or returns the error of ctx if that ends first.
func For(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
