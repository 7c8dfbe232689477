// Package httpapi serves an entry's HTTP API: submissions, declarations, drains, the status,
// metrics and health checks. It decodes strictly, delegates to the interfaces in Options, and never
// sends an answer that failed a check.
package httpapi

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
)

// The documents in the interfaces below.
type (
	Declaration     = api.Declaration
	HistoryEntry    = api.HistoryEntry
	OperatorVersion = api.OperatorVersion
	StatusDocument  = api.Status
)

// Submission is a job that a caller has submitted.
type Submission struct {
	Job    state.Job
	Digest state.Digest
	// Deadline is how long the caller waits. Zero means that neither the caller nor the
	// declaration states it.
	Deadline time.Duration
	// Async means that the caller only waits until the job is accepted.
	Async bool
}

// Dispatcher runs jobs.
type Dispatcher interface {
	// Submit submits a job and waits for its answer. If s.Async is set it waits only until
	// the job is accepted, and the answer may be Pending. When ctx ends, the caller has
	// disconnected: Submit stops waiting but must not stop the job, because the caller may
	// submit it again and join it.
	Submit(ctx context.Context, s Submission) state.Answer
	// Query returns the state of a job. It never starts a job.
	Query(ctx context.Context, key state.JobKey) state.Answer
	// Cancel cancels a job. The answer is the outcome of the job: cancelled, or the outcome
	// that it already had.
	Cancel(ctx context.Context, key state.JobKey) state.Answer
}

// Declarer applies and returns declarations.
type Declarer interface {
	// Apply replaces the operator's declaration by raw if base is still the version in force.
	Apply(ctx context.Context, operator string, base state.Version, raw []byte) state.ApplyResult
	Get(operator string) (Declaration, bool)
	// History returns the accepted declarations that are still known, newest last.
	History(operator string) []HistoryEntry
	Operators() []OperatorVersion
	// Service returns the operator that declared a service.
	Service(name string) (operator string, ok bool)
}

// Drainer drains failure domains.
type Drainer interface {
	// Drains returns the failure domains that are known or drained.
	Drains() []api.Drain
	// SetDrain drains a failure domain or ends its drain.
	SetDrain(ctx context.Context, domain string, drained bool) state.ApplyResult
	// DrainHistory returns the drain requests for a failure domain, newest last.
	DrainHistory(domain string) []api.DrainEntry
}

// Status returns the state of the system as the node knows it.
type Status interface {
	Status() StatusDocument
}

// Options configures the handler.
type Options struct {
	Dispatcher Dispatcher
	Declarer   Declarer
	Drainer    Drainer
	Status     Status
	// Spec returns the declaration of a service, which has the defaults for submissions. Nil
	// means that there are no defaults.
	Spec func(service string) (declaration.ServiceSpec, bool)
	// Tokens are the accepted bearer tokens. If there are none, requests over the loopback
	// interface have RoleAdmin and all others are refused.
	Tokens []Token
	// Ready reports whether the load balancer may send requests to this entry. Nil means
	// always.
	Ready func() bool
	// Registry registers the handler's metrics and is served at /metrics. Nil means a new
	// registry.
	Registry *prometheus.Registry
	// OnRefusal is called for each refusal. It may be nil.
	OnRefusal func(state.Reason)
	// MaxBufferedBytes bounds the total size of the request bodies in memory. A body counts
	// until its request is answered. Zero means DefaultMaxBufferedBytes.
	MaxBufferedBytes int64
}
