package subset

import "time"

const (
	// adjustInterval is the interval between two adjustments. A new link is up within 50 ms, and
	// its agent's load is known within one more heartbeat.
	adjustInterval = 300 * time.Millisecond
	// stepDivisor divides the subset size into steps: each expansion adds 1/8 of the subset.
	stepDivisor = 8
	// minFreeShare is the share of the added agents' cores that must be free for more agents to be
	// added. With less, the rest of the fleet is as full as the subset, and more links only have
	// more processes place work on the same free cores: at 90 % load, 64 links instead of 32
	// raised the share of late jobs from 7 % to 17 %.
	minFreeShare = 0.15
	// keepAfterRefusal is how long the added links are kept after the last refusal.
	keepAfterRefusal = 3 * time.Second
	// fullFleetBackoff is the pause after a full fleet was found before links are added again.
	fullFleetBackoff = 3 * time.Second
)

// Expander decides how many links beyond its subset a process keeps. The agents of a subset may
// be full or unreachable while other agents have free cores; without more links, jobs would be
// refused beside idle backend servers.
type Expander struct {
	// size is the size of the subset, and the most links that are added.
	size       int
	extra      int
	adjustedAt time.Duration
	refusedAt  time.Duration
	// retryAt is when links may be added again after the fleet was found full.
	retryAt time.Duration
}

// NewExpander returns an Expander for subsets of the given size.
func NewExpander(size int) Expander { return Expander{size: size} }

// RecordRefusal records that a job was refused, or accepted although it will be late, because
// the linked agents lack free capacity.
func (e *Expander) RecordRefusal(now time.Duration) { e.refusedAt = now }

// Extra returns how many links to keep beyond the subset. free returns the share of the added
// agents' cores that is free, between 0 and 1.
func (e *Expander) Extra(now time.Duration, free func() float64) int {
	if now-e.adjustedAt < adjustInterval {
		return e.extra
	}
	e.adjustedAt = now
	recentRefusal := e.refusedAt > 0 && now-e.refusedAt < 2*adjustInterval
	switch {
	case e.extra == 0 && recentRefusal && now >= e.retryAt:
		e.extra = e.step()
	case e.extra == 0:
	case now-e.refusedAt > keepAfterRefusal:
		e.extra = 0
	case recentRefusal && free() < minFreeShare:
		e.extra, e.retryAt = 0, now+fullFleetBackoff
	case recentRefusal:
		e.extra = min(e.extra+e.step(), e.size)
	}
	return e.extra
}

func (e *Expander) step() int { return max(1, e.size/stepDivisor) }
