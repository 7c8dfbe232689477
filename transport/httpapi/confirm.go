package httpapi

import (
	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

func (s *server) confirmLost(x *exchange) {
	raw, release, p := s.readBody(x)
	if p != nil {
		x.refuse(p)
		return
	}
	defer release()
	c, p := api.DecodeConfirmLost(raw)
	if p != nil {
		x.refuse(p)
		return
	}
	// The record may be in the log even if the asker has gone away, so its fate
	// is followed to the end all the same.
	a := s.Confirmer.ConfirmLost(x.detached(), c.Nodes, c.AcceptRerun)
	if p := commandProblem(a); p != nil {
		x.refuse(p)
		return
	}
	x.answer(api.ConfirmedLost{ConfirmLost: c, Version: a.Version, Outcome: api.Outcome(state.Complete)})
}

// restoreDeclarations takes no body: what is restored is what the fleet has in
// force, and nobody can choose.
func (s *server) restoreDeclarations(x *exchange) {
	a := s.Restorer.RestoreDeclarations(x.detached())
	if p := commandProblem(a); p != nil {
		x.refuse(p)
		return
	}
	x.answer(api.Restored{Version: a.Version, Outcome: api.Outcome(state.Complete)})
}

// commandProblem returns why a command's record is not in force, or nil. Its
// version is a place in a stream and no declaration's, so a problem doesn't
// carry it.
func commandProblem(a coordination.Applied) *api.Problem {
	if a.Outcome == state.Complete && a.Reason == state.ReasonNone {
		return nil
	}
	p := applyProblem(a)
	p.Version = 0
	return p
}
