// Package wire turns messages into the form they have on a link between nodes
// and back. node.proto is the reference; nodepb is generated from it.
//
// Both directions check the same bounds, so that a value that one node can send
// is a value that the next one takes. A message that fails a check is an error,
// never a panic: the other end may run another version or be broken.
package wire

import (
	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/protocol/wire/nodepb"
)

//go:generate ./generate.sh

// Version is the protocol version that a Hello carries. Nodes with different
// versions refuse each other; added fields and messages don't change it. In a
// rolling upgrade an older node passes over a field that it doesn't know and drops a
// message of a kind that it doesn't know. So an added field must be one that may be
// ignored, and the sender of an added kind must do without its effect; what can't
// be ignored changes the version.
const Version = 1

// ErrUnknownKind is the cause of errors about a message that this version has
// no encoding for.
var ErrUnknownKind = errors.New("unknown kind of message")

// Encode returns the wire form of m. Byte slices are shared with m, so m must
// not be changed until the envelope has been written. Free text for people
// (Answer.Detail, TaskResult.Err) is repaired where it isn't UTF-8, because a
// result must not be lost over its wording; any other bad text is an error.
func Encode(m message.Message) (*nodepb.Envelope, error) {
	c := &checker{}
	e := &nodepb.Envelope{}
	switch m := m.(type) {
	case message.Submit:
		e.Kind = &nodepb.Envelope_Submit{Submit: c.encodeSubmit(&m)}
	case message.Answer:
		e.Kind = &nodepb.Envelope_Answer{Answer: c.encodeAnswer(&m)}
	case message.Cancel:
		e.Kind = &nodepb.Envelope_Cancel{Cancel: c.encodeCancel(&m)}
	case message.Bar:
		e.Kind = &nodepb.Envelope_Bar{Bar: c.encodeBar(&m)}
	case message.BarReply:
		e.Kind = &nodepb.Envelope_BarReply{BarReply: c.encodeBarReply(&m)}
	case message.ClaimAsk:
		e.Kind = &nodepb.Envelope_ClaimAsk{ClaimAsk: c.encodeClaimAsk(&m)}
	case message.ClaimReply:
		e.Kind = &nodepb.Envelope_ClaimReply{ClaimReply: c.encodeClaimReply(&m)}
	case message.PullAsk:
		e.Kind = &nodepb.Envelope_PullAsk{PullAsk: c.encodePullAsk(&m)}
	case message.PullReply:
		e.Kind = &nodepb.Envelope_PullReply{PullReply: c.encodePullReply(&m)}
	case message.RosterAsk:
		e.Kind = &nodepb.Envelope_RosterAsk{RosterAsk: encodeRosterAsk(&m)}
	case message.RosterReply:
		e.Kind = &nodepb.Envelope_RosterReply{RosterReply: c.encodeRosterReply(&m)}
	case message.Assign:
		e.Kind = &nodepb.Envelope_Assign{Assign: c.encodeAssign(&m)}
	case message.Report:
		e.Kind = &nodepb.Envelope_Report{Report: c.encodeReport(&m)}
	case message.TaskQuery:
		e.Kind = &nodepb.Envelope_TaskQuery{TaskQuery: c.encodeTaskQuery(&m)}
	case message.Drop:
		e.Kind = &nodepb.Envelope_Drop{Drop: c.encodeDrop(&m)}
	case message.Drops:
		e.Kind = &nodepb.Envelope_Drops{Drops: c.encodeDrops(&m)}
	case message.LoadNews:
		e.Kind = &nodepb.Envelope_LoadNews{LoadNews: c.encodeLoadNews(&m)}
	case message.DeclarationAsk:
		e.Kind = &nodepb.Envelope_DeclarationAsk{DeclarationAsk: c.encodeDeclarationAsk(&m)}
	case message.DeclarationReply:
		e.Kind = &nodepb.Envelope_DeclarationReply{DeclarationReply: c.encodeDeclarationReply(&m)}
	case message.Stop:
		e.Kind = &nodepb.Envelope_Stop{Stop: encodeStop(&m)}
	case message.StopReply:
		e.Kind = &nodepb.Envelope_StopReply{StopReply: encodeStopReply(&m)}
	case message.HandOver:
		e.Kind = &nodepb.Envelope_HandOver{HandOver: c.encodeHandOver(&m)}
	case message.HandOverReply:
		e.Kind = &nodepb.Envelope_HandOverReply{HandOverReply: c.encodeHandOverReply(&m)}
	default:
		return nil, errors.Wrapf(ErrUnknownKind, "encode %T", m)
	}
	if c.err != nil {
		return nil, errors.Wrapf(c.err, "encode %T", m)
	}
	return e, nil
}

// Decode returns the message in e. Byte slices are shared with e.
func Decode(e *nodepb.Envelope) (message.Message, error) {
	c := &checker{}
	m := c.decode(e)
	if m == nil {
		return nil, errors.Wrap(ErrUnknownKind, "decode")
	}
	if c.err != nil {
		return nil, errors.Wrapf(c.err, "decode %T", m)
	}
	return m, nil
}

func (c *checker) decode(e *nodepb.Envelope) message.Message {
	switch k := e.GetKind().(type) {
	case *nodepb.Envelope_Submit:
		return c.decodeSubmit(k.Submit)
	case *nodepb.Envelope_Answer:
		return c.decodeAnswer(k.Answer)
	case *nodepb.Envelope_Cancel:
		return c.decodeCancel(k.Cancel)
	case *nodepb.Envelope_Bar:
		return c.decodeBar(k.Bar)
	case *nodepb.Envelope_BarReply:
		return c.decodeBarReply(k.BarReply)
	case *nodepb.Envelope_ClaimAsk:
		return c.decodeClaimAsk(k.ClaimAsk)
	case *nodepb.Envelope_ClaimReply:
		return c.decodeClaimReply(k.ClaimReply)
	case *nodepb.Envelope_PullAsk:
		return c.decodePullAsk(k.PullAsk)
	case *nodepb.Envelope_PullReply:
		return c.decodePullReply(k.PullReply)
	case *nodepb.Envelope_RosterAsk:
		return decodeRosterAsk(k.RosterAsk)
	case *nodepb.Envelope_RosterReply:
		return c.decodeRosterReply(k.RosterReply)
	case *nodepb.Envelope_Assign:
		return c.decodeAssign(k.Assign)
	case *nodepb.Envelope_Report:
		return c.decodeReport(k.Report)
	case *nodepb.Envelope_TaskQuery:
		return c.decodeTaskQuery(k.TaskQuery)
	case *nodepb.Envelope_Drop:
		return c.decodeDrop(k.Drop)
	case *nodepb.Envelope_Drops:
		return c.decodeDrops(k.Drops)
	case *nodepb.Envelope_LoadNews:
		return c.decodeLoadNews(k.LoadNews)
	case *nodepb.Envelope_DeclarationAsk:
		return c.decodeDeclarationAsk(k.DeclarationAsk)
	case *nodepb.Envelope_DeclarationReply:
		return c.decodeDeclarationReply(k.DeclarationReply)
	case *nodepb.Envelope_Stop:
		return decodeStop(k.Stop)
	case *nodepb.Envelope_StopReply:
		return decodeStopReply(k.StopReply)
	case *nodepb.Envelope_HandOver:
		return c.decodeHandOver(k.HandOver)
	case *nodepb.Envelope_HandOverReply:
		return c.decodeHandOverReply(k.HandOverReply)
	default:
		return nil
	}
}
