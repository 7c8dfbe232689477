package platformlog

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
)

// pipes is a listener whose connections never leave this process.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p pipes) Close() error   { close(p); return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipes) dial(context.Context, string, string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	p <- theirs
	return ours, nil
}

// The log was out of service for so long that readers pause for up to 3 s
// between tries. It comes back, an operator applies, the log confirms. The entry
// must read what became of it at once: it gives an apply up after a while.
func TestConfirmedAppendEndsThePauseOfTheReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var back, appended, read time.Time
		conns := make(pipes)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.Method == http.MethodPost:
				appended = time.Now()
				w.WriteHeader(http.StatusCreated)
				_, _ = w.Write([]byte(`{"offset":1}`))
			case back.IsZero():
				w.WriteHeader(http.StatusInternalServerError)
			default:
				read = time.Now()
				_, _ = w.Write([]byte(`{"first":1,"next":1,"end":1}`))
			}
		})}
		go func() { _ = server.Serve(conns) }()
		c := New(Options{URL: "http://log", Dial: conns.dial})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			ended <- c.Follow(ctx, coordination.StreamDeclarations, 1, Events{OnBatch: func(Batch, time.Time) { cancel() }})
		}()
		time.Sleep(time.Minute)
		synctest.Wait()
		back = time.Now()
		_, err := c.Append(ctx, coordination.StreamDeclarations, []byte("x"))
		is.NoErr(err)
		<-ended
		c.Close()
		is.NoErr(server.Close())
		is.Equal(read, appended)
	})
}
