package node

import (
	"strings"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// stop begins the planned stop when an entry asks for it. The reply says whether
// this agent drains, so that a repeated Stop gets the same reply.
func (a *Agent) stop(now time.Time, from state.NodeID, m message.Stop) []coordination.Action {
	var acts []coordination.Action
	if a.isEntry(now, from) {
		acts = a.Drain(now)
	}
	reply := coordination.Send{To: from, Msg: message.StopReply{Ticket: m.Ticket, Draining: a.Draining()}}
	return append([]coordination.Action{reply}, acts...)
}

// isEntry reports whether a node is taken for an entry. Nodes don't list the
// entries, so it goes by what agents can't be.
//
// What is trusted: the link. With mutual TLS a peer's certificate is of the
// fleet's authority and names the part of its id before the '@'; without TLS
// links run on loopback only. So the sender is a node of the fleet. The
// certificate of an agent doesn't let it pass for an entry, because an id under
// the name of an agent that the roster or the news know, whatever its
// incarnation, is refused here. A certificate with a fleet name
// (link.TLS.FleetNames) may speak under any name: whoever holds one is trusted
// to stop agents. So is a former agent that nobody hears of any more.
func (a *Agent) isEntry(now time.Time, from state.NodeID) bool {
	name := nameOf(from)
	if name == nameOf(a.self.ID) {
		return false
	}
	for _, l := range a.gossip.All(now) {
		if nameOf(l.Load.ID) == name {
			return false
		}
	}
	for _, m := range a.guard.Roster().Members() {
		if nameOf(m.ID) == name {
			return false
		}
	}
	return true
}

// nameOf returns an id without its incarnation.
func nameOf(id state.NodeID) string {
	name, _, _ := strings.Cut(string(id), "@")
	return name
}
