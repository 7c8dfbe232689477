package clients

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/quota"
	"github.com/shallotstep/shallotstep/state"
)

// quotaReservations holds the quota that the submissions in progress use. Submissions of
// the same job share one reservation. Otherwise a client that resubmits its job while the
// first attempt is in progress could be refused because that attempt uses the quota.
type quotaReservations struct {
	limiter *quota.Limiter

	mu    sync.Mutex
	byJob map[state.JobKey]*quotaReservation // guarded by mu
}

// quotaReservation is the quota that one job uses. Guarded by
// quotaReservations.mu.
type quotaReservation struct {
	operator string
	// tasks is the number of tasks reserved. It is zero for a job that was known
	// before.
	tasks int
	// submissions counts the submissions in progress that share the reservation.
	submissions int
}

func newQuotaReservations(entries int) *quotaReservations {
	return &quotaReservations{limiter: quota.New(entries), byJob: make(map[state.JobKey]*quotaReservation)}
}

// reserve reserves quota for a job's tasks, unless a submission in progress has already
// done so. If the quota doesn't allow them, it returns false and the time after which
// it may.
func (b *quotaReservations) reserve(now time.Duration, key state.JobKey, operator string, l quota.Limits, tasks int) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.byJob[key]; h != nil {
		h.submissions++
		return 0, true
	}
	wait, ok := b.limiter.Take(now, operator, l, tasks)
	if ok {
		b.byJob[key] = &quotaReservation{operator: operator, tasks: tasks, submissions: 1}
	}
	return wait, ok
}

// join adds a submission of a known job, which uses no quota.
func (b *quotaReservations) join(key state.JobKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byJob[key] == nil {
		b.byJob[key] = &quotaReservation{}
	}
	b.byJob[key].submissions++
}

// refund returns the quota that was reserved for a job that turned out to be known.
// It does nothing while several submissions share the reservation: what the first of
// them has reserved stays until the last is answered.
func (b *quotaReservations) refund(key state.JobKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h := b.byJob[key]; h != nil && h.submissions == 1 {
		b.limiter.Refund(h.operator, h.tasks)
		h.tasks = 0
	}
}

// release removes an answered submission. The last one of a job releases the job's
// reservation.
func (b *quotaReservations) release(key state.JobKey) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.byJob[key]
	h.submissions--
	if h.submissions > 0 {
		return
	}
	b.limiter.Release(h.operator, h.tasks)
	delete(b.byJob, key)
}
