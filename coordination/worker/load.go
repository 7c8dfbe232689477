package worker

import (
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// SlackBuckets are the upper bounds of slack by which the waiting work is summed up for owners.
// They double from a little above a round trip to about the longest run time.
var SlackBuckets = [...]time.Duration{
	25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
}

// Load is the state of a worker by which owners place tasks.
type Load struct {
	Server  Server
	Free    job.Demand
	Backlog time.Duration
	// Ahead is the part of Backlog that has to start within each of the SlackBuckets.
	Ahead [len(SlackBuckets)]time.Duration
	// Slowdown is the ratio of actual to expected run time here; 1 is normal. It is relative to the
	// server's own speed.
	Slowdown float64
	// Speed is how fast the server is: 2 is twice as fast as expected run times say, 0 is unknown.
	Speed float64
	// SpeedRuns is the number of runs that Speed rests on.
	SpeedRuns int
	// Turnover is the mean time until one more task fits. If the active runs occupy
	// more than the capacity, several of them have to end first.
	Turnover time.Duration
	Accepts  bool
	// Drained is set while the failure domain is drained and nothing is started here.
	Drained bool
	Waiting int
	Running int
	// Unsettled is the number of ends in the backend server's last list.
	Unsettled int
	// Holds is the number of holds sent.
	Holds int64
	// Suspects is the number of runs and orders of tasks that may crash the backend server.
	Suspects int
}

// Load returns the present load. Backlog is the waiting work in core time: the time that one core
// needs for it here.
func (w *Worker) Load(now time.Duration) Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := Load{Server: w.server, Unsettled: w.unsettled, Holds: w.holds, Slowdown: w.health.slowdown(now), Accepts: w.reported && w.clock.known && !w.server.Draining && !w.drained && !w.agentDraining && !w.health.suspended && !w.unresponsive && !w.leaseExpired}
	l.Drained = w.drained
	taken := w.occupancyLocked(now)
	if taken.demandKnown {
		l.Free = w.server.Capacity.Minus(taken.used)
	}
	if w.reservedLocked(now) {
		l.Free = job.Demand{}
	}
	l.Suspects = w.suspectsLocked()
	l.Speed, l.SpeedRuns = w.speed.Speed(now)
	var running time.Duration
	for _, r := range w.runs {
		switch r.phase {
		case waiting:
			l.addWaiting(now, &r.order)
		case ended:
		default:
			l.Running++
			running += r.order.localEstimate()
		}
	}
	l.Turnover = turnover(l.Running, running) * time.Duration(1+taken.excess(w.server.Capacity))
	return l
}

// turnover returns the mean time until the next of the running tasks ends, where sum is the sum of
// their expected run times. It is zero if none runs.
func turnover(running int, sum time.Duration) time.Duration {
	if running == 0 {
		return 0
	}
	n := time.Duration(running)
	return sum / (n * (n + 1))
}

func (l *Load) addWaiting(now time.Duration, o *Order) {
	work := o.Demand.Work(o.localEstimate())
	l.Waiting++
	l.Backlog += work
	slack := o.latestStart() - now
	for i, edge := range SlackBuckets {
		if slack <= edge {
			l.Ahead[i] += work
		}
	}
}

// Ready reports whether this incarnation of the agent knows what runs on the backend server: it has
// seen its lists once, or the leases of all runs that an earlier incarnation started have expired.
// Before that, the answer to a claim would lack runs. A hold of this incarnation extends those leases,
// even if its answer is lost.
func (w *Worker) Ready(now, sinceStart time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listsSeen || sinceStart > w.leaseDuration() && now >= w.leaseExpiry
}

// Stats returns a copy of the counters.
func (w *Worker) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stats
}
