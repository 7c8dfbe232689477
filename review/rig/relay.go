package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

// relay forwards TCP connections to a machine. While the machine at either end is cut off, bytes and
// new connections get nowhere, and nothing is reset.
type relay struct {
	listener net.Listener
	target   string
	// to names the machine behind the relay, and from the one before it; from is empty if any
	// machine connects. Connections between machines name their sender in their first frame.
	from, to string
	cuts     *cuts
}

// cuts has the machines that are cut off from all others and from the store. Their backend servers
// and reports are not behind relays.
type cuts struct {
	mu  sync.Mutex
	cut map[string]bool // guarded by mu
}

func (c *cuts) set(machine string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[machine] = cut
}

// wait returns once none of the machines is cut off.
func (c *cuts) wait(machines ...string) {
	for {
		c.mu.Lock()
		cut := false
		for _, m := range machines {
			cut = cut || c.cut[m]
		}
		c.mu.Unlock()
		if !cut {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func newRelay(c *cuts, from, to, target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, from: from, to: to, cuts: c}
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

// link is one connection through a relay.
type link struct {
	relay *relay

	mu   sync.Mutex
	from string // guarded by mu; the machine that has connected, once it is known
	head []byte // guarded by mu; the first bytes that it has sent
}

func (r *relay) serve(in net.Conn) {
	r.cuts.wait(r.from, r.to)
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		in.Close()
		return
	}
	l := &link{relay: r, from: r.from}
	go l.copy(out, in, true)
	l.copy(in, out, false)
}

// copy forwards one direction. Bytes are held up while the connection is cut.
func (l *link) copy(to, from net.Conn, forth bool) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if forth {
			l.sniff(buf[:n])
		}
		l.relay.cuts.wait(l.source(), l.relay.to)
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

func (l *link) source() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.from
}

// sniff learns which machine has connected: a link begins with the name of its process, which is
// that of the machine, a slash and the incarnation.
func (l *link) sniff(b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.from != "" || len(l.head) > 4096 {
		return
	}
	l.head = append(l.head, b...)
	for _, kind := range []string{"side-", "edge-"} {
		if i := bytes.Index(l.head, []byte(kind)); i >= 0 {
			if n := bytes.IndexByte(l.head[i:], '/'); n > 0 {
				l.from = string(l.head[i : i+n])
			}
		}
	}
}
