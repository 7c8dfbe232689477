package entry

import (
	"context"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// operations carries what the person on call asks of the fleet for httpapi.
type operations Entry

// Drain has a node begin its planned stop. The entry's own id stops the entry:
// this answer still goes out, because the HTTP server waits for it.
func (o *operations) Drain(ctx context.Context, node state.NodeID) message.Answer {
	e := (*Entry)(o)
	if node == e.opts.Node.Self.ID {
		e.Drain()
		return message.Answer{Outcome: state.Complete}
	}
	ticket, answer := e.tickets.open()
	defer e.tickets.drop(ticket)
	e.runner.Execute(e.machine.StopNode(time.Now(), ticket, node))
	select {
	case a := <-answer:
		return a
	case <-ctx.Done():
		return message.Answer{Outcome: state.Unknown, Reason: state.ReasonNoReply, Detail: "the asker went away"}
	}
}

// ConfirmLost has the word that hosts are dead appended to the roster.
func (o *operations) ConfirmLost(ctx context.Context, nodes []state.NodeID, acceptRerun bool) coordination.Applied {
	return o.command(ctx, func(now time.Time, ticket uint64) []coordination.Action {
		return o.machine.ConfirmLost(now, ticket, nodes, acceptRerun)
	})
}

// RestoreDeclarations has a restore of the declarations carried out.
func (o *operations) RestoreDeclarations(ctx context.Context) coordination.Applied {
	return o.command(ctx, o.machine.RestoreDeclarations)
}

// command carries out what appends to the log, and waits for its outcome.
func (o *operations) command(ctx context.Context, start func(time.Time, uint64) []coordination.Action) coordination.Applied {
	e := (*Entry)(o)
	if e.draining.Load() {
		return coordination.Applied{Outcome: state.NotRun, Reason: state.ReasonDraining, Detail: "this entry is stopping"}
	}
	ticket, applied := e.tickets.openApply()
	defer e.tickets.drop(ticket)
	e.runner.Execute(start(time.Now(), ticket))
	select {
	case a := <-applied:
		return a
	case <-ctx.Done():
		return coordination.Applied{Outcome: state.Unknown, Reason: state.ReasonApplyUnknown, Detail: "the asker went away"}
	}
}
