package wire

import (
	"slices"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/protocol/wire/nodepb"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/claim"
)

func (c *checker) encodeBar(m *message.Bar) *nodepb.Bar {
	return &nodepb.Bar{
		Key:     c.encodeKey(m.Key),
		Attempt: c.name("attempt", string(m.Attempt)),
		Epoch:   int64(m.Epoch),
		Unsent:  m.Unsent,
	}
}

func (c *checker) decodeBar(p *nodepb.Bar) message.Bar {
	return message.Bar{
		Key:     c.decodeKey(p.GetKey()),
		Attempt: message.Attempt(c.name("attempt", p.GetAttempt())),
		Epoch:   state.Epoch(p.GetEpoch()),
		Unsent:  p.GetUnsent(),
	}
}

func (c *checker) encodeBarReply(m *message.BarReply) *nodepb.BarReply {
	return &nodepb.BarReply{
		Key:     c.encodeKey(m.Key),
		Attempt: c.name("attempt", string(m.Attempt)),
		Barred:  m.Barred,
		Reason:  c.reason(m.Reason),
		Epoch:   int64(m.Epoch),
		Holder:  c.node("holder", m.Holder),
	}
}

func (c *checker) decodeBarReply(p *nodepb.BarReply) message.BarReply {
	return message.BarReply{
		Key:     c.decodeKey(p.GetKey()),
		Attempt: message.Attempt(c.name("attempt", p.GetAttempt())),
		Barred:  p.GetBarred(),
		Reason:  c.readReason(p.GetReason()),
		Epoch:   state.Epoch(p.GetEpoch()),
		Holder:  state.NodeID(c.name("holder", p.GetHolder())),
	}
}

func (c *checker) encodeClaimAsk(m *message.ClaimAsk) *nodepb.ClaimAsk {
	return &nodepb.ClaimAsk{
		Key:     c.encodeKey(m.Key),
		Region:  c.name("region", m.Region),
		Digest:  encodeDigest(m.Digest),
		Attempt: c.name("attempt", string(m.Attempt)),
		Token:   c.name("token", m.Token),
		Epoch:   int64(m.Epoch),
		Knows:   m.Knows,
		Fence:   m.Fence,
	}
}

func (c *checker) decodeClaimAsk(p *nodepb.ClaimAsk) message.ClaimAsk {
	return message.ClaimAsk{
		Key:     c.decodeKey(p.GetKey()),
		Region:  c.name("region", p.GetRegion()),
		Digest:  c.decodeDigest(p.GetDigest()),
		Attempt: message.Attempt(c.name("attempt", p.GetAttempt())),
		Token:   c.name("token", p.GetToken()),
		Epoch:   state.Epoch(p.GetEpoch()),
		Knows:   p.GetKnows(),
		Fence:   p.GetFence(),
	}
}

func (c *checker) encodeClaimReply(m *message.ClaimReply) *nodepb.ClaimReply {
	return &nodepb.ClaimReply{
		Key:     c.encodeKey(m.Key),
		Token:   c.name("token", m.Token),
		Epoch:   int64(m.Epoch),
		Granted: m.Granted,
		Fence:   m.Fence,

		FenceAgeNs: c.nanos("fence age", m.FenceAge),
		Reason:     c.reason(m.Reason),
		Holder:     c.node("holder", m.Holder),
		Digest:     encodeDigest(m.Digest),
	}
}

func (c *checker) decodeClaimReply(p *nodepb.ClaimReply) message.ClaimReply {
	return message.ClaimReply{
		Key:     c.decodeKey(p.GetKey()),
		Token:   c.name("token", p.GetToken()),
		Epoch:   state.Epoch(p.GetEpoch()),
		Granted: p.GetGranted(),
		Fence:   p.GetFence(),

		FenceAge: c.duration("fence age", p.GetFenceAgeNs()),
		Reason:   c.readReason(p.GetReason()),
		Holder:   state.NodeID(c.name("holder", p.GetHolder())),
		Digest:   c.decodeDigest(p.GetDigest()),
	}
}

