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
	// patienceMemory is the number of a queue's last submissions that are considered: about a
	// second of a busy queue's submissions at one owner.
	patienceMemory = 32
	// patienceKnown is the number of submissions below which no estimate is made.
	patienceKnown = 6
	// patienceMiddle is the quantile of the named times that is taken for that of a first try. It
	// still is one when half of all submissions are retries.
	patienceMiddle = 0.6
	// patienceQueues bounds the queues that are remembered. New configurations replace queues; an
	// owner that discards all of them has new samples of the busy ones within a second.
	patienceQueues = 1000
)

// patienceLog has how long the clients of a queue's last submissions said that they would wait.
// Guarded by Shard.mu.
type patienceLog struct {
	named [patienceMemory]time.Duration
	count int
}

func (l *patienceLog) note(named time.Duration) {
	l.named[l.count%patienceMemory] = named
	l.count++
}

// waited returns how long a client has waited before this try. named is how long it will still
// wait, and usual its route's time limit. If most clients name less than the time limit, nothing
// can be concluded and waited returns zero.
func (l *patienceLog) waited(named, usual time.Duration) time.Duration {
	n := min(l.count, patienceMemory)
	if n < patienceKnown || named >= usual {
		return 0
	}
	sorted := slices.Clone(l.named[:n])
	slices.Sort(sorted)
	middle := sorted[int(patienceMiddle*float64(n-1))]
	if middle < usual {
		return 0
	}
	return middle - named
}

// waitedLocked adds the time that a submission names to its queue's log, and returns how long the
// client has waited already.
func (s *Shard) waitedLocked(p *job.Policy, named time.Duration) time.Duration {
	if named <= 0 {
		return 0
	}
	l := s.patience[p.Queue]
	if l == nil {
		if len(s.patience) >= patienceQueues {
			clear(s.patience)
		}
		l = &patienceLog{}
		s.patience[p.Queue] = l
	}
	l.note(named)
	return l.waited(named, p.TimeLimit)
}
