// Package sliding counts events in a sliding time window. A counter that is reset at fixed
// intervals would let through up to twice its limit in a span across two intervals.
package sliding

import "time"

// Window counts the events within the last Span. A Window with a Span and otherwise zero is
// ready to use. Times are passed in by the caller, relative to any fixed origin, and must not
// decrease. A Window is not safe for concurrent use.
type Window struct {
	Span time.Duration
	// Resolution limits memory use: events within this time of the first event of a group
	// belong to the group, which leaves the window when its last event does. Zero keeps the
	// time of each event.
	Resolution time.Duration

	events []event
	sum    int
}

// event is a group of events that happened between first and last.
type event struct {
	first, last time.Duration
	count       int
}

// Sum returns the number of events within the Span that ends at now.
func (w *Window) Sum(now time.Duration) int {
	expired := 0
	for expired < len(w.events) && now-w.events[expired].last >= w.Span {
		w.sum -= w.events[expired].count
		expired++
	}
	w.events = w.events[expired:]
	return w.sum
}

// Add counts further events at now.
func (w *Window) Add(now time.Duration, count int) {
	w.Sum(now)
	w.sum += count
	if n := len(w.events); n > 0 && now-w.events[n-1].first <= w.Resolution {
		w.events[n-1].last = now
		w.events[n-1].count += count
		return
	}
	w.events = append(w.events, event{first: now, last: now, count: count})
}

// Wait returns the time from now until at most limit of the present events are left in the
// window. Zero means that this is so already.
func (w *Window) Wait(now time.Duration, limit int) time.Duration {
	left := w.Sum(now)
	for _, e := range w.events {
		if left <= limit {
			return 0
		}
		left -= e.count
		if left <= limit {
			return e.last + w.Span - now
		}
	}
	return 0
}

// RemoveLatest removes the given number of events, the latest first.
func (w *Window) RemoveLatest(count int) {
	for count > 0 && len(w.events) > 0 {
		e := &w.events[len(w.events)-1]
		n := min(count, e.count)
		e.count -= n
		w.sum -= n
		count -= n
		if e.count == 0 {
			w.events = w.events[:len(w.events)-1]
		}
	}
}
