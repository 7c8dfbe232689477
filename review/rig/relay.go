package main

import (
	"net"
	"sync"
	"time"
)

// relay forwards TCP connections to a target. While it is cut, bytes and new connections get
// nowhere, and nothing is reset.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool              // guarded by mu
	conns map[net.Conn]bool // guarded by mu
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(in)
		}
	}()
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *relay) serve(in net.Conn) {
	for r.isCut() {
		time.Sleep(10 * time.Millisecond)
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		in.Close()
		return
	}
	r.mu.Lock()
	r.conns[in], r.conns[out] = true, true
	r.mu.Unlock()
	go r.copy(out, in)
	r.copy(in, out)
}

// copy forwards one direction. Bytes that arrive while the relay is cut are held up and then lost,
// since the connection is reset when the cut ends.
func (r *relay) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for r.isCut() {
			time.Sleep(10 * time.Millisecond)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *relay) setCut(cut bool) {
	if !cut {
		r.reset()
	}
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
}

// reset resets all connections.
func (r *relay) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
		delete(r.conns, c)
	}
}
