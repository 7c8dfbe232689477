package link

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/shallotstep/shallotstep/coordination/message"
)

// A peer stops taking messages: its handler hangs, the process lives. Send must
// go on returning at once, refuse when the bound is reached, and leave other
// peers alone. After WriteTimeout the link is cut and Down tells the caller.
func TestPeerThatStopsReading(t *testing.T) {
	t.Run("dialled by the sender", func(t *testing.T) { testPeerThatStopsReading(t, true) })
	t.Run("dialled by the peer", func(t *testing.T) { testPeerThatStopsReading(t, false) })
}

func testPeerThatStopsReading(t *testing.T, dialled bool) {
	is := is.New(t)
	a := start(t, "a@1", func(o *Options) { o.MaxQueue = 50; o.WriteTimeout = 200 * time.Millisecond })
	b, c := start(t, "b@1", nil), start(t, "c@1", nil)
	if dialled {
		a.SetPeer("b@1", b.addr)
	} else {
		b.SetPeer("a@1", a.addr)
		is.True(b.Send("a@1", drop(0)))
		await(t, "b's link", func() bool { return len(a.received()) == 1 })
	}
	a.SetPeer("c@1", c.addr)
	release := make(chan struct{})
	free := sync.OnceFunc(func() { close(release) })
	defer free()
	b.mu.Lock()
	b.hold = release
	b.mu.Unlock()
	big := message.RosterReply{Records: []message.RosterRecord{{Data: make([]byte, 64<<10)}}}
	for a.seen("down b@1") == 0 {
		a.Send("b@1", big)
	}
	is.True(a.refusals(ReasonQueueFull) > 0)
	is.True(a.Send("c@1", drop(0)))
	await(t, "the other peer's message", func() bool { return len(c.received()) == 1 })
	is.Equal(a.seen("down c@1"), 0)
	free()
	await(t, "b again", func() bool {
		a.Send("b@1", drop(1))
		return slices.Contains(b.received(), "a@1:1")
	})
}

// The network goes silent without closing: a frame written into it never
// arrives. The sender learns of it by the write that doesn't end.
func TestSilentNetwork(t *testing.T) {
	is := is.New(t)
	a := start(t, "a@1", func(o *Options) { o.WriteTimeout = 100 * time.Millisecond })
	b := start(t, "b@1", nil)
	w := tap(t, b.addr)
	a.SetPeer("b@1", w.addr())
	is.True(a.Send("b@1", drop(0)))
	await(t, "the first", func() bool { return len(b.received()) == 1 })
	w.freeze(true)
	payload := message.RosterReply{Records: []message.RosterRecord{{Data: make([]byte, 1<<20)}}}
	is.True(a.Send("b@1", payload))
	is.True(a.Send("b@1", payload))
	await(t, "down", func() bool { return a.seen("down b@1") == 1 })
}

// A link is cut in the middle of a stream of messages. What arrived is a prefix
// of what was accepted before Down, each once; Down comes once; messages sent
// after Down take a new link.
func TestLinkCutInTheMiddle(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a@1", nil), start(t, "b@1", nil)
	w := tap(t, b.addr)
	a.SetPeer("b@1", w.addr())
	sent := 0
	for ; a.seen("down b@1") == 0; sent++ {
		a.Send("b@1", drop(sent))
		if sent == 1000 {
			await(t, "some", func() bool { return len(b.received()) > 0 })
			w.cut()
		}
		time.Sleep(10 * time.Microsecond)
	}
	await(t, "b's down", func() bool { return b.seen("down a@1") == 1 })
	before := b.received()
	is.True(a.Send("b@1", drop(sent)))
	await(t, "the new link", func() bool { return slices.Contains(b.received(), inOrder("a@1", sent+1)[sent]) })
	is.Equal(a.seen("down b@1"), 1)
	all := inOrder("a@1", sent)
	is.Equal(before, all[:len(before)])
}

// A node is killed and another incarnation listens at its address. Messages to
// the old one must not reach the new one: it remembers nothing of what its
// predecessor promised.
func TestRestartUnderAnotherID(t *testing.T) {
	is := is.New(t)
	a, old := start(t, "a@1", nil), start(t, "b@1", nil)
	a.SetPeer("b@1", old.addr)
	is.True(a.Send("b@1", drop(0)))
	await(t, "the first", func() bool { return len(old.received()) == 1 })
	old.stop()
	await(t, "down", func() bool { return a.seen("down b@1") == 1 })
	listener, err := net.Listen("tcp", old.addr)
	is.NoErr(err)
	renewed := start(t, "b@2", func(o *Options) { o.Listener.Close(); o.Listener, o.Addr = listener, old.addr })
	is.True(a.Send("b@1", drop(1)))
	await(t, "down again", func() bool { return a.seen("down b@1") == 2 })
	is.Equal(int(testutil.ToFloat64(a.metrics.lost.WithLabelValues(string(ReasonWrongPeer)))), 1)
	is.Equal(int(testutil.ToFloat64(renewed.metrics.rejected.WithLabelValues(string(ReasonWrongPeer)))), 1)
	a.SetPeer("b@2", old.addr)
	is.True(a.Send("b@2", drop(2)))
	await(t, "the new one", func() bool { return len(renewed.received()) == 1 })
	is.Equal(renewed.received(), []string{"a@1:2"})
}

// Nobody listens at the address. Each Send is accepted, and each lot that was
// waiting for a failed dial is answered by one Down, so no caller waits in vain.
func TestUnreachablePeer(t *testing.T) {
	is := is.New(t)
	a, b := start(t, "a@1", nil), start(t, "b@1", nil)
	a.SetPeer("b@1", b.addr)
	b.stop()
	for i := 1; i <= 3; i++ {
		is.True(a.Send("b@1", drop(i)))
		await(t, "down", func() bool { return a.seen("down b@1") == i })
	}
	is.Equal(int(testutil.ToFloat64(a.metrics.dials)), 3)
}

// The peer allows smaller messages than this node: its limit cuts the link, and
// the caller hears of it by Down in place of silence.
func TestMessageOverThePeersLimit(t *testing.T) {
	is := is.New(t)
	a := start(t, "a@1", nil)
	b := start(t, "b@1", func(o *Options) { o.MaxMessageBytes = 1 })
	a.SetPeer("b@1", b.addr)
	is.True(a.Send("b@1", message.RosterReply{Records: []message.RosterRecord{{Data: make([]byte, 1<<20)}}}))
	await(t, "down", func() bool { return a.seen("down b@1") == 1 })
	is.True(a.Send("b@1", drop(0)))
	await(t, "a small one", func() bool { return len(b.received()) == 1 })
}

// Strangers connect and send garbage, or nothing. The node closes on them and
// serves its peers meanwhile.
func TestGarbageOnTheListener(t *testing.T) {
	is := is.New(t)
	a := start(t, "a@1", nil)
	b := start(t, "b@1", func(o *Options) { o.DialTimeout = 100 * time.Millisecond })
	for _, garbage := range []string{"", "GET / HTTP/1.1\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nzzzzzzzzzzzzzzzzzzzz"} {
		conn, err := net.Dial("tcp", b.addr)
		is.NoErr(err)
		defer conn.Close()
		_, err = conn.Write([]byte(garbage))
		is.NoErr(err)
		a.SetPeer("b@1", b.addr)
		is.True(a.Send("b@1", drop(0)))
		for err == nil { // until the node has closed the connection
			_, err = conn.Read(make([]byte, 1024))
		}
	}
	await(t, "the peer's messages", func() bool { return len(b.received()) == 3 })
	is.Equal(a.seen("down b@1"), 0)
}
