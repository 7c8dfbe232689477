package link

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// wireTap stands between a dialler and a node and can cut or freeze what
// passes, as a broken or silent network does.
type wireTap struct {
	net.Listener
	target string

	mu sync.Mutex
	// The fields below are guarded by mu.
	conns  []net.Conn
	frozen bool
	thaw   *sync.Cond
}

func tap(t *testing.T, target string) *wireTap {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	w := &wireTap{Listener: listener, target: target}
	w.thaw = sync.NewCond(&w.mu)
	go w.run()
	t.Cleanup(func() {
		w.Close()
		w.freeze(false)
		w.cut()
	})
	return w
}

func (w *wireTap) addr() string { return w.Addr().String() }

func (w *wireTap) run() {
	for {
		in, err := w.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", w.target)
		if err != nil {
			in.Close()
			continue
		}
		w.mu.Lock()
		w.conns = append(w.conns, in, out)
		w.mu.Unlock()
		go w.pass(out, in)
		go w.pass(in, out)
	}
}

func (w *wireTap) pass(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		w.mu.Lock()
		for w.frozen {
			w.thaw.Wait()
		}
		w.mu.Unlock()
		if _, err := to.Write(buf[:n]); err != nil && err != io.ErrShortWrite {
			return
		}
	}
}

func (w *wireTap) freeze(frozen bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.frozen = frozen
	w.thaw.Broadcast()
}

func (w *wireTap) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.Close()
	}
	w.conns = nil
}
