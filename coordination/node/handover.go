package node

import (
	"slices"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// keptRosters is how many earlier rosters are remembered. Answers are handed
// over within seconds; at full size the roster changes 112 times a day.
const keptRosters = 32

// formerHomes remembers the last rosters, to tell who was a job's home.
type formerHomes struct {
	mu sync.Mutex
	// rosters are guarded by mu, the oldest first.
	rosters []*roster.Roster
}

func (f *formerHomes) note(r *roster.Roster) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.rosters) == keptRosters {
		f.rosters = append(f.rosters[:0], f.rosters[1:]...)
	}
	f.rosters = append(f.rosters, r)
}

// was reports whether the node was the home of a share not long ago.
func (f *formerHomes) was(id state.NodeID, region string, share uint32) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.rosters {
		if p := r.Pair(region, share); p.OK && p.Home == id {
			return true
		}
	}
	return false
}

// before lists the homes that a share had not long ago, the last one first.
func (f *formerHomes) before(region string, share uint32) []state.NodeID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []state.NodeID
	for i := len(f.rosters) - 1; i >= 0; i-- {
		if p := f.rosters[i].Pair(region, share); p.OK && !slices.Contains(out, p.Home) {
			out = append(out, p.Home)
		}
	}
	return out
}

// whoKnows names the last home that is still there in place of a holder that has
// left. For some milliseconds after a join the newcomer has the claims but not yet
// the answers that the home before it was handed; saying "home lost" then would be
// premature. A home that doesn't know either names nobody else, so that callers
// aren't sent in circles.
func (a *Agent) whoKnows(d coordination.Denied) coordination.Denied {
	if _, member := a.guard.Roster().Member(d.Holder); member || d.Holder == "" || a.homeOf(d.Key) != a.self.ID {
		return d
	}
	for _, id := range a.former.before(a.regionOf(d.Key.Service), roster.ShareOf(d.Key)) {
		if id != a.self.ID && a.isThere(id) {
			d.Holder = id
			break
		}
	}
	return d
}

// isThere reports whether an agent is a member or has left and may still answer.
func (a *Agent) isThere(id state.NodeID) bool {
	_, member := a.guard.Roster().Member(id)
	return member || a.departures.leaving(id)
}

// homeOf returns a job's present home by the newest roster known, or "".
func (a *Agent) homeOf(key state.JobKey) state.NodeID {
	p := a.guard.Roster().Pair(a.regionOf(key.Service), roster.ShareOf(key))
	if !p.OK {
		return ""
	}
	return p.Home
}

// takeOver takes the answers that an earlier home hands over and says which are
// settled. The sender offers the others again.
func (a *Agent) takeOver(now time.Time, from state.NodeID, m message.HandOver) []coordination.Action {
	var settled []state.JobKey
	for i := range m.Answers {
		if s := &m.Answers[i]; a.takeAnswer(now, from, s) {
			settled = append(settled, s.Answer.Key)
		}
	}
	if len(settled) == 0 {
		return nil
	}
	return []coordination.Action{coordination.Send{To: from, Msg: message.HandOverReply{Settled: settled}}}
}

// takeAnswer reports whether it is settled what becomes of an answer.
//
// It is taken only if the pair's record of the id has the holder and the content
// that the sender names, and the sender may speak for that holder. An answer that
// somebody made up, or that belongs to another content, would otherwise stand for
// a claim that its sender never had. While the record may still come with a pull,
// or this node is not the job's home as far as it knows, nothing is settled.
func (a *Agent) takeAnswer(now time.Time, from state.NodeID, s *message.StoredAnswer) bool {
	key := s.Answer.Key
	if a.homeOf(key) != a.self.ID {
		return false
	}
	held, certain := a.guard.HeldBy(now, key, s.Digest, s.Holder)
	if !held {
		return certain
	}
	if !a.speaksFor(from, s.Holder, key) {
		return true
	}
	return a.home.TakeOver(now, s)
}

// speaksFor reports whether a node's word on a job counts as the holder's. A
// holder speaks for itself. Once it has left, the node that became the job's home
// has its answers, and hands them on when it is the home no more.
func (a *Agent) speaksFor(from, holder state.NodeID, key state.JobKey) bool {
	if from == holder {
		return true
	}
	_, member := a.guard.Roster().Member(holder)
	return !member && a.former.was(from, a.regionOf(key.Service), roster.ShareOf(key))
}

// handOverOnceLeft begins the hand-over of answers once this node's leave is in force: until
// then its jobs' home is this node itself.
func (a *Agent) handOverOnceLeft(now time.Time) {
	if a.Draining() && a.member.Left() {
		a.home.Leave(now)
	}
}
