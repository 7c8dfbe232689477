package guard

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

// After the loss of a failure domain many agents pull at once, and the sources are
// slow: a page takes a few times the usual wait for an answer. Asked for again, it
// makes them slower still. Each page must be asked for once if it takes up to the
// first patience, and a source that is slower yet must cost a few asks in all, not
// a few for each page.
func TestSlowPagesAreNotAskedForAgain(t *testing.T) {
	for _, c := range []struct {
		takes time.Duration
		extra int
	}{{(firstPatience - 1) * askRetry, 0}, {(4*firstPatience - 1) * askRetry, 4}} {
		is := is.New(t)
		s := newScript(5)
		key := jobKey(1)
		p := s.pair(key)
		claims := 0
		for i := 0; claims < 20; i++ {
			if k := jobKey(i); roster.ShareOf(k) == roster.ShareOf(key) {
				s.claim(p.Home, k, 1, message.Attempt(fmt.Sprint(i)), p.Epoch)
				claims++
			}
		}
		s.settle()
		s.kill(p.Home)
		s.append(roster.Evict{NodeID: p.Home, By: "test"})
		s.readAll()
		asks, pages := s.pullSlowly(roster.ShareOf(key), c.takes)
		is.True(pages > 20) // one for about each claim
		is.True(asks >= pages)
		is.True(asks <= pages+c.extra)
	}
}

// pullSlowly lets the share's pull run, each page taking that long, and returns
// how many asks there were and how many pages the share has.
func (s *script) pullSlowly(share uint32, takes time.Duration) (asks, pages int) {
	seen := make(map[string]bool)
	for !s.pulled(share) {
		sent := s.net
		s.net = nil
		for _, e := range sent {
			_, isPage := e.msg.(message.PullReply)
			if isPage && s.now.Before(e.sent.Add(takes)) {
				s.net = append(s.net, e)
				continue
			}
			if m, ok := e.msg.(message.PullAsk); ok && m.Share == share {
				asks++
				seen[m.After] = true
			}
			s.deliver(e)
		}
		s.now = s.now.Add(askRetry / 2)
		s.tickAll()
	}
	return asks, len(seen)
}

func (s *script) pulled(share uint32) bool {
	for _, id := range []state.NodeID{s.pair(jobKey(1)).Home, s.pair(jobKey(1)).Witness} {
		if sh := &s.nodes[id].shares[share]; !sh.complete() {
			return false
		}
	}
	return true
}
