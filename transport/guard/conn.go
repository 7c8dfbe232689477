package guard

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/transport/metrics"
)

// phase is what a connection is doing.
type phase uint8

const (
	// receivingHead: the request line and the header of a request are being read, or nothing has arrived
	// on a new connection.
	receivingHead phase = iota
	// receivingBody: the body of a request is being read.
	receivingBody
	// serving: a request is whole, and its answer is being made.
	serving
	// idle: the connection waits for its next request.
	idle
)

const (
	// readAheadBytes is how much the HTTP server reads at a time, so that what has arrived may exceed the
	// head by as much.
	readAheadBytes = 4 << 10
	// headerLineBytes is what a decoded line of a header takes beside its text.
	headerLineBytes = 160
)

// errEnded is the error of reads on a connection that was ended. The HTTP server sends no answer for it.
var errEnded = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the connection was ended")}

// conn is a connection that knows what it is doing and since when.
type conn struct {
	net.Conn
	listener *Listener
	// writingSince is the number of the sweep before which a write began; zero: none is in progress.
	writingSince atomic.Int64
	closeOnce    sync.Once
	closeErr     error

	// paid is what the connection was charged beyond its allowance, in bytes. ended is set once it has
	// ended, or has to. Both are guarded by listener.pool.mu.
	paid  int64
	ended bool

	// mu may be locked while pool.mu is held, not the other way round.
	mu sync.Mutex
	// All fields below are guarded by mu.

	phase phase
	// since is the number of the sweep before which the phase began.
	since int64
	// headBytes is how much has arrived of the head, with what was read ahead.
	headBytes int64
	// held is the memory of the request in bytes.
	held int64
	// bodySweeps is the number of sweeps that a body may take.
	bodySweeps int64
	// timedOut is set once the time for the body is over.
	timedOut bool
}

func newConn(l *Listener, inner net.Conn) *conn {
	return &conn{Conn: inner, listener: l, since: l.pool.sweeps.Load()}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && !c.received(b[:n]) {
		return 0, errEnded
	}
	return n, err
}

// received takes note of bytes that have arrived. It returns false if the connection was ended for them.
func (c *conn) received(b []byte) bool {
	need, head := c.countHead(b)
	if head > readAheadBytes && head > c.listener.limits().HeaderBytes+readAheadBytes {
		c.end(metrics.EndedHeaderTooLarge)
		return false
	}
	return need == 0 || c.listener.pool.acquire(c, need) || !c.end(metrics.EndedNoMemory)
}

// countHead counts the bytes of a head. It returns what has to be charged for them, and the size of the
// head so far; zero for bytes of a body.
func (c *conn) countHead(b []byte) (need, head int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle {
		c.enterLocked(receivingHead)
	}
	if c.phase != receivingHead {
		return 0, 0
	}
	if c.listener.opts.Streams {
		c.enterLocked(serving)
		return 0, 0
	}
	c.headBytes += int64(len(b))
	return c.holdLocked(int64(len(b) + headerLineBytes*bytes.Count(b, []byte{'\n'}))), c.headBytes
}

// holdLocked adds to the memory of the request and returns what has to be charged for it.
func (c *conn) holdLocked(n int64) int64 {
	before := max(c.held-connAllowance, 0)
	c.held += n
	return max(c.held-connAllowance, 0) - before
}

// charge adds to the memory of the request. It returns false if there is no room for it.
func (c *conn) charge(n int64) bool {
	c.mu.Lock()
	need := c.holdLocked(n)
	c.mu.Unlock()
	return need == 0 || c.listener.pool.acquire(c, need)
}

// refund takes n bytes off the memory of the request.
func (c *conn) refund(n int64) {
	c.mu.Lock()
	before := max(c.held-connAllowance, 0)
	c.held = max(c.held-n, 0)
	freed := before - max(c.held-connAllowance, 0)
	c.mu.Unlock()
	if freed > 0 {
		c.listener.pool.refund(c, freed)
	}
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.writingSince.Store(c.listener.pool.sweeps.Load() + 1)
	n, err := c.Conn.Write(b)
	c.writingSince.Store(0)
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.remove(c)
		c.closeErr = c.Conn.Close()
	})
	return c.closeErr
}

// CloseWrite closes the sending side, if the connection has sides.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}

