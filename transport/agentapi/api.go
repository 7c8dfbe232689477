// Package agentapi is an agent's own HTTP interface: backend servers announce
// themselves and leave here, the person on call drains the agent, and monitors
// read its metrics and health. docs/BACKENDS.md describes what backend servers
// see of it.
package agentapi

import (
	"net"
	"net/http"
	"sync"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

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
	// Token, when set, must come as a bearer token with announcements.
	Token string
	// AdminToken, when set, must come as a bearer token with a drain. Without
	// it a drain is taken from a loopback address only.
	AdminToken string
	// Registerer takes the counters and Gatherer is what /metrics shows. Nil
	// stands for no registry and for the library's default one.
	Registerer prometheus.Registerer
	Gatherer   prometheus.Gatherer
}

// API is the agent's HTTP handler. It is safe for concurrent use.
type API struct {
	agent   Agent
	opts    Options
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

// New returns the handler for an agent.
func New(agent Agent, opts Options) *API {
	if opts.Gatherer == nil {
		opts.Gatherer = prometheus.DefaultGatherer
	}
	a := &API{agent: agent, opts: opts, router: httprouter.New(), metrics: newMetrics(opts.Registerer)}
	backend := wire.BackendPath + ":id"
	a.router.PUT(backend, a.route(routeAnnounce, a.authorized(a.announce)))
	a.router.DELETE(backend, a.route(routeWithdraw, a.authorized(a.withdraw)))
	a.router.GET(backend, a.route(routeBackend, a.authorized(a.show)))
	a.router.POST("/v1/drain", a.route(routeDrain, a.admin(a.drain)))
	a.router.GET("/readyz", a.route(routeReady, a.ready))
	a.router.GET("/healthz", healthy)
	a.router.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(opts.Gatherer, promhttp.HandlerOpts{}))
	a.router.NotFound = a.refuseAll(http.StatusNotFound, "there is nothing at this path")
	a.router.MethodNotAllowed = a.refuseAll(http.StatusMethodNotAllowed, "the path does not take this method")
	a.router.RedirectTrailingSlash = false
	a.router.RedirectFixedPath = false
	return a
}

// ServeHTTP answers one request.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.router.ServeHTTP(w, r)
}

// reply is what a route answers: a document, or a refusal when Reason is set.
type reply struct {
	status int
	body   any
	reason state.Reason
	detail string
}

func refuse(reason state.Reason, detail string) reply {
	return reply{status: reason.HTTPStatus(), reason: reason, detail: detail}
}

type handler func(r *http.Request, id string) reply

// route answers with what h returns and counts it.
func (a *API) route(name string, h handler) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		answer := h(r, params.ByName("id"))
		a.metrics.count(name, answer.reason)
		writeReply(w, answer)
	}
}

func (a *API) refuseAll(status int, detail string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		answer := refuse(state.ReasonMalformed, detail)
		answer.status = status
		a.metrics.count(routeOther, answer.reason)
		writeReply(w, answer)
	})
}

// authorized lets h answer only requests that carry the token.
func (a *API) authorized(h handler) handler {
	return func(r *http.Request, id string) reply {
		if a.opts.Token != "" && !carries(r, a.opts.Token) {
			return refuse(state.ReasonUnauthorized, "a bearer token is needed")
		}
		return h(r, id)
	}
}

// admin lets h answer only the person on call. Without an admin token only the
// host itself may ask: otherwise any process of the network could take every
// agent out of service.
func (a *API) admin(h handler) handler {
	return func(r *http.Request, id string) reply {
		switch {
		case a.opts.AdminToken != "" && !carries(r, a.opts.AdminToken):
			return refuse(state.ReasonUnauthorized, "the admin token is needed")
		case a.opts.AdminToken == "" && !fromLoopback(r):
			return refuse(state.ReasonForbidden, "no admin token is set: ask from the agent's own host")
		}
		return h(r, id)
	}
}

func fromLoopback(r *http.Request) bool {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func healthy(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write([]byte("ok\n"))
}
