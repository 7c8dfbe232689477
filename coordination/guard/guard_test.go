package guard

import (
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// script drives a cluster through one story and collects what was said.
type script struct {
	*cluster
	said map[message.Attempt][]coordination.Action
	bar  map[message.Attempt][]message.BarReply
}

func newScript(agents int) *script {
	s := &script{
		cluster: newCluster(),
		said:    make(map[message.Attempt][]coordination.Action),
		bar:     make(map[message.Attempt][]message.BarReply),
	}
	s.verdicts = func(_ state.NodeID, a coordination.Action) {
		switch a := a.(type) {
		case coordination.Granted:
			s.said[a.Attempt] = append(s.said[a.Attempt], a)
		case coordination.Denied:
			s.said[a.Attempt] = append(s.said[a.Attempt], a)
		}
	}
	s.bars = func(_ state.NodeID, r message.BarReply) {
		s.bar[r.Attempt] = append(s.bar[r.Attempt], r)
	}
	s.grow(agents)
	s.settle()
	return s
}

func (s *script) claim(at state.NodeID, key state.JobKey, d byte, attempt message.Attempt, epoch state.Epoch) {
	n := s.nodes[at]
	s.do(n, n.Claim(s.now, key, digest(d), attempt, epoch))
}

func (s *script) barAt(at state.NodeID, key state.JobKey, attempt message.Attempt, epoch state.Epoch) {
	s.deliver(envelope{entry, at, message.Bar{Key: key, Attempt: attempt, Epoch: epoch}, s.now})
}

func (s *script) evict(id state.NodeID) {
	s.append(roster.Evict{NodeID: id, By: "test"})
	s.readAll()
}

// last returns the last verdict of the attempt as a Denied; granted is true for
// a grant.
func (s *script) last(attempt message.Attempt) (d coordination.Denied, granted bool) {
	said := s.said[attempt]
	if len(said) == 0 {
		return coordination.Denied{}, false
	}
	_, granted = said[len(said)-1].(coordination.Granted)
	d, _ = said[len(said)-1].(coordination.Denied)
	return d, granted
}

// A caller submits, its home dies, and it submits again. The new home has the
// claim from the survivor, so the second submission learns who held the id and
// doesn't start it. Other content under the id is told apart.
func TestClaimOutlivesItsHome(t *testing.T) {
	is := is.New(t)
	s := newScript(5)
	key := jobKey(1)
	p := s.pair(key)
	s.claim(p.Home, key, 1, "first", p.Epoch)
	s.settle()
	_, granted := s.last("first")
	is.True(granted)
	r, ok := s.nodes[p.Witness].Lookup(key)
	is.True(ok)
	is.Equal(r.Holder, p.Home)

	s.kill(p.Home)
	s.evict(p.Home)
	s.settle()
	q := s.pair(key)
	s.claim(q.Home, key, 1, "second", q.Epoch)
	s.claim(q.Home, key, 2, "other", q.Epoch)
	s.settle()
	d, granted := s.last("second")
	is.True(!granted)
	is.Equal(d.Outcome, state.Unknown)
	is.Equal(d.Reason, state.ReasonHomeLost)
	is.Equal(d.Holder, p.Home)
	d, _ = s.last("other")
	is.Equal(d.Outcome, state.NotRun)
	is.Equal(d.Reason, state.ReasonIDConflict)
	is.Equal(d.Digest, digest(1))
	is.Equal(testutil.ToFloat64(s.nodes[p.Home].metrics.granted), 1.0)
	is.Equal(s.nodes[q.Home].Stats().Claims.Claims, 1)
}
