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

func (b *bench) problem(res *http.Response) api.Problem {
	defer res.Body.Close()
	b.is.Equal(res.Header.Get("Content-Type"), api.ContentTypeProblem)
	var p api.Problem
	b.is.NoErr(json.NewDecoder(res.Body).Decode(&p))
	b.is.Equal(p.Status, res.StatusCode)
	return p
}

// A caller sends a body that must not be accepted (package api has the whole
// table). It sees a problem document, the refusal is counted once by its
// reason, and no job reaches the dispatcher.
func TestBadBodiesReachNoDispatcher(t *testing.T) {
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
		b := newBench(t)
		p := b.problem(b.do("POST", jobs, body))
		b.is.Equal(p.Status, reason.HTTPStatus())
		b.is.Equal(p.Reason, reason)
		b.is.Equal(p.Outcome, state.NotRun)
		b.is.True(b.counted(fmt.Sprintf(`shallotstep_http_refusals_total{outcome="not_run",reason=%q,route="/v1/services/:service/jobs"} 1`, reason)))
		b.is.Equal(len(b.dispatcher.started), 0)
	}
}

// A body states no length and goes on past the limit. The caller is refused
// without the rest being read into memory.
func TestBodyWithoutLengthIsBounded(t *testing.T) {
	b := newBench(t)
	req, err := http.NewRequest("POST", b.url+jobs, io.LimitReader(endless{}, state.MaxBodyBytes+1))
	b.is.NoErr(err)
	req.ContentLength = -1
	res, err := http.DefaultClient.Do(req)
	b.is.NoErr(err)
	b.is.Equal(b.problem(res).Reason, state.ReasonTooLarge)
}

type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}

// Two callers wait at the same time, and the later one is answered first. Each
// must see the results of its own job.
func TestCallersGetTheirOwnAnswers(t *testing.T) {
	b := newBench(t)
	b.dispatcher.gate = make(chan struct{})
	const callers = 20
	var wg conc.WaitGroup
	bodies := make([]string, callers)
	for i := range callers {
		wg.Go(func() {
			body := fmt.Sprintf(`{"id":"job-%d","tasks":[{"payload":"%d-a"},{"payload":"%d-b"}]}`, i, i, i)
			res := b.do("POST", jobs, body)
			defer res.Body.Close()
			got, err := io.ReadAll(res.Body)
			b.is.NoErr(err)
			bodies[i] = string(got)
		})
	}
	for range callers {
		<-b.dispatcher.entered
	}
	close(b.dispatcher.gate)
	wg.Wait()
	for i, body := range bodies {
		want := fmt.Sprintf(`{"id":"job-%d","outcome":"complete","results":["%d-a","%d-b"],`, i, i, i)
		b.is.True(strings.HasPrefix(body, want)) // its own answer
	}
}

// The layer below hands over another caller's answer. Nobody may see it: the
// caller learns that its own outcome is unknown.
func TestAnswerOfAnotherJobIsWithheld(t *testing.T) {
	b := newBench(t)
	other := state.JobKey{Service: "bench-desk", ID: "other"}
	b.dispatcher.answers["j1"] = state.Answer{Key: other, Outcome: state.Complete, Results: [][]byte{[]byte(`"secret"`)}}
	p := b.problem(b.do("POST", jobs, oneTask))
	b.is.Equal(p.Outcome, state.Unknown)
	b.is.Equal(p.Reason, state.ReasonInternal)
	b.is.Equal(p.Detail, errOtherJob.Error())
}

