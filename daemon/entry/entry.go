// Package entry runs an entry: the process that callers and operators talk to.
// It wires the entry's machine to HTTP, to its links and to the platform's log;
// every decision is the machine's.
package entry

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/coordination/node"
	"github.com/shallotstep/shallotstep/daemon/lifecycle"
	"github.com/shallotstep/shallotstep/daemon/runner"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
	"github.com/shallotstep/shallotstep/transport/httpapi"
	"github.com/shallotstep/shallotstep/transport/link"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/platformlog"
)

const (
	// idleEvery is how often a draining entry looks whether callers wait.
	idleEvery = 100 * time.Millisecond
	// closeLimit bounds the flushing of links at the end.
	closeLimit = 2 * time.Second
)

// Options are what an entry runs with.
type Options struct {
	Node node.EntryOptions
	// HTTP is where callers and operators connect; HTTPTLS is nil on loopback.
	HTTP    net.Listener
	HTTPTLS *tls.Config
	Log     platformlog.Options
	// Links holds the proof of nodes to one another and the links' limits; the
	// rest of it is set by New.
	Links  link.Options
	Tokens []httpapi.Token
	// MaxHeldBytes bounds the bodies of submissions being answered. Zero means
	// the default of package httpapi.
	MaxHeldBytes int64
	// StopLimit bounds a planned stop. Zero means the default of
	// package lifecycle.
	StopLimit time.Duration
	Metrics   *metrics.Metrics
	// Software is the program's version, for the status.
	Software string
}

// Entry is one entry process.
type Entry struct {
	opts     Options
	machine  *node.Entry
	runner   *runner.Connected
	http     *http.Server
	draining atomic.Bool
	stop     *lifecycle.Stop
	tickets  tickets
}

// New returns an entry that has opened its links but serves nothing yet.
func New(o Options) (*Entry, error) {
	e := &Entry{opts: o, stop: lifecycle.NewStop(o.StopLimit)}
	e.tickets.init()
	e.machine = node.NewEntry(o.Node)
	o.Metrics.Registry.MustRegister(e.machine.Collectors()...)
	var err error
	e.runner, err = runner.Open(runner.Start{
		Self:    o.Node.Self.ID,
		Machine: e.machine,
		Perform: e.perform,
		Log:     o.Log,
		Links:   o.Links,
		Metrics: o.Metrics,
	})
	if err != nil {
		return nil, err
	}
	o.Metrics.Registry.MustRegister(e.readerGauges()...)
	e.runner.Begin()
	handler := httpapi.New(httpapi.Options{
		Dispatcher:   (*dispatcher)(e),
		Declarer:     (*declarer)(e),
		Status:       (*status)(e),
		Spec:         e.spec,
		Drainer:      (*operations)(e),
		Confirmer:    (*operations)(e),
		Restorer:     (*operations)(e),
		Tokens:       o.Tokens,
		Ready:        e.Ready,
		Registry:     o.Metrics.Registry,
		Refused:      o.Metrics.Refused,
		MaxHeldBytes: o.MaxHeldBytes,
	})
	e.http = httpapi.NewServer(handler, o.HTTPTLS)
	return e, nil
}

// spec returns a service as declared.
func (e *Entry) spec(service string) (declaration.ServiceSpec, bool) {
	spec, _, ok := e.machine.Declarations().Service(service)
	return spec, ok
}

// Ready reports whether the balancer may send work here.
func (e *Entry) Ready() bool { return !e.draining.Load() && e.machine.Ready() }

// Run serves until the context ends, which cuts everything off, or until a
// planned stop that Drain began is over. It returns nil after a planned stop.
func (e *Entry) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { e.runner.Run(runCtx) })
	wg.Go(func() { lifecycle.ServeHTTP(e.http, e.opts.HTTP) })
	klog.InfoS("Entry serves", "node", e.opts.Node.Self.ID, "http", e.opts.HTTP.Addr().String())
	// Looking whether callers wait before the stop has begun would only wake up
	// an idle process.
	err := e.stop.AwaitBegin(ctx)
	if err == nil {
		err = e.stop.Await(ctx, idleEvery, e.ended)
	}
	e.close(err)
	stop()
	wg.Wait()
	return err
}

// Drain begins the planned stop: readiness goes off, new submissions are
// refused as not run, and callers that wait get their answers.
func (e *Entry) Drain() {
	e.stop.Begin(func() {
		klog.InfoS("Planned stop begins", "node", e.opts.Node.Self.ID)
		e.draining.Store(true)
		e.runner.Execute(e.machine.Drain(time.Now()))
	})
}

// ended tells whether a stopping entry may exit: no caller waits any more.
func (e *Entry) ended(time.Time) (bool, error) {
	return e.machine.Idle() && e.tickets.idle(), nil
}

func (e *Entry) close(cause error) {
	limit := closeLimit
	if cause != nil {
		limit = 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	// Answers that were just delivered are still being written: the server
	// goes first and the links after it.
	lifecycle.CloseHTTP(ctx, e.http)
	e.runner.Close(ctx)
}

// perform carries out what only an entry does.
func (e *Entry) perform(act coordination.Action) {
	switch act := act.(type) {
	case coordination.Deliver:
		e.tickets.deliver(act.Ticket, act.Answer)
	case coordination.Applied:
		e.tickets.applied(act)
	}
}

// dispatcher carries submissions for httpapi.
type dispatcher Entry

// Submit has a job run and waits for its answer. What the submission leaves to
// the service's declaration was filled in by httpapi.
func (d *dispatcher) Submit(ctx context.Context, job state.Job, digest state.Digest, deadline time.Duration) message.Answer {
	e := (*Entry)(d)
	return e.ask(ctx, func(now time.Time, ticket uint64) []coordination.Action {
		return e.machine.Submit(now, ticket, job, digest, deadline)
	})
}

// Query returns the state of a job and starts nothing.
func (d *dispatcher) Query(ctx context.Context, key state.JobKey) message.Answer {
	e := (*Entry)(d)
	return e.ask(ctx, func(now time.Time, ticket uint64) []coordination.Action {
		return e.machine.Query(now, ticket, key)
	})
}

// Cancel stops a job.
func (d *dispatcher) Cancel(ctx context.Context, key state.JobKey) message.Answer {
	e := (*Entry)(d)
	return e.ask(ctx, func(now time.Time, ticket uint64) []coordination.Action {
		return e.machine.Cancel(now, ticket, key)
	})
}

func (e *Entry) ask(ctx context.Context, f func(now time.Time, ticket uint64) []coordination.Action) message.Answer {
	ticket, answer := e.tickets.open()
	defer e.tickets.drop(ticket)
	e.runner.Execute(f(time.Now(), ticket))
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		e.runner.Execute(e.machine.Abandon(time.Now(), ticket))
		return message.Answer{Outcome: state.Unknown, Reason: state.ReasonDeadline, Detail: "the caller went away"}
	}
}
