// Package sliding counts what has happened within the last span of time, whenever that span
// begins. A count that starts anew with each period lets twice its bound pass around the
// boundary of two.
package sliding

import "time"

// Window counts within the last Span. Its zero value with a Span is ready to use; it is not
// safe for concurrent use.
type Window struct {
	Span time.Duration
	// Grain bounds the memory: what comes within it of an earlier event counts with that,
	// until the last of them has left. Zero keeps each time.
	Grain time.Duration

	events []event
	sum    int
}

// event is what came from first to last.
type event struct {
	first, last time.Duration
	count       int
}

// Sum returns how many there were within the span before a time. Times don't go back.
func (w *Window) Sum(now time.Duration) int {
	gone := 0
	for gone < len(w.events) && now-w.events[gone].last >= w.Span {
		w.sum -= w.events[gone].count
		gone++
	}
	w.events = w.events[gone:]
	return w.sum
}

// Add counts some more.
func (w *Window) Add(now time.Duration, count int) {
	w.Sum(now)
	w.sum += count
	if n := len(w.events); n > 0 && now-w.events[n-1].first <= w.Grain {
		w.events[n-1].last = now
		w.events[n-1].count += count
		return
	}
	w.events = append(w.events, event{first: now, last: now, count: count})
}

// Wait returns how long it takes until no more than so many are left; zero: it is so now.
func (w *Window) Wait(now time.Duration, most int) time.Duration {
	left := w.Sum(now)
	for _, e := range w.events {
		if left <= most {
			return 0
		}
		left -= e.count
		if left <= most {
			return e.last + w.Span - now
		}
	}
	return 0
}

// Forget takes back some of what came last.
func (w *Window) Forget(count int) {
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
