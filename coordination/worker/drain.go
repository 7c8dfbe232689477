package worker

import "time"

// ReasonDomainDrained is the reason for refusing or returning an order while the failure domain is
// drained.
const ReasonDomainDrained = "domain_drained"

// DrainDomain sets whether the failure domain is drained. This is the last point at which the start
// of an order can be prevented: its sender may not know of the drain yet, or may have sent it
// before. Active runs go on; waiting orders are returned to their owners as not run.
func (w *Worker) DrainDomain(now time.Duration, drained bool) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	if w.drained == drained {
		return fx
	}
	w.drained = drained
	if !drained {
		w.startWaitingLocked(now, &fx)
		return fx
	}
	before := len(fx.Events)
	w.returnWaitingLocked(&fx, ReasonDomainDrained)
	w.stats.Drained += int64(len(fx.Events) - before)
	return fx
}
