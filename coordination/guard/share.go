package guard

import (
	"slices"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// noKnowledge is the watermark of one that may lack any claim.
const noKnowledge state.Epoch = -1

// share is what the agent knows of one share of its region's ids. Its mu guards
// all fields.
type share struct {
	mu   sync.Mutex
	pair roster.Pair // with the share's epoch
	// knows is the watermark: the record holds every claim granted at epochs
	// below it. It never falls.
	knows state.Epoch
	// since begins the present run of epochs at which nothing could be granted
	// without this agent: the record holds every claim granted from since on.
	since state.Epoch
	// gaps are the epochs below since, and not below knows, that the agent
	// wasn't there for.
	gaps []gap
	// pull is nil unless claims are being fetched.
	pull *pull
	asks map[state.JobKey]*ask
	// parked attempts wait for an epoch that the agent hasn't reached.
	parked []candidate
	// closed holds the attempts that were told "no" or barred.
	closed map[message.Attempt]verdict
	// fences are of the present epoch.
	fences map[state.JobKey]fence
	// handover is set while a leaving agent waits for its successors.
	handover *handover
}

// gap is one epoch whose claims the agent lacks.
type gap struct {
	epoch state.Epoch // of a snapshot: the last one before it
	// members are empty for the time before a roster snapshot.
	members [2]state.NodeID
	dead    [2]bool
	// harmless is when every claim granted at the epoch has expired, and no
	// more can be granted. The zero time means never.
	harmless time.Time
}

// complete reports whether the record holds every claim granted before the
// present epoch.
func (s *share) complete() bool {
	return s.knows >= s.pair.Epoch
}

// guards reports whether the node is of the present pair.
func (s *share) guards(id state.NodeID) bool {
	return s.pair.Has(id)
}

// walk goes on to the next pair. What was granted at the epoch that ends is
// known to its members, for nothing could be granted there without them.
func (s *share) walk(self state.NodeID, next roster.Pair, harmless time.Time) {
	old := s.pair
	s.pair = next
	s.fences = nil
	if old.OK && !old.Has(self) {
		s.since = next.Epoch
		s.gaps = append(s.gaps, gap{
			epoch:    old.Epoch,
			members:  [2]state.NodeID{old.Home, old.Witness},
			harmless: harmless,
		})
	}
	s.settle()
}

// learn takes in that the record holds every claim granted below the epoch.
func (s *share) learn(epoch state.Epoch) {
	s.knows = max(s.knows, epoch)
	s.dropGaps(func(g gap) bool { return g.epoch < epoch })
}

// take takes in that the record holds all that another's did.
func (s *share) take(c *coverage) {
	s.knows = max(s.knows, c.knows)
	s.dropGaps(func(g gap) bool { return c.closes(&g) })
}

// dropGaps closes gaps. With the last of them the record is complete up to since.
func (s *share) dropGaps(closed func(gap) bool) {
	had := len(s.gaps)
	s.gaps = slices.DeleteFunc(s.gaps, closed)
	if had > 0 && len(s.gaps) == 0 {
		s.knows = max(s.knows, s.since)
	}
	s.settle()
}

// settle raises the watermark when nothing is missing below since.
func (s *share) settle() {
	if s.knows < s.since {
		return
	}
	s.knows = max(s.knows, s.pair.Epoch)
	s.gaps = nil
}

// dropHarmless closes the gaps whose claims have all expired. No member of such
// an epoch grants any more, as all of them have been without news of the log
// for too long; so the record lacks nothing that still counts.
func (s *share) dropHarmless(now time.Time) {
	s.dropGaps(func(g gap) bool { return !g.harmless.IsZero() && !now.Before(g.harmless) })
}

// clipGaps gives back what dropped gaps leave of the slice. Shares that the
// agent doesn't guard collect one gap for each change of their pair.
func (s *share) clipGaps() {
	if len(s.gaps) < cap(s.gaps)/2 {
		s.gaps = slices.Clone(s.gaps)
	}
}

// confirmLost takes the operator's word that nodes are dead. An epoch that has
// lost one member grants nothing more, but its claims count until they expire.
// Only if it has lost both, so that nobody is left to pull from, may the
// operator accept that their ids run again.
func (s *share) confirmLost(now, expired time.Time, lost []state.NodeID, acceptRerun bool) {
	for i := range s.gaps {
		g := &s.gaps[i]
		g.markDead(lost)
		switch {
		case g.dead[0] && g.dead[1] && acceptRerun:
			g.harmless = now
		case !g.dead[0] && !g.dead[1]:
		case g.harmless.IsZero() || expired.Before(g.harmless):
			g.harmless = expired
		}
	}
	s.dropHarmless(now)
}

func (g *gap) markDead(lost []state.NodeID) {
	for _, id := range lost {
		for i, m := range g.members {
			if m == id {
				g.dead[i] = true
			}
		}
	}
}

// adopt starts from a pair in a snapshot. What was granted before is unknown,
// unless the share never had a pair.
func (s *share) adopt(p roster.Pair, harmless time.Time) {
	s.pair = p
	s.since = p.Epoch
	if p.Epoch == 0 {
		return
	}
	s.knows = noKnowledge
	s.gaps = []gap{{epoch: p.Epoch - 1, harmless: harmless}}
}
