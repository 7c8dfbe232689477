package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
)

func (ts *testServer) problem(res *http.Response) api.Problem {
	defer res.Body.Close()
	ts.is.Equal(res.Header.Get("Content-Type"), api.ContentTypeProblem)
	var p api.Problem
	ts.is.NoErr(json.NewDecoder(res.Body).Decode(&p))
	ts.is.Equal(p.Status, res.StatusCode)
	return p
}

// A caller sends a body that must not be accepted; the tests of package api cover all cases. It
// gets a problem document, the refusal is counted once by its reason, and no job reaches the
// dispatcher.
func TestInvalidBodiesAreNotDispatched(t *testing.T) {
	const good = `{"id":"j","tasks":[{"payload":1}]}`
	many := strings.Replace(good, `[`, `[`+strings.Repeat(`{"payload":1},`, state.MaxTasksPerJob), 1)
	for body, reason := range map[string]state.Reason{
		"":                      state.ReasonMalformed,
		`{"id":"j","tasks":[]}`: state.ReasonMalformed,
		`{"id":"j","id":"k"}`:   state.ReasonMalformed,
		good + "x":              state.ReasonMalformed,
		many:                    state.ReasonTooManyTasks,
		good + strings.Repeat(" ", state.MaxBodyBytes): state.ReasonTooLarge,
	} {
		ts := newTestServer(t)
		p := ts.problem(ts.do("POST", jobsPath, body))
		ts.is.Equal(p.Status, reason.HTTPStatus())
		ts.is.Equal(p.Reason, reason)
		ts.is.Equal(p.Outcome, state.NotRun)
		ts.is.True(ts.hasMetric(fmt.Sprintf(`shallotstep_http_refusals_total{outcome="not_run",reason=%q,route="/v1/services/:service/jobs"} 1`, reason)))
		ts.is.Equal(len(ts.dispatcher.started), 0)
	}
}

// A body without Content-Length that exceeds the limit is refused without reading the rest into
// memory.
func TestBodyWithoutLengthIsBounded(t *testing.T) {
	ts := newTestServer(t)
	req, err := http.NewRequest("POST", ts.url+jobsPath, io.LimitReader(endless{}, state.MaxBodyBytes+1))
	ts.is.NoErr(err)
	req.ContentLength = -1
	res, err := http.DefaultClient.Do(req)
	ts.is.NoErr(err)
	ts.is.Equal(ts.problem(res).Reason, state.ReasonTooLarge)
}

type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}

// Guards against mixed-up answers when many callers wait at the same time: each must get the
// results of its own job.
func TestCallersGetTheirOwnAnswers(t *testing.T) {
	ts := newTestServer(t)
	ts.dispatcher.gate = make(chan struct{})
	const callers = 20
	var wg conc.WaitGroup
	bodies := make([]string, callers)
	for i := range callers {
		wg.Go(func() {
			body := fmt.Sprintf(`{"id":"job-%d","tasks":[{"payload":"%d-a"},{"payload":"%d-b"}]}`, i, i, i)
			res := ts.do("POST", jobsPath, body)
			defer res.Body.Close()
			got, err := io.ReadAll(res.Body)
			ts.is.NoErr(err)
			bodies[i] = string(got)
		})
	}
	for range callers {
		<-ts.dispatcher.entered
	}
	close(ts.dispatcher.gate)
	wg.Wait()
	for i, body := range bodies {
		want := fmt.Sprintf(`{"id":"job-%d","outcome":"complete","results":["%d-a","%d-b"],`, i, i, i)
		ts.is.True(strings.HasPrefix(body, want)) // its own answer
	}
}

// Guards against the disclosure of another caller's answer if the dispatcher returns the wrong one:
// the caller gets an internal error with an unknown outcome.
func TestAnswerOfAnotherJobIsWithheld(t *testing.T) {
	ts := newTestServer(t)
	other := state.JobKey{Service: "bench-desk", ID: "other"}
	ts.dispatcher.answers["j1"] = state.Answer{Key: other, Outcome: state.Complete, Results: [][]byte{[]byte(`"secret"`)}}
	p := ts.problem(ts.do("POST", jobsPath, oneTaskBody))
	ts.is.Equal(p.Outcome, state.Unknown)
	ts.is.Equal(p.Reason, state.ReasonInternal)
	ts.is.Equal(p.Detail, errOtherJob.Error())
}

