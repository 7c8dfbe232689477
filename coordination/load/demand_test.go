package load

import (
	"fmt"
	"time"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/shares"
)

// demandInterval has the value that package daemon/core uses.
const demandInterval = 300 * time.Millisecond

// paramsOf returns the parameters of an entry, whose clients are in its own failure domain.
func (w *world) paramsOf(e *entry) owner.Params {
	p := w.params
	if p.Shares != nil {
		s := *p.Shares
		s.Domain = entryDomain(e.number)
		p.Shares = &s
	}
	return p
}

func entryDomain(number int) string { return fmt.Sprintf("third-%d", number%3) }

// sendDemand tells the agents what the entry asks for, when that has changed or is due again.
func (e *entry) sendDemand() {
	book := e.fleet.Shares()
	if book == nil {
		return
	}
	agents := e.fleet.AgentsOfService(service)
	rows := book.Rows(e.w.now, service, len(agents))
	if e.w.now-e.demandAt < demandInterval && !shares.Changed(e.demandSent, rows, shares.OwnChange) {
		return
	}
	e.demandSent, e.demandAt = rows, e.w.now
	name := e.name()
	for _, node := range agents {
		a := e.w.agent(node)
		e.w.after(frameDelay, func() {
			if !a.down {
				a.sums.Update(e.w.now, name, rows)
			}
		})
	}
}

// demandOfOthers returns what an agent tells an entry with its load, or nil if that isn't due.
func (a *agent) demandOfOthers(c *entryLink) []shares.Demand {
	if c.entry.fleet.Shares() == nil || a.down {
		return nil
	}
	rows, ok := a.sums.Others(a.w.now, c.entry.name())
	if l := a.Load(a.w.now); shares.HasRoom(float64(l.Free.CPUMillis) / float64(a.capacity.CPUMillis)) {
		rows = nil
	}
	if !ok || a.w.now-c.demandAt < demandInterval && !shares.Changed(c.demandSent, rows, shares.OthersChange) {
		return nil
	}
	c.demandSent, c.demandAt = rows, a.w.now
	return append([]shares.Demand{}, rows...)
}

// hearDemand takes in what an agent has told; nil: nothing.
func (e *entry) hearDemand(a *agent, rows []shares.Demand) {
	if book := e.fleet.Shares(); book != nil && rows != nil {
		book.Update(e.w.now, a.name, rows)
	}
}

func (w *world) classFactor(c *class) float64 {
	if f, ok := w.classFactors[c.queue]; ok {
		return f
	}
	return 1
}
