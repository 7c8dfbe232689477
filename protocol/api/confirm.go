package api

import (
	"slices"

	"github.com/shallotstep/shallotstep/state"
)

// MaxConfirmed bounds how many nodes one confirmation names: the agents of a
// whole region at full size.
const MaxConfirmed = 1000

// ConfirmLost is the word of a person on call that hosts are dead for good.
type ConfirmLost struct {
	Nodes []state.NodeID `json:"nodes"`
	// AcceptRerun opens the shares of the dead at once, at the risk that a job
	// which only they knew of runs again.
	AcceptRerun bool `json:"accept_rerun"`
}

// ConfirmedLost is the answer to a confirmation that is in force.
type ConfirmedLost struct {
	ConfirmLost
	// Version is the offset of the record in the roster's stream.
	Version state.Version `json:"version"`
	Outcome Outcome       `json:"outcome"`
}

// DecodeConfirmLost reads the body of a POST to /v1/roster/confirm-lost. A
// missing accept_rerun is false, which is the safe side.
func DecodeConfirmLost(body []byte) (ConfirmLost, *Problem) {
	var c ConfirmLost
	r, p := newReader(body)
	if p != nil {
		return c, p
	}
	p = r.object("", func(name string) *Problem {
		switch name {
		case "nodes":
			return r.nodes(name, &c.Nodes)
		case "accept_rerun":
			return r.flag(name, &c.AcceptRerun)
		}
		return malformed("unknown field %q", r.path(name))
	})
	if p == nil {
		p = r.end()
	}
	if p == nil && len(c.Nodes) == 0 {
		p = malformed("nodes is missing or empty")
	}
	return c, p
}

// nodes reads a list of different nodes.
func (r *reader) nodes(name string, out *[]state.NodeID) *Problem {
	return r.array(name, func(int) *Problem {
		var id string
		if p := r.text(name, &id); p != nil {
			return p
		}
		if p := CheckIncarnation(id); p != nil {
			return p
		}
		if slices.Contains(*out, state.NodeID(id)) {
			return malformed("%s names %q twice", r.path(name), id)
		}
		if len(*out) == MaxConfirmed {
			return malformed("%s holds more than %d nodes", r.path(name), MaxConfirmed)
		}
		*out = append(*out, state.NodeID(id))
		return nil
	})
}
