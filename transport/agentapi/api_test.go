package agentapi_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/sourcegraph/conc"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/standin/backendserver"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/agentapi"
	"github.com/shallotstep/shallotstep/transport/backendclient"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

// fakeAgent has one backend server and counts tasks as its tests say.
type fakeAgent struct {
	mu       sync.Mutex
	backend  *state.Backend
	giving   bool // whether the backend server gets work
	running  int
	ready    bool
	draining bool
	refusal  error
}

func (f *fakeAgent) Announce(b state.Backend) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refusal != nil {
		return f.refusal
	}
	f.backend, f.giving = &b, true
	return nil
}

func (f *fakeAgent) Withdraw(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.backend == nil || f.backend.ID != id {
		return 0
	}
	f.giving = false
	return f.running
}

func (f *fakeAgent) Backend() (state.Backend, int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.backend == nil || (!f.giving && f.running == 0) {
		return state.Backend{}, 0, false
	}
	return *f.backend, f.running, true
}

func (f *fakeAgent) Ready() bool    { return f.ready }
func (f *fakeAgent) Drain()         { f.draining = true }
func (f *fakeAgent) Draining() bool { return f.draining }

func (f *fakeAgent) addRunning(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running += n
}

const announcement = `{"url":"http://127.0.0.1:9","services":["bench-desk"],"slots":8,"connections":64,` +
	`"cores":16,"memory_mb":65536,"accelerators":0,"ttl_ms":3000}`

func do(h http.Handler, method, path, body string, edit ...func(*http.Request)) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.RemoteAddr = "127.0.0.1:4000"
	for _, e := range edit {
		e(req)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

func reasonOf(t *testing.T, w *httptest.ResponseRecorder) state.Reason {
	t.Helper()
	var p api.Problem
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
		t.Fatal(err)
	}
	return p.Reason
}

func stateOf(t *testing.T, w *httptest.ResponseRecorder) wire.BackendState {
	t.Helper()
	var st wire.BackendState
	if err := json.Unmarshal(w.Body.Bytes(), &st); err != nil {
		t.Fatal(err)
	}
	return st
}

func TestAnnouncementsAreChecked(t *testing.T) {
	for name, body := range map[string]string{
		"unknown key":    strings.Replace(announcement, `"slots"`, `"slot":1,"slots"`, 1),
		"repeated key":   strings.Replace(announcement, `"slots"`, `"slots":1,"slots"`, 1),
		"comment":        "// x\n" + announcement,
		"two documents":  announcement + announcement,
		"no slots":       strings.Replace(announcement, `"slots":8`, `"slots":0`, 1),
		"no connections": strings.Replace(announcement, `"connections":64`, `"connections":0`, 1),
		"host by name":   strings.Replace(announcement, `127.0.0.1:9`, `backend:9`, 1),
		"other scheme":   strings.Replace(announcement, `http://`, `file://`, 1),
		"user in url":    strings.Replace(announcement, `http://`, `http://u:p@`, 1),
		"service twice":  strings.Replace(announcement, `["bench-desk"]`, `["a","a"]`, 1),
		"no service":     strings.Replace(announcement, `["bench-desk"]`, `[]`, 1),
		"long ttl":       strings.Replace(announcement, `3000`, `3600000`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			agent := &fakeAgent{}
			w := do(agentapi.New(agent, agentapi.Options{}), http.MethodPut, "/v1/backends/b1", body)
			is.Equal(w.Code, http.StatusBadRequest)
			is.Equal(reasonOf(t, w), state.ReasonMalformed)
			is.True(agent.backend == nil)
		})
	}
}

func TestAnnouncementIsAnswered(t *testing.T) {
	is := is.New(t)
	agent := &fakeAgent{draining: true}
	reg := prometheus.NewRegistry()
	h := agentapi.New(agent, agentapi.Options{Registerer: reg, Gatherer: reg})
	w := do(h, http.MethodPut, "/v1/backends/b1", announcement)
	is.Equal(w.Code, http.StatusOK)
	is.Equal(stateOf(t, w), wire.BackendState{ID: "b1", State: wire.BackendActive, Draining: true, RenewAfterMS: 1000})

	agent.refusal = &agentapi.Refusal{Reason: state.ReasonForbidden, Detail: "not declared here"}
	w = do(h, http.MethodPut, "/v1/backends/b2", announcement)
	is.Equal(reasonOf(t, w), state.ReasonForbidden)
	w = do(h, http.MethodPut, "/v1/backends/b2", strings.Repeat(" ", 1<<17))
	is.Equal(reasonOf(t, w), state.ReasonTooLarge)
	n, err := testutil.GatherAndCount(reg, "shallotstep_agentapi_requests_total")
	is.NoErr(err)
	is.Equal(n, 3)
	is.True(strings.Contains(do(h, http.MethodGet, "/metrics", "").Body.String(), `reason="too_large"`))
}

