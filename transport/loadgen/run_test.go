package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/httpclient"
)

func testConfig(t *testing.T) Config {
	t.Helper()
	sizes, err := ParseSizes("2")
	if err != nil {
		t.Fatal(err)
	}
	mix, err := ParseMix("fixed", 100*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	return Config{
		Service: "bench-desk", Run: "t", JobsPerSecond: 20, Sizes: sizes, Mix: mix, Seed: 1,
		Length: Duration(5 * time.Second), Patience: Duration(10 * time.Second),
	}
}

// fakeEntry answers after the longest task of a job, and not before stalled.
// Bend changes the answer to the nth submission of a job, from 0.
type fakeEntry struct {
	stalled time.Time
	hang    bool
	bend    func(id string, n int, a *api.Answer) *httpclient.Failure

	mu   sync.Mutex
	seen map[string]int // guarded by mu
}

func status() api.Status {
	return api.Status{Agents: []api.Agent{
		{Services: []string{"bench-desk"}, Slots: 8},
		{Services: []string{"bench-desk"}, Slots: 8, Draining: true},
		{Services: []string{"bench-desk"}, Slots: 8, Ejected: true},
		{Services: []string{"yard-logbook"}, Slots: 8},
	}}
}

func (e *fakeEntry) Status(context.Context) (api.Status, *httpclient.Failure) { return status(), nil }

func (e *fakeEntry) Cancel(_ context.Context, key state.JobKey) (api.Answer, *httpclient.Failure) {
	return api.Answer{ID: key.ID, Outcome: api.Outcome(state.Failed), Reason: state.ReasonCancelled}, nil
}

func (e *fakeEntry) Submit(ctx context.Context, s api.Submission) (api.Answer, *httpclient.Failure) {
	a, longest := answerTo(s.Job.Key.ID, s.Job.Tasks)
	wait := max(longest, time.Until(e.stalled))
	if e.hang {
		wait = time.Hour
	}
	if err := httpclient.Sleep(ctx, wait); err != nil {
		return api.Answer{}, &httpclient.Failure{Outcome: state.Unknown, Err: err}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.seen == nil {
		e.seen = make(map[string]int)
	}
	n := e.seen[a.ID]
	e.seen[a.ID]++
	if e.bend == nil {
		return a, nil
	}
	return a, e.bend(a.ID, n, &a)
}

// answerTo is what a right entry answers.
func answerTo(id string, tasks []state.Task) (api.Answer, time.Duration) {
	a := api.Answer{ID: id, Outcome: api.Outcome(state.Complete), Stats: &api.Stats{Messages: 6, Wasted: 1}}
	longest := time.Duration(0)
	for _, t := range tasks {
		var work struct {
			WorkMS int64           `json:"work_ms"`
			Echo   json.RawMessage `json:"echo"`
		}
		if err := json.Unmarshal(t.Payload, &work); err != nil {
			panic(err)
		}
		a.Results = append(a.Results, work.Echo)
		longest = max(longest, time.Duration(work.WorkMS)*time.Millisecond)
	}
	return a, longest
}

func run(t *testing.T, c Config, entries ...Caller) *Report {
	t.Helper()
	var r *Report
	synctest.Test(t, func(t *testing.T) {
		var err error
		if r, err = Run(context.Background(), c, entries); err != nil {
			t.Fatal(err)
		}
	})
	return r
}

func (r *Report) check(name CheckName) Check {
	for _, c := range r.Checks {
		if c.Name == name {
			return c
		}
	}
	panic(name)
}

// An entry stalls for the first three seconds and then answers at once. A tool
// that waits for an answer before it sends again would send one job in that
// time, and its median would hide the stall. Here every job that was due
// meanwhile must show its own wait.
func TestStallShowsInEveryJobThatWasDue(t *testing.T) {
	is := is.New(t)
	c := testConfig(t)
	synctest.Test(t, func(t *testing.T) {
		stall := 3 * time.Second
		r, err := Run(context.Background(), c, []Caller{&fakeEntry{stalled: time.Now().Add(stall)}})
		is.NoErr(err)
		waited := 0
		for _, row := range r.Rows {
			want := max(100*time.Millisecond, stall-row.Due.D())
			is.Equal(row.Response.D(), want) // counts from when it was due
			if row.Due.D() < stall {
				waited++
			}
		}
		is.True(waited > 40) // 20 a second for three seconds
		is.True(r.Ratio.Max > 25)
		is.True(r.Ratio.P50 > 3)
		is.Equal(r.SendLag.Max, 0.0)
	})
}

// An entry never answers. The run must end all the same, and the jobs count as
// unknown and not as missing.
func TestHangingEntryEndsWithTheRun(t *testing.T) {
	is := is.New(t)
	r := run(t, testConfig(t), &fakeEntry{hang: true})
	is.Equal(r.Elapsed.D(), 15*time.Second)
	is.Equal(r.Outcomes, []OutcomeCount{{"unknown", reasonUnanswered, r.Jobs}})
	is.Equal(r.Response.Count, int64(0))
}

func TestRightAnswersPass(t *testing.T) {
	is := is.New(t)
	c := testConfig(t)
	c.Resubmit = 0.5
	r := run(t, c, &fakeEntry{})
	is.True(r.Passed())
	is.True(r.Resubmissions.Sent > r.Jobs/3)
	is.Equal(r.Resubmissions.Compared, r.Resubmissions.Sent)
	is.Equal(r.check(CheckSame), Check{CheckSame, r.Resubmissions.Sent, 0})
	is.Equal(r.check(CheckWhole).Made, r.Jobs+r.Resubmissions.Sent)
	is.Equal(r.check(CheckCancel).Made, 0)
	is.Equal([]int{r.Agents, r.Slots}, []int{1, 8}) // draining, ejected and foreign ones don't count
	is.Equal(r.Messages.PerStart, 3.0)
	is.Equal(r.Messages.WastedPerStart, 0.5)
	is.Equal(r.Ratio.Max, 1.0)
}

// Entries that mix up, cut or double what they answer, each in its own way. The
// client refuses some of these answers by itself; the report must still say
// that the entry sent them, and the run must not pass.
func TestBentAnswersAreCaught(t *testing.T) {
	refused := func(outcome state.Outcome) *httpclient.Failure {
		return &httpclient.Failure{Outcome: outcome, Problem: api.NewProblem(state.ReasonBusy, outcome, "")}
	}
	for name, bent := range map[string]struct {
		check CheckName
		bend  func(id string, n int, a *api.Answer) *httpclient.Failure
	}{
		"cut":     {CheckWhole, func(_ string, _ int, a *api.Answer) *httpclient.Failure { a.Results = a.Results[:1]; return nil }},
		"pending": {CheckWhole, func(_ string, _ int, a *api.Answer) *httpclient.Failure { a.Outcome = 0; a.Results = nil; return nil }},
		"more": {CheckWhole, func(_ string, _ int, a *api.Answer) *httpclient.Failure {
			a.Results = append(a.Results, a.Results[0])
			return nil
		}},
		"doubled": {CheckOwn, func(_ string, _ int, a *api.Answer) *httpclient.Failure { a.Results[1] = a.Results[0]; return nil }},
		"swapped": {CheckOwn, func(_ string, _ int, a *api.Answer) *httpclient.Failure {
			a.Results[0], a.Results[1] = a.Results[1], a.Results[0]
			return nil
		}},
		"other job's": {CheckOwn, func(_ string, _ int, a *api.Answer) *httpclient.Failure { a.ID = "t-other"; return nil }},
		"no result": {CheckOwn, func(_ string, _ int, a *api.Answer) *httpclient.Failure {
			a.Results[1] = json.RawMessage("null")
			return nil
		}},
		"second differs": {CheckSame, func(_ string, n int, a *api.Answer) *httpclient.Failure {
			if n == 1 {
				a.Results[0] = json.RawMessage(`"again"`)
			}
			return nil
		}},
		"second failed": {CheckSame, func(_ string, n int, a *api.Answer) *httpclient.Failure {
			if n == 1 {
				return refused(state.Failed)
			}
			return nil
		}},
		"second not run": {CheckNotRun, func(_ string, n int, a *api.Answer) *httpclient.Failure {
			if n == 1 {
				return refused(state.NotRun)
			}
			return nil
		}},
		"first not run": {CheckNotRun, func(_ string, n int, a *api.Answer) *httpclient.Failure {
			if n == 0 {
				return refused(state.NotRun)
			}
			return nil
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := testConfig(t)
			c.Resubmit = 1
			r := run(t, c, &fakeEntry{bend: bent.bend})
			is.True(!r.Passed())
			is.True(r.check(bent.check).Failed > 0)
			is.Equal(len(r.Violations), maxViolations)
		})
	}
}

// The entry tells one caller that the job is cancelled and the other that it is
// complete.
func TestCancelledAndCompleteIsCaught(t *testing.T) {
	is := is.New(t)
	c := testConfig(t)
	c.Cancel = 0.3
	r := run(t, c, &fakeEntry{})
	is.True(r.Cancellations.Cancelled > 0)
	is.Equal(r.check(CheckCancel).Failed, r.Cancellations.Cancelled)
	is.True(!r.Passed())
}

// A second submission whose outcome the caller doesn't know agrees with any
// first one, and a reply that broke off on the way is no fault of the entry's.
func TestUnknownIsNoContradiction(t *testing.T) {
	is := is.New(t)
	c := testConfig(t)
	c.Resubmit = 1
	e := &fakeEntry{bend: func(_ string, n int, a *api.Answer) *httpclient.Failure {
		if n == 0 {
			return nil
		}
		*a = api.Answer{}
		return &httpclient.Failure{Outcome: state.Unknown, Err: context.DeadlineExceeded}
	}}
	r := run(t, c, e)
	is.True(r.Passed())
	is.Equal(r.Resubmissions.Compared, 0)
}

// Over real HTTP, a reply with a status of 200 that is no JSON document was
// truncated or mixed up by the entry.
func TestUnreadableReplyIsCaught(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Content-Type", api.ContentTypeJSON)
		if req.Method == http.MethodGet {
			body, _ := api.EncodeDocument(status())
			w.Write(body)
			return
		}
		fmt.Fprint(w, `{"id":"t-0","outcome":"complete","results":["t-0/0"`)
	}))
	defer srv.Close()
	client, err := httpclient.New(httpclient.Options{Addr: srv.URL})
	is.NoErr(err)
	c := testConfig(t)
	c.Length = Duration(200 * time.Millisecond)
	c.JobsPerSecond = 50
	r, err := Run(context.Background(), c, []Caller{client})
	is.NoErr(err)
	is.True(r.Jobs > 0)
	is.Equal(r.check(CheckReadable), Check{CheckReadable, r.Jobs, r.Jobs})
}
