package guard

import (
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// fence rules out every attempt for an id that carries a smaller number.
//
// The failure it is for: a submission lies in the socket of a paused home when
// its entry dies. The caller submits again through another entry, whose attempt
// the witness bars, and hears "not run". Then the home goes on and claims the id
// for the first submission, of which neither the second entry nor the witness had
// heard. Ruling out the one attempt was not enough: a member that says "not run"
// rules out all that were made for the id so far. One that comes later is refused
// with the number and how long ago the fence was set. If its caller has submitted
// since, its entry sends it again with the number; else it says "not run" as well.
// Ages are told, not times, so no two clocks are compared, and time on the way only
// makes a submission count as older.
//
// Home and witness each count their own fences and are told of the other's by
// nobody, so an attempt carries a number for each. A fence ends with its epoch,
// at which alone the attempts before it could be granted.
type fence struct {
	number uint64
	at     time.Time
}

// fenceLocked sets a fence for the id at the present epoch and returns its
// number, or zero where the agent guards nothing.
func (g *Guard) fenceLocked(s *share, now time.Time, key state.JobKey) uint64 {
	if !s.guards(g.self) || g.disabled.fences {
		return 0
	}
	if s.fences == nil {
		s.fences = make(map[state.JobKey]fence)
	}
	f := fence{number: g.fences.Add(1), at: now}
	s.fences[key] = f
	return f.number
}

// fencedLocked returns the fence that keeps an attempt with the given number out;
// ok is false if it may pass.
func (g *Guard) fencedLocked(s *share, key state.JobKey, number uint64) (f fence, ok bool) {
	f = s.fences[key]
	return f, f.number > number
}

// sweepFencesLocked forgets fences when nothing is heard any more of what was
// made before them.
func (g *Guard) sweepFencesLocked(s *share, now time.Time) {
	for key, f := range s.fences {
		if now.Sub(f.at) >= g.keep {
			delete(s.fences, key)
		}
	}
}
