package guard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/sourcegraph/conc"

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
	s.do(n, n.Claim(s.now, key, digest(d), attempt, epoch, message.Fence{}))
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
// doesn't start it. Other content under the id is told apart, but not vouched for.
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
	is.Equal(d.Outcome, state.Unknown) // this home may be behind, as far as it knows
	is.Equal(d.Reason, state.ReasonIDConflict)
	is.Equal(d.Holder, p.Home)
	is.Equal(testutil.ToFloat64(s.nodes[p.Home].metrics.granted), 1.0)
	is.Equal(s.nodes[q.Home].Stats().Claims.Claims, 1)
}

// An agent stops as planned. Its successors must have its claims before it goes:
// here it and the member that stayed are both lost right after, and the id must
// still be known.
func TestLeaverHandsOver(t *testing.T) {
	is := is.New(t)
	s := newScript(6)
	key := jobKey(1)
	p := s.pair(key)
	s.claim(p.Home, key, 1, "first", p.Epoch)
	s.settle()
	leaver := s.nodes[p.Home]
	s.append(roster.Leave{NodeID: p.Home})
	s.readAll()
	is.True(!leaver.HandedOver()) // nothing has been delivered yet
	s.settle()
	is.True(leaver.HandedOver())
	s.kill(p.Home)
	s.kill(p.Witness)
	s.evict(p.Witness)
	s.settle()
	q := s.pair(key)
	s.claim(q.Home, key, 1, "second", q.Epoch)
	s.settle()
	d, _ := s.last("second")
	is.Equal(d.Holder, p.Home)
}

// Both members of a pair die at once, and nobody has their claims. The share
// stays closed. The operator confirms the deaths: it opens when the claims have
// expired, or at once if the operator accepts that ids may run again.
func TestBothMembersLost(t *testing.T) {
	for _, accept := range []bool{false, true} {
		is := is.New(t)
		s := newScript(6)
		key := jobKey(1)
		p := s.pair(key)
		s.claim(p.Home, key, 1, "first", p.Epoch)
		s.settle()
		s.kill(p.Home)
		s.kill(p.Witness)
		s.evict(p.Home)
		s.evict(p.Witness)
		q := s.pair(key)
		s.claim(q.Home, key, 1, "second", q.Epoch)
		s.settle()
		d, _ := s.last("second")
		is.Equal(d.Outcome, state.Unknown) // "first" ran under the same id
		is.Equal(d.Reason, state.ReasonClaimsUnknown)

		s.append(roster.ConfirmLost{NodeIDs: []state.NodeID{p.Home, p.Witness}, AcceptRerun: accept})
		s.readAll()
		s.claim(q.Home, key, 1, "third", q.Epoch)
		s.settle()
		_, granted := s.last("third")
		is.Equal(granted, accept)

		s.now = s.now.Add(retention + time.Minute)
		s.readAll()
		s.settle()
		s.claim(q.Home, key, 1, "fourth", q.Epoch)
		s.settle()
		_, granted = s.last("fourth")
		is.True(granted) // the first claim has expired, and so has the third
	}
}

// The log is out of service, and the new home has read one record more than the
// witness. The witness gets the record from the home, and the caller its grant.
func TestMembersCatchUpFromEachOther(t *testing.T) {
	is := is.New(t)
	s := newScript(5)
	key := jobKey(1)
	p := s.pair(key)
	s.kill(p.Home)
	s.append(roster.Evict{NodeID: p.Home, By: "test"})
	q := s.pair(key)
	s.readOne(s.nodes[q.Home]) // nobody else reads it from the log
	s.claim(q.Home, key, 1, "first", q.Epoch)
	s.settle()
	_, granted := s.last("first")
	is.True(granted)
	is.Equal(s.nodes[q.Witness].Roster().Offset(), int64(len(s.log)))
}

// A pair that is cut off from the log for longer than the blind limit grants no
// more, unless a peer has seen the log in the meantime.
func TestBlindPairStops(t *testing.T) {
	for _, peer := range []bool{false, true} {
		is := is.New(t)
		s := newScript(5)
		key := jobKey(1)
		p := s.pair(key)
		for _, id := range s.order {
			s.nodes[id].noLog = !peer || id == p.Home || id == p.Witness
		}
		for range 3 {
			s.now = s.now.Add(blindTime / 2)
			s.readAll()
			s.tickAll()
			s.settle()
		}
		s.claim(p.Home, key, 1, "first", p.Epoch)
		s.settle()
		d, granted := s.last("first")
		is.Equal(granted, peer)
		if !peer {
			is.Equal(d.Reason, state.ReasonLogUnavailable)
		}
	}
}

