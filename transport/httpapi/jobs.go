package httpapi

import (
	"context"
	"net/http"
	"strings"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/guard"
)

// statusClientClosedRequest is the status in the metrics for a caller that disconnected before its
// answer. It is never sent.
const statusClientClosedRequest = 499

// anyTaskCount disables the check of the number of results, where the number of tasks is unknown.
const anyTaskCount = -1

func (s *server) submitJob(x *exchange)     { s.submit(x, api.KindJob) }
func (s *server) submitRequest(x *exchange) { s.submit(x, api.KindRequest) }

func (s *server) submit(x *exchange, kind api.Kind) {
	operator, p := s.serviceOperator(x)
	if p != nil {
		x.refuse(p)
		return
	}
	key, p := idempotencyKey(x)
	if p != nil {
		x.refuse(p)
		return
	}
	body, release, p := s.readBody(x)
	if p != nil {
		x.refuse(p)
		return
	}
	defer release()
	var sub api.Submission
	if err := guard.Expand(x.req.Context(), x.req, int64(len(body)), func() int64 {
		sub, p = api.Decode(kind, x.params.ByName("service"), key, body)
		return int64(len(body))
	}); err != nil {
		x.refuse(x.overloaded())
		return
	}
	if p != nil {
		x.refuse(p)
		return
	}
	sub.Job.Operator = operator
	// The digest covers only what the caller stated. If it included the declared defaults, a
	// resubmission after a change of the declaration would be refused as another job with the
	// same id.
	digest := sub.Job.Digest()
	if p := s.applyDefaults(x, &sub); p != nil {
		x.refuse(p)
		return
	}
	async := prefersAsync(x.req.Header)
	a := s.Dispatcher.Submit(x.req.Context(), Submission{Job: sub.Job, Digest: digest, Deadline: sub.Deadline, Async: async})
	tasks := len(sub.Job.Tasks)
	if async {
		// The answer may be pending, or already have results.
		tasks = anyTaskCount
	}
	x.answerJob(a, sub.Job.Key, tasks)
}

// prefersAsync reports whether the caller wants the answer as soon as its job is accepted:
// "Prefer: respond-async" (RFC 7240).
func prefersAsync(h http.Header) bool {
	for _, value := range h.Values("Prefer") {
		for preference := range strings.SplitSeq(value, ",") {
			if strings.EqualFold(strings.TrimSpace(preference), "respond-async") {
				return true
			}
		}
	}
	return false
}

// applyDefaults sets the values that the submission doesn't state from the declaration of the
// service. It returns a problem if the job has more tasks than the service allows.
func (s *server) applyDefaults(x *exchange, sub *api.Submission) *api.Problem {
	if s.Spec == nil {
		return nil
	}
	spec, ok := s.Spec(sub.Job.Key.Service)
	if !ok {
		return nil
	}
	if len(sub.Job.Tasks) > spec.MaxTasks {
		// The same job may have been accepted under an earlier declaration, so its
		// outcome isn't "not run".
		return api.NewProblem(state.ReasonTooManyTasks, x.refusalOutcome,
			"this attempt was not accepted: a job of this service has at most %d tasks", spec.MaxTasks)
	}
	for i := range sub.Job.Tasks {
		spec.Task.Apply(&sub.Job.Tasks[i])
	}
	if sub.Deadline == 0 {
		sub.Deadline = spec.Deadline
	}
	if sub.Kind == api.KindRequest && !sub.RepeatableSet {
		sub.Job.Repeatable = spec.Repeatable
	}
	return nil
}

func (s *server) queryJob(x *exchange) {
	key, p := s.jobKey(x)
	if p != nil {
		x.refuse(p)
		return
	}
	x.answerJob(s.Dispatcher.Query(x.req.Context(), key), key, anyTaskCount)
}

func (s *server) cancelJob(x *exchange) {
	key, p := s.jobKey(x)
	if p != nil {
		x.refuse(p)
		return
	}
	a := s.Dispatcher.Cancel(x.detached(), key)
	// For a cancellation, a cancelled job is a success.
	if a.Reason == state.ReasonCancelled && a.Key == key && a.Outcome != state.Unknown {
		x.answer(api.CancelledOf(a))
		return
	}
	x.answerJob(a, key, anyTaskCount)
}

// answerJob writes the answer to the job with the given key and number of tasks. An answer to
// another job, an incomplete answer, or a pending answer where a final one is required, is not
// sent, because the caller would take it as the result of its job. The caller then gets an
// internal error, with an outcome that allows for the job having run.
func (x *exchange) answerJob(a state.Answer, key state.JobKey, tasks int) {
	if x.req.Context().Err() != nil {
		x.status = statusClientClosedRequest
		return
	}
	if a.Key != key {
		x.refuseInternal(key.ID, state.Unknown, errOtherJob)
		return
	}
	if p := api.ProblemOf(a); p != nil {
		x.refuse(p)
		return
	}
	if a.Outcome == state.Pending && tasks != anyTaskCount {
		x.refuseInternal(key.ID, state.Unknown, errNotFinal)
		return
	}
	doc, err := api.AnswerOf(a, tasks)
	if err != nil {
		x.refuseInternal(key.ID, state.Failed, err)
		return
	}
	x.answer(doc)
}

// detached returns the context of the request without its cancellation, so that a disconnect of
// the caller doesn't cancel the operation.
func (x *exchange) detached() context.Context {
	return context.WithoutCancel(x.req.Context())
}

// serviceOperator returns the operator that declared the service in the path if the principal may
// act for it.
func (s *server) serviceOperator(x *exchange) (string, *api.Problem) {
	service := x.params.ByName("service")
	if p := api.CheckService(service); p != nil {
		return "", p
	}
	operator, ok := s.Declarer.Service(service)
	if !ok {
		// On the routes of jobs the outcome is unknown rather than "not run": the
		// declaration of a new service takes seconds to reach this entry, and another
		// entry may already have accepted the same id.
		return "", api.NewProblem(state.ReasonUnknownService, x.refusalOutcome, "this attempt was not accepted: no declaration known here has the service %q", service)
	}
	if !x.principal.mayActFor(operator) {
		return "", x.forbidden("the token is not for the operator of service %q", service)
	}
	return operator, nil
}

func (s *server) jobKey(x *exchange) (state.JobKey, *api.Problem) {
	if _, p := s.serviceOperator(x); p != nil {
		return state.JobKey{}, p
	}
	id := strings.TrimPrefix(x.params.ByName("id"), "/")
	if p := api.CheckID(id); p != nil {
		return state.JobKey{}, p
	}
	return state.JobKey{Service: x.params.ByName("service"), ID: id}, nil
}

// idempotencyKey returns the Idempotency-Key header, which may state the id of the job, or "".
func idempotencyKey(x *exchange) (string, *api.Problem) {
	values := x.req.Header.Values("Idempotency-Key")
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", api.NewProblem(state.ReasonMalformed, state.NotRun, "there is more than one Idempotency-Key header")
}
