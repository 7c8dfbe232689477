// Package dev runs a whole system in one process on loopback: a stand-in for the
// platform's store, three agents in three failure domains, a stand-in backend
// server for each agent, and one entry with the project's own interface. It is for
// trying out shallotstep. All other parts are the production code and communicate
// over real sockets.
package dev

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"
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

// Size of the deployment. The backend servers have the size that users run.
const (
	coresPerServer    = 8
	memoryMBPerServer = 64 << 10
	// readyPollInterval is the interval at which Start checks whether the system is
	// ready.
	readyPollInterval = 10 * time.Millisecond
	// reportHeaderTimeout bounds the reading of a report's header.
	reportHeaderTimeout = 2 * time.Second
	// writesPerSecond is far above the write rate of one process.
	writesPerSecond = 10_000
	// partitions is the number of shards. There are more shards than agents, so each
	// agent owns at least one however they are assigned.
	partitions = 4
)

var domains = []string{"jeonju", "iksan", "gunsan"}

// TotalCores is the number of cores of the whole system. The ideal run time of a job
// spreads its work evenly over them.
var TotalCores = coresPerServer * len(domains)

// Options configures a System.
type Options struct {
	// HTTP is the listener of the first entry. Other listeners use free ports.
	HTTP     net.Listener
	Software string
}

// System is a whole system in one process.
type System struct {
	opts           Options
	store          *standin.Store
	ledger         *standin.Ledger
	backendServers []*standin.BackendServer
	agents         []*Agent
	entries        []*Entry
}

// Start starts the system and applies the example declaration. It returns once the
// entry accepts submissions and all agents are available, or when ctx ends.
func Start(ctx context.Context, o Options) (*System, error) {
	s := &System{opts: o, store: standin.NewStore(), ledger: standin.NewLedger()}
	if err := s.startAll(); err != nil {
		s.Kill()
		return nil, err
	}
	if err := s.applyAndAwaitReady(ctx); err != nil {
		s.Kill()
		return nil, err
	}
	return s, nil
}

func (s *System) startAll() error {
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

// startWorker starts a backend server and its agent in a failure domain.
func (s *System) startWorker(domain string) error {
	server := standin.BackendServerConfig{Instance: "server-" + domain, Service: exampleService(), Labels: []string{}, CPUMillis: coresPerServer * 1000, MemoryMB: memoryMBPerServer}
	backendServer, err := standin.NewBackendServer(server, s.ledger)
	if err != nil {
		return err
	}
	s.backendServers = append(s.backendServers, backendServer)
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
		return errors.Wrap(err, "close the listener that reserves the port for links")
	}
	set.Server.Address = backendServer.Addr()
	reports, err := loopback()
	if err != nil {
		return err
	}
	drains := clients.NewDrains(platform.NewStore(set.Store.Address), set.Name)
	a := NewAgent(set, drains.Source(), reports, func(err error) { klog.ErrorS(err, "An agent failed", "name", set.Name) })
	s.agents = append(s.agents, a)
	a.Start()
	backendServer.ReportTo(a.reports.Addr().String())
	return nil
}

// exampleService returns the name of the service in the example declaration.
func exampleService() string {
	f, err := declaration.Parse("declaration.json", examples.HaneulDeclaration)
	if err != nil {
		panic(fmt.Sprintf("invalid embedded declaration: %v", err))
	}
	return f.Services[0].Name
}

// applyAndAwaitReady applies the example declaration and waits until the system is
// ready or ctx ends.
func (s *System) applyAndAwaitReady(ctx context.Context) error {
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
		if applied && s.ready() {
			return nil
		}
		_ = pause.For(ctx, readyPollInterval)
	}
	return errors.Wrap(ctx.Err(), "the system did not become ready")
}

// ready reports whether all agents are available to every entry and the shards are
// assigned to them.
func (s *System) ready() bool {
	for _, e := range s.entries {
		if !e.hasAvailableAgents(len(domains)) {
			return false
		}
	}
	return s.store.Balanced(core.OwnersGroup, len(domains))
}

// Addr returns the HTTP address of the first entry.
func (s *System) Addr() string { return s.opts.HTTP.Addr().String() }

// Store returns the stand-in for the store, which tests use to inject faults.
func (s *System) Store() *standin.Store { return s.store }

// Ledger returns the record of all task starts at the stand-in backend servers.
func (s *System) Ledger() *standin.Ledger { return s.ledger }

// Agents returns the agents, one per failure domain.
func (s *System) Agents() []*Agent { return s.agents }

// BackendServers returns the stand-in backend servers.
func (s *System) BackendServers() []*standin.BackendServer { return s.backendServers }

// Backends returns the addresses of the stand-in backend servers.
func (s *System) Backends() []string {
	out := make([]string, len(s.backendServers))
	for i, b := range s.backendServers {
		out[i] = b.Addr()
	}
	return out
}

// Stop shuts the system down gracefully. It shuts down the entries first, so that no
// new submissions arrive, and then drains the agents. When ctx ends, it stops the
// rest immediately.
func (s *System) Stop(ctx context.Context) {
	for _, e := range s.entries {
		_ = e.http.Shutdown(ctx)
	}
	for _, a := range s.agents {
		a.Drain(ctx)
	}
	s.Kill()
}

// Kill stops all parts of the system without draining them.
func (s *System) Kill() {
	for _, e := range s.entries {
		e.Kill()
	}
	for _, a := range s.agents {
		a.Kill()
		_ = a.reports.Close()
	}
	for _, b := range s.backendServers {
		b.Close()
	}
	s.store.Close()
}
