package backendclient_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/shallotstep/shallotstep/standin/backendserver"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

func TestLostReplyIsFetched(t *testing.T) {
	// Every connection breaks after its task has ended and before the reply
	// is out. The museum's quote has been made. The agent asks for the result
	// and neither makes it again nor reports it as lost.
	is := is.New(t)
	s := startBackend(t, backendserver.Options{Faults: backendserver.Faults{DropReplies: 1}})
	c := newClient(t, backendclient.Options{})
	for i := range 20 {
		res := c.Run(t.Context(), s.Backend(), key(i), task(`{"work_ms":2,"echo":"quote"}`), 0)
		is.Equal(res.Verdict, backendclient.Ran)
		is.Equal(string(res.Task.Payload), `"quote"`)
		is.Equal(s.Starts(key(i)), 1)
	}
}

func TestLostRequestIsBarredBeforeItIsCalledNotStarted(t *testing.T) {
	// The connection breaks before the backend server has started the task.
	// "Unknown task" alone would not do: a copy of the request may still lie
	// in a socket buffer. So the agent has the ID barred first, and the copy
	// that arrives afterwards starts nothing.
	is := is.New(t)
	s := startBackend(t, backendserver.Options{})
	ids := make(chan string, 1)
	proxy := breakFirstStart(t, s.URL(), ids)
	b := s.Backend()
	b.URL = proxy.URL

	c := newClient(t, backendclient.Options{})
	res := c.Run(t.Context(), b, key(0), task(`{"echo":1}`), 0)
	is.Equal(res.Verdict, backendclient.NotStarted)

	late := fmt.Sprintf(`{"service":"bench-desk","job":"j1","index":0,"lease_ms":1000,"task_id":%q}`, <-ids)
	resp, err := http.Post(s.URL()+wire.TasksPath, "application/json", strings.NewReader(late))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(s.TotalStarts(), 0)
}

// breakFirstStart stands before a backend server, swallows each start and
// passes everything else on.
func breakFirstStart(t *testing.T, url string, ids chan<- string) *httptest.Server {
	t.Helper()
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == wire.TasksPath {
			var req wire.StartRequest
			_ = json.NewDecoder(r.Body).Decode(&req)
			ids <- req.TaskID
			panic(http.ErrAbortHandler)
		}
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, url+r.URL.RequestURI(), r.Body)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	}))
	t.Cleanup(proxy.Close)
	return proxy
}

func TestDroppedKeepAliveConnectionDoesNotRunTwice(t *testing.T) {
	// A backend server closes a kept-alive connection just as the next start
	// is written to it. net/http calls that a stale connection and would send
	// a replayable request again by itself. Had the server started the task
	// before it closed, it would run twice with nobody the wiser.
	is := is.New(t)
	srv := newKeepAliveDropper(t)
	c := newClient(t, backendclient.Options{})
	b := state.Backend{ID: "b", URL: srv.url, Connections: 8}

	first := c.Run(t.Context(), b, key(0), task(`1`), 0)
	is.Equal(first.Verdict, backendclient.Ran)
	second := c.Run(t.Context(), b, key(1), task(`1`), 0)
	is.Equal(second.Verdict, backendclient.Unknown) // it can't be asked, so it may have run
	is.Equal(srv.starts.Load(), int64(2))           // one for each task
}

// keepAliveDropper answers the first start on each connection, and closes the
// connection at the second one without an answer. Other calls are closed on.
type keepAliveDropper struct {
	url    string
	starts atomic.Int64
}