// A clerk's browser goes away while the job runs. The entry stops waiting, so
// that it holds nothing for callers who have left, and the job goes on: the
// clerk submits again, joins it and gets the whole answer.
func TestDisconnectKeepsTheJob(t *testing.T) {
	b := newBench(t)
	b.dispatcher.gate = make(chan struct{})
	ctx, disconnect := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, "POST", b.url+jobs, strings.NewReader(oneTask))
	b.is.NoErr(err)
	var callers conc.WaitGroup
	callers.Go(func() {
		_, err := http.DefaultClient.Do(req)
		b.is.True(err != nil) // the caller has gone
	})
	<-b.dispatcher.entered
	disconnect()
	b.is.Equal(<-b.dispatcher.left, "j1")

	callers.Go(func() { b.is.Equal(b.do("POST", jobs, oneTask).StatusCode, 200) })
	<-b.dispatcher.entered
	close(b.dispatcher.gate)
	callers.Wait()
	b.is.Equal(len(b.dispatcher.started), 1)
	b.is.True(b.counted(`shallotstep_http_disconnects_total{route="/v1/services/:service/jobs"} 1`))
	b.is.True(!b.counted(`# TYPE shallotstep_http_refusals_total counter`)) // nobody was refused
}

// A caller leaves size, deadline and repeatability to the declaration, and the
// declaration changes before it submits again. The job gets the defaults of the
// day, but its digest stays, or the resubmission would be refused as another
// job.
func TestDeclaredDefaultsStayOutOfTheDigest(t *testing.T) {
	b := newBench(t)
	spec := declaration.ServiceSpec{MaxTasks: 2, Deadline: time.Second, Repeatable: true, Task: declaration.TaskDefaults{Cores: 2}}
	b.start(t, Options{Spec: func(string) (declaration.ServiceSpec, bool) { return spec, true }})
	key := state.JobKey{Service: "bench-desk", ID: "q"}
	const body = `{"id":"q","task":{"payload":1}}`
	b.do("POST", requests, body)
	first := b.dispatcher.digest
	b.is.Equal(b.dispatcher.started[key].Tasks[0].Cores, 2.0)
	b.is.True(b.dispatcher.started[key].Repeatable)
	b.is.Equal(b.dispatcher.waits, time.Second)

	spec.Task.Cores, spec.Repeatable = 4, false
	b.do("POST", requests, body)
	b.is.Equal(b.dispatcher.started[key].Tasks[0].Cores, 4.0)
	b.is.True(!b.dispatcher.started[key].Repeatable)
	b.is.Equal(b.dispatcher.digest, first)

	// What the caller states goes before the declaration.
	spec.Repeatable = true
	b.do("POST", requests, `{"id":"q","repeatable":false,"deadline_ms":5,"task":{"payload":1,"cores":1}}`)
	b.is.Equal(b.dispatcher.started[key].Tasks[0].Cores, 1.0)
	b.is.True(!b.dispatcher.started[key].Repeatable)
	b.is.Equal(b.dispatcher.waits, 5*time.Millisecond)

	p := b.problem(b.do("POST", jobs, `{"id":"m","tasks":[{"payload":1},{"payload":1},{"payload":1}]}`))
	b.is.Equal(p.Reason, state.ReasonTooManyTasks)
	b.is.Equal(p.Outcome, state.Unknown)
}

// More bodies are on their way than the entry has memory for. The next caller
// is told at once to come back, and once the others are through it is served.
func TestHeldBodiesAreBounded(t *testing.T) {
	b := newBench(t)
	b.start(t, Options{MaxBufferedBytes: int64(len(oneTask))})
	b.dispatcher.gate = make(chan struct{})
	var first conc.WaitGroup
	first.Go(func() { b.is.Equal(b.do("POST", jobs, oneTask).StatusCode, 200) })
	<-b.dispatcher.entered
	res := b.do("POST", jobs, oneTask)
	b.is.Equal(res.Header.Get("Retry-After"), "1")
	p := b.problem(res)
	b.is.Equal(p.Reason, state.ReasonOverload)
	b.is.Equal(p.Outcome, state.Unknown)
	close(b.dispatcher.gate)
	first.Wait()
	b.dispatcher.gate = nil
	b.is.Equal(b.do("POST", jobs, oneTask).StatusCode, 200)
}

// An entry without tokens listens on an outward address by mistake. A caller
// from elsewhere must not get in.
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
