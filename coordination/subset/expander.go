package subset

import "time"

const (
	// stretchPace is the interval between two adjustments. A new link is up within 50 ms, and its
	// agent's load is known within one more heartbeat.
	stretchPace = 300 * time.Millisecond
	// stretchStep divides the subset size into steps: each expansion adds 1/8 of the subset.
	stretchStep = 8
	// roomy is the share of the added agents' cores that must be free for more agents to be added.
	// With less, the rest of the fleet is as full as the subset, and more links only have more
	// processes place work on the same free cores: at 90 % load, 64 links instead of 32 raised the
	// share of late jobs from 7 % to 17 %.
	roomy = 0.15
	// relax is how long the added links are kept after the last refusal.
	relax = 3 * time.Second
	// stretchRetry is the pause after a full fleet was found before links are added again.
	stretchRetry = 3 * time.Second
)

// Stretch decides how many links beyond its subset a process keeps. The agents of a subset may
// be full or unreachable while other agents have free cores; without more links, jobs would be
// refused beside idle backend servers.
type Stretch struct {
	// size is the size of the subset, and the most links that are added.
	size    int
	extra   int
	looked  time.Duration
	refused time.Duration
	// retry is when links may be added again after the fleet was found full.
	retry time.Duration
}

// NewStretch returns a Stretch for subsets of the given size.
func NewStretch(size int) Stretch { return Stretch{size: size} }

// Refused records that a job was refused, or accepted although it will be late, because the
// linked agents lack free capacity.
func (s *Stretch) Refused(now time.Duration) { s.refused = now }

// Extra returns how many links to keep beyond the subset. free returns the share of the added
// agents' cores that is free, between 0 and 1.
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
