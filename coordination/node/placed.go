package node

import (
	"slices"

	"github.com/shallotstep/shallotstep/coordination/gossip"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
)

// placed is the view of loads that a service's declared placement leaves. A
// backend server may announce a service wherever it stands; the operator's
// declaration has the last word on where its tasks run.
type placed struct {
	loads *gossip.Gossip
	set   *declaration.Set
}

// Candidates returns the agents that a service's tasks may go to.
func (p placed) Candidates(service string) []state.AgentLoad {
	return p.allowed(service, p.loads.Candidates(service))
}

// CandidatesFor is Candidates for a task that none of them may be able to hold.
func (p placed) CandidatesFor(service string, t *state.Task) []state.AgentLoad {
	return p.allowed(service, p.loads.CandidatesFor(service, t))
}

// AllKnown reports whether there is fresh news of every agent.
func (p placed) AllKnown() bool { return p.loads.AllKnown() }

func (p placed) allowed(service string, loads []state.AgentLoad) []state.AgentLoad {
	spec, _, ok := p.set.Service(service)
	if !ok || spec.Placement.Unrestricted() {
		return loads
	}
	banned := func(l state.AgentLoad) bool { return !spec.Placement.Allows(l.Domain, l.Rack) }
	if !slices.ContainsFunc(loads, banned) {
		return loads
	}
	return slices.DeleteFunc(slices.Clone(loads), banned)
}
