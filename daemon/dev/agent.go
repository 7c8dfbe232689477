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

// Agent is an agent that can be killed and restarted with the same backend server.
type Agent struct {
	settings *settings.Settings
	drains   core.DrainSource
	reports  net.Listener
	// onFailure is called with the error that stops the agent or its report server.
	onFailure func(error)

	mu sync.Mutex
	// agent is nil while the agent is down. Guarded by mu, as are the fields below.
	agent  *agent.Agent
	cancel context.CancelFunc
	done   chan struct{}
}

// NewAgent returns an agent that is down. It serves the reports of its backend
// server on the listener, with status 503 while the agent is down.
func NewAgent(s *settings.Settings, drains core.DrainSource, reports net.Listener, onFailure func(error)) *Agent {
	a := &Agent{settings: s, drains: drains, reports: reports, onFailure: onFailure}
	srv := &http.Server{Handler: http.HandlerFunc(a.handleReport), ReadHeaderTimeout: reportHeaderTimeout}
	go func() {
		if err := srv.Serve(reports); !errors.Is(err, net.ErrClosed) {
			onFailure(err)
		}
	}()
	return a
}

// ReportsAddr returns the address for the reports of the agent's backend server.
func (a *Agent) ReportsAddr() net.Addr { return a.reports.Addr() }

func (a *Agent) handleReport(w http.ResponseWriter, r *http.Request) {
	a.mu.Lock()
	agent := a.agent
	a.mu.Unlock()
	if agent == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	platform.NewReportHandler(agent).ServeHTTP(w, r)
}

// Start runs the agent until Kill.
func (a *Agent) Start() {
	running := agent.New(a.settings, platform.NewStore(a.settings.Store.Address), a.drains, func(fencingToken int64) agent.BackendClient {
		return platform.NewBackendClient(a.settings.Server.Address, fencingToken)
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	a.mu.Lock()
	a.agent, a.cancel, a.done = running, cancel, done
	a.mu.Unlock()
	go func() {
		defer close(done)
		if err := running.Run(ctx); err != nil {
			a.onFailure(err)
		}
	}()
}

// Kill stops the agent without draining it. Its backend server keeps running.
func (a *Agent) Kill() {
	a.mu.Lock()
	cancel, done := a.cancel, a.done
	a.agent = nil
	a.mu.Unlock()
	cancel()
	<-done
}

// Drain hands over the agent's shards and returns when its runs have ended, or when
// ctx ends. It does nothing while the agent is down.
func (a *Agent) Drain(ctx context.Context) {
	a.mu.Lock()
	agent := a.agent
	a.mu.Unlock()
	if agent != nil {
		agent.Drain(ctx)
	}
}