// end closes the connection and counts the reason. It always returns true.
func (c *conn) end(reason string) bool {
	c.closeOnce.Do(func() {
		c.listener.countEnded(reason)
		c.listener.remove(c)
		c.closeErr = c.Conn.Close()
	})
	return true
}

func closeConn(c net.Conn) {
	if err := c.Close(); err != nil {
		klog.V(1).InfoS("Could not close a connection", "err", err)
	}
}

func (c *conn) enterLocked(p phase) {
	c.phase, c.since = p, c.listener.pool.sweeps.Load()
}

// beginRequest takes note that a head is whole. It returns how much has arrived of it and what follows.
func (c *conn) beginRequest(hasBody bool) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timedOut = false
	if hasBody {
		c.enterLocked(receivingBody)
		c.bodySweeps = sweepsOf(c.listener.limits().HeaderTimeout)
		return c.headBytes
	}
	c.enterLocked(serving)
	return c.headBytes
}

// allowBody sets the time for the body, counted from the end of the head.
func (c *conn) allowBody(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodySweeps = sweepsOf(min(d, maxBodyTimeout))
}

// endBody takes note that the body is whole. It returns false if its time was over before.
func (c *conn) endBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timedOut {
		return false
	}
	c.enterLocked(serving)
	return true
}

// bodyTimedOut reports whether the time for the body is over.
func (c *conn) bodyTimedOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.timedOut
}

// endRequest takes note that the connection waits for its next request.
func (c *conn) endRequest() {
	c.mu.Lock()
	charged := c.held > connAllowance
	c.headBytes, c.held = 0, 0
	c.enterLocked(idle)
	c.mu.Unlock()
	if charged {
		c.listener.pool.release(c)
	}
}

// silent reports whether nothing has arrived of a request.
func (c *conn) silent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == receivingHead && c.headBytes == 0
}

// age returns for how many sweeps the connection has been doing what it does, and whether it may be ended
// for it.
func (c *conn) age(now int64) (int64, bool) {
	if w := c.writingSince.Load(); w > 0 {
		age := now - w + 1
		return age, age > 1 // most writes take no time
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return now - c.since, c.phase != serving
}

// usedShare returns how much the connection has used of the time that it may take for what it is doing,
// and whether it may be ended for it.
func (c *conn) usedShare(now int64, l *Limits) (float64, bool) {
	age, endable := c.age(now)
	_, limit := c.timeLimit(l)
	return float64(age) / float64(limit), endable
}

// timeLimit returns the reason and the number of sweeps after which the connection is ended for what it is
// doing.
func (c *conn) timeLimit(l *Limits) (string, int64) {
	if c.writingSince.Load() > 0 {
		return metrics.EndedUnreadAnswer, sweepsOf(writeTimeout)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case receivingHead:
		return metrics.EndedHeaderTimeout, sweepsOf(l.HeaderTimeout)
	case receivingBody:
		return metrics.EndedBodyTimeout, c.bodySweeps
	default:
		return metrics.EndedIdle, sweepsOf(l.IdleTimeout)
	}
}

// endIfOverdue ends the connection if its time is over. With stopping, unfinished requests and answers
// have a second, and none is told that it was late.
func (c *conn) endIfOverdue(now int64, l *Limits, stopping bool) {
	age, endable := c.age(now)
	reason, limit := c.timeLimit(l)
	if stopping && reason != metrics.EndedIdle { // the server closes idle connections itself
		reason, limit = metrics.EndedStopping, min(limit, sweepsOf(time.Second)-1)
	}
	if !endable || age <= limit {
		return
	}
	if stopping || !c.timeBodyOut() {
		c.end(reason)
	}
}

// timeBodyOut has the read of a body fail, so that the client gets an answer. It returns false if the
// connection isn't receiving a body, or was told before.
func (c *conn) timeBodyOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != receivingBody || c.timedOut || c.writingSince.Load() > 0 {
		return false
	}
	c.timedOut = true
	c.enterLocked(receivingBody) // the answer has as much time again
	if err := c.SetReadDeadline(time.Now()); err != nil {
		klog.V(1).InfoS("Could not end the reading of a body", "err", err)
	}
	return true
}

// sweepsOf returns the number of sweeps in which at least d passes.
func sweepsOf(d time.Duration) int64 { return int64((d + sweepInterval - 1) / sweepInterval) }