func newKeepAliveDropper(t *testing.T) *keepAliveDropper {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &keepAliveDropper{url: "http://" + ln.Addr().String()}
	var wg conc.WaitGroup
	wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { d.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	return d
}

func (d *keepAliveDropper) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for answered := 0; ; answered++ {
		req, err := http.ReadRequest(in)
		if err != nil || req.Method != http.MethodPost || req.URL.Path != wire.TasksPath {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		d.starts.Add(1)
		if answered > 0 {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 27\r\n\r\n{\"payload\":1,\"ran_ms\":1.00}")
	}
}

func TestRedirectIsNotFollowed(t *testing.T) {
	// A 307 would make net/http send the start again to another server, which
	// the agent has never heard of. The answer counts as a failed task.
	is := is.New(t)
	other := startBackend(t, backendserver.Options{})
	srv := httptest.NewServer(http.RedirectHandler(other.URL()+wire.TasksPath, http.StatusTemporaryRedirect))
	t.Cleanup(srv.Close)
	c := newClient(t, backendclient.Options{})
	res := c.Run(t.Context(), state.Backend{ID: "b", URL: srv.URL, Connections: 2}, key(0), task(`1`), 0)
	is.Equal(res.Verdict, backendclient.Ran)
	is.Equal(res.Reason, state.ReasonTaskFailed)
	is.Equal(other.TotalStarts(), 0)
}

func TestDeathDuringTheTaskIsUnknown(t *testing.T) {
	// The backend server dies while the task runs. Nobody can be asked how far
	// it came, so the caller must hear "may have run", never "not run".
	is := is.New(t)
	s := startBackend(t, backendserver.Options{})
	c := newClient(t, backendclient.Options{})
	var wg conc.WaitGroup
	var res backendclient.Result
	wg.Go(func() { res = c.Run(t.Context(), s.Backend(), key(0), task(`{"work_ms":600000}`), 0) })
	waitFor(t, func() bool { return s.Running() == 1 })
	s.Kill()
	wg.Wait()
	is.Equal(res.Verdict, backendclient.Unknown)
}

func TestRestartedBackendServerIsNotBelieved(t *testing.T) {
	// The backend server dies with the task half done, and another comes up
	// under the same URL before the agent asks. It has never heard of the
	// task and bars it in good faith. Taken as "not started", the task would
	// run again.
	is := is.New(t)
	successor := startBackend(t, backendserver.Options{})
	ids := make(chan string, 1)
	proxy := breakFirstStart(t, successor.URL(), ids)
	c := newClient(t, backendclient.Options{})
	res := c.Run(t.Context(), state.Backend{ID: "predecessor", URL: proxy.URL, Connections: 4}, key(0), task(`1`), 0)
	is.Equal(res.Verdict, backendclient.Unknown)
}

func TestFrozenBackendServerIsUnknownAtTheDeadline(t *testing.T) {
	// The backend server's process is paused with the request in its socket
	// buffer. The deadline passes. The request may be read on waking, so the
	// answer is "unknown"; a wait without end would hold the slot for ever.
	is := is.New(t)
	s := startBackend(t, backendserver.Options{Faults: backendserver.Faults{Freeze: true}})
	c := newClient(t, backendclient.Options{AnswerGrace: time.Millisecond})
	res := c.Run(t.Context(), s.Backend(), key(0), task(`1`), time.Millisecond)
	is.Equal(res.Verdict, backendclient.Unknown)
	is.Equal(res.Reason, state.ReasonDeadline)
}

func TestSecondRunBesideTheFirstIsNotCalledNotStarted(t *testing.T) {
	// By a fault elsewhere the agent starts a task that is running already.
	// It must not start again, and "not started" would be read as leave to
	// run it on another agent.
	is := is.New(t)
	s := startBackend(t, backendserver.Options{})
	c := newClient(t, backendclient.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { c.Run(ctx, s.Backend(), key(0), task(`{"work_ms":600000}`), 0) })
	waitFor(t, func() bool { return s.Running() == 1 })
	res := c.Run(t.Context(), s.Backend(), key(0), task(`1`), 0)
	is.Equal(res.Verdict, backendclient.Unknown)
	is.Equal(res.Err, backendclient.ErrRunsAlready)
	is.Equal(s.TotalStarts(), 1)
	cancel()
	wg.Wait()
}

func TestRepliesLostAtRandomNeverDouble(t *testing.T) {
	// Requests, replies and asks are lost at random while many tasks run. Each
	// "not started" is placed again, as a home does; nothing else is. No task
	// starts twice, and each one reported as run did run.
	is := is.New(t)
	s := startBackend(t, backendserver.Options{Seed: 7, Slots: 16, Faults: backendserver.Faults{
		DropRequests: 0.3, DropReplies: 0.3, DropAsks: 0.2,
	}})
	c := newClient(t, backendclient.Options{})
	var wg conc.WaitGroup
	var ran, lost atomic.Int64
	for lane := range 8 {
		wg.Go(func() {
			for i := range 25 {
				switch runUntilDecided(t.Context(), c, s.Backend(), key(lane*25+i)).Verdict {
				case backendclient.Ran:
					ran.Add(1)
				case backendclient.Unknown:
					lost.Add(1)
				}
			}
		})
	}
	wg.Wait()
	is.Equal(len(s.Doubles()), 0)
	is.Equal(ran.Load()+lost.Load(), int64(200))
	is.True(s.TotalStarts() >= int(ran.Load()))
	is.True(ran.Load() > 150) // asking four times gets nearly all of them through
}

func runUntilDecided(ctx context.Context, c *backendclient.Client, b state.Backend, k state.TaskKey) backendclient.Result {
	for {
		res := c.Run(ctx, b, k, task(`{"echo":1}`), 0)
		if res.Verdict != backendclient.NotStarted {
			return res
		}
	}
}
