package wire

import (
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/protocol/wire/nodepb"
	"github.com/shallotstep/shallotstep/state"
)

func (c *checker) encodeHandOver(m *message.HandOver) *nodepb.HandOver {
	out := &nodepb.HandOver{Answers: make([]*nodepb.StoredAnswer, len(m.Answers))}
	for i := range m.Answers {
		a := &m.Answers[i]
		out.Answers[i] = &nodepb.StoredAnswer{
			Holder: c.node("holder", a.Holder),
			Digest: encodeDigest(a.Digest),
			Answer: c.encodeAnswer(&a.Answer),
			AgeNs:  c.nanos("age", a.Age),
		}
	}
	return out
}

func (c *checker) decodeHandOver(p *nodepb.HandOver) message.HandOver {
	var m message.HandOver
	for _, a := range p.GetAnswers() {
		m.Answers = append(m.Answers, message.StoredAnswer{
			Holder: state.NodeID(c.name("holder", a.GetHolder())),
			Digest: c.decodeDigest(a.GetDigest()),
			Answer: c.decodeAnswer(a.GetAnswer()),
			Age:    c.duration("age", a.GetAgeNs()),
		})
	}
	return m
}

func (c *checker) encodeHandOverReply(m *message.HandOverReply) *nodepb.HandOverReply {
	out := &nodepb.HandOverReply{Settled: make([]*nodepb.JobKey, len(m.Settled))}
	for i := range m.Settled {
		out.Settled[i] = c.encodeKey(m.Settled[i])
	}
	return out
}

func (c *checker) decodeHandOverReply(p *nodepb.HandOverReply) message.HandOverReply {
	var m message.HandOverReply
	for _, key := range p.GetSettled() {
		m.Settled = append(m.Settled, c.decodeKey(key))
	}
	return m
}
