// Package agent runs an agent: the process beside one backend server. It wires
// the agent's machine to its links, to the platform's log and to the backend
// server; every decision is the machine's.
package agent

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/node"
	"github.com/shallotstep/shallotstep/daemon/lifecycle"
	"github.com/shallotstep/shallotstep/daemon/runner"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/agentapi"
	"github.com/shallotstep/shallotstep/transport/backendclient"
	"github.com/shallotstep/shallotstep/transport/httpapi"
	"github.com/shallotstep/shallotstep/transport/link"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/platformlog"
)

const (
	// usageEvery is between two requests for a backend server's usage report.
	usageEvery = time.Second
	// renewalsPerLease is how many times a lease is renewed before it ends.
	renewalsPerLease = 3
	// lapsedTTLs is how many times to live after its last announcement a
	// backend server is taken to be gone, and waits for its answers end.
	lapsedTTLs = 3
	// doneEvery is how often an agent looks whether it may or must exit. Each
	// look wakes the process, idle or not.
	doneEvery = 250 * time.Millisecond
	// closeLimit bounds the flushing of links at the end.
	closeLimit = 2 * time.Second
)

// Options are what an agent runs with.
type Options struct {
	// Node holds the machine's settings. Node.Self.Addr is where peers dial.
	Node node.AgentOptions
	// Peers accepts links from other nodes, HTTP the agent's own interface.
	Peers net.Listener
	HTTP  net.Listener
	// HTTPTLS is nil on loopback.
	HTTPTLS *tls.Config
	Log     platformlog.Options
	// Links holds the proof of nodes to one another and the links' limits; the
	// rest of it is set by New.
	Links   link.Options
	API     agentapi.Options
	Backend backendclient.Options
	// StopLimit bounds a planned stop. Zero means the default of
	// package lifecycle.
	StopLimit time.Duration
	Metrics   *metrics.Metrics
}

// ErrEvicted says that the roster dropped this incarnation. It must end: the
// next one joins under another id.
var ErrEvicted = errors.New("evicted from the roster")

// Agent is one agent process.
type Agent struct {
	opts    Options
	machine *node.Agent
	runner  *runner.Connected
	client  *backendclient.Client
	http    *http.Server
	// tasks holds the goroutines that wait for the backend server.
	tasks conc.WaitGroup
	// taskCtx ends when waiting for the backend server is of no more use.
	taskCtx context.Context
	cancel  context.CancelFunc
	stop    *lifecycle.Stop
	running atomic.Int64

	mu sync.Mutex
	// backend, lastSeen and withdrawn are guarded by mu.
	backend   state.Backend
	lastSeen  time.Time
	withdrawn bool
	// runs holds the ends of the waits for tasks of the backend server at
	// hand; guarded by mu.
	runs map[state.TaskKey]context.CancelFunc
}

// New returns an agent that has opened its links but serves nothing yet.
func New(o Options) (*Agent, error) {
	a := &Agent{
		opts: o,
		stop: lifecycle.NewStop(o.StopLimit),
		runs: make(map[state.TaskKey]context.CancelFunc),
	}
	a.taskCtx, a.cancel = context.WithCancel(context.Background())
	a.machine = node.NewAgent(o.Node)
	a.client = backendclient.New(o.Backend)
	o.Metrics.WatchMember(a.machine.Member())
	o.Metrics.Registry.MustRegister(a.machine.Guard())
	o.Links.Addr = o.Node.Self.Addr
	o.Links.Listener = o.Peers
	var err error
	a.runner, err = runner.Open(runner.Start{
		Self:    o.Node.Self.ID,
		Machine: a.machine,
		Perform: a.perform,
		Log:     o.Log,
		Links:   o.Links,
		Metrics: o.Metrics,
	})
	if err != nil {
		return nil, err
	}
	a.runner.Begin()
	o.API.Registerer = o.Metrics.Registry
	o.API.Gatherer = o.Metrics.Registry
	o.API.Refused = o.Metrics.Refused
	a.http = httpapi.NewServer(agentapi.New(a, o.API), o.HTTPTLS)
	return a, nil
}

// Run serves until the context ends, which cuts everything off, or until a
// planned stop that Drain began is over. It returns nil after a planned stop.
func (a *Agent) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg conc.WaitGroup
	wg.Go(func() { a.runner.Run(runCtx) })
	wg.Go(func() { lifecycle.ServeHTTP(a.http, a.opts.HTTP) })
	wg.Go(func() { a.renewLeases(runCtx) })
	wg.Go(func() { a.pollUsage(runCtx) })
	klog.InfoS("Agent serves", "node", a.opts.Node.Self.ID, "peers", a.opts.Node.Self.Addr, "http", a.opts.HTTP.Addr().String())
	err := a.stop.Await(ctx, doneEvery, a.ended)
	a.close(err)
	stop()
	wg.Wait()
	return err
}

// ended tells whether the agent may or must exit.
func (a *Agent) ended(now time.Time) (bool, error) {
	if a.machine.Draining() {
		// An entry may have asked for the planned stop. Without this a task that
		// never ends would keep the process for ever: the limit of a planned stop
		// runs from Drain.
		a.Drain()
	}
	if a.machine.Done(now) {
		return true, nil
	}
	if a.machine.Evicted() && a.machine.Idle() {
		return true, ErrEvicted
	}
	return false, nil
}

func (a *Agent) close(cause error) {
	limit := closeLimit
	if cause != nil && !errors.Is(cause, ErrEvicted) {
		a.cancel()
		limit = 0
	}
	a.tasks.Wait()
	a.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	a.runner.Close(ctx)
	lifecycle.CloseHTTP(ctx, a.http)
	a.client.Close()
}

// perform carries out what only an agent does.
func (a *Agent) perform(act coordination.Action) {
	switch act := act.(type) {
	case coordination.StartTask:
		a.start(act)
	case coordination.Control:
		a.control(act)
	}
}
