package node

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/roster"
)

const (
	// stopResend spaces the copies of a Stop. It is many round trips, so that a
	// copy is sent only where the one before, or its reply, was lost.
	stopResend = 500 * time.Millisecond
	// stopLimit is how long an entry tries to reach a node that is to stop.
	stopLimit = 10 * time.Second
	// confirmLimit is how long an entry looks for its record in the log. It is
	// longer than the driver tries to append.
	confirmLimit = 10 * time.Second
	// maxCommands bounds the commands under way. Persons give them; the bound
	// keeps a script that loops from collecting memory.
	maxCommands = 64
	// notReadyRetry is when a command makes sense at an entry that has just
	// come up.
	notReadyRetry = time.Second
)

// commands are what operators have asked of the fleet through this entry and
// what isn't settled yet.
type commands struct {
	self    state.NodeID
	resends prometheus.Counter

	mu sync.Mutex
	// stops is guarded by mu, by ticket.
	stops map[uint64]*stopCommand
	// confirms is guarded by mu, by the id of the record.
	confirms map[string]*confirmCommand
	// settled is guarded by mu: what the roster's records have decided and
	// nobody has been told.
	settled []coordination.Action
}

// stopCommand is a node's planned stop that was asked for.
type stopCommand struct {
	ticket   uint64
	node     state.NodeID
	resendAt time.Time
	deadline time.Time
}

// confirmCommand is a ConfirmLost record that was appended.
type confirmCommand struct {
	ticket   uint64
	nodes    []state.NodeID
	deadline time.Time
}

func newCommands(self state.NodeID) *commands {
	return &commands{
		self: self,
		resends: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "shallotstep_stop_resends_total",
			Help: "Copies of stop messages that were sent because no reply had come.",
		}),
		stops:    make(map[uint64]*stopCommand),
		confirms: make(map[string]*confirmCommand),
	}
}

// StopNode has an agent begin its planned stop. The ticket gets Complete when
// the agent has said that it drains, or when the log shows that it has left as
// planned; NotRun when no such agent is a member; and Unknown when there was no
// word of it in time: a copy of the message may have got through.
func (e *Entry) StopNode(now time.Time, ticket uint64, id state.NodeID) []coordination.Action {
	r := e.keeper.Roster()
	if !knownRoster(r) {
		return deliver(ticket, message.Answer{
			Outcome: state.NotRun, Reason: state.ReasonNotReady, RetryAfter: notReadyRetry,
			Detail: "this entry does not know the roster yet",
		})
	}
	if e.departures.leaving(id) {
		return deliver(ticket, message.Answer{Outcome: state.Complete})
	}
	if _, ok := r.Member(id); !ok {
		return deliver(ticket, message.Answer{
			Outcome: state.NotRun, Reason: state.ReasonUnknownNode,
			Detail: fmt.Sprintf("%q is not in the roster known here; the status lists the ids, and an entry is drained through itself", id),
		})
	}
	return e.commands.stop(now, ticket, id)
}

// ConfirmLost appends the operator's word that hosts are dead. The ticket gets
// one Applied: Complete with the record's offset, NotRun when the record is
// certainly not in the log or has no effect, Failed when it passed over some of
// the nodes, Unknown when the log didn't show in time what became of it.
//
// The record is appended once and then looked for in the stream. A member is
// refused because its word counts: it may be about to grant what the operator
// says nobody will.
func (e *Entry) ConfirmLost(now time.Time, ticket uint64, nodes []state.NodeID, acceptRerun bool) []coordination.Action {
	r := e.keeper.Roster()
	if !knownRoster(r) {
		return notApplied(ticket, state.ReasonNotReady, "this entry does not know the roster yet")
	}
	members := slices.DeleteFunc(slices.Clone(nodes), func(id state.NodeID) bool {
		_, ok := r.Member(id)
		return !ok
	})
	if len(members) > 0 {
		return notApplied(ticket, state.ReasonStillMember, "still in the roster: "+join(members))
	}
	return e.commands.confirm(now, ticket, nodes, acceptRerun)
}

// knownRoster reports whether a roster can tell who is a member.
func knownRoster(r *roster.Roster) bool { return r.Rooted() && r.Offset() > 0 }

func deliver(ticket uint64, a message.Answer) []coordination.Action {
	return []coordination.Action{coordination.Deliver{Ticket: ticket, Answer: a}}
}

func notApplied(ticket uint64, reason state.Reason, detail string) []coordination.Action {
	return []coordination.Action{coordination.Applied{Ticket: ticket, Outcome: state.NotRun, Reason: reason, Detail: detail}}
}

func join(ids []state.NodeID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, ", ")
}

func (c *commands) stop(now time.Time, ticket uint64, id state.NodeID) []coordination.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.stops) >= maxCommands {
		return deliver(ticket, message.Answer{
			Outcome: state.NotRun, Reason: state.ReasonOverload, Detail: "too many stops are under way",
		})
	}
	c.stops[ticket] = &stopCommand{ticket: ticket, node: id, resendAt: now.Add(stopResend), deadline: now.Add(stopLimit)}
	return []coordination.Action{coordination.Send{To: id, Msg: message.Stop{Ticket: ticket}}}
}

