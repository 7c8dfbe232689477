package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/transport/platformlog"
)

// slowLog confirms an append after a while, over connections in memory.
type slowLog struct {
	takes time.Duration
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *slowLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(l.takes)
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write([]byte(`{"offset":1}`))
}

// Accept implements net.Listener, as do the methods below it.
func (l *slowLog) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *slowLog) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *slowLog) Addr() net.Addr { return &net.TCPAddr{} }

func (l *slowLog) dial(context.Context, string, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	l.conns <- theirs
	return ours, nil
}

// failures counts the appends whose outcome isn't known.
type failures struct {
	Machine
	count atomic.Int64
}

func (f *failures) AppendFailed(time.Time, coordination.Append, bool) []coordination.Action {
	f.count.Add(1)
	return nil
}

// The platform's log is slow, and the operator has raised timeouts.log to sit it
// out. The runner gave every append up after 4 s of its own, so the longer limit
// did nothing: each append of a slow hour ended as unknown.
func TestAppendMayTakeAsLongAsSet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &slowLog{takes: 8 * time.Second, conns: make(chan net.Conn), done: make(chan struct{})}
		server := &http.Server{Handler: l}
		go func() { _ = server.Serve(l) }()
		client := platformlog.New(platformlog.Options{URL: "http://log", Timeout: 9 * time.Second, Dial: l.dial})
		m := &failures{}
		r := New(Options{Self: "a@1", Machine: m, Log: client})
		r.Execute([]coordination.Action{coordination.Append{Stream: coordination.StreamRoster, Data: []byte("x")}})
		r.background.Wait()
		client.Close()
		is.NoErr(server.Close())
		time.Sleep(l.takes) // the log's own goroutine must have ended
		is.Equal(m.count.Load(), int64(0))
	})
}
