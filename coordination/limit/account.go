package limit

import (
	"math"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// Quota is what an operator may use, over all entries together. Zero means no
// limit.
type Quota struct {
	// TasksInFlight bounds tasks accepted and not yet answered.
	TasksInFlight int
	// TasksPerSecond bounds the rate of accepted tasks, with a second's burst.
	TasksPerSecond float64
	// Weight is the operator's weight when the fleet is short: one of twice the
	// weight gets twice the share. Zero means 1.
	Weight float64
}

func (q *Quota) weight() float64 {
	if q.Weight <= 0 {
		return 1
	}
	return q.Weight
}

// account is one operator's use of this entry.
type account struct {
	quota    Quota
	inFlight int64
	// refused counts tasks refused lately for want of capacity; it is the
	// unmet part of the operator's demand.
	refused   float64
	refusedAt time.Time
	// tokens may be negative: a job larger than the burst is let in when the
	// bucket is not empty and paid for afterwards, so the long-run rate holds
	// and large jobs are not shut out.
	tokens   float64
	filledAt time.Time
}

// demandHalfLife is how fast refused demand is forgotten.
const demandHalfLife = 100 * time.Millisecond

// reserve takes tasks into the account if the quota allows, else says why not
// and when to come back. entries is the number of live entries.
func (a *account) reserve(now time.Time, tasks, entries int, drain float64) Verdict {
	whole := a.quota.TasksInFlight
	if whole > 0 && tasks > whole {
		return Verdict{Reason: state.ReasonQuota}
	}
	if part := quotaPart(whole, entries); part > 0 && a.inFlight > 0 && a.inFlight+int64(tasks) > part {
		over := float64(a.inFlight + int64(tasks) - part)
		return Verdict{Reason: state.ReasonQuota, RetryAfter: clampRetry(over / drain)}
	}
	if rate := a.quota.TasksPerSecond / float64(entries); rate > 0 {
		a.fill(now, rate)
		if a.tokens <= 0 {
			return Verdict{Reason: state.ReasonQuota, RetryAfter: clampRetry((1 - a.tokens) / rate)}
		}
		a.tokens -= float64(tasks)
	}
	a.inFlight += int64(tasks)
	return Verdict{OK: true}
}

// release undoes a reserve that the fleet's limit refused, and remembers the
// demand.
func (a *account) release(now time.Time, tasks int) {
	a.inFlight -= int64(tasks)
	if a.quota.TasksPerSecond > 0 {
		a.tokens += float64(tasks)
	}
	a.refused = a.unmet(now) + float64(tasks)
	a.refusedAt = now
}

func (a *account) unmet(now time.Time) float64 {
	age := now.Sub(a.refusedAt).Seconds() / demandHalfLife.Seconds()
	return a.refused * math.Exp2(-max(0, age))
}

func (a *account) fill(now time.Time, rate float64) {
	if a.filledAt.IsZero() {
		a.tokens = max(1, rate)
	} else {
		a.tokens += rate * max(0, now.Sub(a.filledAt).Seconds())
	}
	a.tokens = min(a.tokens, max(1, rate))
	a.filledAt = now
}

// quotaPart is one entry's part of a quota, rounded up so that a quota smaller
// than the number of entries is of use at each.
func quotaPart(whole, entries int) int64 {
	return int64((whole + entries - 1) / entries)
}

// accountShard holds a part of the operators.
type accountShard struct {
	mu       sync.Mutex
	accounts map[string]*account // guarded by mu
}

func (s *accountShard) getLocked(operator string) *account {
	a := s.accounts[operator]
	if a == nil {
		a = &account{}
		s.accounts[operator] = a
	}
	return a
}

// appendDemands adds the demand of each active operator to out, in tasks.
func (s *accountShard) appendDemands(now time.Time, out []demand) []demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.accounts {
		if d := a.inFlight + int64(a.unmet(now)); d > 0 {
			out = append(out, demand{d, a.quota.weight()})
		}
	}
	return out
}
