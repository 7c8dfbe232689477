// Package httpapi serves an entry's HTTP interface: submissions, declarations,
// the status, metrics and health. It decodes strictly, asks the layers below,
// and writes each answer whole or not at all.
package httpapi

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
)

// The documents that the interfaces below exchange.
type (
	Declaration     = api.Declaration
	HistoryEntry    = api.HistoryEntry
	OperatorVersion = api.OperatorVersion
	StatusDocument  = api.Status
)

// Submission is what a caller hands in.
type Submission struct {
	Job    state.Job
	Digest state.Digest
	// Deadline is how long the caller waits; zero means not stated.
	Deadline time.Duration
	// Async says that the caller wants to hear of the acceptance only.
	Async bool
}

// Dispatcher carries submissions. Its methods return the final answer.
type Dispatcher interface {
	// Submit has a job run and waits for its answer, or only until it is
	// accepted and then answers Pending. The end of ctx says that the caller has gone: Submit
	// then gives up waiting and must not stop the job, because the caller may
	// submit it again and join it.
	Submit(ctx context.Context, s Submission) state.Answer
	// Query returns the state of a job and starts nothing.
	Query(ctx context.Context, key state.JobKey) state.Answer
	// Cancel stops a job. The answer is the job's own: cancelled, or what it
	// came to before.
	Cancel(ctx context.Context, key state.JobKey) state.Answer
}

// Declarer carries declarations.
type Declarer interface {
	// Apply has raw replace the operator's declaration if base is still the
	// version in force.
	Apply(ctx context.Context, operator string, base state.Version, raw []byte) state.ApplyResult
	Get(operator string) (Declaration, bool)
	// History returns the applies that are still known, newest last.
	History(operator string) []HistoryEntry
	Operators() []OperatorVersion
	// Service returns the operator that has declared a service.
	Service(name string) (operator string, ok bool)
}

// Drainer carries drains of failure domains.
type Drainer interface {
	// Drains lists the failure domains that are known or drained.
	Drains() []api.Drain
	// SetDrain drains a failure domain or ends its drain.
	SetDrain(ctx context.Context, domain string, drained bool) state.ApplyResult
	// DrainHistory returns what was asked for a failure domain, newest last.
	DrainHistory(domain string) []api.DrainEntry
}

// Status tells what the node knows of the system.
type Status interface {
	Status() StatusDocument
}

// Options are what the handler works with.
type Options struct {
	Dispatcher Dispatcher
	Declarer   Declarer
	Drainer    Drainer
	Status     Status
	// Spec returns a service as declared, for what submissions leave out. Nil
	// means that nothing is filled in.
	Spec func(service string) (declaration.ServiceSpec, bool)
	// Tokens are the bearer tokens. With none, everybody on the loopback
	// interface may do everything, and nobody else anything.
	Tokens []Token
	// Ready says whether the balancer may send work here. Nil means always.
	Ready func() bool
	// Registry takes the handler's metrics and is served at /metrics. Nil
	// means a registry of its own.
	Registry *prometheus.Registry
	// Refused is told of each refusal; nil for nobody.
	OnRefusal func(state.Reason)
	// MaxHeldBytes bounds the bodies of all submissions being answered. Zero
	// means DefaultMaxHeldBytes.
	MaxBufferedBytes int64
}
