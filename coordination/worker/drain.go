package worker

import "time"

// ReasonDomainDrained is why an order is refused or handed back in a failure domain in
// which operators want nothing newly started.
const ReasonDomainDrained = "domain_drained"

// DrainDomain says whether the failure domain is drained. This is the last place at which an
// order can be kept from being started: whoever sent it may not know of the drain yet, or
// may have sent it before. What runs goes on, and what waits goes back to its owner as not
// run.
func (w *Worker) DrainDomain(now time.Duration, yes bool) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	if w.drained == yes {
		return fx
	}
	w.drained = yes
	if !yes {
		w.pumpLocked(now, &fx)
		return fx
	}
	before := len(fx.Events)
	w.returnWaitingLocked(&fx, ReasonDomainDrained)
	w.stats.Drained += int64(len(fx.Events) - before)
	return fx
}
