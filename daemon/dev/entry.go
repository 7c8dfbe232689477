package dev

import (
	"context"
	"net"
	"net/http"

	"github.com/sourcegraph/conc"

	"github.com/shallotstep/shallotstep/daemon/clients"
	"github.com/shallotstep/shallotstep/daemon/entry"
	"github.com/shallotstep/shallotstep/platform"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/transport/guard"
	"github.com/shallotstep/shallotstep/transport/httpapi"
)

// maxConns is the number of connections of callers that an entry keeps.
const maxConns = 4096

// Entry is an entry with its HTTP server.
type Entry struct {
	clients *clients.Clients
	http    *http.Server
	addr    string
	cancel  context.CancelFunc
	done    conc.WaitGroup
}

// StartEntry starts an additional entry that serves HTTP on l.
func (s *System) StartEntry(name string, l net.Listener) (*Entry, error) {
	set, err := s.settings(settings.RoleEntry, name, domains[0])
	if err != nil {
		return nil, err
	}
	st := platform.NewStore(set.Store.Address)
	declarations := clients.NewDeclarations(st, name)
	drains := clients.NewDrains(st, name)
	running := entry.New(set, st, clients.DeclarationsPartition, declarations.Decode, drains.Source())
	e := &Entry{clients: clients.New(running, declarations, drains, name, s.opts.Software, 1), addr: l.Addr().String()}
	e.http = httpapi.NewServer(e.clients.Handler(), nil)
	pool := guard.NewPool(httpapi.DefaultMaxBufferedBytes)
	listener := pool.Wrap(l, guard.Options{Name: "api", MaxConns: maxConns})
	listener.Configure(e.http)
	var ctx context.Context
	ctx, e.cancel = context.WithCancel(context.Background())
	e.done.Go(func() { _ = running.Run(ctx) })
	e.done.Go(func() { pool.Run(ctx) })
	e.done.Go(func() { _ = e.http.Serve(listener) })
	s.entries = append(s.entries, e)
	return e, nil
}

// Addr returns the entry's HTTP address.
func (e *Entry) Addr() string { return e.addr }

// Kill stops the entry and closes its connections without waiting for requests.
func (e *Entry) Kill() {
	e.cancel()
	_ = e.http.Close()
	e.done.Wait()
}

// hasAvailableAgents reports whether the entry is ready and exactly the given number
// of agents accept work and have free cores.
func (e *Entry) hasAvailableAgents(agents int) bool {
	doc := e.clients.Status()
	n := 0
	for _, a := range doc.Agents {
		if a.Accepts && a.FreeCores > 0 {
			n++
		}
	}
	return doc.Ready && n == agents
}
