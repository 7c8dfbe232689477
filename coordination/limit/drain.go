package limit

import (
	"math"
	"sync"
	"time"
)

const (
	// drainWindow is the time constant of the observed drain rate.
	drainWindow = time.Second
	// minRetry and maxRetry bound a Retry-After: sooner is a busy loop, later
	// than that nothing observed now still holds.
	minRetry = 20 * time.Millisecond
	maxRetry = time.Minute
	// forReturns is the part of the drain that is booked for returns, one in so
	// many; the rest is for those who come for the first time. The failure it is
	// for: all of it booked, and at ten seconds at most, four of ten callers who
	// came back after a burst when told were refused again, up to twelve times.
	// A third serves more of them at once, but has them wait twice as long as half.
	forReturns = 2
	// unknownDrain is assumed, in tasks per second, while nothing was observed.
	unknownDrain = 10
)

// drainRate observes how many tasks per second are answered, and books the
// returns of refused ones.
type drainRate struct {
	mu     sync.Mutex
	rate   float64   // guarded by mu; tasks per second
	last   time.Time // guarded by mu
	bookAt time.Time // guarded by mu; when the next refused task may return
}

func (d *drainRate) add(now time.Time, tasks int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rate = d.rateLocked(now) + float64(tasks)/drainWindow.Seconds()
	d.last = now
}

func (d *drainRate) rateLocked(now time.Time) float64 {
	if d.last.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-max(0, now.Sub(d.last).Seconds())/drainWindow.Seconds())
}

func (d *drainRate) current(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(unknownDrain, d.rateLocked(now))
}

// book returns when a refused submission may return. Each refusal is given a
// later time than the one before, at a part of the rate tasks drain. The failure
// it is for: one Retry-After for all brings the whole burst back at once.
func (d *drainRate) book(now time.Time, over int64, tasks int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	rate := max(unknownDrain, d.rateLocked(now)) / forReturns
	first := now.Add(seconds(float64(over) / rate))
	if d.bookAt.Before(first) {
		d.bookAt = first
	}
	wait := clampRetry(d.bookAt.Sub(now).Seconds())
	if latest := now.Add(maxRetry); d.bookAt.Before(latest) {
		d.bookAt = d.bookAt.Add(seconds(float64(tasks) / rate))
	}
	return wait
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func clampRetry(s float64) time.Duration {
	return min(maxRetry, max(minRetry, seconds(min(s, maxRetry.Seconds()))))
}
