package httpapi

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

// fakeDispatcher returns the answer that is set for a job's id, or echoes the payloads. A job that
// is submitted again joins the running one.
type fakeDispatcher struct {
	answers map[string]state.Answer
	// gate, if set, keeps jobs running until it is closed.
	gate chan struct{}
	// While gate is set, entered receives the id of every Submit, and left that of every
	// caller that disconnected.
	entered, left chan string

	mu       sync.Mutex
	started  map[state.JobKey]state.Job // guarded by mu
	digest   state.Digest               // guarded by mu
	deadline time.Duration              // guarded by mu
}

func (f *fakeDispatcher) Submit(ctx context.Context, s Submission) state.Answer {
	job := s.Job
	f.mu.Lock()
	f.started[job.Key], f.digest, f.deadline = job, s.Digest, s.Deadline
	f.mu.Unlock()
	if s.Async {
		return state.Answer{Key: job.Key, Outcome: state.Pending}
	}
	if f.gate != nil {
		f.entered <- job.Key.ID
		select {
		case <-f.gate:
		case <-ctx.Done():
			f.left <- job.Key.ID
			return state.Answer{Key: job.Key, Outcome: state.Unknown}
		}
	}
	if a, ok := f.answers[job.Key.ID]; ok {
		a.Key = cmp.Or(a.Key, job.Key)
		return a
	}
	a := state.Answer{Key: job.Key, Outcome: state.Complete}
	for _, t := range job.Tasks {
		a.Results = append(a.Results, t.Payload)
	}
	return a
}

func (f *fakeDispatcher) Query(_ context.Context, key state.JobKey) state.Answer {
	a, ok := f.answers[key.ID]
	if !ok {
		a = state.Answer{Outcome: state.NotRun, Reason: state.ReasonUnknownJob}
	}
	a.Key = key
	return a
}

func (f *fakeDispatcher) Cancel(ctx context.Context, key state.JobKey) state.Answer {
	return f.Query(ctx, key)
}

// fakeDeclarer keeps one sequence of versions per operator. It is not safe for concurrent use.
type fakeDeclarer struct {
	services map[string]string
	next     state.Version
	// applyResult, if set, is the result of every Apply.
	applyResult *state.ApplyResult
	inForce     map[string]Declaration
	accepted    map[string][]HistoryEntry
}

func (f *fakeDeclarer) Apply(_ context.Context, operator string, base state.Version, raw []byte) state.ApplyResult {
	current := f.inForce[operator].Version
	if f.applyResult != nil {
		return *f.applyResult
	}
	if base != current {
		return state.ApplyResult{Version: current, Outcome: state.NotRun, Reason: state.ReasonLostRace}
	}
	f.next++
	f.inForce[operator] = Declaration{Version: f.next, Raw: raw}
	f.accepted[operator] = append(f.accepted[operator], HistoryEntry{Version: f.next, Base: base, By: "entry-1"})
	return state.ApplyResult{Version: f.next, Outcome: state.Complete}
}

func (f *fakeDeclarer) Get(operator string) (Declaration, bool) {
	d, ok := f.inForce[operator]
	return d, ok
}

func (f *fakeDeclarer) History(operator string) []HistoryEntry { return f.accepted[operator] }

func (f *fakeDeclarer) Operators() []OperatorVersion { return nil }

func (f *fakeDeclarer) Service(name string) (string, bool) {
	operator, ok := f.services[name]
	return operator, ok
}

// fakeDrainer knows one failure domain, iksan.
type fakeDrainer struct {
	drained bool
	entries []api.DrainEntry
}

func (f *fakeDrainer) Drains() []api.Drain {
	return []api.Drain{{Domain: "iksan", Drained: f.drained, Agents: 2}}
}

func (f *fakeDrainer) SetDrain(_ context.Context, domain string, drained bool) state.ApplyResult {
	if domain != "iksan" {
		return state.ApplyResult{Outcome: state.NotRun, Reason: state.ReasonUnknownDomain, Detail: "no agents"}
	}
	f.drained = drained
	f.entries = append(f.entries, api.DrainEntry{Version: state.Version(len(f.entries) + 1), Drained: drained, By: "entry-1"})
	return state.ApplyResult{Version: state.Version(len(f.entries)), Outcome: state.Complete}
}