func TestLateRenewalDoesNotBringALeaverBack(t *testing.T) {
	// A backend server leaves while one of its renewals is still under way.
	// The renewal arrives after the DELETE. Taken as news, it would have the
	// agent send tasks to a server that is shutting down.
	is := is.New(t)
	agent := &fakeAgent{running: 2}
	h := agentapi.New(agent, agentapi.Options{})
	do(h, http.MethodPut, "/v1/backends/b1", announcement)
	w := do(h, http.MethodDelete, "/v1/backends/b1", "")
	is.Equal(w.Code, http.StatusAccepted)
	is.Equal(stateOf(t, w), wire.BackendState{ID: "b1", State: wire.BackendLeaving, Running: 2})

	w = do(h, http.MethodPut, "/v1/backends/b1", announcement)
	is.Equal(reasonOf(t, w), state.ReasonIDConflict)
	is.True(!agent.giving)

	agent.addRunning(-2)
	w = do(h, http.MethodGet, "/v1/backends/b1", "")
	is.Equal(stateOf(t, w).State, wire.BackendGone)
	w = do(h, http.MethodDelete, "/v1/backends/b1", "") // a repeated DELETE, its first reply lost
	is.Equal(w.Code, http.StatusAccepted)
}

func TestWhoMayAsk(t *testing.T) {
	is := is.New(t)
	agent := &fakeAgent{}
	elsewhere := func(r *http.Request) { r.RemoteAddr = "10.0.0.9:4000" }
	bearer := func(token string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set("Authorization", "Bearer "+token) }
	}
	open := agentapi.New(agent, agentapi.Options{})
	is.Equal(do(open, http.MethodPost, "/v1/drain", "", elsewhere).Code, http.StatusForbidden)
	is.Equal(do(open, http.MethodPut, "/v1/backends/b1", announcement, elsewhere).Code, http.StatusForbidden)

	closed := agentapi.New(agent, agentapi.Options{Token: "t", AdminToken: "a"})
	is.Equal(do(closed, http.MethodPut, "/v1/backends/b1", announcement).Code, http.StatusUnauthorized)
	is.Equal(do(closed, http.MethodPost, "/v1/drain", "", bearer("t")).Code, http.StatusUnauthorized)
	is.True(!agent.draining)
	is.Equal(do(closed, http.MethodPut, "/v1/backends/b1", announcement, elsewhere, bearer("t")).Code, http.StatusOK)
	is.Equal(do(closed, http.MethodPost, "/v1/drain", "", elsewhere, bearer("a")).Code, http.StatusAccepted)
	is.True(agent.draining)
}

func TestReadiness(t *testing.T) {
	is := is.New(t)
	agent := &fakeAgent{}
	h := agentapi.New(agent, agentapi.Options{})
	is.Equal(reasonOf(t, do(h, http.MethodGet, "/readyz", "")), state.ReasonNotReady)
	agent.ready = true
	is.Equal(do(h, http.MethodGet, "/readyz", "").Code, http.StatusOK)
	agent.draining = true
	is.Equal(reasonOf(t, do(h, http.MethodGet, "/readyz", "")), state.ReasonDraining)
	is.Equal(do(h, http.MethodGet, "/healthz", "").Code, http.StatusOK)
	is.Equal(reasonOf(t, do(h, http.MethodGet, "/v1/nothing", "")), state.ReasonUnknownRoute)
	is.Equal(reasonOf(t, do(h, http.MethodDelete, "/readyz", "")), state.ReasonMethodNotAllowed)
}

func TestPlannedLeaveCutsNothingOff(t *testing.T) {
	// A backend server is stopped as planned while a task runs there. It tells
	// its agent, waits until the agent has its last answer, and only then
	// closes its listener: the caller gets the answer and never a broken
	// connection.
	is := is.New(t)
	agent := &fakeAgent{ready: true}
	srv := httptest.NewServer(agentapi.New(agent, agentapi.Options{}))
	defer srv.Close()
	s := backendserver.New(backendserver.Options{Services: []string{"bench-desk"}, AgentURL: srv.URL})
	is.NoErr(s.Start(t.Context()))
	<-s.Announced()

	c := backendclient.New(backendclient.Options{})
	defer c.Close()
	b, _, ok := agent.Backend()
	is.True(ok)
	agent.addRunning(1)
	var wg conc.WaitGroup
	var res backendclient.Result
	wg.Go(func() {
		defer agent.addRunning(-1)
		task := state.TaskKey{Job: state.JobKey{Service: "bench-desk", ID: "j"}}
		res = c.Run(t.Context(), b, task, state.Task{Payload: []byte(`{"work_ms":50,"echo":"done"}`)}, 0)
	})
	is.NoErr(s.Close(t.Context()))
	wg.Wait()
	is.Equal(res.Verdict, backendclient.Ran)
	is.Equal(string(res.Task.Payload), `"done"`)
	is.True(!agent.giving)
}
