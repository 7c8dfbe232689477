package home

import (
	"time"
)

// pace measures how fast a pool's tasks end while others wait, to tell a job
// that can't end in time so at once, instead of letting it wait for its deadline.
type pace struct {
	since time.Time
	ended int
	// perSecond is the smoothed rate as of at; zero until a window is full.
	perSecond float64
	at        time.Time
}

const (
	paceWindow = time.Second
	// paceResults is how many results a window has at least. A home among many has
	// a few in a second, and by one or two it would take a job of tens of tasks to
	// need a minute.
	paceResults = 5
	paceWeight  = 0.5
	// paceKept is how long a measured pace counts.
	paceKept = 10 * time.Second
)

// add notes n results. Without a backlog the rate says how little there was to
// do and not how fast it goes, so such times don't count.
func (c *pace) add(now time.Time, n int, backlog bool) {
	if !backlog {
		c.since, c.ended = time.Time{}, 0
		return
	}
	if c.since.IsZero() {
		c.since = now
	}
	c.ended += n
	passed := now.Sub(c.since)
	if passed < paceWindow || c.ended < paceResults {
		return
	}
	rate := float64(c.ended) / passed.Seconds()
	if c.perSecond > 0 {
		rate = paceWeight*rate + (1-paceWeight)*c.perSecond
	}
	c.perSecond, c.at, c.since, c.ended = rate, now, now, 0
}

// known returns the pace, or zero if none was measured of late.
func (c *pace) known(now time.Time) float64 {
	if now.Sub(c.at) > paceKept {
		return 0
	}
	return c.perSecond
}

// expectedWait estimates when a job that has to wait would end: when its last
// task starts, which is what waits before it over the present pace, and a
// typical run later. Operators take turns, so a job waits for what its own
// operator has before it as often as there are operators, and never for more
// than everything.
func (p *pool) expectedWait(now time.Time, j *job) time.Duration {
	perSecond := p.pace.known(now)
	if p.backlog == 0 || perSecond == 0 {
		return 0
	}
	own := len(j.backlog)
	for i := range p.waiting.operators {
		if p.waiting.operators[i].operator != j.operator {
			continue
		}
		for _, x := range p.waiting.operators[i].jobs {
			if !x.orderAt.After(j.orderAt) {
				own += len(x.backlog)
			}
		}
	}
	ahead := min(p.backlog+len(j.backlog), own*max(1, len(p.waiting.operators)))
	return time.Duration(float64(ahead)/perSecond*float64(time.Second)) + p.runs.mean()
}

// retryWhenDrained is when a shed job's caller may come back: when what waits
// now has gone.
func retryWhenDrained(wait time.Duration) time.Duration {
	return min(max(wait, retrySoon), maxRetry)
}

const maxRetry = 10 * time.Second

// unreachable reports whether a job would wait beyond its deadline.
func (j *job) unreachable(now time.Time, wait time.Duration) bool {
	return !j.deadline.IsZero() && wait >= j.deadline.Sub(now)
}
