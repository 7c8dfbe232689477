package wire

import (
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/protocol/wire/nodepb"
	"github.com/shallotstep/shallotstep/state"
)

func (c *checker) encodeLoad(l *state.AgentLoad) *nodepb.AgentLoad {
	out := &nodepb.AgentLoad{
		Id:           c.node("load id", l.ID),
		Addr:         c.name("addr", l.Addr),
		Seq:          l.Seq,
		Region:       c.name("region", l.Region),
		Domain:       c.name("domain", l.Domain),
		Rack:         c.name("rack", l.Rack),
		Slots:        c.small("slots", l.Slots),
		Free:         c.small("free", l.Free),
		Queued:       c.small("queued", l.Queued),
		Cores:        c.cores(l.Cores),
		MemoryMb:     c.count("memory", l.MemoryMB),
		Accelerators: c.count("accelerators", l.Accelerators),
		Draining:     l.Draining,
		Ejected:      l.Ejected,
	}
	for _, s := range l.Services {
		out.Services = append(out.Services, c.id("service", s))
	}
	return out
}

func (c *checker) decodeLoad(p *nodepb.AgentLoad) state.AgentLoad {
	out := state.AgentLoad{
		ID:           state.NodeID(c.name("load id", p.GetId())),
		Addr:         c.name("addr", p.GetAddr()),
		Seq:          p.GetSeq(),
		Region:       c.name("region", p.GetRegion()),
		Domain:       c.name("domain", p.GetDomain()),
		Rack:         c.name("rack", p.GetRack()),
		Slots:        c.integer("slots", p.GetSlots()),
		Free:         c.integer("free", p.GetFree()),
		Queued:       c.integer("queued", p.GetQueued()),
		Cores:        c.cores(p.GetCores()),
		MemoryMB:     c.count("memory", p.GetMemoryMb()),
		Accelerators: c.count("accelerators", p.GetAccelerators()),
		Draining:     p.GetDraining(),
		Ejected:      p.GetEjected(),
	}
	for _, s := range p.GetServices() {
		out.Services = append(out.Services, c.id("service", s))
	}
	return out
}

func (c *checker) encodeLoadNews(m *message.LoadNews) *nodepb.LoadNews {
	out := &nodepb.LoadNews{
		Pull:  m.Pull,
		After: c.name("after", string(m.After)),
		Page:  m.Page,
		Read:  c.encodeRead(&m.Read),
	}
	for i := range m.Loads {
		item := &m.Loads[i]
		out.Loads = append(out.Loads, &nodepb.LoadItem{
			Load:  c.encodeLoad(&item.Load),
			Beat:  item.Beat,
			AgeNs: c.nanos("age", item.Age),
			Read:  c.encodeRead(&item.Read),
		})
	}
	return out
}

func (c *checker) encodeRead(r *message.ReadPosition) *nodepb.ReadPosition {
	if *r == (message.ReadPosition{}) {
		return nil
	}
	return &nodepb.ReadPosition{
		Id:         c.name("reader", string(r.ID)),
		Next:       c.count("next offset", r.Next),
		AgeNs:      c.nanos("read age", r.Age),
		Incomplete: r.Incomplete,
		SaidNs:     c.nanos("said", r.Said),
	}
}

func (c *checker) decodeRead(p *nodepb.ReadPosition) message.ReadPosition {
	return message.ReadPosition{
		ID:         state.NodeID(c.name("reader", p.GetId())),
		Next:       c.count("next offset", p.GetNext()),
		Age:        c.duration("read age", p.GetAgeNs()),
		Incomplete: p.GetIncomplete(),
		Said:       c.duration("said", p.GetSaidNs()),
	}
}

func (c *checker) decodeLoadNews(p *nodepb.LoadNews) message.LoadNews {
	out := message.LoadNews{
		Pull:  p.GetPull(),
		After: state.NodeID(c.name("after", p.GetAfter())),
		Page:  p.GetPage(),
		Read:  c.decodeRead(p.GetRead()),
	}
	for _, item := range p.GetLoads() {
		out.Loads = append(out.Loads, message.LoadItem{
			Load: c.decodeLoad(item.GetLoad()),
			Beat: item.GetBeat(),
			Age:  c.duration("age", item.GetAgeNs()),
			Read: c.decodeRead(item.GetRead()),
		})
	}
	return out
}

func encodeRosterAsk(m *message.RosterAsk) *nodepb.RosterAsk {
	return &nodepb.RosterAsk{After: int64(m.After), Seq: m.Seq}
}

func decodeRosterAsk(p *nodepb.RosterAsk) message.RosterAsk {
	return message.RosterAsk{After: state.Epoch(p.GetAfter()), Seq: p.GetSeq()}
}

func (c *checker) encodeRosterReply(m *message.RosterReply) *nodepb.RosterReply {
	out := &nodepb.RosterReply{
		Seq:   m.Seq,
		Fresh: m.Fresh,
		AgeNs: c.nanos("age", m.Age),
	}
	for i := range m.Records {
		r := &m.Records[i]
		out.Records = append(out.Records, &nodepb.RosterRecord{Offset: r.Offset, Data: r.Data})
	}
	return out
}

func (c *checker) decodeRosterReply(p *nodepb.RosterReply) message.RosterReply {
	out := message.RosterReply{
		Seq:   p.GetSeq(),
		Fresh: p.GetFresh(),
		Age:   c.duration("age", p.GetAgeNs()),
	}
	for _, r := range p.GetRecords() {
		out.Records = append(out.Records, message.RosterRecord{
			Offset: r.GetOffset(),
			Data:   present(r.GetData()),
		})
	}
	return out
}

func (c *checker) encodeDeclarationAsk(m *message.DeclarationAsk) *nodepb.DeclarationAsk {
	out := &nodepb.DeclarationAsk{}
	if len(m.Have) > 0 {
		out.Have = make(map[string]int64, len(m.Have))
	}
	for operator, version := range m.Have {
		out.Have[c.id("operator", operator)] = int64(version)
	}
	return out
}

func (c *checker) decodeDeclarationAsk(p *nodepb.DeclarationAsk) message.DeclarationAsk {
	out := message.DeclarationAsk{}
	if len(p.GetHave()) > 0 {
		out.Have = make(map[string]state.Version, len(p.GetHave()))
	}
	for operator, version := range p.GetHave() {
		out.Have[c.id("operator", operator)] = state.Version(version)
	}
	return out
}

func (c *checker) encodeDeclarationReply(m *message.DeclarationReply) *nodepb.DeclarationReply {
	out := &nodepb.DeclarationReply{}
	for i := range m.Records {
		r := &m.Records[i]
		out.Records = append(out.Records, &nodepb.DeclarationRecord{
			Operator: c.id("operator", r.Operator),
			Version:  int64(r.Version),
			ApplyId:  c.name("apply id", r.ApplyID),
			File:     r.File,
		})
	}
	return out
}

func (c *checker) decodeDeclarationReply(p *nodepb.DeclarationReply) message.DeclarationReply {
	out := message.DeclarationReply{}
	for _, r := range p.GetRecords() {
		out.Records = append(out.Records, message.DeclarationRecord{
			Operator: c.id("operator", r.GetOperator()),
			Version:  state.Version(r.GetVersion()),
			ApplyID:  c.name("apply id", r.GetApplyId()),
			File:     present(r.GetFile()),
		})
	}
	return out
}
