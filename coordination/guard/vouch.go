package guard

import (
	"time"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/claim"
	"github.com/shallotstep/shallotstep/state/roster"
)

// HeldBy reports whether a claim of the id with this content is recorded for the
// holder. If not, certain says that there is none: this agent guards the id's
// share and holds every claim granted before. Otherwise the claim may still come
// with a pull.
func (g *Guard) HeldBy(now time.Time, key state.JobKey, digest state.Digest, holder state.NodeID) (held, certain bool) {
	g.touch(now)
	index := roster.ShareOf(key)
	s := &g.shares[index]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range g.find(now, index, key) {
		if r.Holder == holder && r.Content == claim.ContentOf(digest) {
			return true, true
		}
	}
	return false, s.guards(g.self) && s.complete()
}
