package backendclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/xid"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

// Verdict says what became of a try to run a task.
type Verdict uint8

const (
	// Unknown means that the task may have run, or may run yet.
	Unknown Verdict = iota
	// NotStarted means that this try started nothing and never will.
	NotStarted
	// Ran means that the task was started and has ended, well or not.
	Ran
)

var verdictNames = [...]string{"unknown", "not_started", "ran"}

// String returns the verdict as metrics label it.
func (v Verdict) String() string { return verdictNames[v] }

// Result is the outcome of Run.
type Result struct {
	Verdict Verdict
	// Task is how the task ended. Set when Verdict is Ran.
	Task state.TaskResult
	// Reason says why the task did not start or did not succeed. Empty for a
	// task that succeeded.
	Reason state.Reason
	// Err is the transport's error behind NotStarted and Unknown, if any.
	Err error
}

func notStarted(r state.Reason, err error) Result {
	return Result{Verdict: NotStarted, Reason: r, Err: err}
}

func unknown(r state.Reason, err error) Result {
	return Result{Verdict: Unknown, Reason: r, Err: err}
}

// ErrRunsAlready is the error of a Run beside another Run of the same task.
var ErrRunsAlready = errors.New("the task runs already")

// errDeadline is the cause of giving up on a task after its deadline.
var errDeadline = errors.New("no answer by the deadline")

// Run runs one task on a backend server and waits for its end. Deadline is how
// long from now the result is of use; zero means always, and then only ctx
// ends a wait for a backend server that has frozen: cancel it when the
// announcement has lapsed. When ctx ends before the answer, the verdict is
// Unknown, or NotStarted if nothing was sent.
func (c *Client) Run(ctx context.Context, b state.Backend, task state.TaskKey, spec state.Task, deadline time.Duration) Result {
	id := runID{backend: b.ID, task: xid.New().String()}
	if !c.register(task, id) {
		return c.metrics.count(unknown(state.ReasonBarred, ErrRunsAlready))
	}
	defer c.unregister(task)

	if deadline > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeoutCause(ctx, deadline+c.opts.AnswerGrace, errDeadline)
		defer cancel()
	}
	t := &try{client: c, link: c.link(b), backend: b, task: task, id: id.task, begun: time.Now()}
	res := t.run(ctx, spec, deadline)
	if res.Verdict == Unknown && context.Cause(ctx) == errDeadline {
		res.Reason = state.ReasonDeadline
		t.abandon()
	}
	return c.metrics.count(res)
}

// try is one run of one task.
type try struct {
	client  *Client
	link    *link
	backend state.Backend
	task    state.TaskKey
	id      string
	begun   time.Time
}

func (t *try) run(ctx context.Context, spec state.Task, deadline time.Duration) Result {
	resp, sent, err := t.post(ctx, spec, deadline)
	if err != nil {
		if !sent {
			return notStarted(reasonUnsent(ctx), err)
		}
		return t.resolve(ctx, err)
	}
	defer resp.Body.Close()
	data, err := readReply(resp)
	if errors.Is(err, errReplyTooLarge) {
		return t.failed(wire.Problem{Detail: err.Error()})
	}
	if err != nil {
		return t.resolve(ctx, err)
	}
	return t.judge(resp.StatusCode, data)
}

// reasonUnsent says why nothing was sent.
func reasonUnsent(ctx context.Context) state.Reason {
	switch {
	case context.Cause(ctx) == errDeadline:
		return state.ReasonDeadline
	case ctx.Err() != nil:
		return state.ReasonCancelled
	}
	return state.ReasonNoBackend
}

// post sends the request that starts the task. Sent is false only when no
// connection was ever handed to the request, so that no byte of it can have
// left. A connection that turns out broken counts as sent: the kernel may have
// delivered what the library reports as an error.
func (t *try) post(ctx context.Context, spec state.Task, deadline time.Duration) (resp *http.Response, sent bool, err error) {
	data, err := encode(t.startRequest(spec, deadline))
	if err != nil {
		return nil, false, err
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	// The body's type hides that it could be read again, so GetBody stays nil:
	// see newTransport.
	body := io.NopCloser(struct{ io.Reader }{bytes.NewReader(data)})
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, t.link.url+wire.TasksPath, body)
	if err != nil {
		return nil, false, errors.Wrap(err, "make request")
	}
	req.ContentLength = int64(len(data))
	req.Header.Set("Content-Type", jsonType)
	t.client.authorize(req)
	resp, err = t.link.tasks.RoundTrip(req)
	return resp, connected.Load(), errors.WithStack(err)
}

// encode is json.Marshal without escaping for HTML pages, which would rewrite
// the caller's payload.
func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	err := enc.Encode(v)
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n")), errors.Wrap(err, "encode request")
}

func (t *try) startRequest(spec state.Task, deadline time.Duration) wire.StartRequest {
	return wire.StartRequest{
		Service:      t.task.Job.Service,
		Job:          t.task.Job.ID,
		Index:        t.task.Index,
		Payload:      spec.Payload,
		Cores:        spec.Cores,
		MemoryMB:     spec.MemoryMB,
		Accelerators: spec.Accelerators,
		DeadlineMS:   milliseconds(deadline),
		LeaseMS:      milliseconds(t.client.opts.Lease),
		TaskID:       t.id,
	}
}

// judge turns a whole answer into a result.
func (t *try) judge(status int, data []byte) Result {
	if status == http.StatusOK {
		var reply wire.StartReply
		if err := json.Unmarshal(data, &reply); err != nil {
			return t.failed(wire.Problem{Detail: "the backend server's answer is not understood: " + err.Error()})
		}
		return t.succeeded(reply)
	}
	p := parseProblem(data)
	if status == http.StatusServiceUnavailable && p.Reason == wire.ReasonNotStarted {
		return notStarted(reasonRefused(p.Cause), &StatusError{Status: status, Problem: p})
	}
	if p.Detail == "" {
		p.Detail = (&StatusError{Status: status}).Error()
	}
	return t.failed(p)
}

func reasonRefused(cause wire.ProblemCause) state.Reason {
	switch cause {
	case wire.CauseDraining:
		return state.ReasonDraining
	case wire.CauseBarred:
		return state.ReasonCancelled
	}
	return state.ReasonBusy
}

func (t *try) succeeded(reply wire.StartReply) Result {
	if len(reply.Payload) == 0 {
		reply.Payload = json.RawMessage("null")
	}
	return Result{Verdict: Ran, Task: state.TaskResult{
		Index:   t.task.Index,
		Payload: reply.Payload,
		Ran:     fromMilliseconds(reply.RanMS),
	}}
}

// failed is the result of a task that was started and did not succeed.
func (t *try) failed(p wire.Problem) Result {
	text := p.Detail
	if text == "" {
		text = string(p.Reason)
	}
	if text == "" {
		text = "the backend server gave no reason"
	}
	return Result{
		Verdict: Ran,
		Reason:  reasonEnded(p.Reason),
		Task:    state.TaskResult{Index: t.task.Index, Err: text, Ran: fromMilliseconds(p.RanMS)},
	}
}

func reasonEnded(r wire.ProblemReason) state.Reason {
	switch r {
	case wire.ReasonCancelled:
		return state.ReasonCancelled
	case wire.ReasonDeadline:
		return state.ReasonDeadline
	case wire.ReasonLeaseLapsed:
		return state.ReasonLeaseLapsed
	}
	return state.ReasonTaskFailed
}

// milliseconds rounds up, so that a short duration does not become zero, which
// means "no limit".
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
