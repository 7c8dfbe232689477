package guard

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/transport/metrics"
)

// Limits bounds what one connection may send and how long it may take.
type Limits struct {
	// HeaderBytes is the size of the request line and the header together.
	HeaderBytes int64
	// HeaderTimeout is the time for them; IdleTimeout is how long a connection may stay open between two
	// requests.
	HeaderTimeout, IdleTimeout time.Duration
}

// DefaultLimits are the limits where none are configured.
var DefaultLimits = Limits{HeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute}

// withDefaults returns l with the default of each limit that isn't set.
func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = DefaultLimits.HeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = DefaultLimits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultLimits.IdleTimeout
	}
	return l
}

const (
	// writeTimeout is how long a client may leave an answer unread that the system's buffers don't take.
	writeTimeout = 10 * time.Second
	// maxBodyTimeout bounds the time for a body, whatever its client states.
	maxBodyTimeout = 30 * time.Second
	// receiveBufferBytes bounds what the system holds of a connection that isn't read.
	receiveBufferBytes = 32 << 10
	// userTimeout is how long a stream may leave what was sent on it unacknowledged.
	userTimeout = 20 * time.Second
)

// Options configures a listener.
type Options struct {
	// Name is the label of the listener in metrics and log lines.
	Name string
	// MaxConns is the number of connections that may be open at a time.
	MaxConns int
	// Limits returns the limits in force. Nil means DefaultLimits.
	Limits func() Limits
	// Streams is set for a listener whose connections don't speak HTTP/1.1. A connection counts as being
	// served from its first byte on.
	Streams bool
}

// Listener accepts connections within the limits of its options.
type Listener struct {
	net.Listener
	pool *Pool
	opts Options
	// stopping is set once unfinished requests are not waited for any more.
	stopping atomic.Bool
	// endedCount counts the connections that were ended since the last summary.
	endedCount atomic.Int64
	// conns has the open connections. It is guarded by pool.mu.
	conns map[*conn]struct{}
}

// Listen returns a listener at a TCP address.
func (p *Pool) Listen(addr string, o Options) (*Listener, error) {
	inner, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	// Accepted connections inherit the size.
	if err := setReceiveBuffer(inner, receiveBufferBytes); err != nil {
		klog.V(1).InfoS("The receive buffer of a listener keeps its size", "listener", o.Name, "err", err)
	}
	return p.Wrap(inner, o), nil
}

// Wrap returns a listener that accepts the connections of another one.
func (p *Pool) Wrap(inner net.Listener, o Options) *Listener {
	l := &Listener{Listener: inner, pool: p, opts: o, conns: make(map[*conn]struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listeners = append(p.listeners, l)
	return l
}

// limits returns the limits in force.
func (l *Listener) limits() Limits {
	if l.opts.Limits == nil {
		return DefaultLimits
	}
	return l.opts.Limits().withDefaults()
}

// Accept implements net.Listener. A connection beyond the number that may be open takes the place of the
// one that has used most of its time, or is closed at once if all others are being served.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.opts.Streams {
			setUserTimeout(inner)
		}
		c := newConn(l, inner)
		victim, ok := l.add(c)
		if victim != nil {
			victim.end(metrics.EndedNoRoom)
		}
		if ok {
			return c, nil
		}
		l.countEnded(metrics.EndedRefused)
		closeConn(inner)
	}
}

// add adds a connection. If there is no room for it, add returns the connection that has to end, or false
// if none may.
func (l *Listener) add(c *conn) (victim *conn, ok bool) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	if len(l.conns) >= l.opts.MaxConns {
		if victim = l.mostOverdueLocked(); victim == nil {
			return nil, false
		}
		l.pool.dropLocked(victim)
		delete(l.conns, victim)
	}
	l.conns[c] = struct{}{}
	return victim, true
}

// mostOverdueLocked returns the connection that has used most of the time that it may take for what it is
// doing, or nil if all are being served.
func (l *Listener) mostOverdueLocked() *conn {
	var most *conn
	worst := -1.0
	now, limits := l.pool.sweeps.Load(), l.limits()
	for c := range l.conns {
		if used, endable := c.usedShare(now, &limits); endable && used > worst {
			most, worst = c, used
		}
	}
	return most
}

// remove removes a connection that has ended.
func (l *Listener) remove(c *conn) {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	l.pool.dropLocked(c)
	delete(l.conns, c)
}

// endOverdue ends the connections whose time is over.
func (l *Listener) endOverdue(now int64) {
	limits := l.limits()
	for _, c := range l.openConns() {
		c.endIfOverdue(now, &limits, l.stopping.Load())
	}
}

func (l *Listener) openConns() []*conn {
	l.pool.mu.Lock()
	defer l.pool.mu.Unlock()
	out := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}

func (l *Listener) countEnded(reason string) {
	l.endedCount.Add(1)
	metrics.EndedConnection(l.opts.Name, reason)
}

// EndUnfinished has connections end that don't finish sending a request, or reading an answer, within a
// second. It is called in a planned stop, which would wait for them.
func (l *Listener) EndUnfinished() { l.stopping.Store(true) }

// endSilent ends the connections on which nothing has arrived.
func (l *Listener) endSilent() {
	for _, c := range l.openConns() {
		if c.silent() {
			c.end(metrics.EndedStopping)
		}
	}
}

// Serve serves HTTP/1.1 with h in the background and returns the server.
func (l *Listener) Serve(h http.Handler) *http.Server {
	srv := &http.Server{Handler: h}
	l.Configure(srv)
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "An HTTP server stopped serving", "listener", l.opts.Name)
		}
	}()
	return srv
}

// Configure prepares a server that is to serve l. Its timeouts for heads and between requests give way to
// the limits of l.
func (l *Listener) Configure(srv *http.Server) {
	srv.Handler = l.handler(srv.Handler)
	srv.MaxHeaderBytes = maxHeaderBytes
	srv.ReadHeaderTimeout, srv.IdleTimeout = 0, 0
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	srv.ConnState = trackState
	srv.ErrorLog = serverLog(l.opts.Name)
	srv.RegisterOnShutdown(l.endSilent)
}
