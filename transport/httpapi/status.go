package httpapi

import (
	"net/http"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

// ok is the body of a passed health check.
const healthyBody = "ok\n"

const contentTypeText = "text/plain; charset=utf-8"

func (s *server) getStatus(x *exchange) {
	doc := s.Status.Status()
	doc.Agents = nonNil(doc.Agents)
	doc.DrainedDomains = nonNil(doc.DrainedDomains)
	doc.Declarations = nonNil(doc.Declarations)
	x.answer(doc)
}

// orEmpty makes a list that stands as [] in JSON and never as null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// healthz says that the process runs.
func (s *server) healthz(x *exchange) {
	x.write(http.StatusOK, contentTypeText, []byte(healthyBody))
}

// readyz says whether the balancer may send work here.
func (s *server) readyz(x *exchange) {
	if !s.Ready() {
		x.refuse(api.NewProblem(state.ReasonNotReady, state.NotRun, "this entry takes no new work"))
		return
	}
	x.write(http.StatusOK, contentTypeText, []byte(healthyBody))
}
