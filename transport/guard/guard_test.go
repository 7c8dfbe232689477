package guard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// testLimits are low enough for a test to pass them by hand.
var testLimits = Limits{HeaderBytes: 8 << 10, HeaderTimeout: 2 * sweepInterval, IdleTimeout: 4 * sweepInterval}

// server is a guarded HTTP server whose sweeps the test makes.
type server struct {
	t        *testing.T
	is       *is.I
	pool     *Pool
	listener *Listener
	http     *http.Server
	// gate holds requests to /wait back until open is called.
	gate chan struct{}
	open func()
	// dialled has all connections of clients: one that is collected is closed.
	dialled []net.Conn
	// waiting receives a value when a request to /wait has begun.
	waiting chan struct{}
}

func newServer(t *testing.T, memory int64, conns int) *server {
	s := &server{t: t, is: is.New(t), pool: NewPool(memory), gate: make(chan struct{}), waiting: make(chan struct{}, 16)}
	var err error
	s.listener, err = s.pool.Listen("127.0.0.1:0", Options{Name: "test", MaxConns: conns, Limits: func() Limits { return testLimits }})
	s.is.NoErr(err)
	s.http = s.listener.Serve(http.HandlerFunc(s.serve))
	s.open = sync.OnceFunc(func() { close(s.gate) })
	t.Cleanup(func() {
		s.open()
		for _, c := range s.dialled {
			c.Close() //nolint:errcheck // it may have ended already
		}
		s.is.NoErr(s.http.Close())
	})
	return s
}

const maxTestBody = 1 << 20

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	body, err := ReadBody(w, r, maxTestBody, time.Second)
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, ErrBodyTimeout):
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case errors.As(err, &large):
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	case err != nil:
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	if r.URL.Path == "/wait" {
		s.waiting <- struct{}{}
		<-s.gate
	}
	fmt.Fprint(w, len(body))
}

// client is a connection to the server.
type client struct {
	is *is.I
	net.Conn
	in *bufio.Reader
}

func (s *server) dial() *client {
	c, err := net.Dial("tcp", s.listener.Addr().String())
	s.is.NoErr(err)
	s.dialled = append(s.dialled, c)
	return &client{is: s.is, Conn: c, in: bufio.NewReader(c)}
}

func (c *client) send(format string, args ...any) {
	_, err := fmt.Fprintf(c, format, args...)
	c.is.NoErr(err)
}

// status returns the status of the next response, or zero if the connection has ended.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, resp.Body) //nolint:errcheck // only the status counts
	return resp.StatusCode
}

// sendBody sends a request with the first part of a body.
func (c *client) sendBody(path string, announced, sent int) {
	c.send("POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", path, announced, strings.Repeat("x", sent))
}

// awaitConns waits until the server has accepted n connections that are open and match ok.
func (s *server) awaitConns(n int, ok func(*conn) bool) {
	s.t.Helper()
	s.await(func() bool {
		found := 0
		for _, c := range s.listener.openConns() {
			if ok == nil || ok(c) {
				found++
			}
		}
		return found == n
	})
}

// await waits until a condition holds.
func (s *server) await(ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(awaitTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatal("the connections did not get into the state that the test waits for")
		}
	}
}

// awaitTimeout ends a test that waits in vain.
const awaitTimeout = 20 * time.Second

func inPhase(p phase) func(*conn) bool {
	return func(c *conn) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.phase == p
	}
}

// held returns a filter for connections whose requests hold at least n bytes.
func held(n int64) func(*conn) bool {
	return func(c *conn) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.held >= n
	}
}

func (s *server) used() int64 {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	return s.pool.used
}

// Guards against silent connections that keep ordinary clients out: the oldest gives way.
func TestSilentConnectionGivesWay(t *testing.T) {
	s := newServer(t, maxTestBody, 2)
	first := s.dial()
	s.awaitConns(1, nil)
	s.pool.sweep(false)
	second := s.dial()
	s.awaitConns(2, nil)
	third := s.dial()
	third.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	s.is.Equal(third.status(), http.StatusOK)
	s.is.Equal(first.status(), 0)
	second.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	s.is.Equal(second.status(), http.StatusOK)
}

// Guards against a request in progress that is cut for a newcomer.
func TestServedConnectionsStay(t *testing.T) {
	s := newServer(t, maxTestBody, 1)
	c := s.dial()
	c.sendBody("/wait", 1, 1)
	<-s.waiting
	s.is.Equal(s.dial().status(), 0)
	for range 100 {
		s.pool.sweep(false)
	}
	s.open()
	s.is.Equal(c.status(), http.StatusOK)
}