func (c *checker) encodePullAsk(m *message.PullAsk) *nodepb.PullAsk {
	return &nodepb.PullAsk{
		Region: c.name("region", m.Region),
		Share:  m.Share,
		Need:   int64(m.Need),
		Lacks:  c.encodeEpochs("lacks", m.Lacks),
		After:  c.text("after", m.After, MaxCursorLength),
	}
}

func (c *checker) decodePullAsk(p *nodepb.PullAsk) message.PullAsk {
	return message.PullAsk{
		Region: c.name("region", p.GetRegion()),
		Share:  p.GetShare(),
		Need:   state.Epoch(p.GetNeed()),
		Lacks:  c.decodeEpochs("lacks", p.GetLacks()),
		After:  c.text("after", p.GetAfter(), MaxCursorLength),
	}
}

func (c *checker) encodePullReply(m *message.PullReply) *nodepb.PullReply {
	out := &nodepb.PullReply{
		Region:  c.name("region", m.Region),
		Share:   m.Share,
		Knows:   int64(m.Knows),
		Below:   int64(m.Below),
		Through: int64(m.Through),
		Gaps:    c.encodeEpochs("gaps", m.Gaps),
		Refused: m.Refused,
		After:   c.text("after", m.After, MaxCursorLength),
		Next:    c.text("next", m.Next, MaxCursorLength),
	}
	for i := range m.Records {
		r := &m.Records[i]
		out.Records = append(out.Records, &nodepb.Record{
			Digest: slices.Concat(r.ID[:], r.Content[:]),
			Holder: c.node("holder", r.Holder),
			AgeNs:  c.nanos("age", r.Age),
		})
	}
	return out
}

func (c *checker) decodePullReply(p *nodepb.PullReply) message.PullReply {
	out := message.PullReply{
		Region:  c.name("region", p.GetRegion()),
		Share:   p.GetShare(),
		Knows:   state.Epoch(p.GetKnows()),
		Below:   state.Epoch(p.GetBelow()),
		Through: state.Epoch(p.GetThrough()),
		Gaps:    c.decodeEpochs("gaps", p.GetGaps()),
		Refused: p.GetRefused(),
		After:   c.text("after", p.GetAfter(), MaxCursorLength),
		Next:    c.text("next", p.GetNext(), MaxCursorLength),
	}
	for _, r := range p.GetRecords() {
		id, content := c.decodeClaim(r)
		out.Records = append(out.Records, message.Record{
			ID:      id,
			Content: content,
			Holder:  state.NodeID(c.name("holder", r.GetHolder())),
			Age:     c.duration("age", r.GetAgeNs()),
		})
	}
	return out
}

// decodeClaim reads what a record is of. Nodes of before claims were kept as
// hashes send the key and the whole digest. They refuse a message with a digest
// of another length as a whole, and so don't take a record that they can't read
// for no record.
func (c *checker) decodeClaim(r *nodepb.Record) (claim.ID, claim.Content) {
	if r.GetKey() != nil {
		return claim.IDOf(c.decodeKey(r.GetKey())), claim.ContentOf(c.decodeDigest(r.GetDigest()))
	}
	b := r.GetDigest()
	if len(b) != claim.IDLength+claim.ContentLength {
		c.fail("record: %d bytes in place of %d", len(b), claim.IDLength+claim.ContentLength)
		return claim.ID{}, claim.Content{}
	}
	return claim.ID(b[:claim.IDLength]), claim.Content(b[claim.IDLength:])
}

func (c *checker) encodeEpochs(field string, epochs []state.Epoch) []int64 {
	if len(epochs) > MaxEpochs {
		c.fail("%s: %d epochs, at most %d", field, len(epochs), MaxEpochs)
		return nil
	}
	var out []int64
	for _, e := range epochs {
		out = append(out, int64(e))
	}
	return out
}

func (c *checker) decodeEpochs(field string, epochs []int64) []state.Epoch {
	if len(epochs) > MaxEpochs {
		c.fail("%s: %d epochs, at most %d", field, len(epochs), MaxEpochs)
		return nil
	}
	var out []state.Epoch
	for _, e := range epochs {
		out = append(out, state.Epoch(e))
	}
	return out
}
