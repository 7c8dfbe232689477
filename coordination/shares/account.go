package shares

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the rates of demand. A burst of a few times a queue's usual
	// demand shows within a third of it, before the longest tasks of the time before have ended.
	rateWindow = 500 * time.Millisecond
	// burstWindow is how much of its share a queue may take ahead, so that jobs that arrive close
	// together by chance are not refused. It is about as long as a caller's shortest slack.
	burstWindow = 100 * time.Millisecond
	// debtWindow is how much more than its share a queue may have taken when contention begins.
	// It is longer than contention takes to be noticed, so that a burst pays for its first jobs.
	debtWindow = 300 * time.Millisecond
	// aheadWindow is the same for a queue that is under its share, and for clients that come back
	// after a refusal, so that the time they were told is true.
	aheadWindow = 500 * time.Millisecond
	// maxRetryAfter bounds the time that a client is told to wait. After that the shares have
	// changed.
	maxRetryAfter = 5 * time.Second
	// minRetryAfter is the least time that a client is told to wait: a round trip.
	minRetryAfter = 10 * time.Millisecond
)

// rate is a moving average of a rate of work, in cores.
type rate struct {
	value float64
	at    time.Duration
}

func (r *rate) decay(now time.Duration) float64 {
	if now > r.at {
		r.value *= math.Exp(-float64(now-r.at) / float64(rateWindow))
		r.at = now
	}
	return r.value
}

func (r *rate) add(now, work time.Duration) {
	r.decay(now)
	r.value += float64(work) / float64(rateWindow)
}

const (
	// largeFactor is the work of a large job, as a multiple of the mean of its queue.
	largeFactor = 2
	// largePart is the part of a queue's large work that is accepted for each part of all its work.
	// Small jobs are more for the same work, so large ones get a little less than in proportion, and
	// still well over half of what the queue's mean job gets.
	largePart = 0.65
	// meanWeight is the weight of a new job in the mean work of a queue.
	meanWeight = 0.02
)

// account is what this process asks for in one queue, and what it may take. Guarded by Book.mu.
type account struct {
	queue          string
	priority       int
	asked, granted rate
	// askedLarge is the part of asked that comes from large jobs, and meanWork the mean work of a
	// job.
	askedLarge rate
	meanWork   float64
	// share is the rate, in cores, that jobs of this process may take, underShare is set if they ask
	// for less, and sharedAt is the division that both belong to.
	share      float64
	underShare bool
	sharedAt   time.Duration
	// small and large have the work that jobs of either size may still take.
	small, large bucket
	stats        QueueStats
}

// noteAsked counts a job's demand and reports whether the job is large.
func (a *account) noteAsked(now, work time.Duration) (large bool) {
	if a.meanWork == 0 {
		a.meanWork = float64(work)
	}
	large = a.isLarge(work)
	a.meanWork += meanWeight * (float64(work) - a.meanWork)
	a.asked.add(now, work)
	if large {
		a.askedLarge.add(now, work)
	}
	a.stats.Asked++
	return large
}

func (a *account) isLarge(work time.Duration) bool { return float64(work) > largeFactor*a.meanWork }

// setShare sets the share and divides it between large and small jobs. Either gets at least what the
// other leaves over.
func (a *account) setShare(now time.Duration, share float64) {
	a.share = share
	asked := a.asked.decay(now)
	large := min(a.askedLarge.decay(now), asked)
	part := 0.
	if asked > 0 {
		part = largePart * large / asked
	}
	a.underShare = asked <= share
	a.large.rate = max(share*part, share-(asked-large))
	a.small.rate = max(share*(1-part), share-large)
}

// mayPass reports whether a job may have contended capacity. Clients that come back go before new
// jobs. A queue under its share may take more ahead: what it asks for is uneven, above all if its
// jobs are few and long, and it pays it back.
func (a *account) mayPass(large, returned bool) bool {
	b := a.bucket(large)
	if returned || a.underShare {
		return b.balance >= -b.ahead(aheadWindow)-time.Duration(a.meanWork)
	}
	return b.balance >= 0
}

func (a *account) bucket(large bool) *bucket {
	if large {
		return &a.large
	}
	return &a.small
}

// bucket holds the work that may still be accepted. Only the sign of its balance decides, whatever
// the size of a job, and an accepted job makes the next ones wait until its work is paid for.
type bucket struct {
	// rate is what the bucket gets, in cores.
	rate float64
	// balance is the work that may still be accepted, and promised the work that was refused lately
	// and may come back. Both change with the time since refilledAt.
	balance, promised time.Duration
	refilledAt        time.Duration
}

// refill adds what the rate has yielded since the last call.
func (b *bucket) refill(now time.Duration) {
	yield := b.ahead(now - b.refilledAt)
	b.refilledAt = now
	b.balance = min(b.balance+yield, b.ahead(burstWindow))
	b.promised = max(b.promised-yield, 0)
}

// ahead returns the work that the rate yields in a time.
func (b *bucket) ahead(d time.Duration) time.Duration {
	return time.Duration(b.rate * float64(max(d, 0)))
}

// refuse returns when a refused job will be accepted if it comes back then.
func (b *bucket) refuse(work time.Duration) time.Duration {
	ahead := b.promised - b.balance
	b.promised += work
	if b.rate <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration(float64(max(ahead, 0)) / b.rate)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// charge pays for an accepted job. Before contention a queue may take what nobody else asks for, so
// its debt is bounded.
func (b *bucket) charge(work time.Duration, contended bool) {
	if contended {
		b.balance -= work
		return
	}
	b.balance = max(b.balance-work, min(b.balance, -b.ahead(debtWindow)))
}
