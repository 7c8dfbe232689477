package httpclient

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

// Submit sends a submission once and waits for its answer. It takes only the
// whole answer to this very submission: a mixed-up or short one counts as
// lost, and the same id may be submitted again.
func (c *Client) Submit(ctx context.Context, s api.Submission) (api.Answer, *Failure) {
	a, f := callJSON[api.Answer](ctx, c, submitCall(s))
	if f != nil {
		return a, f
	}
	if a.ID != s.Job.Key.ID {
		return a, unknownOutcome(errors.Errorf("the answer belongs to %q", a.ID))
	}
	if state.Outcome(a.Outcome) != state.Complete || len(a.Results) != len(s.Job.Tasks) {
		return a, unknownOutcome(errors.Errorf("the answer is %s with %d results for %d tasks",
			state.Outcome(a.Outcome), len(a.Results), len(s.Job.Tasks)))
	}
	return a, nil
}

// Accept sends a submission and waits until it is accepted. Its outcome is
// pending, or complete if it has ended already.
func (c *Client) Accept(ctx context.Context, s api.Submission) (api.Answer, *Failure) {
	k := submitCall(s)
	k.header = http.Header{"Prefer": {"respond-async"}}
	a, f := callJSON[api.Answer](ctx, c, k)
	if f == nil && a.ID != s.Job.Key.ID {
		return a, unknownOutcome(errors.Errorf("the answer belongs to %q", a.ID))
	}
	return a, f
}

func submitCall(s api.Submission) call {
	resource := "jobs"
	if s.Kind == api.KindRequest {
		resource = "requests"
	}
	return call{
		method: http.MethodPost,
		path:   []string{"v1", "services", s.Job.Key.Service, resource},
		body:   s.Body(),
	}
}

// Query asks for the state of a job and starts nothing.
func (c *Client) Query(ctx context.Context, key state.JobKey) (api.Answer, *Failure) {
	return callJSON[api.Answer](ctx, c, jobCall(http.MethodGet, key))
}

// Cancel stops a job. The answer is what the job came to: cancelled, or
// complete where the cancellation came too late.
func (c *Client) Cancel(ctx context.Context, key state.JobKey) (api.Answer, *Failure) {
	return callJSON[api.Answer](ctx, c, jobCall(http.MethodDelete, key))
}

func jobCall(method string, key state.JobKey) call {
	return call{method: method, path: []string{"v1", "services", key.Service, "jobs", key.ID}}
}

// Declaration returns an operator's declaration in force.
func (c *Client) Declaration(ctx context.Context, operator string) (api.Declaration, *Failure) {
	r, f := c.do(ctx, declarationCall(http.MethodGet, operator))
	if f != nil {
		return api.Declaration{}, f
	}
	v, ok := api.ParseETag(r.header.Get("ETag"))
	if !ok {
		return api.Declaration{}, unknownOutcome(errors.New("the answer has no version"))
	}
	return api.Declaration{Version: v, Raw: r.body}, nil
}

// History returns an operator's accepted declarations.
func (c *Client) History(ctx context.Context, operator string) (api.History, *Failure) {
	k := declarationCall(http.MethodGet, operator)
	k.path = append(k.path, "history")
	return callJSON[api.History](ctx, c, k)
}

// Apply sends a declaration once. A base of zero means that it is the first.
func (c *Client) Apply(ctx context.Context, operator string, base state.Version, raw []byte) (api.Applied, *Failure) {
	k := declarationCall(http.MethodPut, operator)
	k.body = raw
	k.header = http.Header{}
	if base == 0 {
		k.header.Set("If-None-Match", "*")
	} else {
		k.header.Set("If-Match", api.ETag(base))
	}
	return callJSON[api.Applied](ctx, c, k)
}

func declarationCall(method, operator string) call {
	return call{method: method, path: []string{"v1", "declarations", operator}}
}

// SetDrain drains a failure domain, or ends its drain.
func (c *Client) SetDrain(ctx context.Context, domain string, drained bool) (api.DrainApplied, *Failure) {
	method := http.MethodDelete
	if drained {
		method = http.MethodPut
	}
	return callJSON[api.DrainApplied](ctx, c, call{method: method, path: []string{"v1", "drains", domain}})
}

// Drains lists the failure domains.
func (c *Client) Drains(ctx context.Context) (api.DrainList, *Failure) {
	return callJSON[api.DrainList](ctx, c, call{method: http.MethodGet, path: []string{"v1", "drains"}})
}

// DrainHistory returns what was asked for a failure domain.
func (c *Client) DrainHistory(ctx context.Context, domain string) (api.DrainHistory, *Failure) {
	return callJSON[api.DrainHistory](ctx, c, call{method: http.MethodGet, path: []string{"v1", "drains", domain, "history"}})
}

// Status returns what the entry knows of the system.
func (c *Client) Status(ctx context.Context) (api.Status, *Failure) {
	return callJSON[api.Status](ctx, c, call{method: http.MethodGet, path: []string{"v1", "status"}})
}
