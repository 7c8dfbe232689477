// Package agentapi is an agent's own HTTP interface: backend servers announce
// themselves and leave here, the person on call drains the agent, and monitors
// read its metrics and health. docs/BACKENDS.md describes what backend servers
// see of it.
package agentapi

import (
	"net/http"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

// Agent is what the interface serves. Calls to Announce and Withdraw come one
// at a time; the others come at any time.
type Agent interface {
	// Announce takes a new or renewed announcement. An announcement under
	// another ID replaces the one before. An error of type *Refusal says why
	// not; any other error reads as "not ready".
	Announce(b state.Backend) error
	// Withdraw stops giving work to a backend server, before it returns, and
	// says how many tasks still run there. An ID that is not announced is no
	// error and runs nothing.
	Withdraw(id string) (running int)
	// Backend returns the backend server that the agent has, also a withdrawn
	// one while tasks still run there, and how many do.
	Backend() (b state.Backend, running int, ok bool)
	// Ready says whether the agent may get work.
	Ready() bool
	// Drain begins the planned stop of the agent and returns at once. It may
	// be called again.
	Drain()
	// Draining says whether the planned stop has begun.
	Draining() bool
}

// Refusal is the error of an Agent that refuses an announcement.
type Refusal struct {
	Reason state.Reason
	Detail string
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string { return string(r.Reason) + ": " + r.Detail }

// Options configures an API.
type Options struct {
	// Token, when set, must come as a bearer token with calls about backend
	// servers, AdminToken with a drain. Without the token such calls are taken
	// from the agent's own host only.
	Token      string
	AdminToken string
	// Registerer takes the counters and Gatherer is what /metrics shows. Nil
	// stands for no registry and for the library's default one.
	Registerer prometheus.Registerer
	Gatherer   prometheus.Gatherer
	// Refused is told of each refusal; nil for nobody.
	Refused func(state.Reason)
}

// API is the agent's HTTP handler. It is safe for concurrent use.
type API struct {
	agent   Agent
	router  *httprouter.Router
	metrics *metrics

	// mu keeps announcements and withdrawals apart: see announce.
	mu sync.Mutex
	// withdrawn remembers backend servers that have left. Guarded by mu.
	withdrawn recentIDs
}

// Routes, as the counters label them.
const (
	routeAnnounce = "announce"
	routeWithdraw = "withdraw"
	routeBackend  = "backend"
	routeDrain    = "drain"
	routeReady    = "readyz"
	routeOther    = "other"
)

// ReadHeaderTimeout is what a server of this handler should set, so that a
// caller that never ends its header holds no connection for ever.
const ReadHeaderTimeout = 5 * time.Second

// New returns the handler for an agent.
func New(agent Agent, opts Options) *API {
	if opts.Gatherer == nil {
		opts.Gatherer = prometheus.DefaultGatherer
	}
	a := &API{agent: agent, router: httprouter.New(), metrics: newMetrics(opts.Registerer, opts.Refused)}
	backend := wire.BackendPath + ":id"
	a.router.PUT(backend, a.route(routeAnnounce, guarded(opts.Token, a.announce)))
	a.router.DELETE(backend, a.route(routeWithdraw, guarded(opts.Token, a.withdraw)))
	a.router.GET(backend, a.route(routeBackend, guarded(opts.Token, a.show)))
	a.router.POST("/v1/drain", a.route(routeDrain, guarded(opts.AdminToken, a.drain)))
	a.router.GET("/readyz", a.route(routeReady, a.ready))
	a.router.GET("/healthz", healthy)
	a.router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(opts.Gatherer, promhttp.HandlerOpts{}))
	a.router.NotFound = a.refuseAll(state.ReasonUnknownRoute)
	a.router.MethodNotAllowed = a.refuseAll(state.ReasonMethodNotAllowed)
	a.router.RedirectTrailingSlash = false
	a.router.RedirectFixedPath = false
	return a
}

// ServeHTTP answers one request.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.router.ServeHTTP(w, r)
}

// reply is what a route answers: a document, or a problem when that is set.
type reply struct {
	status  int
	body    any
	problem *api.Problem
}

// refuse refuses a call. It has changed nothing, hence "not run".
func refuse(reason state.Reason, format string, args ...any) reply {
	p := api.NewProblem(reason, state.NotRun, format, args...)
	return reply{status: p.Status, problem: p}
}

type handler func(r *http.Request, id string) reply

// route answers with what h returns and counts it.
func (a *API) route(name string, h handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		answer := h(r, params.ByName("id"))
		a.metrics.count(name, answer)
		writeReply(w, answer)
	}
}

func (a *API) refuseAll(reason state.Reason) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		answer := refuse(reason, "")
		a.metrics.count(routeOther, answer)
		writeReply(w, answer)
	})
}

// guarded lets h answer only requests that carry the token. With no token set
// only the agent's own host may ask: otherwise any process of the network
// could have tasks sent to itself, or take every agent out of service.
func guarded(token string, h handler) handler {
	return func(r *http.Request, id string) reply {
		switch {
		case token != "" && !carries(r, token):
			return refuse(state.ReasonUnauthorized, "")
		case token == "" && !fromSameHost(r):
			return refuse(state.ReasonForbidden, "no token is set: ask from the agent's own host")
		}
		return h(r, id)
	}
}

func healthy(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n"))
}