// stopReply takes an agent's word. One that comes after its ticket was answered
// changes nothing.
func (c *commands) stopReply(from state.NodeID, m message.StopReply) []coordination.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stops[m.Ticket]
	if s == nil || s.node != from {
		return nil
	}
	delete(c.stops, m.Ticket)
	if m.Draining {
		return deliver(m.Ticket, message.Answer{Outcome: state.Complete})
	}
	// Not "not run": another copy of the Stop may still be on its way, and the
	// agent judges each by the roster of its time.
	return deliver(m.Ticket, message.Answer{
		Outcome: state.Unknown, Reason: state.ReasonStopRefused,
		Detail: fmt.Sprintf("%s does not take %s for an entry", from, c.self),
	})
}

func (c *commands) confirm(now time.Time, ticket uint64, nodes []state.NodeID, acceptRerun bool) []coordination.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.confirms) >= maxCommands {
		return notApplied(ticket, state.ReasonOverload, "too many commands wait for the log")
	}
	rec := roster.ConfirmLost{
		ID:          fmt.Sprintf("%s/%d", c.self, ticket),
		NodeIDs:     nodes,
		AcceptRerun: acceptRerun,
	}
	data, err := roster.Encode(rec)
	if err != nil {
		return notApplied(ticket, state.ReasonMalformed, err.Error())
	}
	c.confirms[rec.ID] = &confirmCommand{ticket: ticket, nodes: nodes, deadline: now.Add(confirmLimit)}
	return []coordination.Action{coordination.Append{Stream: coordination.StreamRoster, Data: data}}
}

// appendFailed takes the driver's word on an append. A lost reply is settled by
// reading; a second append could not tell which of the two took effect.
func (c *commands) appendFailed(data []byte, refused bool) []coordination.Action {
	id, ok := confirmID(data)
	if !ok || !refused {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.confirms[id]
	if p == nil {
		return nil
	}
	delete(c.confirms, id)
	return notApplied(p.ticket, state.ReasonLogUnavailable, "the platform's log took no record")
}

func confirmID(data []byte) (string, bool) {
	rec, err := roster.Decode(data)
	if err != nil {
		return "", false
	}
	c, ok := rec.(roster.ConfirmLost)
	return c.ID, ok && c.ID != ""
}

// applied takes each record that the keeper has applied to a known roster, once
// and in the log's order. The keeper calls it with its lock held.
func (c *commands) applied(offset int64, data []byte, change roster.Change) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change.Kind == roster.KindLeave {
		c.leftLocked(change.Member.ID)
		return
	}
	if len(c.confirms) == 0 {
		return
	}
	id, ok := confirmID(data)
	p := c.confirms[id]
	if !ok || p == nil {
		return
	}
	delete(c.confirms, id)
	c.settled = append(c.settled, p.verdict(offset, change.Lost))
}

// leftLocked settles the stops of a node that left. Only the node itself writes
// its leave, and it does so when its planned stop has begun.
func (c *commands) leftLocked(id state.NodeID) {
	for _, ticket := range slices.Sorted(maps.Keys(c.stops)) {
		if c.stops[ticket].node != id {
			continue
		}
		delete(c.stops, ticket)
		c.settled = append(c.settled, deliver(ticket, message.Answer{Outcome: state.Complete})...)
	}
}

// verdict says what the record at the offset did. Nodes that joined before it
// were passed over.
func (p *confirmCommand) verdict(offset int64, lost []state.NodeID) coordination.Applied {
	passed := slices.DeleteFunc(slices.Clone(p.nodes), func(id state.NodeID) bool { return slices.Contains(lost, id) })
	a := coordination.Applied{Ticket: p.ticket, Version: state.Version(offset), Outcome: state.Complete}
	if len(passed) == 0 {
		return a
	}
	a.Outcome = state.Failed
	if len(passed) == len(p.nodes) {
		a.Outcome = state.NotRun
	}
	a.Reason = state.ReasonStillMember
	a.Detail = "in the roster when the record came, and passed over: " + join(passed)
	return a
}

// take returns what the records have settled since the last call.
func (c *commands) take() []coordination.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	acts := c.settled
	c.settled = nil
	return acts
}

func (c *commands) tick(now time.Time) []coordination.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	var acts []coordination.Action
	for _, ticket := range slices.Sorted(maps.Keys(c.stops)) {
		acts = append(acts, c.tickStopLocked(now, c.stops[ticket])...)
	}
	for _, id := range slices.Sorted(maps.Keys(c.confirms)) {
		p := c.confirms[id]
		if now.Before(p.deadline) {
			continue
		}
		delete(c.confirms, id)
		acts = append(acts, coordination.Applied{
			Ticket: p.ticket, Outcome: state.Unknown, Reason: state.ReasonApplyUnknown,
			Detail: "the log has not shown whether it took the record; giving the same word again does no harm",
		})
	}
	return acts
}

func (c *commands) tickStopLocked(now time.Time, s *stopCommand) []coordination.Action {
	if !now.Before(s.deadline) {
		delete(c.stops, s.ticket)
		return deliver(s.ticket, message.Answer{
			Outcome: state.Unknown, Reason: state.ReasonNoReply,
			Detail: fmt.Sprintf("%s was asked and has not replied; asking again does no harm", s.node),
		})
	}
	if now.Before(s.resendAt) {
		return nil
	}
	s.resendAt = now.Add(stopResend)
	c.resends.Inc()
	return []coordination.Action{coordination.Send{To: s.node, Msg: message.Stop{Ticket: s.ticket}}}
}
