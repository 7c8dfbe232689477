package limit

import "sync"

// Defaults of a retry budget. The burst bounds what a long calm may save up:
// after it a failing fleet sees at most burst retries beyond the ratio.
const (
	DefaultRetryRatio = 0.1
	DefaultRetryBurst = 10
)

// milli is the fixed-point unit of a budget. Integers keep ten deposits of a
// tenth equal to one whole token.
const milli = 1000

// RetryBudget bounds retries and hedges to a part of first tries. The failure
// it is for: a fleet that refuses or fails everything is asked again for each
// failure, so that load grows just when capacity shrinks. A bucket that only
// first tries fill, and that starts empty, makes the number of retries at any
// moment at most ratio times the number of first tries so far.
type RetryBudget struct {
	ratio int64 // milli-tokens per first try
	burst int64 // milli-tokens

	mu     sync.Mutex
	tokens int64 // guarded by mu; milli-tokens
}

// NewRetryBudget returns an empty budget that allows ratio retries per first
// try and saves up at most burst of them.
func NewRetryBudget(ratio, burst float64) *RetryBudget {
	return &RetryBudget{ratio: int64(ratio * milli), burst: int64(burst * milli)}
}

// First records a first try.
func (b *RetryBudget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.burst)
}

// Take reports whether a retry may be made, and counts it if so.
func (b *RetryBudget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < milli {
		return false
	}
	b.tokens -= milli
	return true
}
