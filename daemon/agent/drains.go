package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/transport/bootclock"
)

const (
	// drainsStale is the age from which on an agent looks into the store itself. Entries
	// hear from it each 0.6 s.
	drainsStale = 2 * time.Second
	// drainsRetry is the pause between two looks of an agent.
	drainsRetry = time.Second
)

// drainsChanged has nothing newly started beside this agent if its failure domain is
// drained, and tells those that are linked with it.
func (a *Agent) drainsChanged(s drains.State) {
	a.fleet.SetDrained(s)
	a.links.SetDrained(s)
	a.apply(a.worker.DrainDomain(bootclock.Now(), s.Has(a.settings.Domain)))
	for c := range a.everyCaller() {
		c.Send(nothing)
	}
	a.links.SendAll(func(*corepb.ToAgent) {})
}

// checkDrains looks into the store if the callers have not heard from it for long. Those of a
// process that has just started may only have started too.
func (a *Agent) checkDrains(ctx context.Context, now time.Duration) {
	if min(a.drains.Age(now), now-a.started) < drainsStale || now-a.lookedAt.Get() < drainsRetry || len(a.everyCaller()) == 0 {
		return
	}
	if a.looking.Swap(true) {
		return
	}
	a.lookedAt.Set(now)
	go func() {
		defer a.looking.Store(false)
		err := a.drains.Refresh(ctx, a.store)
		klog.InfoS("Looked for drains in the store, since those who place work here have not lately", "err", err)
	}()
}

// LinkBeforeSend implements peer.LinkHandler.
func (a *Agent) LinkBeforeSend(f *corepb.ToAgent) { f.Drains = a.drains.ToWire() }
