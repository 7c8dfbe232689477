package httpclient

import (
	"context"
	"net/http"
	"slices"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

// Submit sends a submission once and waits for its answer. It takes only the
// whole answer to this very submission: a mixed-up or short one counts as
// lost, and the same id may be submitted again.
func (c *Client) Submit(ctx context.Context, s api.Submission) (api.Answer, *Failure) {
	resource := "jobs"
	if s.Kind == api.KindRequest {
		resource = "requests"
	}
	k := call{
		method: http.MethodPost,
		path:   []string{"v1", "services", s.Job.Key.Service, resource},
		body:   s.Body(),
	}
	a, f := document[api.Answer](ctx, c, k)
	if f != nil {
		return a, f
	}
	if a.ID != s.Job.Key.ID {
		return a, lost(errors.Errorf("the answer belongs to %q", a.ID))
	}
	if state.Outcome(a.Outcome) != state.Complete || len(a.Results) != len(s.Job.Tasks) {
		return a, lost(errors.Errorf("the answer is %s with %d results for %d tasks",
			state.Outcome(a.Outcome), len(a.Results), len(s.Job.Tasks)))
	}
	return a, nil
}

// Query asks for the state of a job and starts nothing.
func (c *Client) Query(ctx context.Context, key state.JobKey) (api.Answer, *Failure) {
	return document[api.Answer](ctx, c, jobCall(http.MethodGet, key))
}

// Cancel stops a job. The answer is what the job came to: cancelled, or
// complete where the cancellation came too late.
func (c *Client) Cancel(ctx context.Context, key state.JobKey) (api.Answer, *Failure) {
	return document[api.Answer](ctx, c, jobCall(http.MethodDelete, key))
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
		return api.Declaration{}, lost(errors.New("the answer has no version"))
	}
	return api.Declaration{Version: v, Raw: r.body}, nil
}

// History returns an operator's accepted declarations.
func (c *Client) History(ctx context.Context, operator string) (api.History, *Failure) {
	k := declarationCall(http.MethodGet, operator)
	k.path = append(k.path, "history")
	return document[api.History](ctx, c, k)
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
	return document[api.Applied](ctx, c, k)
}

func declarationCall(method, operator string) call {
	return call{method: method, path: []string{"v1", "declarations", operator}}
}

// Status returns what the entry knows of the system.
func (c *Client) Status(ctx context.Context) (api.Status, *Failure) {
	return document[api.Status](ctx, c, call{method: http.MethodGet, path: []string{"v1", "status"}})
}

// Drain has a node take no more work.
func (c *Client) Drain(ctx context.Context, node state.NodeID) (api.Drained, *Failure) {
	k := call{method: http.MethodPost, path: []string{"v1", "nodes", string(node), "drain"}}
	d, f := document[api.Drained](ctx, c, k)
	if f != nil {
		return d, f
	}
	if d.Node != node || state.Outcome(d.Outcome) != state.Complete {
		return d, lost(errors.Errorf("the answer is %s for %q", state.Outcome(d.Outcome), d.Node))
	}
	return d, nil
}

// RestoreDeclarations has the declarations restored. It is sent once; asking
// again after a lost reply is safe.
func (c *Client) RestoreDeclarations(ctx context.Context) (api.Restored, *Failure) {
	d, f := document[api.Restored](ctx, c, call{method: http.MethodPost, path: []string{"v1", "restore-declarations"}})
	if f != nil {
		return d, f
	}
	if state.Outcome(d.Outcome) != state.Complete || d.Version <= 0 {
		return d, lost(errors.Errorf("the answer is %s at offset %d", state.Outcome(d.Outcome), d.Version))
	}
	return d, nil
}

// ConfirmLost gives the word that hosts are dead for good. It is sent once: a
// lost reply leaves the outcome unknown, and giving the same word again is safe.
func (c *Client) ConfirmLost(ctx context.Context, word api.ConfirmLost) (api.ConfirmedLost, *Failure) {
	body, err := api.EncodeDocument(word)
	if err != nil {
		return api.ConfirmedLost{}, &Failure{Outcome: state.NotRun, Err: err, NotSent: true}
	}
	k := call{method: http.MethodPost, path: []string{"v1", "roster", "confirm-lost"}, body: body}
	d, f := document[api.ConfirmedLost](ctx, c, k)
	if f != nil {
		return d, f
	}
	same := slices.Equal(d.Nodes, word.Nodes) && d.AcceptRerun == word.AcceptRerun
	if !same || state.Outcome(d.Outcome) != state.Complete {
		return d, lost(errors.Errorf("the answer is %s for %v", state.Outcome(d.Outcome), d.Nodes))
	}
	return d, nil
}
