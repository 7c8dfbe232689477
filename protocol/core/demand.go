package core

import (
	"github.com/shallotstep/shallotstep/coordination/shares"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
)

// DemandToWire returns the wire form of rows of demand.
func DemandToWire(rows []shares.Demand) *corepb.DemandList {
	out := &corepb.DemandList{Rows: make([]*corepb.Demand, 0, len(rows))}
	for _, d := range rows {
		out.Rows = append(out.Rows, &corepb.Demand{
			Queue: d.Queue, Domain: d.Domain, Asked: float32(d.Asked),
			Priority: int32(d.Priority), Queues: int32(d.Queues),
		})
	}
	return out
}

// DemandFromWire is the inverse of DemandToWire. Rows are checked by shares.Demand.Valid.
func DemandFromWire(p *corepb.DemandList) []shares.Demand {
	out := make([]shares.Demand, 0, len(p.GetRows()))
	for _, d := range p.GetRows() {
		out = append(out, shares.Demand{
			Queue: d.GetQueue(), Domain: d.GetDomain(), Asked: float64(d.GetAsked()),
			Priority: int(d.GetPriority()), Queues: int(d.GetQueues()),
		})
	}
	return out
}
