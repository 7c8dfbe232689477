package owner

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// With each try a client says how long it will still wait. A client that comes again after it was
// cut off names less than others do at their first try, and less than its route's time limit. The
// difference tells how long it has waited already, even to an owner that has just started and knows
// nothing of the first try.
//
// After all hosts lost power for 1.5 s, half of the submissions were such retries. Most of them
// could not be of use any more but took the capacity of new jobs, a third of which was refused.

const (
	// patienceSamples is the number of a queue's last submissions that are considered: about a
	// second of a busy queue's submissions at one owner.
	patienceSamples = 32
	// minPatienceSamples is the number of submissions below which no estimate is made.
	minPatienceSamples = 6
	// firstTryQuantile is the quantile of the named times that is taken for the time named at a
	// first try. Even when half of all submissions are retries, it is still the value of a first
	// try.
	firstTryQuantile = 0.6
	// maxPatienceQueues bounds the queues that are remembered. New configurations replace queues;
	// an owner that discards all of them has new samples of the busy ones within a second.
	maxPatienceQueues = 1000
)

// patienceLog has how long the clients of a queue's last submissions said that they would wait.
// Guarded by Shard.mu.
type patienceLog struct {
	remaining [patienceSamples]time.Duration
	count     int
}

func (l *patienceLog) note(remaining time.Duration) {
	l.remaining[l.count%patienceSamples] = remaining
	l.count++
}

// waited returns how long a client has waited before this try, given how long it will still wait
// and its route's time limit. If most clients name less than the time limit even at their first
// try, nothing can be concluded and waited returns zero.
func (l *patienceLog) waited(remaining, timeLimit time.Duration) time.Duration {
	n := min(l.count, patienceSamples)
	if n < minPatienceSamples || remaining >= timeLimit {
		return 0
	}
	sorted := slices.Clone(l.remaining[:n])
	slices.Sort(sorted)
	firstTry := sorted[int(firstTryQuantile*float64(n-1))]
	if firstTry < timeLimit {
		return 0
	}
	return firstTry - remaining
}

// waitedLocked adds the time that a submission names to its queue's log, and returns how long the
// client has waited already.
func (s *Shard) waitedLocked(p *job.Policy, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	l := s.patience[p.Queue]
	if l == nil {
		if len(s.patience) >= maxPatienceQueues {
			clear(s.patience)
		}
		l = &patienceLog{}
		s.patience[p.Queue] = l
	}
	l.note(remaining)
	return l.waited(remaining, p.RequestTimeout)
}