// The last page of a pull that was given up arrives late, while the agent waits
// for the first page of another one. Taken for a whole share, it would leave
// claims out, and their ids would be granted again.
func TestLatePageIsNotTheShare(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		is := is.New(t)
		s := newScript(5)
		key := jobKey(1)
		p := s.pair(key)
		s.evict(p.Home)
		q := s.pair(key)
		id := q.Home
		if id == p.Witness {
			id = q.Witness
		}
		n := s.nodes[id]
		n.disabled.pageOrder = disabled
		late := message.PullReply{Region: region, Share: roster.ShareOf(key), Knows: q.Epoch, After: "1/2"}
		n.Handle(s.now, p.Witness, late)
		is.Equal(n.shares[roster.ShareOf(key)].complete(), disabled)
	}
}

// Many goroutines use one guard at a time; the race detector looks on.
func TestConcurrentUse(t *testing.T) {
	s := newScript(4)
	a, b := s.nodes["a"].Guard, s.nodes["b"].Guard
	leave, _ := roster.Encode(roster.Leave{NodeID: "c"})
	var wg conc.WaitGroup
	for worker := range 4 {
		wg.Go(func() {
			for i := range 200 {
				key := jobKey(worker*1000 + i)
				epoch := a.Roster().Pair(region, roster.ShareOf(key)).Epoch
				attempt := message.Attempt(fmt.Sprint(worker, "-", i))
				for _, act := range a.Claim(s.now, key, digest(1), attempt, epoch, message.Fence{}) {
					relay(s.now, a, b, act)
				}
				b.Handle(s.now, entry, message.Bar{Key: key, Attempt: attempt, Epoch: epoch})
				a.Tick(s.now)
				if i == 100 {
					a.ApplyRoster(s.now, int64(len(s.log)+1), leave)
				}
			}
		})
	}
	wg.Wait()
	testutil.CollectAndCount(a)
}

// relay hands an action of one guard to the other, and the replies back.
func relay(now time.Time, from, to *Guard, act coordination.Action) {
	send, ok := act.(coordination.Send)
	if !ok || send.To != to.self {
		return
	}
	for _, reply := range to.Handle(now, from.self, send.Msg) {
		relay(now, to, from, reply)
	}
}

// BenchmarkClaim is the cost of one grant on both members, without the network.
func BenchmarkClaim(b *testing.B) {
	s := newScript(2)
	p := s.pair(jobKey(0))
	home, witness := s.nodes[p.Home].Guard, s.nodes[p.Witness].Guard
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		key := jobKey(i)
		i++
		q := home.Roster().Pair(region, roster.ShareOf(key))
		h, w := home, witness
		if q.Home != home.self {
			h, w = witness, home
		}
		for _, act := range h.Claim(s.now, key, digest(1), "attempt", q.Epoch, message.Fence{}) {
			relay(s.now, h, w, act)
		}
	}
	st := home.Stats()
	b.ReportMetric(float64(st.Claims.Bytes)/float64(st.Claims.Claims), "bytes/claim")
}

// A job ran, its home dies, and an agent that has none of the claims becomes the
// home. The one that knows, its witness, is paused. The caller submits the id again
// through another entry. It must not hear a plain "not run": its job did run.
func TestNewHomeWithASilentWitnessVouchesForNothing(t *testing.T) {
	is := is.New(t)
	s := newScript(6)
	var key state.JobKey
	for i := 0; ; i++ {
		key = jobKey(i)
		p := s.pair(key)
		after, _, err := s.truth().Apply(int64(len(s.log)+1), encodeEvict(p.Home))
		is.NoErr(err)
		if after.Pair(region, roster.ShareOf(key)).Witness == p.Witness {
			break
		}
	}
	p := s.pair(key)
	s.claim(p.Home, key, 1, "first", p.Epoch)
	s.settle()
	_, granted := s.last("first")
	is.True(granted)
	s.kill(p.Home)
	s.nodes[p.Witness].held = true
	s.evict(p.Home)
	q := s.pair(key)
	s.claim(q.Home, key, 1, "second", q.Epoch)
	s.settle()
	d, granted := s.last("second")
	is.True(!granted)
	is.Equal(d.Attempt, message.Attempt("second"))
	is.Equal(d.Reason, state.ReasonClaimsUnknown)
}

func encodeEvict(id state.NodeID) []byte {
	data, err := roster.Encode(roster.Evict{NodeID: id, By: "test"})
	if err != nil {
		panic(err)
	}
	return data
}
