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
	maxDrainsAge = 2 * time.Second
	// drainsRetry is the pause between two looks of an agent.
	drainsReadInterval = time.Second
)

// drainsChanged has nothing newly started beside this agent if its failure domain is
// drained, and tells those that are linked with it.
func (a *Agent) drainsChanged(s drains.State) {
	a.fleet.SetDrained(s)
	a.links.Drain(s)
	a.apply(a.worker.DrainDomain(bootclock.Now(), s.Has(a.settings.Domain)))
	for c := range a.snapshotCallers() {
		c.Send(emptyFrame)
	}
	a.links.SendAll(func(*corepb.ToAgent) {})
}

// checkDrains looks into the store if the callers have not heard from it for long. Those of a
// process that has just started may only have started too.
func (a *Agent) checkDrains(ctx context.Context, now time.Duration) {
	if min(a.drains.Age(now), now-a.started) < maxDrainsAge || now-a.drainsReadAt.Get() < drainsReadInterval || len(a.snapshotCallers()) == 0 {
		return
	}
	if a.readingDrains.Swap(true) {
		return
	}
	a.drainsReadAt.Set(now)
	go func() {
		defer a.readingDrains.Store(false)
		err := a.drains.Look(ctx, a.store)
		klog.InfoS("Looked for drains in the store, since those who place work here have not lately", "err", err)
	}()
}

// LinkComplete implements peer.LinkHandler.
func (a *Agent) LinkComplete(f *corepb.ToAgent) { f.Drains = a.drains.Frame() }
