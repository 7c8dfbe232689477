package agentapi_test

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/standin/backendserver"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/agentapi"
	"github.com/shallotstep/shallotstep/transport/backendclient"
)

var update = flag.Bool("update", false, "write the golden files anew")

// transcript records a session, request by request.
type transcript struct {
	mu  sync.Mutex
	out bytes.Buffer
}

// What differs from run to run is left out of the golden file.
var volatile = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`http://127\.0\.0\.1:\d+`), "http://127.0.0.1:PORT"},
	{regexp.MustCompile(`"ran_ms":[0-9.e-]+`), `"ran_ms":MS`},
	{regexp.MustCompile(`\b[0-9a-v]{20}\b`), "TASK"},
}

// record passes requests to h, or to the server at url, and notes both sides.
func (tr *transcript) record(who, url string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		tr.note("%s %s %s %s\n", who, r.Method, r.URL.RequestURI(), body)
		if h == nil {
			tr.forward(w, r, url, body)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, r)
		tr.note("  %d %s\n", rec.Code, strings.TrimSpace(rec.Body.String()))
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	})
}

func (tr *transcript) forward(w http.ResponseWriter, r *http.Request, url string, body []byte) {
	req, _ := http.NewRequestWithContext(r.Context(), r.Method, url+r.URL.RequestURI(), bytes.NewReader(body))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		tr.note("  connection broken\n")
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	tr.note("  %d %s\n", resp.StatusCode, bytes.TrimSpace(answer))
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer)
}

func (tr *transcript) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	for _, v := range volatile {
		line = v.pattern.ReplaceAllString(line, v.text)
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.out.WriteString(line)
}

func TestWholeSession(t *testing.T) {
	// One backend server announces itself, runs tasks well and badly, refuses
	// one, loses a reply and a request, reports usage and leaves. The golden
	// file is what both sides put on the wire, as docs/BACKENDS.md has it.
	is := is.New(t)
	var tr transcript
	agentSide := httptest.NewServer(tr.record("backend server:", "", agentapi.New(&fakeAgent{}, agentapi.Options{})))
	defer agentSide.Close()
	s := backendserver.New(backendserver.Options{ID: "b1", Services: []string{"bench-desk"}, AgentURL: agentSide.URL, TTL: agentapi.MaxTTL})
	is.NoErr(s.Start(t.Context()))
	defer s.Kill()
	<-s.Announced()
	proxy := httptest.NewServer(tr.record("agent:", s.URL(), nil))
	defer proxy.Close()
	b := s.Backend()
	b.URL = proxy.URL
	c := backendclient.New(backendclient.Options{})
	defer c.Close()

	verdict := func(index int, faults backendserver.Faults, payload string) backendclient.Verdict {
		s.SetFaults(faults)
		key := state.TaskKey{Job: state.JobKey{Service: "bench-desk", ID: "j1"}, Index: index}
		return c.Run(t.Context(), b, key, state.Task{Payload: []byte(payload), Cores: 1, MemoryMB: 64}, 0).Verdict
	}
	is.Equal(verdict(0, backendserver.Faults{}, `{"echo":"good"}`), backendclient.Ran)
	is.Equal(verdict(1, backendserver.Faults{}, `{"fail":"out of glue"}`), backendclient.Ran)
	is.Equal(verdict(2, backendserver.Faults{Refuse: true}, `1`), backendclient.NotStarted)
	is.Equal(verdict(3, backendserver.Faults{DropReplies: 1}, `{"echo":"late"}`), backendclient.Ran)
	is.Equal(verdict(4, backendserver.Faults{DropRequests: 1}, `1`), backendclient.NotStarted)
	s.SetFaults(backendserver.Faults{})
	_, _, err := c.Usage(t.Context(), b, 0)
	is.NoErr(err)
	is.Equal(c.Control(t.Context(), b, state.TaskKey{}, coordination.VerbStop), backendclient.ErrNotRunning)
	is.NoErr(s.Close(t.Context()))

	golden := filepath.Join("testdata", "session.golden")
	if *update {
		is.NoErr(os.MkdirAll("testdata", 0o755))
		is.NoErr(os.WriteFile(golden, tr.out.Bytes(), 0o644))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(tr.out.String(), string(want))
}
