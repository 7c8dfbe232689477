// Package dev runs a whole system in one process on loopback: the log stand-in,
// one entry, three agents in three failure domains and a stand-in backend
// server beside each. It is for trying shallotstep out; the parts are the real
// ones and talk over real sockets.
package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/xid"
	"github.com/sourcegraph/conc"

	"github.com/shallotstep/shallotstep/coordination/admit"
	"github.com/shallotstep/shallotstep/coordination/declare"
	"github.com/shallotstep/shallotstep/coordination/home"
	"github.com/shallotstep/shallotstep/coordination/node"
	"github.com/shallotstep/shallotstep/daemon/agent"
	"github.com/shallotstep/shallotstep/daemon/entry"
	"github.com/shallotstep/shallotstep/examples"
	"github.com/shallotstep/shallotstep/standin/backendserver"
	"github.com/shallotstep/shallotstep/standin/logserver"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
	"github.com/shallotstep/shallotstep/transport/backendclient"
	"github.com/shallotstep/shallotstep/transport/httpclient"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/platformlog"
)

// The deployment: one region, a failure domain for each agent, and backend
// servers of the size that the brief names.
const (
	region = "jeonbuk"
	rack   = "r1"
	// Slots is how many tasks the whole system runs at once.
	Slots       = 3 * slots
	slots       = 8
	connections = 64
	cores       = 16
	memoryMB    = 64 << 10
	// readyEvery is how often the start looks whether everything is up.
	readyEvery = 10 * time.Millisecond
	// applyLimit bounds the first apply.
	applyLimit = 10 * time.Second
)

var domains = []string{"jeonju", "iksan", "gunsan"}

// Options are what the development system runs with.
type Options struct {
	// HTTP is the entry's listener. The other listeners take free ports.
	HTTP     net.Listener
	Software string
	// StopLimit bounds the planned stop of each part; zero means theirs.
	StopLimit time.Duration
	// Domains are the failure domains that the agents stand in, in turn; empty
	// means the three of the example.
	Domains []string
	// Agents is how many agents there are; zero means one for each domain.
	Agents int
	// Slots is how many tasks each backend server runs at once; zero means 8.
	Slots int
	// Around, when set, is called with the start of each part, so that a
	// measurement can label its goroutines. It calls start once.
	Around func(part string, start func())
}

func (o *Options) setDefaults() {
	if len(o.Domains) == 0 {
		o.Domains = domains
	}
	if o.Agents <= 0 {
		o.Agents = len(o.Domains)
	}
	if o.Slots <= 0 {
		o.Slots = slots
	}
	if o.Around == nil {
		o.Around = func(_ string, start func()) { start() }
	}
}

// The parts that Options.Around is told of.
const (
	PartLog     = "log"
	PartEntry   = "entry"
	PartAgent   = "agent"
	PartBackend = "backend"
)

// around starts a part and returns its error.
func (o *Options) around(part string, start func() error) (err error) {
	o.Around(part, func() { err = start() })
	return err
}

// System is a whole system in one process.
type System struct {
	opts     Options
	logURL   string
	logHTTP  *http.Server
	entry    *entry.Entry
	agents   []*agent.Agent
	backends []*backendserver.Server
	// The WaitGroups end in the order of a planned stop.
	entryDone  conc.WaitGroup
	agentsDone conc.WaitGroup
	logDone    conc.WaitGroup
	// cancel cuts everything off.
	cancel context.CancelFunc
}

// Start brings the system up and applies the example declaration. It returns
// when the entry is ready to take submissions.
func Start(ctx context.Context, o Options) (*System, error) {
	o.setDefaults()
	s := &System{opts: o}
	runCtx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if err := s.start(runCtx); err != nil {
		_ = s.Stop(cancelled())
		return nil, err
	}
	if err := s.prepare(ctx); err != nil {
		_ = s.Stop(ctx)
		return nil, err
	}
	return s, nil
}

// cancelled returns a context that cuts everything off at once.
func cancelled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

func (s *System) start(ctx context.Context) error {
	if err := s.opts.around(PartLog, s.startLog); err != nil {
		return err
	}
	for i := range s.opts.Agents {
		domain := s.opts.Domains[i%len(s.opts.Domains)]
		if err := s.startWorker(ctx, domain); err != nil {
			return errors.Wrapf(err, "agent in %s", domain)
		}
	}
	return s.opts.around(PartEntry, func() error { return s.startEntry(ctx) })
}

// startWorker starts an agent and a stand-in backend server beside it.
func (s *System) startWorker(ctx context.Context, domain string) error {
	web, err := loopback()
	if err != nil {
		return err
	}
	err = s.opts.around(PartAgent, func() error { return s.startAgent(ctx, domain, web) })
	if err != nil {
		return err
	}
	return s.opts.around(PartBackend, func() error { return s.startBackend(ctx, web.Addr().String()) })
}

func (s *System) startLog() error {
	l, err := loopback()
	if err != nil {
		return err
	}
	s.logURL = "http://" + l.Addr().String()
	s.logHTTP = &http.Server{Handler: logserver.New(logserver.Options{}), ReadHeaderTimeout: applyLimit}
	s.logDone.Go(func() { _ = s.logHTTP.Serve(l) })
	return nil
}

