package httpapi

import (
	"net/http"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

func (s *server) applyDeclaration(x *exchange) {
	operator, p := s.authorizedOperator(x)
	if p != nil {
		x.refuse(p)
		return
	}
	base, p := baseVersion(x.req.Header)
	if p != nil {
		x.refuse(p)
		return
	}
	raw, release, p := s.readBody(x)
	if p != nil {
		x.refuse(p)
		return
	}
	defer release()
	// The record may be in the log even if the operator has gone away, so its
	// fate is followed to the end all the same.
	applied := s.Declarer.Apply(x.detached(), operator, base, raw)
	if applied.Outcome != state.Complete || applied.Reason != state.ReasonNone {
		x.refuse(applyProblem(applied))
		return
	}
	x.w.Header().Set("ETag", api.ETag(applied.Version))
	x.answer(api.Applied{Operator: operator, Version: applied.Version, Outcome: api.Outcome(state.Complete)})
}

func applyProblem(a state.ApplyResult) *api.Problem {
	reason, outcome := a.Reason, a.Outcome
	if reason == state.ReasonNone {
		reason = state.ReasonInternal
	}
	if outcome == state.Complete || outcome == state.Pending {
		outcome = state.Unknown
	}
	p := api.NewProblem(reason, outcome, "%s", a.Detail)
	p.Version = a.Version
	return p
}

// baseVersion reads the version that a declaration replaces. It is never
// guessed: two operators who both meant "whatever is there" would overwrite
// each other unseen.
func baseVersion(h http.Header) (state.Version, *api.Problem) {
	match, none := h.Values("If-Match"), h.Values("If-None-Match")
	switch {
	case len(match) == 1 && len(none) == 0:
		if v, ok := api.ParseETag(match[0]); ok {
			return v, nil
		}
		return 0, api.NewProblem(state.ReasonMalformed, state.NotRun, `If-Match must be one version, as in "17"`)
	case len(match) == 0 && len(none) == 1 && none[0] == "*":
		return 0, nil
	}
	return 0, api.NewProblem(state.ReasonMalformed, state.NotRun, `one of If-Match: "VERSION" and If-None-Match: * is needed`)
}

func (s *server) getDeclaration(x *exchange) {
	operator, p := s.authorizedOperator(x)
	if p != nil {
		x.refuse(p)
		return
	}
	d, ok := s.Declarer.Get(operator)
	if !ok {
		x.refuse(api.NewProblem(state.ReasonNoDeclaration, state.NotRun, "no declaration of %q is known here", operator))
		return
	}
	x.w.Header().Set("ETag", api.ETag(d.Version))
	x.write(http.StatusOK, api.ContentTypeJSON, d.Raw)
}

func (s *server) getHistory(x *exchange) {
	operator, p := s.authorizedOperator(x)
	if p != nil {
		x.refuse(p)
		return
	}
	x.answer(api.History{Operator: operator, Entries: nonNil(s.Declarer.History(operator))})
}

// ownOperator returns the operator that is asked for, if the asker may act
// for it.
func (s *server) authorizedOperator(x *exchange) (string, *api.Problem) {
	operator := x.params.ByName("operator")
	if p := api.CheckOperator(operator); p != nil {
		return "", p
	}
	if !x.principal.mayActFor(operator) {
		return "", x.forbidden("the token is not for operator %q", operator)
	}
	return operator, nil
}
