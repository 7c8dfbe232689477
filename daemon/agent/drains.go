package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/transport/bootclock"
)

const (
	// drainsReadInterval is the least time between the beginnings of two reads of an agent.
	drainsReadInterval = time.Second
)

// applyDrains applies a change of the drains. While the failure domain of this agent is
// drained, nothing is started on its backend server. All linked processes get a frame with the
// change.
func (a *Agent) applyDrains(s drains.State) {
	a.fleet.SetDrained(s)
	a.links.SetDrained(s)
	a.apply(a.worker.DrainDomain(bootclock.Now(), s.Has(a.settings.Domain)))
	for c := range a.snapshotCallers() {
		c.Send(emptyFrame)
	}
	a.links.SendAll(func(*corepb.ToAgent) {})
}

// checkDrains reads the drains in the store if there are callers and none has confirmed the drains
// for core.MaxDrainsAge. The age counts from the start of the process at the earliest, because the
// callers may have just started as well.
func (a *Agent) checkDrains(ctx context.Context, now time.Duration) {
	if min(a.drains.Age(now), now-a.started) < core.MaxDrainsAge(a.settings) || now-a.drainsReadAt.Get() < drainsReadInterval || len(a.snapshotCallers()) == 0 {
		return
	}
	if a.readingDrains.Swap(true) {
		return
	}
	a.drainsReadAt.Set(now)
	go func() {
		defer a.readingDrains.Store(false)
		err := a.drains.Refresh(ctx, a.store)
		klog.InfoS("Looked for drains in the store, because no caller has confirmed them lately", "err", err)
	}()
}

// LinkBeforeSend implements peer.LinkHandler. Each frame carries the known drains.
func (a *Agent) LinkBeforeSend(f *corepb.ToAgent) { f.Drains = a.drains.ToWire() }
