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

// Table tracks the usage of each operator at one entry. Each entry enforces an equal part of
// every quota. It is safe for concurrent use.
type Table struct {
	entries int

	mu    sync.Mutex
	usage map[string]*usage // guarded by mu
}

// usage is the usage of one operator. Guarded by Table.mu.
type usage struct {
	inFlight int
	// tokens is the number of tasks that may be accepted now. A job is accepted as a whole while
	// any token is left and may make the balance negative; otherwise a job with more tasks than
	// one second's quota would never be accepted.
	tokens float64
	filled time.Duration
	// recent counts the tasks accepted within the last second. The tokens alone would allow twice
	// the quota within one second at the end of a pause.
	recent sliding.Window
}

// New returns the Table of one entry out of the given number of entries.
func New(entries int) *Table {
	return &Table{entries: max(1, entries), usage: make(map[string]*usage)}
}

// Take charges tasks to an operator. If a limit is exceeded, it charges nothing and returns
// false and the time after which to try again.
func (t *Table) Take(now time.Duration, operator string, l Limits, tasks int) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate := float64(l.PerSecond) / float64(t.entries)
	u := t.usage[operator]
	if u == nil {
		u = &usage{tokens: rate, filled: now, recent: sliding.Window{Span: time.Second}}
		t.usage[operator] = u
	}
	u.fill(now, rate)
	if u.tokens <= 0 {
		return time.Duration((1 - u.tokens) / rate * float64(time.Second)), false
	}
	// A job larger than one second's quota fits into no second. It is accepted, and the negative
	// token balance delays the jobs after it.
	if most := int(rate) - tasks; most >= 0 && u.recent.Sum(now) > most {
		return u.recent.Wait(now, most), false
	}
	if room := float64(l.InFlight) / float64(t.entries); float64(u.inFlight+tasks) > room {
		return time.Second, false
	}
	u.tokens -= float64(tasks)
	u.recent.Add(now, tasks)
	u.inFlight += tasks
	return 0, true
}

// fill adds the tokens earned since the last call, up to one second's quota.
func (u *usage) fill(now time.Duration, rate float64) {
	u.tokens = min(rate, u.tokens+(now-u.filled).Seconds()*rate)
	u.filled = now
}

// Refund reverses a Take for a submission of a job that was already known: a resubmission is
// not charged to the quota.
func (t *Table) Refund(operator string, tasks int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.usage[operator]; u != nil {
		u.inFlight -= tasks
		u.tokens += float64(tasks)
		u.recent.Forget(tasks)
	}
}

// Release returns tasks that have been answered.
func (t *Table) Release(operator string, tasks int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.usage[operator]; u != nil {
		u.inFlight -= tasks
	}
}