// Guards against bodies that stop short of their end and hold the memory of all.
func TestStalledBodyGivesItsMemoryUp(t *testing.T) {
	s := newServer(t, 2*maxTestBody, 10)
	stalled := s.dial()
	stalled.sendBody("/", maxTestBody, maxTestBody-1)
	s.awaitConns(1, held(maxTestBody))
	s.pool.sweep(false)
	other := s.dial()
	other.sendBody("/", maxTestBody, maxTestBody)
	s.is.Equal(other.status(), http.StatusOK)
	s.is.Equal(stalled.status(), 0)
}

// Guards against large requests in progress that leave no memory to small ones. They can't be ended.
func TestLargeRequestsLeaveRoomForSmallOnes(t *testing.T) {
	s := newServer(t, maxTestBody, 10)
	large := make([]*client, 3)
	for i := range large {
		large[i] = s.dial()
		large[i].sendBody("/wait", maxTestBody/4, maxTestBody/4)
		if i < 2 {
			<-s.waiting
		}
	}
	s.is.True(large[2].status() != http.StatusOK) // refused or ended
	small := s.dial()
	small.sendBody("/", smallBytes/4, smallBytes/4)
	s.is.Equal(small.status(), http.StatusOK)
	s.open()
	s.is.Equal(large[0].status(), http.StatusOK)
	s.is.Equal(large[1].status(), http.StatusOK)
}

// Guards against memory that stays charged after its request.
func TestMemoryIsReturned(t *testing.T) {
	s := newServer(t, 2*maxTestBody, 10)
	c := s.dial()
	for range 3 {
		c.sendBody("/", maxTestBody/2, maxTestBody/2)
		s.is.Equal(c.status(), http.StatusOK)
	}
	s.awaitConns(1, inPhase(idle))
	s.await(func() bool { return s.used() == 0 })
	c.sendBody("/", maxTestBody, maxTestBody/2)
	s.awaitConns(1, held(maxTestBody/2))
	s.is.NoErr(c.Close())
	s.await(func() bool { return s.used() == 0 })
}

// Guards against announced bodies that keep others out before any of them has arrived.
func TestAnnouncedBodyTakesNoMemory(t *testing.T) {
	s := newServer(t, maxTestBody, 10)
	for range 5 {
		s.dial().sendBody("/", maxTestBody, 0)
	}
	s.awaitConns(5, inPhase(receivingBody))
	c := s.dial()
	c.sendBody("/", maxTestBody/2, maxTestBody/2)
	s.is.Equal(c.status(), http.StatusOK)
	s.awaitConns(5, inPhase(receivingBody))
}

// Guards against a body that never ends; its client is told that its time is over.
func TestBodyTimeoutIsAnswered(t *testing.T) {
	s := newServer(t, maxTestBody, 10)
	c := s.dial()
	c.sendBody("/", 100, 99)
	s.awaitConns(1, inPhase(receivingBody))
	s.sweepTimes(2)
	s.awaitConns(1, inPhase(receivingBody))
	s.sweepTimes(1)
	s.is.Equal(c.status(), http.StatusGatewayTimeout)
	s.is.Equal(c.status(), 0)
}

func (s *server) sweepTimes(n int) {
	for range n {
		s.pool.sweep(false)
	}
}

// Guards against a body that nobody reads: the server would wait for its rest before it answers.
func TestUnreadBodyEnds(t *testing.T) {
	s := newServer(t, maxTestBody, 10)
	c := s.dial()
	c.sendBody("/unread", 10, 0)
	s.awaitConns(1, inPhase(receivingBody))
	s.sweepTimes(3)
	s.is.Equal(c.status(), http.StatusNotFound)
	s.is.Equal(c.status(), 0)
}

// Guards against heads that don't end, and connections that are left open.
func TestHeadAndIdleTimeouts(t *testing.T) {
	s := newServer(t, maxTestBody, 10)
	unfinished, kept := s.dial(), s.dial()
	unfinished.send("GET / HTTP/1.1\r\n")
	kept.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	s.is.Equal(kept.status(), http.StatusOK)
	s.awaitConns(1, inPhase(idle))
	s.awaitConns(2, nil)
	s.sweepTimes(3)
	s.is.Equal(unfinished.status(), 0)
	s.awaitConns(1, inPhase(idle))
	s.sweepTimes(2)
	s.is.Equal(kept.status(), 0)
}

// Guards against connections that end because the process was suspended, before it could read what had
// arrived meanwhile.
func TestLateSweepEndsNothing(t *testing.T) {
	s := newServer(t, maxTestBody, 10)
	c := s.dial()
	s.awaitConns(1, nil)
	for range 10 {
		s.pool.sweep(true)
	}
	c.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	s.is.Equal(c.status(), http.StatusOK)
}

