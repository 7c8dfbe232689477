// Package backendserver is a stand-in for the users' backend servers, for the
// development mode, tests and examples. It speaks the protocol of
// docs/BACKENDS.md, sleeps where a real one would work, starts whatever it is
// given whether it fits or not, and counts every start. Faults can be switched
// on while it runs.
package backendserver

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/xid"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

// Defaults of Options.
const (
	DefaultAddr        = "127.0.0.1:0"
	DefaultTTL         = 3 * time.Second
	DefaultSlots       = 8
	DefaultConnections = 64
	DefaultCores       = 16
	DefaultMemoryMB    = 64 << 10
)

// Options configures a Server.
type Options struct {
	// ID names this incarnation. Empty draws one.
	ID           string
	Services     []string
	Slots        int
	Connections  int
	Cores        float64
	MemoryMB     int64
	Accelerators int64
	// AgentURL is the base URL of the agent's own interface. Empty: the
	// server announces itself to nobody.
	AgentURL string
	// Addr is where to listen, an IP number and a port.
	Addr string
	// TTL is the announcement's time to live.
	TTL time.Duration
	// Token, when set, is sent to the agent and asked of it.
	Token string
	// Seed feeds the draws of faults.
	Seed uint64
	// Faults is what goes wrong from the start.
	Faults Faults
}

func (o *Options) setDefaults() {
	if o.ID == "" {
		o.ID = xid.New().String()
	}
	if o.Addr == "" {
		o.Addr = DefaultAddr
	}
	if o.TTL <= 0 {
		o.TTL = DefaultTTL
	}
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.Connections <= 0 {
		o.Connections = DefaultConnections
	}
	if o.Cores <= 0 {
		o.Cores = DefaultCores
	}
	if o.MemoryMB <= 0 {
		o.MemoryMB = DefaultMemoryMB
	}
}

// Server is one stand-in backend server. It is safe for concurrent use.
type Server struct {
	opts     Options
	http     *http.Server
	listener net.Listener
	agent    *agentClient
	// announced is closed once the agent has taken an announcement.
	announced chan struct{}
	// stopAnnouncing and killed end the background work.
	stopAnnouncing context.CancelFunc
	killed         chan struct{}
	killOnce       sync.Once
	announcing     conc.WaitGroup
	work           conc.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	rng      *rand.Rand
	faults   Faults
	thawed   chan struct{} // closed while not frozen
	draining bool
	dead     bool
	tasks    map[string]*run
	ended    []endedID // in the order in which they ended
	ledger   ledger
	usage    usageLog
}

// New returns a server that does not listen yet.
func New(opts Options) *Server {
	opts.setDefaults()
	s := &Server{
		opts:           opts,
		announced:      make(chan struct{}),
		killed:         make(chan struct{}),
		stopAnnouncing: func() {},
		rng:            rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		thawed:         closedChan(),
		tasks:          make(map[string]*run),
		ledger:         newLedger(),
	}
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: 10 * time.Second}
	if opts.AgentURL != "" {
		s.agent = newAgentClient(opts)
	}
	s.SetFaults(opts.Faults)
	return s
}

// Start listens, and announces the server in the background until Close or
// Kill. Ctx bounds the start only.
func (s *Server) Start(ctx context.Context) error {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", s.opts.Addr)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	s.listener = ln
	s.work.Go(func() {
		if err := s.http.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			klog.ErrorS(err, "Backend server stand-in stopped serving", "backend", s.opts.ID)
		}
	})
	background, cancel := context.WithCancel(context.Background())
	s.stopAnnouncing = cancel
	s.announcing.Go(func() { s.reportUsage(background) })
	if s.agent != nil {
		s.announcing.Go(func() { s.announce(background) })
	}
	return nil
}

// ID returns the ID under which the server announces itself.
func (s *Server) ID() string { return s.opts.ID }

// URL returns the base URL of its task interface. Valid after Start.
func (s *Server) URL() string { return "http://" + s.listener.Addr().String() }

// Announced returns a channel that is closed once the agent has taken the
// announcement.
func (s *Server) Announced() <-chan struct{} { return s.announced }

// Backend returns what the server announces. Valid after Start.
func (s *Server) Backend() state.Backend {
	return state.Backend{
		ID:           s.opts.ID,
		URL:          s.URL(),
		Services:     s.opts.Services,
		Slots:        s.opts.Slots,
		Connections:  s.opts.Connections,
		Cores:        s.opts.Cores,
		MemoryMB:     s.opts.MemoryMB,
		Accelerators: s.opts.Accelerators,
		TTL:          s.opts.TTL,
	}
}

// Close leaves as planned: it tells the agent, waits until the agent waits for
// no more task here, lets what runs end, and stops. When ctx ends first, the
// rest is cut off and the error says so.
func (s *Server) Close(ctx context.Context) error {
	s.stopAnnouncing()
	s.announcing.Wait()
	if s.agent != nil {
		s.leave(ctx)
	}
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	err := s.waitIdle(ctx)
	if shut := s.http.Shutdown(ctx); err == nil {
		err = shut
	}
	s.Kill()
	return errors.Wrap(err, "close")
}

// Kill stops at once, as a process that dies: connections break, tasks end
// without a result and the agent hears nothing.
func (s *Server) Kill() {
	// After dead is set no task begins, so nothing joins s.work while it is
	// waited for.
	s.mu.Lock()
	s.dead = true
	s.mu.Unlock()
	s.killOnce.Do(func() { close(s.killed) })
	s.stopAnnouncing()
	_ = s.http.Close()
	s.announcing.Wait()
	s.work.Wait()
}

// waitIdle waits until no task runs.
func (s *Server) waitIdle(ctx context.Context) error {
	for {
		s.mu.Lock()
		idle := s.ledger.current == 0
		s.mu.Unlock()
		if idle {
			return nil
		}
		if !sleep(ctx, idlePoll) {
			return ctx.Err()
		}
	}
}

const idlePoll = 10 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func closedChan() chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}

// rememberFor is how long ended and barred IDs are kept.
const rememberFor = wire.RememberFor
