package worker

import (
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// Bands are the bounds of slack by which waiting work is summed up for owners.
// They double from a little above a round trip to about the longest run time.
var Bands = [...]time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
}

// Load is what owners place by.
type Load struct {
	Server  Server
	Free    job.Demand
	Backlog time.Duration
	// Ahead is the part of Backlog that has to start within each of Bands.
	Ahead [len(Bands)]time.Duration
	// Slowdown is how much longer runs take here than their owners expected.
	Slowdown float64
	// Turnover is the mean time until running tasks have made room for one more: the next
	// has ended, and those before it that take more than there is.
	Turnover time.Duration
	Accepts  bool
	// Drained is set while the failure domain is: nothing is newly started here.
	Drained bool
	Waiting int
	Running int
	// Unsettled is the number of ends that the backend server still lists.
	Unsettled int
	// Holds counts the holds that were sent.
	Holds int64
	// Suspects counts the runs and orders that may crash the backend server.
	Suspects int
}

// Load returns the present load. Backlog is the waiting work in time of one
// core.
func (w *Worker) Load(now time.Duration) Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := Load{Server: w.server, Unsettled: w.unsettled, Holds: w.holds, Slowdown: w.health.slowdown(now), Accepts: w.seen && w.clock.known && !w.server.Draining && !w.drained && !w.closing && !w.health.suspended && !w.failing && !w.clean}
	l.Drained = w.drained
	taken := w.occupancyLocked(now)
	if taken.known {
		l.Free = w.server.Capacity.Minus(taken.used)
	}
	if w.reservedLocked(now) {
		l.Free = job.Demand{}
	}
	l.Suspects = w.cautiousLocked()
	var running time.Duration
	for _, r := range w.runs {
		switch r.phase {
		case waiting:
			l.addWaiting(now, r)
		case ended:
		default:
			l.Running++
			running += r.order.Estimate
		}
	}
	l.Turnover = turnover(l.Running, running) * time.Duration(1+taken.excess(w.server.Capacity))
	return l
}

// turnover is the mean time until the next of some running tasks ends, by the sum of the
// run times that are expected of them; zero if none runs.
func turnover(running int, sum time.Duration) time.Duration {
	if running == 0 {
		return 0
	}
	n := time.Duration(running)
	return sum / (n * (n + 1))
}

func (l *Load) addWaiting(now time.Duration, r *run) {
	work := r.order.Estimate * time.Duration(r.order.Demand.CPUMillis) / 1000
	l.Waiting++
	l.Backlog += work
	slack := r.order.latestStart() - now
	for i, edge := range Bands {
		if slack <= edge {
			l.Ahead[i] += work
		}
	}
}

// Ready reports whether this life of the agent knows what runs on the backend
// server: it has seen its lists once, or what an earlier life started has lost
// its lease. Before that, a claim's answer would miss runs.
func (w *Worker) Ready(sinceStart time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.held || sinceStart > time.Duration(float64(w.bounds.Lease)*clockDrift)+lapseMargin
}

// Stats returns the counters.
func (w *Worker) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}
