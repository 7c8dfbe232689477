package httpapi

import (
	"net/http"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

// healthyBody is the body of a passed health check.
const healthyBody = "ok\n"

const contentTypeText = "text/plain; charset=utf-8"

func (s *server) getStatus(x *exchange) {
	doc := s.Status.Status()
	doc.Agents = nonNil(doc.Agents)
	doc.DrainedDomains = nonNil(doc.DrainedDomains)
	doc.Declarations = nonNil(doc.Declarations)
	x.answer(doc)
}

// nonNil returns list, or an empty list instead of nil, so that JSON has [] and not null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// healthz reports that the process is running.
func (s *server) healthz(x *exchange) {
	x.write(http.StatusOK, contentTypeText, []byte(healthyBody))
}

// readyz reports whether the load balancer may send requests to this entry.
func (s *server) readyz(x *exchange) {
	if !s.Ready() {
		x.refuse(api.NewProblem(state.ReasonNotReady, state.NotRun, "this entry takes no new work"))
		return
	}
	x.write(http.StatusOK, contentTypeText, []byte(healthyBody))
}
