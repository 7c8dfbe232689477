package home

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// A job ends at its deadline with tasks at two silent agents. The link to one of
// them keeps breaking, so that it is asked more often and given up first. The
// home must go on: it once woke the job again and again at the same moment, in a
// tick that never ended and held the lock of the service.
func TestOneSilentAgentIsGivenUpBeforeTheOther(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(8, 8), nil)
	b.submit("j", 8, 100*time.Millisecond, "1")
	to, assigns := take[message.Assign](b)
	is.Equal(len(assigns), 2)
	for range 100 {
		b.pass(30 * time.Millisecond)
		b.do(b.h.PeerDown(b.now, to[0]))
	}
	b.pass(time.Minute)
	is.Equal(only(t, b).Outcome, state.Unknown)
	asked := make(map[state.NodeID]int)
	dropped, _ := take[message.Drop](b)
	for _, id := range dropped {
		asked[id]++
	}
	is.Equal(asked[to[0]], maxAsks)
	is.Equal(asked[to[1]], maxAsks)
	is.True(b.h.Idle())
}
