package clients

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/quota"
	"github.com/shallotstep/shallotstep/state"
)

// bookings holds the quota that the submissions in progress use. Submissions of the
// same job share one booking. Otherwise a client that resubmits its job while the
// first attempt is in progress could be refused because that attempt uses the quota.
type bookings struct {
	quotas *quota.Table

	mu   sync.Mutex
	held map[state.JobKey]*booking // guarded by mu
}

// booking is the quota that one job uses. Guarded by bookings.mu.
type booking struct {
	operator string
	// tasks is the number of tasks booked. It is zero for a job that was known
	// before.
	tasks int
	// users counts the submissions in progress that share the booking.
	users int
}

func newBookings(entries int) *bookings {
	return &bookings{quotas: quota.New(entries), held: make(map[state.JobKey]*booking)}
}

// take books a job's tasks, unless a submission in progress has already done so. If
// the quota doesn't allow them, it returns false and the time after which it may.
func (b *bookings) take(now time.Duration, key state.JobKey, operator string, l quota.Limits, tasks int) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.held[key]; h != nil {
		h.users++
		return 0, true
	}
	wait, ok := b.quotas.Take(now, operator, l, tasks)
	if ok {
		b.held[key] = &booking{operator: operator, tasks: tasks, users: 1}
	}
	return wait, ok
}

// join adds a submission of a known job, which uses no quota.
func (b *bookings) join(key state.JobKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held[key] == nil {
		b.held[key] = &booking{}
	}
	b.held[key].users++
}

// refund returns the quota that was booked for a job that turned out to be known. It
// does nothing while several submissions share the booking: what the first of them
// has booked stays until the last is answered.
func (b *bookings) refund(key state.JobKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.held[key]; h != nil && h.users == 1 {
		b.quotas.Refund(h.operator, h.tasks)
		h.tasks = 0
	}
}

// release removes an answered submission. The last one of a job releases the job's
// booking.
func (b *bookings) release(key state.JobKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.held[key]
	h.users--
	if h.users > 0 {
		return
	}
	b.quotas.Release(h.operator, h.tasks)
	delete(b.held, key)
}
