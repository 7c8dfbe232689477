// Package quota bounds what each operator may have at once. Time comes in as
// now; nothing here reads a clock. A table is safe for concurrent use.
package quota

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/state/sliding"
)

// Limits are an operator's quota, as declared.
type Limits struct {
	// InFlight is how many accepted tasks may be unanswered.
	InFlight int
	// PerSecond is how many tasks are accepted per second.
	PerSecond int
}

// Table holds what the operators use at one entry. Several entries each have a
// part of every quota.
type Table struct {
	entries int

	mu    sync.Mutex
	usage map[string]*usage // guarded by mu
}

// usage is one operator's. Guarded by Table.mu.
type usage struct {
	inFlight int
	// tokens are tasks that may be accepted now. A job is accepted whole when
	// there is any, and takes them below zero: a job larger than a second's
	// tasks would otherwise never be accepted.
	tokens float64
	filled time.Duration
	// recent are the tasks accepted within the last second. With the tokens alone the end
	// of a pause would let two seconds' tasks pass within one.
	recent sliding.Window
}

// New returns the table of one of a number of entries.
func New(entries int) *Table {
	return &Table{entries: max(1, entries), usage: make(map[string]*usage)}
}

// Take books tasks, or says in how long there may be room for them again.
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
	// A job that is larger than a second's tasks fits into none, and is paid off.
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

// fill adds what has become free; a second's tasks are kept at most.
func (u *usage) fill(now time.Duration, rate float64) {
	u.tokens = min(rate, u.tokens+(now-u.filled).Seconds()*rate)
	u.filled = now
}

// Refund takes back what Take has booked for tasks that turned out to be known: a
// repeat takes nothing from a quota.
func (t *Table) Refund(operator string, tasks int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.usage[operator]; u != nil {
		u.inFlight -= tasks
		u.tokens += float64(tasks)
		u.recent.RemoveLatest(tasks)
	}
}

// Release returns tasks that were answered.
func (t *Table) Release(operator string, tasks int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.usage[operator]; u != nil {
		u.inFlight -= tasks
	}
}
