// Package quota limits the tasks that each operator may have in flight and may submit per
// second. Times are passed in as now, and no clock is read.
package quota

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/state/sliding"
)

// Limits is an operator's quota as declared, over all entries.
type Limits struct {
	// InFlight is the maximum number of accepted tasks without an answer.
	InFlight int
	// PerSecond is the maximum number of tasks accepted per second.
	PerSecond int
}

// Limiter tracks the usage of each operator at one entry. Each entry enforces an equal part of
// every quota. It is safe for concurrent use.
type Limiter struct {
	entries int

	mu    sync.Mutex
	usage map[string]*usage // guarded by mu
}

// usage is the usage of one operator. Guarded by Limiter.mu.
type usage struct {
	inFlight int
	// tokens is the number of tasks that may be accepted now. A job is accepted as a whole while
	// any token is left and may make the balance negative; otherwise a job with more tasks than
	// one second's quota would never be accepted.
	tokens     float64
	refilledAt time.Duration
	// recent counts the tasks accepted within the last second. The tokens alone would allow twice
	// the quota within one second at the end of a pause.
	recent sliding.Window
}

// New returns the Limiter of one entry out of the given number of entries.
func New(entries int) *Limiter {
	return &Limiter{entries: max(1, entries), usage: make(map[string]*usage)}
}

// Take charges tasks to an operator. If a limit is exceeded, it charges nothing and returns
// false and the time after which to try again.
func (l *Limiter) Take(now time.Duration, operator string, limits Limits, tasks int) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rate := float64(limits.PerSecond) / float64(l.entries)
	u := l.usage[operator]
	if u == nil {
		u = &usage{tokens: rate, refilledAt: now, recent: sliding.Window{Span: time.Second}}
		l.usage[operator] = u
	}
	u.refill(now, rate)
	if u.tokens <= 0 {
		return time.Duration((1 - u.tokens) / rate * float64(time.Second)), false
	}
	// A job larger than one second's quota fits into no second. It is accepted, and the negative
	// token balance delays the jobs after it.
	if maxRecent := int(rate) - tasks; maxRecent >= 0 && u.recent.Sum(now) > maxRecent {
		return u.recent.Wait(now, maxRecent), false
	}
	if maxInFlight := float64(limits.InFlight) / float64(l.entries); float64(u.inFlight+tasks) > maxInFlight {
		return time.Second, false
	}
	u.tokens -= float64(tasks)
	u.recent.Add(now, tasks)
	u.inFlight += tasks
	return 0, true
}

// refill adds the tokens earned since the last call, up to one second's quota.
func (u *usage) refill(now time.Duration, rate float64) {
	u.tokens = min(rate, u.tokens+(now-u.refilledAt).Seconds()*rate)
	u.refilledAt = now
}

// Refund reverses a Take for a submission of a job that was already known: a resubmission is
// not charged to the quota.
func (l *Limiter) Refund(operator string, tasks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.usage[operator]; u != nil {
		u.inFlight -= tasks
		u.tokens += float64(tasks)
		u.recent.RemoveLatest(tasks)
	}
}

// Release returns tasks that have been answered.
func (l *Limiter) Release(operator string, tasks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.usage[operator]; u != nil {
		u.inFlight -= tasks
	}
}