func loopback() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, errors.Wrap(err, "listen on loopback")
}

func (s *System) startAgent(ctx context.Context, domain string, web net.Listener) error {
	peers, err := loopback()
	if err != nil {
		return err
	}
	self := state.Member{
		ID:     incarnation("agent-" + domain),
		Addr:   peers.Addr().String(),
		Region: region,
		Domain: domain,
		Rack:   rack,
	}
	m := metrics.New()
	a, err := agent.New(agent.Options{
		Node: node.AgentOptions{
			Self: self,
			Seed: uint64(len(s.agents) + 1),
			Home: home.Options{Metrics: home.NewMetrics(m.Registry)},

			Declare: declare.Options{Registerer: m.Registry},
			Admit:   admit.Options{Metrics: admit.NewMetrics(m.Registry)},
			// Nobody is left to send tasks: the entry has stopped before.
			Linger: time.Millisecond,
		},
		Backend:   backendclient.Options{Registerer: m.Registry},
		Peers:     peers,
		HTTP:      web,
		Log:       platformlog.Options{URL: s.logURL},
		StopLimit: s.opts.StopLimit,
		Metrics:   m,
	})
	if err != nil {
		return err
	}
	s.agents = append(s.agents, a)
	s.agentsDone.Go(func() { _ = a.Run(ctx) })
	return nil
}

func (s *System) startBackend(ctx context.Context, agentAddr string) error {
	b := backendserver.New(backendserver.Options{
		Services:    services(),
		Slots:       s.opts.Slots,
		Connections: connections,
		Cores:       cores,
		MemoryMB:    memoryMB,
		AgentURL:    "http://" + agentAddr,
	})
	if err := b.Start(ctx); err != nil {
		return err
	}
	s.backends = append(s.backends, b)
	return nil
}

// incarnation names one run of a daemon.
func incarnation(name string) state.NodeID {
	return state.NodeID(name + "@" + xid.New().String())
}

// services lists what the example declaration declares.
func services() []string {
	f, err := declaration.Parse("declaration.json", examples.HaneulDeclaration)
	if err != nil {
		panic(fmt.Sprintf("the embedded declaration is broken: %v", err))
	}
	var names []string
	for i := range f.Services {
		names = append(names, f.Services[i].Name)
	}
	return names
}

func (s *System) startEntry(ctx context.Context) error {
	self := state.Member{ID: incarnation("entry"), Region: region, Domain: s.opts.Domains[0], Rack: rack}
	m := metrics.New()
	e, err := entry.New(entry.Options{
		Node:      node.EntryOptions{Self: self, Declare: declare.Options{Registerer: m.Registry}},
		HTTP:      s.opts.HTTP,
		Log:       platformlog.Options{URL: s.logURL},
		StopLimit: s.opts.StopLimit,
		Metrics:   m,
		Software:  s.opts.Software,
	})
	if err != nil {
		return errors.Wrap(err, "entry")
	}
	s.entry = e
	s.entryDone.Go(func() { _ = e.Run(ctx) })
	return nil
}

// prepare waits until the agents are in the roster and known with their
// backend servers, and applies the declaration.
func (s *System) prepare(ctx context.Context) error {
	c, err := httpclient.New(httpclient.Options{Addr: s.Addr()})
	if err != nil {
		return err
	}
	applied := false
	t := time.NewTicker(readyEvery)
	defer t.Stop()
	for {
		if !applied {
			applied = s.apply(ctx, c)
		}
		doc, f := c.Status(ctx)
		if f == nil && applied && len(doc.Roster) == s.opts.Agents && len(doc.Agents) == s.opts.Agents && doc.Ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the system did not come up")
		case <-t.C:
		}
	}
}

func (s *System) apply(ctx context.Context, c *httpclient.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, applyLimit)
	defer cancel()
	_, f := c.Apply(ctx, examples.HaneulOperator, 0, examples.HaneulDeclaration)
	return f == nil
}

// Addr returns the entry's HTTP address.
func (s *System) Addr() string { return s.opts.HTTP.Addr().String() }

// LogURL returns the base URL of the log stand-in.
func (s *System) LogURL() string { return s.logURL }

// Backends returns the stand-in backend servers.
func (s *System) Backends() []*backendserver.Server { return s.backends }

// Stop ends the system as a person on call would: the entry first, so that
// nothing new comes in, then the agents, then what they worked with. When ctx
// ends the rest is cut off.
func (s *System) Stop(ctx context.Context) error {
	cut := context.AfterFunc(ctx, s.cancel)
	defer cut()
	if s.entry != nil {
		s.entry.Drain()
	}
	s.entryDone.Wait()
	for _, b := range s.backends {
		_ = b.Close(ctx)
	}
	for _, a := range s.agents {
		a.Drain()
	}
	s.agentsDone.Wait()
	s.cancel()
	if s.logHTTP != nil {
		_ = s.logHTTP.Close()
	}
	s.logDone.Wait()
	return errors.Wrap(ctx.Err(), "stopped by force")
}
