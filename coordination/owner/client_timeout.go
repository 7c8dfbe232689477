package owner

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// With each submission a client states its timeout, which is how long it will still wait. A client
// that retries after its connection was lost states a shorter timeout than others do at their first
// attempt, and a shorter one than the time limit of its route. The difference shows how long it has
// waited already, even to an owner that has just started and doesn't know of the first attempt.
//
// After all hosts lost power for 1.5 s, half of the submissions were such retries. Most of them
// could no longer be answered in time but took the capacity of new jobs, a third of which was
// refused.

const (
	// clientTimeoutSamples is the number of a queue's last submissions that are considered: about a
	// second of a busy queue's submissions at one owner.
	clientTimeoutSamples = 32
	// minClientTimeoutSamples is the number of submissions below which no estimate is made.
	minClientTimeoutSamples = 6
	// firstAttemptQuantile is the quantile of the stated timeouts that is taken for the timeout stated
	// at a first attempt. Even when half of all submissions are retries, it is still the value of a
	// first attempt.
	firstAttemptQuantile = 0.6
	// maxClientTimeoutQueues bounds the queues whose client timeouts are kept. New configurations
	// replace queues; an owner that discards all of them has new samples of the busy ones within a
	// second.
	maxClientTimeoutQueues = 1000
)

// clientTimeoutLog holds the client timeouts of a queue's last submissions. Guarded by Shard.mu.
type clientTimeoutLog struct {
	remaining [clientTimeoutSamples]time.Duration
	count     int
}

func (l *clientTimeoutLog) note(remaining time.Duration) {
	l.remaining[l.count%clientTimeoutSamples] = remaining
	l.count++
}

// waited returns how long a client has waited before this attempt, given how long it will still
// wait and its route's time limit. If most clients state less than the time limit even at their
// first attempt, nothing can be concluded and waited returns zero.
func (l *clientTimeoutLog) waited(remaining, timeLimit time.Duration) time.Duration {
	n := min(l.count, clientTimeoutSamples)
	if n < minClientTimeoutSamples || remaining >= timeLimit {
		return 0
	}
	sorted := slices.Clone(l.remaining[:n])
	slices.Sort(sorted)
	firstAttempt := sorted[int(firstAttemptQuantile*float64(n-1))]
	if firstAttempt < timeLimit {
		return 0
	}
	return firstAttempt - remaining
}

// waitedLocked adds the client timeout of a submission to its queue's log, and returns how long the
// client has waited already.
func (s *Shard) waitedLocked(p *job.Policy, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	l := s.clientTimeouts[p.Queue]
	if l == nil {
		if len(s.clientTimeouts) >= maxClientTimeoutQueues {
			clear(s.clientTimeouts)
		}
		l = &clientTimeoutLog{}
		s.clientTimeouts[p.Queue] = l
	}
	l.note(remaining)
	return l.waited(remaining, p.RequestTimeout)
}
