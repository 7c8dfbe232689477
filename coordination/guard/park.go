package guard

import (
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// maxParked bounds the attempts of one share that wait for the roster.
const maxParked = 64

// parkLocked lets an attempt from an entry that is ahead wait for the roster
// records that are missing here. They come with the log or from a peer, mostly
// within a round trip; refusing would cost the entry another attempt.
func (g *Guard) parkLocked(s *share, index uint32, now time.Time, c candidate, acts *actions) {
	for _, p := range s.parked {
		if p.attempt == c.attempt {
			return
		}
	}
	if len(s.parked) >= maxParked {
		g.denyLocked(s, now, c, behind(), acts)
		return
	}
	s.parked = append(s.parked, c)
	g.active.add(index)
	g.askPeers(now, s.pair, acts)
}

// behind is the verdict on an attempt whose epoch this agent never reached: it
// can't tell whether it is the attempt's home.
func behind() verdict {
	return verdict{outcome: state.Unknown, reason: state.ReasonStaleEpoch}
}

// unparkLocked takes up the attempts whose epoch has come or gone.
func (g *Guard) unparkLocked(s *share, index uint32, now time.Time, acts *actions) {
	waiting := s.parked
	s.parked = nil
	for _, p := range waiting {
		if p.epoch > s.pair.Epoch {
			s.parked = append(s.parked, p)
			continue
		}
		g.claimLocked(s, index, now, p, acts)
	}
}

// tickParkedLocked asks on for roster records and gives up in the end.
func (g *Guard) tickParkedLocked(s *share, now time.Time, acts *actions) {
	if len(s.parked) == 0 {
		return
	}
	waiting := s.parked
	s.parked = nil
	for _, p := range waiting {
		if !g.late(now, p) {
			s.parked = append(s.parked, p)
			continue
		}
		g.denyLocked(s, now, p, behind(), acts)
	}
	g.askPeers(now, s.pair, acts)
}
