package guard

import (
	"slices"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// maxEpochsSent bounds the epochs named in one message. A sender that lacks
// more speaks for the newest only.
const maxEpochsSent = 512

// coverage says which epochs' claims a record holds: all below knows, and from
// below on and before through all but gaps.
//
// The watermark alone is not enough. When agents join in quick succession, each
// may leave a pair before it has pulled what was granted earlier. Nobody's
// watermark then reaches the last epoch, and shares stayed closed for good,
// though each epoch's claims were all held by somebody: a member of an epoch
// that is over holds every claim granted at it, since none was granted without
// it. Parts from several senders together are as good as one whole record.
type coverage struct {
	knows, below, through state.Epoch
	gaps                  []state.Epoch
}

// coverage returns what this agent's record holds. Nothing is said of the
// present epoch, at which claims may still be granted.
func (s *share) coverage() coverage {
	c := coverage{knows: s.knows, through: s.pair.Epoch}
	for i := range s.gaps {
		g := &s.gaps[i]
		if g.open() {
			c.below = max(c.below, g.epoch+1)
			continue
		}
		c.gaps = append(c.gaps, g.epoch)
	}
	if extra := len(c.gaps) - maxEpochsSent; extra > 0 {
		c.below = max(c.below, c.gaps[extra-1]+1)
		c.gaps = c.gaps[extra:]
	}
	return c
}

// open reports whether the gap has no beginning: it stands for all the time
// before a roster snapshot.
func (g *gap) open() bool {
	return g.members[0] == "" && g.members[1] == ""
}

// closes reports whether a record with this coverage holds what the gap lacks.
func (c *coverage) closes(g *gap) bool {
	if g.epoch < c.knows {
		return true
	}
	return !g.open() && c.holds(g.epoch)
}

func (c *coverage) holds(e state.Epoch) bool {
	return e < c.knows || e >= c.below && e < c.through && !slices.Contains(c.gaps, e)
}

// lacks lists the epochs to ask for, the newest of them if there are many.
func (s *share) lacks() []state.Epoch {
	var out []state.Epoch
	for i := range s.gaps {
		if g := &s.gaps[i]; !g.open() {
			out = append(out, g.epoch)
		}
	}
	return out[max(0, len(out)-maxEpochsSent):]
}

func coverageOf(m *message.PullReply) coverage {
	return coverage{knows: m.Knows, below: m.Below, through: m.Through, gaps: m.Gaps}
}

// helps reports whether a record with this coverage closes any gap of the share.
func (s *share) helps(c *coverage) bool {
	return slices.ContainsFunc(s.gaps, func(g gap) bool { return c.closes(&g) })
}
