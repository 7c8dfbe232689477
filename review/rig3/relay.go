package main

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
)

// relay passes channels on to an address, and can reset those that are open.
type relay struct {
	addr, target string
	listener     net.Listener

	mu sync.Mutex
	// conns has the open channels: of each, the side that was accepted and the other one.
	conns map[*net.TCPConn]*net.TCPConn
}

func newRelay(addr, target string) (*relay, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	r := &relay{addr: l.Addr().String(), target: target, listener: l, conns: map[*net.TCPConn]*net.TCPConn{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.pass(c.(*net.TCPConn))
		}
	}()
	return r, nil
}

func (r *relay) pass(c *net.TCPConn) {
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		abort(c)
		return
	}
	o := out.(*net.TCPConn)
	r.mu.Lock()
	r.conns[c] = o
	r.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	for _, pair := range [][2]*net.TCPConn{{c, o}, {o, c}} {
		go func() {
			defer wg.Done()
			if _, err := io.Copy(pair[1], pair[0]); err != nil {
				abort(pair[1])
				return
			}
			pair[1].CloseWrite() //nolint:errcheck // it may have ended
		}()
	}
	wg.Wait()
	c.Close() //nolint:errcheck // it may have ended
	o.Close() //nolint:errcheck // it may have ended
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// abort ends a channel with a reset.
func abort(c *net.TCPConn) {
	c.SetLinger(0) //nolint:errcheck // it may have ended
	c.Close()      //nolint:errcheck // it may have ended
}

// reset resets a share of the open channels. New ones work.
func (r *relay) reset(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, o := range r.conns {
		if rand.Float64() < share {
			abort(c)
			abort(o)
		}
	}
}
