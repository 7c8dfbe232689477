package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/admit"
	"github.com/shallotstep/shallotstep/coordination/declare"
	"github.com/shallotstep/shallotstep/coordination/guard"
	"github.com/shallotstep/shallotstep/coordination/home"
	"github.com/shallotstep/shallotstep/coordination/limit"
	"github.com/shallotstep/shallotstep/coordination/member"
	"github.com/shallotstep/shallotstep/coordination/node"
	"github.com/shallotstep/shallotstep/daemon/agent"
	"github.com/shallotstep/shallotstep/daemon/entry"
	"github.com/shallotstep/shallotstep/protocol/config"
	"github.com/shallotstep/shallotstep/standin/backendserver"
	"github.com/shallotstep/shallotstep/standin/logserver"
	"github.com/shallotstep/shallotstep/transport/agentapi"
	"github.com/shallotstep/shallotstep/transport/backendclient"
	"github.com/shallotstep/shallotstep/transport/link"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

const (
	megabyte = 1 << 20
	// snapshotsPerRetention is how many snapshots of the roster are written in
	// the time that the log keeps a record.
	snapshotsPerRetention = 4
	// headerLimit bounds how long a client of a stand-in may take to ask.
	headerLimit = 10 * time.Second
)

func seed() uint64 { return uint64(time.Now().UnixNano()) }

// The functions that end in Options hand the settings on, and each setting
// stands in one of them or in newPart: a setting that is checked and documented
// but reaches nothing does harm, for its operator believes that it is in force.

func newEntry(s *config.Settings, t *trust) (part, error) {
	web, err := listen(s.Listen.HTTP)
	if err != nil {
		return nil, err
	}
	o := entryOptions(s, t, metrics.New())
	o.HTTP = web
	return entry.New(o)
}

func entryOptions(s *config.Settings, t *trust, m *metrics.Metrics) entry.Options {
	return entry.Options{
		Node: node.EntryOptions{
			Self:    memberOf(s),
			Seed:    seed(),
			Limits:  limit.Options{MaxInFlight: s.Limits.InFlightTasks},
			Entries: s.Limits.Entries,
			Declare: declare.Options{SettleLimit: s.Timeouts.Apply, Retention: s.Retention.Log, Registerer: m.Registry},
		},
		HTTPTLS:      t.http,
		Log:          t.log,
		Links:        linkOptions(s, t),
		Tokens:       t.tokens,
		MaxHeldBytes: int64(s.Limits.HeldMB) * megabyte,
		StopLimit:    s.Timeouts.Drain,
		Metrics:      m,
		Software:     Software,
	}
}

// noneIsNegative hands on a limit that may be 0 to options whose 0 is a default.
func noneIsNegative(limit int) int {
	if limit == 0 {
		return -1
	}
	return limit
}

func linkOptions(s *config.Settings, t *trust) link.Options {
	return link.Options{
		TLS:         t.links,
		DialTimeout: s.Timeouts.Dial,
		IdleTimeout: s.Timeouts.Idle,
	}
}

func newAgent(s *config.Settings, t *trust) (part, error) {
	peers, err := listen(s.Listen.Peer)
	if err != nil {
		return nil, err
	}
	web, err := listen(s.Listen.HTTP)
	if err != nil {
		return nil, err
	}
	o := agentOptions(s, t, metrics.New())
	o.Peers = peers
	o.HTTP = web
	return agent.New(o)
}