func (f *fakeDrainer) DrainHistory(domain string) []api.DrainEntry {
	if domain != "iksan" {
		return nil
	}
	return f.entries
}

type fakeStatus struct{}

func (fakeStatus) Status() StatusDocument { return StatusDocument{Node: "entry-1"} }

// Paths and a body of the requests in the tests.
const (
	jobsPath     = "/v1/services/bench-desk/jobs"
	requestsPath = "/v1/services/bench-desk/requests"
	oneTaskBody  = `{"id":"j1","deadline_ms":2500,"tasks":[{"payload":{"doll":"porcelain"},"expected_ms":300}]}`
)

// answers returns the answers of the fake dispatcher by job id. For a refusal the id is its reason.
func answers() map[string]state.Answer {
	out := map[string]state.Answer{
		"two": {
			Outcome: state.Complete,
			Results: [][]byte{[]byte(`"eye"`), []byte(`"wig"`)},
			Stats:   state.Stats{Longest: 120 * time.Millisecond, Total: 200 * time.Millisecond, Elapsed: 123 * time.Millisecond},
		},
		"running":    {Outcome: state.Pending},
		"JJ/2026/17": {Outcome: state.Pending},
		"stopped":    {Outcome: state.Failed, Reason: state.ReasonCancelled},
		"partial":    {Outcome: state.Complete, Results: [][]byte{[]byte("{")}},
	}
	refuse := func(o state.Outcome, after time.Duration, reasons ...state.Reason) {
		for _, r := range reasons {
			out[string(r)] = state.Answer{Outcome: o, Reason: r, Detail: "as the owner says", RetryAfter: after}
		}
	}
	refuse(state.NotRun, 0, state.ReasonIDConflict, state.ReasonNeverRunnable)
	refuse(state.NotRun, 1500*time.Millisecond, state.ReasonQuota, state.ReasonOverload, state.ReasonNoOwner)
	refuse(state.Unknown, 0, state.ReasonOwnerLost, state.ReasonDeadline)
	refuse(state.Failed, 0, state.ReasonTaskFailed)
	return out
}

// testServer is a running HTTP server over fakes.
type testServer struct {
	is         *is.I
	url        string
	dispatcher *fakeDispatcher
	declarer   *fakeDeclarer
	ready      bool
}

func newTestServer(t *testing.T) *testServer {
	ts := &testServer{
		is: is.New(t),
		dispatcher: &fakeDispatcher{
			answers: answers(),
			started: map[state.JobKey]state.Job{},
			entered: make(chan string),
			left:    make(chan string, 1),
		},
		declarer: &fakeDeclarer{
			services: map[string]string{"bench-desk": "haneul", "yard-logbook": "gridlog"},
			next:     16,
			inForce:  map[string]Declaration{},
			accepted: map[string][]HistoryEntry{},
		},
		ready: true,
	}
	ts.start(t, Options{})
	return ts
}

// start starts a server with the options o and the fakes. Later requests are sent to it.
func (ts *testServer) start(t *testing.T, o Options) {
	o.Dispatcher, o.Declarer, o.Drainer, o.Status = ts.dispatcher, ts.declarer, &fakeDrainer{}, fakeStatus{}
	o.Ready = func() bool { return ts.ready }
	srv := httptest.NewUnstartedServer(nil)
	srv.Config = NewServer(New(o), nil)
	srv.Start()
	t.Cleanup(srv.Close)
	ts.url = srv.URL
}

// hasMetric reports whether /metrics has the given line.
func (ts *testServer) hasMetric(line string) bool {
	res := ts.do("GET", "/metrics", "")
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	ts.is.NoErr(err)
	return strings.Contains(string(body), line+"\n")
}

func (ts *testServer) do(method, path, body string) *http.Response {
	req, err := http.NewRequest(method, ts.url+path, strings.NewReader(body))
	ts.is.NoErr(err)
	res, err := http.DefaultClient.Do(req)
	ts.is.NoErr(err)
	return res
}
