package clients

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/quota"
	"github.com/shallotstep/shallotstep/state"
)

// bookings has what the submissions at hand take of quotas. Submissions of one job
// share a booking: a client that sends its job again while the first try is on its way
// would otherwise be refused for want of what that try has taken.
type bookings struct {
	quotas *quota.Limiter

	mu   sync.Mutex
	held map[state.JobKey]*booking // guarded by mu
}

// booking is that of one job. Guarded by bookings.mu.
type booking struct {
	operator string
	// tasks is what it takes; zero for a job that was known before.
	tasks int
	// users counts the submissions that share it.
	users int
}

func newBookings(entries int) *bookings {
	return &bookings{quotas: quota.New(entries), held: make(map[state.JobKey]*booking)}
}

// take books a job's tasks, unless a submission at hand has done so, or says in how
// long there may be room for them.
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

// join takes in a submission of a job that is known and takes nothing.
func (b *bookings) join(key state.JobKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held[key] == nil {
		b.held[key] = &booking{}
	}
	b.held[key].users++
}

// refund gives back what was taken for a job that turned out to be known. What the
// first submission of several has taken stays while any of them is at hand.
func (b *bookings) refund(key state.JobKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.held[key]; h != nil && h.users == 1 {
		b.quotas.Refund(h.operator, h.tasks)
		h.tasks = 0
	}
}

// release takes in that a submission was answered.
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