// Guards against heads over the limit: a little over it they are refused, far over it not even read.
func TestHeadOverTheLimit(t *testing.T) {
	s := newServer(t, 16*maxTestBody, 10)
	limit := int(testLimits.HeaderBytes)
	for _, c := range []struct{ bytes, want int }{
		{limit, http.StatusOK},
		{limit + 1, http.StatusRequestHeaderFieldsTooLarge},
		{limit + 3*readAheadBytes, 0},
	} {
		conn := s.dial()
		head := "GET / HTTP/1.1\r\nHost: x\r\nX: "
		_, err := conn.Write([]byte(head + strings.Repeat("x", c.bytes-len(head)-len("\r\n\r\n")) + "\r\n\r\n"))
		if c.want != 0 {
			s.is.NoErr(err)
		}
		s.is.Equal(conn.status(), c.want)
	}
}

// Guards against heads of many short lines, whose decoded form is far larger than what arrived.
func TestManyHeaderLinesCount(t *testing.T) {
	s := newServer(t, 16*maxTestBody, 10)
	c := s.dial()
	lines := int(testLimits.HeaderBytes) / len("ab:\r\n") / 2
	c.send("GET / HTTP/1.1\r\nHost: x\r\n%s", strings.Repeat("ab:\r\n", lines))
	s.awaitConns(1, held(int64(lines*headerLineBytes)))
	s.is.True(s.used() >= int64(lines*headerLineBytes)-connAllowance)
}

// Guards against a client that sends requests and reads no answer.
func TestUnreadAnswerEnds(t *testing.T) {
	s := newServer(t, maxTestBody, 10)
	c := s.dial()
	go func() {
		for {
			if _, err := c.Write([]byte(strings.Repeat("GET / HTTP/1.1\r\nHost: x\r\n\r\n", 100))); err != nil {
				return
			}
		}
	}()
	s.awaitConns(1, func(c *conn) bool { return c.writingSince.Load() > 0 })
	s.await(func() bool {
		s.pool.sweep(false)
		return len(s.listener.openConns()) == 0
	})
}

// Guards against an answer that is cut for a newcomer while it is being written.
func TestAnswerBeingWrittenIsNotCut(t *testing.T) {
	s := newServer(t, maxTestBody, 1)
	c := s.dial()
	c.sendBody("/wait", 1, 1)
	<-s.waiting
	s.listener.openConns()[0].writingSince.Store(s.pool.sweeps.Load() + 1)
	s.is.Equal(s.dial().status(), 0)
	s.open()
	s.is.Equal(c.status(), http.StatusOK)
}

// Guards against unfinished requests that hold up a planned stop.
func TestStopEndsUnfinishedRequests(t *testing.T) {
	s := newServer(t, maxTestBody, 10)
	silent, head, body, kept := s.dial(), s.dial(), s.dial(), s.dial()
	kept.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	s.is.Equal(kept.status(), http.StatusOK)
	s.awaitConns(1, inPhase(idle))
	head.send("GET / HTTP/1.1\r\n")
	body.sendBody("/", 10, 9)
	s.awaitConns(1, inPhase(receivingBody))
	s.awaitConns(1, func(c *conn) bool { return c.headBytesNow() > 0 && inPhase(receivingHead)(c) })
	s.awaitConns(4, nil)
	s.listener.EndUnfinished()
	s.sweepTimes(2)
	kept.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	s.is.Equal(kept.status(), http.StatusOK) // it may be used until the server shuts down
	s.is.Equal(silent.status(), 0)
	s.is.Equal(head.status(), 0)
	s.is.Equal(body.status(), 0)
}

func (c *conn) headBytesNow() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headBytes
}

// Guards against large requests that are decoded all at once: their memory counts, and is refunded.
func TestExpandedRequestCounts(t *testing.T) {
	s := newServer(t, maxTestBody, 10)
	errs, kept := make(chan error, 1), make(chan int64, 2)
	s.http.Handler = s.listener.handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		errs <- Expand(r.Context(), r, maxTestBody/2, func() int64 { return 0 })
		before := connOf(r).heldNow()
		_ = Expand(r.Context(), r, 1000, func() int64 { return 3000 })
		kept <- connOf(r).heldNow() - before
		errs <- Expand(r.Context(), r, 2*maxTestBody, func() int64 { panic("decoded without memory") })
	}))
	s.dial().send("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	s.is.NoErr(<-errs)
	s.is.Equal(<-kept, int64(3000))
	s.is.True(errors.Is(<-errs, ErrNoMemory))
}

func (c *conn) heldNow() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// Guards against clients without limits before the first configuration, and limits that don't follow it.
func TestLimitsFollowTheConfiguration(t *testing.T) {
	is := is.New(t)
	var configured Limits
	l := NewPool(0).Wrap(nil, Options{Limits: func() Limits { return configured }})
	is.Equal(l.limits(), DefaultLimits)
	configured = Limits{HeaderBytes: 1}
	is.Equal(l.limits(), Limits{HeaderBytes: 1, HeaderTimeout: DefaultLimits.HeaderTimeout, IdleTimeout: DefaultLimits.IdleTimeout})
}
