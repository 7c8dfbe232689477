package httpapi

import (
	"context"
	"net/http"
	"strings"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

// statusCallerGone stands in the metrics for an answer that nobody waits for.
// It never goes over the wire.
const statusClientClosedRequest = 499

// anyCount is for answers whose number of tasks the asker doesn't know.
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
	sub, p := api.Decode(kind, x.params.ByName("service"), key, body)
	if p != nil {
		x.refuse(p)
		return
	}
	sub.Job.Operator = operator
	// The digest is of what the caller stated. With the declared defaults in
	// it, a change of the declaration would turn a resubmission into another
	// job under the same id.
	digest := sub.Job.Digest()
	if p := s.applyDefaults(x, &sub); p != nil {
		x.refuse(p)
		return
	}
	async := prefersAsync(x.req.Header)
	a := s.Dispatcher.Submit(x.req.Context(), Submission{Job: sub.Job, Digest: digest, Deadline: sub.Deadline, Async: async})
	tasks := len(sub.Job.Tasks)
	if async {
		// Pending is an answer, and results may be there already.
		tasks = anyTaskCount
	}
	x.answerJob(a, sub.Job.Key, tasks)
}

// prefersAsync reports whether the caller asks to be answered once its job is
// accepted (RFC 7240).
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

// complete fills in what the submission leaves to the service's declaration.
func (s *server) applyDefaults(x *exchange, sub *api.Submission) *api.Problem {
	if s.Spec == nil {
		return nil
	}
	spec, ok := s.Spec(sub.Job.Key.Service)
	if !ok {
		return nil
	}
	if len(sub.Job.Tasks) > spec.MaxTasks {
		// An earlier declaration may have let the same job in.
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
	// To the caller of a cancellation a cancelled job is the success.
	if a.Reason == state.ReasonCancelled && a.Key == key && a.Outcome != state.Unknown {
		x.answer(api.CancelledOf(a))
		return
	}
	x.answerJob(a, key, anyTaskCount)
}

// answerJob writes the answer to one job. An answer to another job, a partial
// one, or one that is still pending where the final one is due, is withheld:
// the caller would take it for its own. The job may well have run.
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

// detached returns a context that a caller's disconnect doesn't end.
func (x *exchange) detached() context.Context {
	return context.WithoutCancel(x.req.Context())
}

// serviceOperator returns who has declared the service that is asked for, if
// the asker may act for it.
func (s *server) serviceOperator(x *exchange) (string, *api.Problem) {
	service := x.params.ByName("service")
	if p := api.CheckService(service); p != nil {
		return "", p
	}
	operator, ok := s.Declarer.Service(service)
	if !ok {
		// "Unknown" and not "not run": the news of a new service takes seconds,
		// and another entry may have accepted the same id already.
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

// idempotencyKey returns the header that stands for an id.
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
