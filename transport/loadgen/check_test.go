package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/httpclient"
)

func TestCorrectAnswersPass(t *testing.T) {
	is := is.New(t)
	c := testConfig(t)
	c.ResubmitShare = 0.5
	r := run(t, c, &fakeEntry{})
	is.True(r.Passed())
	is.True(r.Resubmissions.Sent > r.Jobs/3)
	is.Equal(r.Resubmissions.Compared, r.Resubmissions.Sent)
	is.Equal(r.check(CheckSame), Check{CheckSame, r.Resubmissions.Sent, 0})
	is.Equal(r.check(CheckWhole).Made, r.Jobs+r.Resubmissions.Sent)
	is.Equal(r.check(CheckCancel).Made, 0)
	is.Equal([]int{r.Agents, r.Slots}, []int{1, 8}) // agents that accept no work and those of other services don't count
	is.Equal(r.Ratio.Max, 1.0)
}

// Each entry truncates, duplicates or mixes up its answers in a different way. The
// client rejects some of these answers itself; the report must still show that the
// entry sent them, and the run must not pass.
func TestIncorrectAnswersFailTheChecks(t *testing.T) {
	refused := func(outcome state.Outcome) *httpclient.Failure {
		return &httpclient.Failure{Outcome: outcome, Problem: api.NewProblem(state.ReasonBusy, outcome, "")}
	}
	for name, tc := range map[string]struct {
		check   CheckName
		corrupt func(id string, n int, a *api.Answer) *httpclient.Failure
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
			c.ResubmitShare = 1
			r := run(t, c, &fakeEntry{corrupt: tc.corrupt})
			is.True(!r.Passed())
			is.True(r.check(tc.check).Failed > 0)
			is.Equal(len(r.Violations), maxViolations)
		})
	}
}

// An entry answers every first submission with "not run" and runs every second one.
// That is correct if the second submission was sent after the first was answered.
// If it was sent before, the two answers about the same id contradict each other.
func TestNotRunCoversOnlyEarlierSubmissions(t *testing.T) {
	is := is.New(t)
	c := testConfig(t)
	c.ResubmitShare = 1
	e := &fakeEntry{corrupt: func(_ string, n int, a *api.Answer) *httpclient.Failure {
		if n > 0 {
			return nil
		}
		*a = api.Answer{}
		return &httpclient.Failure{Outcome: state.NotRun, Problem: api.NewProblem(state.ReasonOverload, state.NotRun, "")}
	}}
	r := run(t, c, e)
	runAfterNotRun := 0
	for _, row := range r.Rows {
		is.Equal(row.Outcome, "not_run")
		if row.Settled == "complete" {
			runAfterNotRun++
		}
	}
	is.True(runAfterNotRun > 0 && runAfterNotRun < r.Jobs)
	is.Equal(r.check(CheckNotRun), Check{CheckNotRun, r.Jobs, r.Jobs - runAfterNotRun})
}

// The entry answers a cancellation with "cancelled" and the submission of the same
// job with "complete". The check must fail for each such job.
func TestCancelledAndCompleteIsCaught(t *testing.T) {
	is := is.New(t)
	c := testConfig(t)
	c.CancelShare = 0.3
	r := run(t, c, &fakeEntry{})
	is.True(r.Cancellations.Cancelled > 0)
	is.Equal(r.check(CheckCancel).Failed, r.Cancellations.Cancelled)
	is.True(!r.Passed())
}

// A second submission with an unknown outcome is consistent with any first answer,
// and a reply that is lost on the way is not a fault of the entry.
func TestUnknownOutcomeMatchesAnyOther(t *testing.T) {
	is := is.New(t)
	c := testConfig(t)
	c.ResubmitShare = 1
	e := &fakeEntry{corrupt: func(_ string, n int, a *api.Answer) *httpclient.Failure {
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

// Over HTTP, an entry answers with status 200 and a truncated JSON document. The
// check must count it as a fault of the entry and not as a lost reply.
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
	r, err := measureOne(context.Background(), c, client)
	is.NoErr(err)
	is.True(r.Jobs > 0)
	is.Equal(r.check(CheckReadable), Check{CheckReadable, r.Jobs, r.Jobs})
}
