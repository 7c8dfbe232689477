// Package dev runs a whole system in one process on loopback: a stand-in of the
// platform's store, three agents in three failure domains, a stand-in backend
// server beside each, and one entry with the project's own interface. It is for
// trying shallotstep out; all other parts are the real ones, over real sockets.
package dev

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/daemon/clients"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/examples"
	"github.com/shallotstep/shallotstep/platform"
	"github.com/shallotstep/shallotstep/platform/standin"
	"github.com/shallotstep/shallotstep/state/declaration"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/transport/httpclient"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// The deployment: backend servers of the size that the users name.
const (
	cores    = 8
	memoryMB = 64 << 10
	// readyEvery is how often the start looks whether everything is up.
	readyEvery = 10 * time.Millisecond
	// closeLimit bounds the writing of answers at the end.
	closeLimit = 2 * time.Second
	// writesPerSecond is far above what one process needs.
	writesPerSecond = 10_000
	// partitions is the number of shards: more than agents, so that each owns
	// one whichever way they are dealt.
	partitions = 4
)

var domains = []string{"jeonju", "iksan", "gunsan"}

// Cores is what the whole system has: its ideal spreads work evenly over them.
var Cores = cores * len(domains)

// Options are what the system runs with.
type Options struct {
	// HTTP is the entry's listener. The other listeners take free ports.
	HTTP     net.Listener
	Software string
}

// System is a whole system in one process.
type System struct {
	opts      Options
	store     *standin.Store
	ledger    *standin.Ledger
	executors []*standin.Executor
	agents    []*Agent
	entries   []*Entry
	done      conc.WaitGroup
}

// Start brings the system up and applies the example declaration. It returns
// when the entry takes submissions and knows all agents.
func Start(ctx context.Context, o Options) (*System, error) {
	s := &System{opts: o, store: standin.NewStore(), ledger: standin.NewLedger()}
	if err := s.start(); err != nil {
		s.Kill()
		return nil, err
	}
	if err := s.prepare(ctx); err != nil {
		s.Kill()
		return nil, err
	}
	return s, nil
}

func (s *System) start() error {
	for _, domain := range domains {
		if err := s.startWorker(domain); err != nil {
			return errors.Wrapf(err, "agent in %s", domain)
		}
	}
	_, err := s.StartEntry("entry", s.opts.HTTP)
	return err
}

func loopback() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, errors.Wrap(err, "listen on loopback")
}

func (s *System) settings(role, name, domain string) (*settings.Settings, error) {
	addr, err := s.store.Listen(name)
	if err != nil {
		return nil, err
	}
	return &settings.Settings{
		Role: role, Name: name, Domain: domain,
		Store:  settings.Store{Address: addr, WritesPerSecond: writesPerSecond, Topics: 1, Partitions: partitions},
		Bounds: settings.Bounds{Lease: time.Second, Grace: 10 * time.Second, Retention: 10 * time.Minute, RemoteFactor: 1},
	}, nil
}

// startWorker starts a backend server and the agent beside it.
func (s *System) startWorker(domain string) error {
	server := standin.Server{Instance: "server-" + domain, Service: service(), Labels: []string{}, CPUMillis: cores * 1000, MemoryMB: memoryMB}
	executor, err := standin.NewExecutor(server, s.ledger)
	if err != nil {
		return err
	}
	s.executors = append(s.executors, executor)
	set, err := s.settings(settings.RoleAgent, "agent-"+domain, domain)
	if err != nil {
		return err
	}
	links, err := loopback()
	if err != nil {
		return err
	}
	set.Listen.Links = links.Addr().String()
	if err := links.Close(); err != nil {
		return errors.Wrap(err, "address for links")
	}
	set.Server.Address = executor.Addr()
	reports, err := loopback()
	if err != nil {
		return err
	}
	drains := clients.NewDrains(platform.NewStore(set.Store.Address), set.Name)
	a := NewAgent(set, drains.Source(), reports, func(err error) { klog.ErrorS(err, "The agent has failed", "name", set.Name) })
	s.agents = append(s.agents, a)
	a.Start()
	executor.ReportTo(a.reports.Addr().String())
	return nil
}

// service is what the example declares.
func service() string {
	f, err := declaration.Parse("declaration.json", examples.HaneulDeclaration)
	if err != nil {
		panic(fmt.Sprintf("the embedded declaration is broken: %v", err))
	}
	return f.Services[0].Name
}

// prepare waits until the entry knows all agents, and applies the declaration.
func (s *System) prepare(ctx context.Context) error {
	c, err := httpclient.New(httpclient.Options{Addr: s.Addr()})
	if err != nil {
		return err
	}
	applied := false
	for ctx.Err() == nil {
		if !applied {
			_, f := c.Apply(ctx, examples.HaneulOperator, 0, examples.HaneulDeclaration)
			applied = f == nil
		}
		if applied && s.serving() {
			return nil
		}
		_ = pause.For(ctx, readyEvery)
	}
	return errors.Wrap(ctx.Err(), "the system did not come up")
}

// serving reports whether every entry knows every agent and the shards are dealt.
func (s *System) serving() bool {
	for _, e := range s.entries {
		if !e.knows(len(domains)) {
			return false
		}
	}
	return s.store.Settled(core.OwnersGroup, len(domains))
}

// Addr returns the first entry's HTTP address.
func (s *System) Addr() string { return s.opts.HTTP.Addr().String() }

// Store returns the stand-in of the store, for faults.
func (s *System) Store() *standin.Store { return s.store }

// Ledger returns what the backend servers have started.
func (s *System) Ledger() *standin.Ledger { return s.ledger }

// Agents returns the agents.
func (s *System) Agents() []*Agent { return s.agents }

// Executors returns the stand-in backend servers.
func (s *System) Executors() []*standin.Executor { return s.executors }

// Backends returns the addresses of the stand-in backend servers.
func (s *System) Backends() []string {
	out := make([]string, len(s.executors))
	for i, e := range s.executors {
		out[i] = e.Addr()
	}
	return out
}

// Stop ends the system as planned: the entry first, so that nothing new comes
// in, then the agents with what runs. When ctx ends the rest is cut off.
func (s *System) Stop(ctx context.Context) {
	for _, e := range s.entries {
		_ = e.http.Shutdown(ctx)
	}
	for _, a := range s.agents {
		a.Drain(ctx)
	}
	s.Kill()
}

// Kill ends everything at once.
func (s *System) Kill() {
	for _, e := range s.entries {
		e.Kill()
	}
	for _, a := range s.agents {
		a.Kill()
		_ = a.reports.Close()
	}
	for _, e := range s.executors {
		e.Close()
	}
	s.store.Close()
	s.done.Wait()
}
