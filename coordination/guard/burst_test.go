package guard

import (
	"fmt"
	"testing"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// All agents of a service start at once, as after a power cut or a release. Their
// joins stand in the log one behind the other, and every agent reads several of
// them before its first pull is answered. Nobody dies and no message is lost. Each
// share must open in the end: one that stays closed refuses every new job under
// its ids as claims_unknown.
func TestAgentsThatJoinTogetherOpenEveryShare(t *testing.T) {
	for _, agents := range []int{2, 3, 4, 5, 6, 8, 11} {
		for _, atOnce := range []bool{true, false} {
			c := newCluster()
			for i := range agents {
				id := state.NodeID(fmt.Sprintf("a%02d", i))
				n := c.start(id, i%3)
				c.append(roster.Join{Member: n.opts.Self})
				if !atOnce {
					c.readAll()
					c.settle()
				}
			}
			c.readAll()
			for range 40 {
				c.settle()
			}
			closed := 0
			for _, n := range c.nodes {
				for i := range n.shares {
					if s := &n.shares[i]; s.guards(n.self) && !s.complete() {
						closed++
					}
				}
			}
			if closed > 0 {
				t.Errorf("%d agents, read at once %t: %d guarded shares closed after %v", agents, atOnce, closed, 40*settleRounds*settleStep)
			}
		}
	}
}
