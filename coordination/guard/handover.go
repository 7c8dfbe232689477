package guard

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// handover tracks which successors of a leaving agent hold all of a share's
// claims. The share's lock guards it.
type handover struct {
	// epoch is the share's epoch that knows is about.
	epoch   state.Epoch
	knows   [2]bool // home, witness
	next    time.Time
	backoff int
}

// HandedOver reports that this agent's leave record has been applied and that
// both successors for each of its shares hold its claims, so that it may exit.
// Until then it goes on answering pulls.
//
// One successor would do for safety, but then the death of that one would lose
// what the leaver could still have given.
func (g *Guard) HandedOver() bool {
	return g.left.Load() && g.active.handing() == 0
}

// handoverLocked follows the share's successors. begins says that this agent
// has just left the share's pair for good.
func (g *Guard) handoverLocked(s *share, index uint32, begins bool) {
	if begins && s.complete() && s.pair.OK {
		s.handover = &handover{backoff: 1}
		g.active.add(index)
		g.active.addHanding(1)
	}
	h := s.handover
	if h == nil {
		return
	}
	h.epoch = s.pair.Epoch
	h.knows = [2]bool{}
	if !s.pair.OK {
		g.endHandoverLocked(s)
	}
}

func (g *Guard) endHandoverLocked(s *share) {
	s.handover = nil
	g.active.addHanding(-1)
}

// confirmHandoverLocked takes a successor's watermark.
func (g *Guard) confirmHandoverLocked(s *share, index uint32, from state.NodeID, knows state.Epoch) {
	h := s.handover
	if h == nil || knows < h.epoch {
		return
	}
	h.knows[0] = h.knows[0] || from == s.pair.Home
	h.knows[1] = h.knows[1] || from == s.pair.Witness
	if h.knows[0] && h.knows[1] {
		g.endHandoverLocked(s)
	}
}

// probeLocked asks the successors for their watermarks.
func (g *Guard) probeLocked(s *share, index uint32, now time.Time, acts *actions) {
	h := s.handover
	if h == nil || now.Before(h.next) {
		return
	}
	h.next = now.Add(time.Duration(h.backoff) * g.opts.AskRetry)
	h.backoff = min(2*h.backoff, maxBackoff)
	for i, id := range [2]state.NodeID{s.pair.Home, s.pair.Witness} {
		if h.knows[i] {
			continue
		}
		acts.send(id, message.PullAsk{Region: g.opts.Self.Region, Share: index, Need: h.epoch, After: probeCursor})
	}
}
