package wire

import (
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/protocol/wire/nodepb"
)

func encodeStop(m *message.Stop) *nodepb.Stop {
	return &nodepb.Stop{Ticket: m.Ticket}
}

func decodeStop(p *nodepb.Stop) message.Stop {
	return message.Stop{Ticket: p.GetTicket()}
}

func encodeStopReply(m *message.StopReply) *nodepb.StopReply {
	return &nodepb.StopReply{Ticket: m.Ticket, Draining: m.Draining}
}

func decodeStopReply(p *nodepb.StopReply) message.StopReply {
	return message.StopReply{Ticket: p.GetTicket(), Draining: p.GetDraining()}
}
