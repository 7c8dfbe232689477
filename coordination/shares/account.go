package shares

import (
	"math"
	"time"
)

const (
	// rateWindow is the time constant of the rates of demand. A burst of a few times a queue's usual
	// demand shows within a third of it, before the longest tasks of the time before have ended.
	rateWindow = 500 * time.Millisecond
	// jobsPerWindow is the least number of a queue's jobs in the time constant of its rates, up to
	// maxRateWindow. Between two jobs of a rare queue a shorter one lets its demand decay, and other
	// queues get what it is about to ask for.
	jobsPerWindow = 8
	maxRateWindow = 10 * time.Second
	// gapWeight is the weight of the last interval between two jobs in their mean interval.
	gapWeight = 0.25
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

// decay returns the rate at now. window is its time constant.
func (r *rate) decay(now, window time.Duration) float64 {
	if now > r.at {
		r.value *= math.Exp(-float64(now-r.at) / float64(window))
		r.at = now
	}
	return r.value
}

func (r *rate) add(now, window, work time.Duration) {
	r.decay(now, window)
	r.value += float64(work) / float64(window)
}

// account is what this process asks for in one queue, and what it may take. Guarded by Book.mu.
type account struct {
	queue    string
	priority int
	// asked has the time constant window, and recent the shorter rateWindow.
	asked, recent rate
	// window is the time constant of the rates. askedSince is when the first job came after a pause,
	// lastAskedAt when the last one came, and meanGap the mean interval between two jobs.
	window                           time.Duration
	askedSince, lastAskedAt, meanGap time.Duration
	// meanWork is the mean work of a job.
	meanWork float64
	// share is the rate, in cores, that jobs of this process may take, underShare is set if they ask
	// for less, and sharedAt is the division that both belong to.
	share      float64
	underShare bool
	sharedAt   time.Duration
	sizes      [numSizes]sizeClass
	stats      QueueStats
}

// noteAsked counts a job's demand and returns its size class.
func (a *account) noteAsked(now, work time.Duration) int {
	if a.meanWork == 0 {
		a.meanWork = float64(work)
	}
	size := a.sizeOf(work)
	a.meanWork += meanWeight * (float64(work) - a.meanWork)
	a.updateWindow(now)
	a.asked.add(now, a.window, work)
	a.recent.add(now, rateWindow, work)
	a.sizes[size].work.add(now, a.window, work)
	a.sizes[size].jobs.add(now, a.window, time.Second)
	a.stats.Asked++
	return size
}

// updateWindow follows how rare the queue's jobs are.
func (a *account) updateWindow(now time.Duration) {
	gap := now - a.lastAskedAt
	switch {
	case a.lastAskedAt == 0 || gap > maxRateWindow:
		a.askedSince = now
	default:
		gap = min(gap, maxRateWindow/jobsPerWindow)
		a.meanGap += time.Duration(gapWeight * float64(gap-a.meanGap))
	}
	a.lastAskedAt = now
	a.window = min(max(jobsPerWindow*a.meanGap, rateWindow), maxRateWindow)
}

// estimate returns the rate at now. A rate with a long time constant is scaled up for as long as the
// queue hasn't asked for that time.
func (a *account) estimate(now time.Duration, r *rate) float64 {
	value := r.decay(now, a.window)
	if a.window == rateWindow || now < a.askedSince {
		return value
	}
	age := float64(now - a.askedSince + a.meanGap)
	return value * math.Expm1(-age/float64(rateWindow)) / math.Expm1(-age/float64(a.window))
}

// demand returns what the queue asks for. A burst shows in the recent jobs first, and a rare queue
// asks for as much between two jobs as with one.
func (a *account) demand(now time.Duration) float64 {
	return max(a.estimate(now, &a.asked), a.recent.decay(now, rateWindow))
}

// setShare sets the share and divides it between the size classes. Until now they have got what the
// last division gave them: a class whose jobs are rare asks for little between two of them.
func (a *account) setShare(now time.Duration, share float64) {
	for i := range a.sizes {
		a.sizes[i].refill(now)
	}
	a.share = share
	asked := a.demand(now)
	a.underShare = asked <= share
	var work, jobs [numSizes]float64
	scale := asked / max(a.estimate(now, &a.asked), minAsked)
	for i := range a.sizes {
		work[i], jobs[i] = scale*a.estimate(now, &a.sizes[i].work), scale*a.estimate(now, &a.sizes[i].jobs)
	}
	for i, part := range divideSizes(share, work, jobs) {
		c := &a.sizes[i]
		c.unlimited = part >= 1
		c.rate = part * work[i]
		if a.underShare {
			// What is left over is divided evenly: the classes together get the share and no more.
			c.rate = work[i] + (share-asked)/float64(numSizes)
		}
		c.mostAhead = c.ahead(aheadWindow)
		if a.underShare {
			// Any class may take all of it ahead.
			c.mostAhead = time.Duration((work[i] + share - asked) * float64(aheadWindow))
		}
	}
}

// mayPass reports whether a job may have contended capacity. Clients that come back go before new
// jobs. A queue under its share, or a size class that gets all it asks for, may take more ahead:
// what it asks for is uneven, above all if its jobs are few and long, and it pays it back.
func (a *account) mayPass(size int, returned bool) bool {
	c := &a.sizes[size]
	if returned || a.underShare || c.unlimited {
		return c.balance >= -c.mostAhead-time.Duration(a.meanWork)
	}
	return c.balance >= 0
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

// refuse returns when a refused job will be accepted if it comes back then. Nobody waits for longer
// than maxRetryAfter, so no more than the work of that time is promised.
func (b *bucket) refuse(work time.Duration) time.Duration {
	ahead := b.promised - b.balance
	b.promised = min(b.promised+work, b.ahead(maxRetryAfter))
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
