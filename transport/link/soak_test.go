package link

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

// Two nodes send to each other while the network cuts all connections at random
// moments and idle links are closed in between. Whatever happens, each message
// arrives at most once and after those accepted before it, and whatever was
// accepted after the last Down arrives.
func TestRandomCuts(t *testing.T) {
	is := is.New(t)
	const cuts = 30
	short := func(o *Options) { o.IdleTimeout = 5 * time.Millisecond }
	a, b := start(t, "a@1", short), start(t, "b@1", short)
	toA, toB := tap(t, a.addr), tap(t, b.addr)
	a.SetPeer("b@1", toB.addr())
	b.SetPeer("a@1", toA.addr())
	var stop atomic.Bool
	var senders sync.WaitGroup
	sent := map[state.NodeID]int{}
	var mu sync.Mutex // guards sent
	for to, n := range map[state.NodeID]*testNode{"b@1": a, "a@1": b} {
		senders.Go(func() {
			count := 0
			for ; !stop.Load(); count++ {
				n.Send(to, drop(count))
				time.Sleep(time.Duration(rand.ExpFloat64() * float64(200*time.Microsecond)))
			}
			mu.Lock()
			defer mu.Unlock()
			sent[to] = count
		})
	}
	for range cuts {
		time.Sleep(rand.N(10 * time.Millisecond))
		toA.cut()
		toB.cut()
	}
	stop.Store(true)
	senders.Wait()
	finalMessages(t, a, "b@1", b, sent["b@1"])
	finalMessages(t, b, "a@1", a, sent["a@1"])
	is.True(a.seen("down b@1") > 0)
	increasing(t, a.received())
	increasing(t, b.received())
}

// finalMessages sends a lot that no cut disturbs. A Down for an earlier cut may
// still come in between; the lot after the last one has to arrive whole.
func finalMessages(t *testing.T, from *testNode, to state.NodeID, target *testNode, next int) {
	const lot = 100
	await(t, "a whole lot", func() bool {
		downs := from.seen("down " + string(to))
		first := next
		for ; next < first+lot; next++ {
			from.Send(to, drop(next))
		}
		arrived := func() bool { return strings.HasSuffix(last(target), ":"+strconv.Itoa(next-1)) }
		await(t, "the lot or a down", func() bool { return arrived() || from.seen("down "+string(to)) > downs })
		if from.seen("down "+string(to)) > downs {
			return false
		}
		got := target.received()
		for i, text := range got[len(got)-lot:] {
			if !strings.HasSuffix(text, ":"+strconv.Itoa(first+i)) {
				t.Fatalf("message %d of the last lot is %s", first+i, text)
			}
		}
		return true
	})
}

func last(n *testNode) string {
	got := n.received()
	if len(got) == 0 {
		return ""
	}
	return got[len(got)-1]
}

func increasing(t *testing.T, got []string) {
	before := -1
	for _, text := range got {
		_, number, _ := strings.Cut(text, ":")
		n, err := strconv.Atoi(number)
		if err != nil || n <= before {
			t.Fatalf("%s came after %d", text, before)
		}
		before = n
	}
}
