package core

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/shares"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

// DemandInterval is the longest time between two frames with demand on a link. Three of them fit
// into shares.NewsTimeout, so that a lost frame changes nothing.
const DemandInterval = 300 * time.Millisecond

// DemandReporter tells the linked agents what this process asks for, and takes in what they tell of
// the others. It does nothing if contended capacity isn't divided. It is safe for concurrent use.
type DemandReporter struct {
	fleet *owner.Fleet
	// send leaves content for the next frame of the link to an agent.
	send func(node string, fill func(*corepb.ToAgent))

	mu sync.Mutex
	// sent has, by service, what the agents were told last. Guarded by mu.
	sent map[string]sentDemand
}

type sentDemand struct {
	rows []shares.Demand
	at   time.Duration
}

// NewDemandReporter returns a reporter that sends on a set of links.
func NewDemandReporter(f *owner.Fleet, links *LinkSet) *DemandReporter {
	return &DemandReporter{fleet: f, send: links.sendWithNextFrame, sent: make(map[string]sentDemand)}
}

// Tick sends what has changed or is due again, and logs the beginnings and ends of contention.
func (r *DemandReporter) Tick(now time.Duration) {
	book := r.fleet.Shares()
	if book == nil {
		return
	}
	for _, service := range book.Services() {
		r.report(now, book, service)
	}
	for _, e := range book.TakeEvents() {
		klog.InfoS("Contention", "service", e.Service, "contended", e.Contended, "asked", int(e.Asked), "cores", int(e.Capacity), "shares", e.Shares)
	}
}

func (r *DemandReporter) report(now time.Duration, book *shares.Book, service string) {
	agents := r.fleet.AgentsOfService(service)
	rows := book.Rows(now, service, len(agents))
	if !r.due(now, service, rows) {
		return
	}
	message := wire.DemandToWire(rows)
	for _, node := range agents {
		r.send(node, func(f *corepb.ToAgent) { f.Demand = message })
	}
}

func (r *DemandReporter) due(now time.Duration, service string, rows []shares.Demand) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := r.sent[service]
	if last.at > 0 && now-last.at < DemandInterval && !shares.Changed(last.rows, rows, shares.OwnChange) {
		return false
	}
	r.sent[service] = sentDemand{rows: rows, at: now}
	return true
}

// Hear takes in what an agent has told. A frame without demand says nothing.
func (r *DemandReporter) Hear(now time.Duration, node string, p *corepb.DemandList) {
	if book := r.fleet.Shares(); book != nil && p != nil {
		CountInvalidDemand(book.Update(now, node, wire.DemandFromWire(p)))
	}
}

// CountInvalidDemand counts rows of demand that were dropped.
func CountInvalidDemand(rows int) {
	for range rows {
		metrics.Malformed(metrics.KindDemand)
	}
}
