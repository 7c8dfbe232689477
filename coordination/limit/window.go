package limit

import (
	"slices"
	"time"
)

// windowSize is how many of the latest samples a window keeps. refreshEvery is
// after how many new samples its order is computed again.
const (
	windowSize   = 128
	refreshEvery = 8
)

// Window keeps the latest response times and answers their quantiles. It is
// not safe for concurrent use: it stands under its owner's lock.
type Window struct {
	samples []time.Duration
	next    int
	sorted  []time.Duration
	fresh   int
}

// Add records one response time.
func (w *Window) Add(d time.Duration) {
	w.fresh++
	if len(w.samples) < windowSize {
		w.samples = append(w.samples, d)
		return
	}
	w.samples[w.next] = d
	w.next = (w.next + 1) % windowSize
}

// Len returns how many samples the window holds.
func (w *Window) Len() int { return len(w.samples) }

// Quantile returns the q-quantile, 0 <= q < 1, or zero without samples. It may
// lag behind by a few samples.
func (w *Window) Quantile(q float64) time.Duration {
	if len(w.samples) == 0 {
		return 0
	}
	if w.fresh >= refreshEvery || len(w.sorted) < min(len(w.samples), refreshEvery) {
		w.sorted = append(w.sorted[:0], w.samples...)
		slices.Sort(w.sorted)
		w.fresh = 0
	}
	return w.sorted[int(q*float64(len(w.sorted)))]
}
