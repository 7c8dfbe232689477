package owner

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// A client names with each try how long it still waits. One that comes again after
// it was cut off names less than others do at their first, and less than is usual on
// its route. That tells how long it has waited, also to an owner that has just started
// and knows nothing of its first try.
//
// After all hosts lost power for 1.5 s, half of the submissions were such repeats.
// Most could not be of use any more, and took the room of new jobs, of which a third
// was refused.

const (
	// patienceMemory is the number of submissions of a queue that are looked at: about
	// a second of a busy queue's at one owner.
	patienceMemory = 32
	// patienceKnown is the number from which on they say something.
	patienceKnown = 6
	// patienceMiddle is the quantile of what is named that a first try is known by,
	// also while half of all are repeats.
	patienceMiddle = 0.6
	// patienceQueues bounds the queues that are remembered. Configurations replace
	// them; an owner that forgets them all knows the busy ones again within a second.
	patienceQueues = 1000
)

// patienceLog has the patience named in a queue's last submissions. Guarded by
// Shard.mu.
type patienceLog struct {
	named [patienceMemory]time.Duration
	count int
}

func (l *patienceLog) note(named time.Duration) {
	l.named[l.count%patienceMemory] = named
	l.count++
}

// waited is how long a client has waited before that names so much, where usual is its
// route's time limit. Where most name less than that, it is no measure.
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

// waitedLocked notes the patience that a submission names, and returns how long its
// client has waited before.
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
	return l.waited(named, p.RequestTimeout)
}
