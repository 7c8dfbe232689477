package httpapi

import (
	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

func (s *server) setDrain(x *exchange) { s.changeDrain(x, true) }

func (s *server) endDrain(x *exchange) { s.changeDrain(x, false) }

func (s *server) changeDrain(x *exchange, drained bool) {
	domain := x.params.ByName("domain")
	if p := api.CheckDomain(domain); p != nil {
		x.refuse(p)
		return
	}
	// The record may be in the store even if the operator has gone away, so its fate is
	// followed to the end all the same.
	applied := s.Drainer.SetDrain(x.detached(), domain, drained)
	if applied.Outcome != state.Complete || applied.Reason != state.ReasonNone {
		x.refuse(applyProblem(applied))
		return
	}
	x.answer(api.DrainApplied{Domain: domain, Drained: drained, Version: applied.Version, Outcome: api.Outcome(state.Complete)})
}

func (s *server) listDrains(x *exchange) {
	x.answer(api.DrainList{Domains: nonNil(s.Drainer.Drains())})
}

func (s *server) getDrainHistory(x *exchange) {
	domain := x.params.ByName("domain")
	if p := api.CheckDomain(domain); p != nil {
		x.refuse(p)
		return
	}
	x.answer(api.DrainHistory{Domain: domain, Entries: nonNil(s.Drainer.DrainHistory(domain))})
}
