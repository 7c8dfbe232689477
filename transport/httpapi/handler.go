package httpapi

import (
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/semaphore"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

// server holds what the handlers share. It has no state of its own to guard.
type server struct {
	Options
	tokens        tokenTable
	metrics       *metrics
	bufferedBytes *semaphore.Weighted
}

// New returns the handler of an entry's HTTP interface.
func New(o Options) http.Handler {
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	if o.Ready == nil {
		o.Ready = func() bool { return true }
	}
	if o.MaxBufferedBytes == 0 {
		o.MaxBufferedBytes = DefaultMaxBufferedBytes
	}
	s := &server{
		Options:       o,
		tokens:        newTokenTable(o.Tokens),
		metrics:       newMetrics(o.Registry, o.OnRefusal),
		bufferedBytes: semaphore.NewWeighted(o.MaxBufferedBytes),
	}
	routes := s.routes()
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		// The deadline of the connection's previous answer would otherwise cut
		// off one that is written later.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		routes.ServeHTTP(w, req)
	})
}

func (s *server) routes() http.Handler {
	r := httprouter.New()
	// A redirect would send a submission a second time, and a cleaned path
	// may name another job.
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.NotFound = s.public("none", s.notFound)
	r.MethodNotAllowed = s.public("none", s.methodNotAllowed)

	// An id may hold slashes, hence the catch-all.
	s.handle(r, http.MethodPost, "/v1/services/:service/jobs", RoleCaller, s.submitJob)
	s.handle(r, http.MethodGet, "/v1/services/:service/jobs/*id", RoleCaller, s.queryJob)
	s.handle(r, http.MethodDelete, "/v1/services/:service/jobs/*id", RoleCaller, s.cancelJob)
	s.handle(r, http.MethodPost, "/v1/services/:service/requests", RoleCaller, s.submitRequest)

	s.handle(r, http.MethodPut, "/v1/declarations/:operator", RoleOperator, s.applyDeclaration)
	s.handle(r, http.MethodGet, "/v1/declarations/:operator", RoleOperator, s.getDeclaration)
	s.handle(r, http.MethodGet, "/v1/declarations/:operator/history", RoleOperator, s.getHistory)

	// A drain concerns all operators.
	s.handle(r, http.MethodPut, "/v1/drains/:domain", RoleAdmin, s.setDrain)
	s.handle(r, http.MethodDelete, "/v1/drains/:domain", RoleAdmin, s.endDrain)
	s.handle(r, http.MethodGet, "/v1/drains", RoleOperator, s.listDrains)
	s.handle(r, http.MethodGet, "/v1/drains/:domain/history", RoleOperator, s.getDrainHistory)

	s.handle(r, http.MethodGet, "/v1/status", RoleOperator, s.getStatus)
	r.Handler(http.MethodGet, "/metrics", promhttp.HandlerFor(s.Registry, promhttp.HandlerOpts{}))
	for _, method := range []string{http.MethodGet, http.MethodHead} {
		r.Handler(method, "/healthz", s.public("/healthz", s.healthz))
		r.Handler(method, "/readyz", s.public("/readyz", s.readyz))
	}
	return r
}

// handle registers a resource that needs at least a role.
func (s *server) handle(r *httprouter.Router, method, route string, minRole Role, h func(*exchange)) {
	r.Handle(method, route, func(w http.ResponseWriter, req *http.Request, ps httprouter.Params) {
		x := s.begin(w, req, ps, route)
		if minRole == RoleCaller {
			x.refusalOutcome = state.Unknown
		}
		if p := s.authorize(x, minRole); p != nil {
			x.refuse(p)
		} else {
			h(x)
		}
		x.end()
	})
}

// plain makes a handler of a resource that is open to everybody.
func (s *server) public(route string, h func(*exchange)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		x := s.begin(w, req, nil, route)
		h(x)
		x.end()
	})
}

func (s *server) notFound(x *exchange) {
	x.refuse(api.NewProblem(state.ReasonUnknownRoute, state.NotRun, "there is nothing at %s", x.req.URL.Path))
}

func (s *server) methodNotAllowed(x *exchange) {
	x.refuse(api.NewProblem(state.ReasonMethodNotAllowed, state.NotRun, "%s is not for %s", x.req.Method, x.req.URL.Path))
}