func agentOptions(s *config.Settings, t *trust, m *metrics.Metrics) agent.Options {
	return agent.Options{
		Node: node.AgentOptions{
			Self:  memberOf(s),
			Seed:  seed(),
			Guard: guard.Options{Retention: s.Retention.Claims, Blind: s.Retention.Blind},
			Home: home.Options{
				Retention:   s.Retention.Answers,
				StoredBytes: s.Limits.StoredAnswersMB * megabyte,
				MaxWaiting:  s.Limits.WaitingTasks,
				Metrics:     home.NewMetrics(m.Registry),
			},
			Admit: admit.Options{
				QueueLimit:  noneIsNegative(s.Limits.QueuedTasks),
				ResultBytes: s.Limits.StoredResultsMB * megabyte,
				TaskLease:   s.Timeouts.Lease,
				Metrics:     admit.NewMetrics(m.Registry),
			},
			Member: member.Options{
				EvictAfter:    s.Timeouts.EvictAfter,
				SnapshotEvery: s.Retention.Log / snapshotsPerRetention,
			},
			Declare: declare.Options{Retention: s.Retention.Log, Registerer: m.Registry},
		},
		HTTPTLS:   t.http,
		Log:       t.log,
		Links:     linkOptions(s, t),
		API:       agentapi.Options{Token: t.backendToken},
		Backend:   backendclient.Options{TLS: t.backendTLS, Token: t.backendToken, Lease: s.Timeouts.Lease, Registerer: m.Registry},
		StopLimit: s.Timeouts.Drain,
		Metrics:   m,
	}
}

// standinLog runs the stand-in of the platform's log as a process.
type standinLog struct {
	name     string
	listener net.Listener
	http     *http.Server
	drain    chan struct{}
	once     sync.Once
}

func newStandinLog(s *config.Settings) (part, error) {
	l, err := listen(s.Listen.HTTP)
	if err != nil {
		return nil, err
	}
	server := logserver.New(standinLogOptions(s))
	return &standinLog{
		name:     s.Name,
		listener: l,
		http:     &http.Server{Handler: server, ReadHeaderTimeout: headerLimit},
		drain:    make(chan struct{}),
	}, nil
}

func standinLogOptions(s *config.Settings) logserver.Options {
	return logserver.Options{
		AppendsPerSecond: s.StandinLog.AppendsPerSecond,
		RetentionRecords: s.StandinLog.RetentionRecords,
		RetentionAge:     s.StandinLog.RetentionAge,
	}
}

// Run serves until the stop.
func (p *standinLog) Run(ctx context.Context) error {
	go func() {
		select {
		case <-ctx.Done():
		case <-p.drain:
		}
		_ = p.http.Close()
	}()
	klog.InfoS("Log stand-in serves", "http", p.listener.Addr().String(), "name", p.name)
	if err := p.http.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}

// Drain ends the stand-in: its records are gone with it.
func (p *standinLog) Drain() { p.once.Do(func() { close(p.drain) }) }

// standinBackend runs a stand-in backend server as a process.
type standinBackend struct {
	name   string
	server *backendserver.Server
	drain  chan struct{}
	once   sync.Once
}

func newStandinBackend(s *config.Settings, t *trust) (part, error) {
	return &standinBackend{
		name:   s.Name,
		drain:  make(chan struct{}),
		server: backendserver.New(standinBackendOptions(s, t)),
	}, nil
}

func standinBackendOptions(s *config.Settings, t *trust) backendserver.Options {
	b := s.StandinBackend
	return backendserver.Options{
		Services:     b.Services,
		Slots:        b.Slots,
		Connections:  b.Connections,
		Cores:        b.Cores,
		MemoryMB:     b.MemoryMB,
		Accelerators: b.Accelerators,
		AgentURL:     b.AgentURL,
		Addr:         s.Listen.HTTP,
		TTL:          b.TTL,
		Token:        t.backendToken,
	}
}

// Run serves until the stop.
func (p *standinBackend) Run(ctx context.Context) error {
	if err := p.server.Start(ctx); err != nil {
		return err
	}
	klog.InfoS("Backend server stand-in serves", "backend", p.server.ID(), "url", p.server.URL(), "name", p.name)
	select {
	case <-ctx.Done():
	case <-p.drain:
	}
	return p.server.Close(ctx)
}

// Drain begins the planned leave.
func (p *standinBackend) Drain() { p.once.Do(func() { close(p.drain) }) }
