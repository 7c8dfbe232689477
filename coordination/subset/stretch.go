package subset

import "time"

const (
	// stretchPace is the time between two looks at whether a subset is full: a new
	// link is up within 50 ms, and its agent's news comes within a heartbeat more.
	stretchPace = 300 * time.Millisecond
	// stretchStep is the part of a subset that is added at a time.
	stretchStep = 8
	// roomy is the share of the added agents' cores that has to be free for more to be
	// added. With less the rest of the fleet is as full as the subset, and more links
	// would only have more processes promise the same room: at 90 % of load 64 links
	// for 32 had 17 in 100 jobs late in place of 7.
	roomy = 0.15
	// relax is how long after the last refusal the added links are kept.
	relax = 3 * time.Second
	// stretchRetry is the pause before a fleet that was full is looked at again.
	stretchRetry = 3 * time.Second
)

// Stretch decides how many links beyond its subset a process keeps. A subset may be full
// or dark while others have room: its jobs would be refused beside idle backend servers.
type Stretch struct {
	// size is that of the subset, and the most that is added.
	size    int
	extra   int
	looked  time.Duration
	refused time.Duration
	// retry is when a fleet that was full may be looked at again.
	retry time.Duration
}

// NewStretch returns a Stretch for subsets of a size.
func NewStretch(size int) Stretch { return Stretch{size: size} }

// Refused takes in that a job was refused, or accepted to be late, for want of room.
func (s *Stretch) Refused(now time.Duration) { s.refused = now }

// Extra returns how many links to keep beyond the subset. The function tells the share
// of the cores that is free at the agents that were added.
func (s *Stretch) Extra(now time.Duration, free func() float64) int {
	if now-s.looked < stretchPace {
		return s.extra
	}
	s.looked = now
	pressed := s.refused > 0 && now-s.refused < 2*stretchPace
	switch {
	case s.extra == 0 && pressed && now >= s.retry:
		s.extra = s.step()
	case s.extra == 0:
	case now-s.refused > relax:
		s.extra = 0
	case pressed && free() < roomy:
		s.extra, s.retry = 0, now+stretchRetry
	case pressed:
		s.extra = min(s.extra+s.step(), s.size)
	}
	return s.extra
}

func (s *Stretch) step() int { return max(1, s.size/stretchStep) }
