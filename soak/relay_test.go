package soak

import (
	"errors"
	"net"
	"sync"
	"time"
)

// relayMode is what a relay does with the bytes it receives.
type relayMode int

const (
	// forward forwards them.
	forward relayMode = iota
	// dropBoth drops them in both directions. Connections stay open.
	dropBoth
	// dropToTarget drops only those sent to the target.
	dropToTarget
	// dropFromTarget drops only those sent by the target.
	dropFromTarget
)

// relay forwards TCP connections to a target and injects faults into them.
type relay struct {
	listener net.Listener

	mu sync.Mutex
	// All fields below are guarded by mu.

	target string
	mode   relayMode
	delay  time.Duration
	conns  map[net.Conn]bool
	closed bool
}

func newRelay(addr, target string) (*relay, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go r.accept()
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go r.serve(in)
		}
	}
}

func (r *relay) serve(in net.Conn) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	out, err := net.Dial("tcp", target)
	if err != nil || !r.add(in, out) {
		closeConn(in)
		if err == nil {
			closeConn(out)
		}
		return
	}
	go r.copy(out, in, dropToTarget)
	r.copy(in, out, dropFromTarget)
}

// add registers connections, so that reset closes them. It reports whether the relay is still open.
func (r *relay) add(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		r.conns[c] = true
	}
	return !r.closed
}

// copy forwards one direction of a connection. dropMode is the mode that drops only this direction.
func (r *relay) copy(to, from net.Conn, dropMode relayMode) {
	defer r.closeConns(to, from)
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		r.mu.Lock()
		mode, delay := r.mode, r.delay
		r.mu.Unlock()
		if delay > 0 {
			time.Sleep(delay)
		}
		if mode == dropBoth || mode == dropMode {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// closeConns closes connections and removes them from conns.
func (r *relay) closeConns(conns ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		delete(r.conns, c)
		closeConn(c)
	}
}

// closeConn closes a connection and ignores the error: the peer sees the close.
func closeConn(c net.Conn) { _ = c.Close() }

// reset closes all connections with a TCP reset.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // without it the connection is closed without a reset
		}
		closeConn(c)
	}
	clear(r.conns)
}

func (r *relay) setMode(mode relayMode, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode, r.delay = mode, delay
}

// redirect sets the target of new connections, and resets the present ones.
func (r *relay) redirect(target string) {
	r.mu.Lock()
	r.target = target
	r.mu.Unlock()
	r.reset()
}

func (r *relay) close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	closeListener(r.listener)
	r.reset()
}

// closeListener closes a listener and ignores the error: the accepting goroutine sees the close.
func closeListener(l net.Listener) { _ = l.Close() }
