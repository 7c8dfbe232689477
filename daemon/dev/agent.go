package dev

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/daemon/agent"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/platform"
	"github.com/shallotstep/shallotstep/state/settings"
)

// Agent is an agent that can be ended and started again beside the same backend
// server.
type Agent struct {
	settings *settings.Settings
	drains   core.DrainSource
	reports  net.Listener
	// failed is told why the agent could not run.
	failed func(error)

	mu sync.Mutex
	// agent is nil while it is down. Guarded by mu, as what follows.
	agent  *agent.Agent
	cancel context.CancelFunc
	ended  chan struct{}
}

// NewAgent returns an agent that is down. Its backend server reports to the
// listener, also while it is down.
func NewAgent(s *settings.Settings, drains core.DrainSource, reports net.Listener, failed func(error)) *Agent {
	a := &Agent{settings: s, drains: drains, reports: reports, failed: failed}
	srv := &http.Server{Handler: http.HandlerFunc(a.report), ReadHeaderTimeout: closeLimit}
	go func() {
		if err := srv.Serve(reports); !errors.Is(err, net.ErrClosed) {
			failed(err)
		}
	}()
	return a
}

// ReportsAddr is where the agent's backend server reports.
func (a *Agent) ReportsAddr() net.Addr { return a.reports.Addr() }

func (a *Agent) report(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	agent := a.agent
	a.mu.Unlock()
	if agent == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	platform.NewReports(agent).ServeHTTP(w, r)
}

// Start runs the agent until Kill.
func (a *Agent) Start() {
	running := agent.New(a.settings, platform.NewStore(a.settings.Store.Address), a.drains, func(fence int64) agent.Executor {
		return platform.NewExecutor(a.settings.Server.Address, fence)
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	a.mu.Lock()
	a.agent, a.cancel, a.ended = running, cancel, ended
	a.mu.Unlock()
	go func() {
		defer close(ended)
		if err := running.Run(ctx); err != nil {
			a.failed(err)
		}
	}()
}

// Kill ends the agent at once. Its backend server goes on.
func (a *Agent) Kill() {
	a.mu.Lock()
	cancel, ended := a.cancel, a.ended
	a.agent = nil
	a.mu.Unlock()
	cancel()
	<-ended
}

// Drain ends the agent as planned.
func (a *Agent) Drain(ctx context.Context) {
	a.mu.Lock()
	agent := a.agent
	a.mu.Unlock()
	if agent != nil {
		agent.Drain(ctx)
	}
}