// A caller disconnects while its job runs. The entry stops waiting, so that it keeps no state for
// callers that have disconnected, and the job continues: the caller submits it again, joins it and
// gets the whole answer.
func TestDisconnectDoesNotStopTheJob(t *testing.T) {
	ts := newTestServer(t)
	ts.dispatcher.gate = make(chan struct{})
	ctx, disconnect := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", ts.url+jobsPath, strings.NewReader(oneTaskBody))
	ts.is.NoErr(err)
	var callers conc.WaitGroup
	callers.Go(func() {
		_, err := http.DefaultClient.Do(req)
		ts.is.True(err != nil) // the caller has disconnected
	})
	<-ts.dispatcher.entered
	disconnect()
	ts.is.Equal(<-ts.dispatcher.left, "j1")

	callers.Go(func() { ts.is.Equal(ts.do("POST", jobsPath, oneTaskBody).StatusCode, 200) })
	<-ts.dispatcher.entered
	close(ts.dispatcher.gate)
	callers.Wait()
	ts.is.Equal(len(ts.dispatcher.started), 1)
	ts.is.True(ts.hasMetric(`shallotstep_http_disconnects_total{route="/v1/services/:service/jobs"} 1`))
	ts.is.True(!ts.hasMetric(`# TYPE shallotstep_http_refusals_total counter`)) // nobody was refused
}

// A caller leaves size, deadline and repeatability to the declaration, and the declaration changes
// before the caller submits the job again. The job gets the current defaults, but its digest must
// not change, or the resubmission would be refused as another job.
func TestDeclaredDefaultsStayOutOfTheDigest(t *testing.T) {
	ts := newTestServer(t)
	spec := declaration.ServiceSpec{MaxTasks: 2, Deadline: time.Second, Repeatable: true, Task: declaration.TaskDefaults{Cores: 2}}
	ts.start(t, Options{Spec: func(string) (declaration.ServiceSpec, bool) { return spec, true }})
	key := state.JobKey{Service: "bench-desk", ID: "q"}
	const body = `{"id":"q","task":{"payload":1}}`
	ts.do("POST", requestsPath, body)
	first := ts.dispatcher.digest
	ts.is.Equal(ts.dispatcher.started[key].Tasks[0].Cores, 2.0)
	ts.is.True(ts.dispatcher.started[key].Repeatable)
	ts.is.Equal(ts.dispatcher.deadline, time.Second)

	spec.Task.Cores, spec.Repeatable = 4, false
	ts.do("POST", requestsPath, body)
	ts.is.Equal(ts.dispatcher.started[key].Tasks[0].Cores, 4.0)
	ts.is.True(!ts.dispatcher.started[key].Repeatable)
	ts.is.Equal(ts.dispatcher.digest, first)

	// What the caller states takes precedence over the declaration.
	spec.Repeatable = true
	ts.do("POST", requestsPath, `{"id":"q","repeatable":false,"deadline_ms":5,"task":{"payload":1,"cores":1}}`)
	ts.is.Equal(ts.dispatcher.started[key].Tasks[0].Cores, 1.0)
	ts.is.True(!ts.dispatcher.started[key].Repeatable)
	ts.is.Equal(ts.dispatcher.deadline, 5*time.Millisecond)

	p := ts.problem(ts.do("POST", jobsPath, `{"id":"m","tasks":[{"payload":1},{"payload":1},{"payload":1}]}`))
	ts.is.Equal(p.Reason, state.ReasonTooManyTasks)
	ts.is.Equal(p.Outcome, state.Unknown)
}

// If the bodies in memory have reached the limit, the next caller is refused immediately with a
// Retry-After. Once the other requests are answered, it is served.
func TestBufferedBodiesAreBounded(t *testing.T) {
	ts := newTestServer(t)
	ts.start(t, Options{MaxBufferedBytes: int64(len(oneTaskBody))})
	ts.dispatcher.gate = make(chan struct{})
	var first conc.WaitGroup
	first.Go(func() { ts.is.Equal(ts.do("POST", jobsPath, oneTaskBody).StatusCode, 200) })
	<-ts.dispatcher.entered
	res := ts.do("POST", jobsPath, oneTaskBody)
	ts.is.Equal(res.Header.Get("Retry-After"), "1")
	p := ts.problem(res)
	ts.is.Equal(p.Reason, state.ReasonOverload)
	ts.is.Equal(p.Outcome, state.Unknown)
	close(ts.dispatcher.gate)
	first.Wait()
	ts.dispatcher.gate = nil
	ts.is.Equal(ts.do("POST", jobsPath, oneTaskBody).StatusCode, 200)
}

// Guards against access from other hosts if an entry without tokens listens on an external address
// by mistake.
func TestWithoutTokensOnlyLoopback(t *testing.T) {
	is := is.New(t)
	h := New(Options{Dispatcher: &fakeDispatcher{}, Declarer: &fakeDeclarer{}, Status: fakeStatus{}})
	for addr, want := range map[string]int{
		"192.0.2.1:1234": 401, "[2001:db8::1]:1": 401, "": 401,
		"127.0.0.1:1": 200, "[::1]:1": 200,
	} {
		req := httptest.NewRequest("GET", "/v1/status", nil)
		req.RemoteAddr = addr
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, req)
		is.Equal(rec.Code, want) // addr
	}
}
