package worker

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// A task may crash every backend server that starts it. If it is retried without limit, it takes
// down one server after another, together with all runs beside it. The task's owner decides whether
// to retry it. The agent reports what it has observed: how many runs were on the server when it was
// lost, and whether another instance came up while the agent kept running. An agent that is lost
// together with its host reports nothing, so a power failure makes no task a suspect. Neither does
// the loss of a server that was draining or had deregistered. A run whose start was sent after a
// hold without an answer is no suspect while nothing is heard of the server: most likely the server
// was lost before.

// Loss is what an agent reports about the backend server of a run that was lost with it.
type Loss uint8

const (
	// NotLost means that the run didn't end with its server, or that the shutdown was planned.
	NotLost Loss = iota
	// LossSuspected means that the server doesn't answer and the lease of the run has expired.
	LossSuspected
	// LossConfirmed means that another instance has replaced the server.
	LossConfirmed
	// LossCleared means that the same instance answers again, or that it has deregistered as
	// planned.
	LossCleared
)

// Isolation is how strictly a run is isolated from others on its server, so that the next crash
// narrows down which run caused it.
type Isolation uint8

const (
	// NoIsolation allows the run beside any other.
	NoIsolation Isolation = iota
	// ApartFromSuspects forbids the run beside another suspect.
	ApartFromSuspects
	// Exclusive forbids any other run on the server for as long as the run is expected to take.
	Exclusive
)

const (
	// lostRetention is how long the runs that were lost with a server are remembered. It is longer
	// than a backend server takes to come back and an owner takes to reach an agent again.
	lostRetention = time.Minute
	// maxLostServers bounds the number of lost servers that are remembered. A server that crashes
	// as soon as it is up does so every few seconds.
	maxLostServers = 8
)

// lostServer is an instance that was lost, with the runs that were lost with it and what is known
// about the loss. An instance that was only cut off and answers again may be lost once more.
type lostServer struct {
	instance job.Instance
	at       time.Duration
	loss     Loss
	runs     []lostRun
}

// lostRun identifies a run that was lost. The epoch is that of the last known owner of its shard.
type lostRun struct {
	shard    int
	epoch    int64
	run      job.RunID
	suspects int
}

// occupies reports whether the run may be on the backend server.
func (r *run) occupies() bool { return r.phase != waiting && r.phase != ended }

// plannedShutdown reports whether the loss of the backend server is planned and therefore doesn't
// make its runs suspects.
func (w *Worker) plannedShutdown() bool { return w.server.Draining || w.agentDraining }

// endLostLocked ends a run that was lost with its server. suspects is the number of runs on the
// server, any of which may be the cause. With NotLost the run lapses without a loss being reported.
func (w *Worker) endLostLocked(now time.Duration, fx *Effects, r *run, loss Loss, suspects int, reason string) {
	if loss == NotLost && r.occupies() && !r.orderKnown {
		// Whether the run may be repeated is unknown. The next owner has to hear of it if this event
		// is lost with the present one.
		w.recordLossLocked(now, r, LossCleared, suspects)
		r.loss = NotLost
	}
	if loss == NotLost || !r.occupies() {
		w.dropLocked(fx, r, job.Lapsed, reason)
		return
	}
	w.recordLossLocked(now, r, loss, suspects)
	w.dropLocked(fx, r, job.Lapsed, reason)
}

// recordLossLocked records that a run may have been lost with the present instance.
func (w *Worker) recordLossLocked(now time.Duration, r *run, loss Loss, suspects int) {
	if loss == NotLost || r.startedInSilence {
		return
	}
	lost := w.lostServerLocked(now, loss)
	lost.runs = append(lost.runs, lostRun{shard: r.order.Shard, epoch: r.order.Epoch, run: r.order.Run, suspects: suspects})
	r.loss, r.lostInstance, r.suspects = loss, w.server.Instance, suspects
}

// lostServerLocked returns the record of the present instance as lost at now, and creates it if
// there is none.
func (w *Worker) lostServerLocked(now time.Duration, loss Loss) *lostServer {
	if n := len(w.lostServers); n > 0 && w.lostServers[n-1].at == now && w.lostServers[n-1].instance == w.server.Instance {
		return w.lostServers[n-1]
	}
	if len(w.lostServers) == maxLostServers {
		w.lostServers = slices.Delete(w.lostServers, 0, 1)
	}
	lost := &lostServer{instance: w.server.Instance, at: now, loss: loss}
	w.lostServers = append(w.lostServers, lost)
	return lost
}

// resolveLossLocked reports to the owners of runs that were lost with the present instance whether
// the suspected loss is confirmed or cleared.
func (w *Worker) resolveLossLocked(fx *Effects, loss Loss) {
	for _, lost := range w.lostServers {
		if lost.instance != w.server.Instance || lost.loss != LossSuspected {
			continue
		}
		lost.loss = loss
		for _, r := range lost.runs {
			state := RunState{Run: r.run, Status: LossUpdate, Loss: loss, Instance: lost.instance}
			fx.Events = append(fx.Events, Event{Shard: r.shard, Epoch: r.epoch, State: state})
		}
	}
}

// lostRunsLocked returns the lost runs of a shard for the answer to a claim. The events that
// reported them may have been lost with the previous link or the previous owner. The new owner
// would take runs that are merely absent for not started, and retry them as if no server had been
// lost under them.
func (w *Worker) lostRunsLocked(c Claim) []RunState {
	var out []RunState
	for _, lost := range w.lostServers {
		for i := range lost.runs {
			r := &lost.runs[i]
			if r.shard != c.Shard {
				continue
			}
			r.epoch = c.Epoch
			out = append(out, RunState{
				Run: r.run, Status: Ended, End: job.Lapsed, Loss: lost.loss, Instance: lost.instance, Suspects: r.suspects,
			})
		}
	}
	return out
}

// forgetLostLocked forgets servers that were lost more than lostRetention ago.
func (w *Worker) forgetLostLocked(now time.Duration) {
	w.lostServers = slices.DeleteFunc(w.lostServers, func(l *lostServer) bool { return now-l.at > lostRetention })
}

// reservedLocked reports whether the backend server is reserved for one exclusive run, which is
// either active or waiting for the others to end.
func (w *Worker) reservedLocked(now time.Duration) bool {
	for _, r := range w.runs {
		if r.order.Isolation == Exclusive && (r.phase == waiting || r.occupies() && r.runsExclusively(now)) {
			return true
		}
	}
	return false
}

// runsExclusively reports whether the run still has the server to itself. It does so for its
// expected run time only: a task that takes much longer would otherwise block its server.
func (r *run) runsExclusively(now time.Duration) bool {
	return r.order.Isolation == Exclusive && now-r.startedAt < max(r.order.localEstimate(), minExclusive)
}

// minExclusive is the minimum time for which an exclusive run has the server to itself. Estimates
// are off by a third, and a crash a few milliseconds after the expected end would make other runs
// suspects.
const minExclusive = 150 * time.Millisecond

// admits reports whether the isolation rules allow an order to start beside the runs on the server.
func (o *occupancy) admits(order *Order) bool {
	switch {
	case o.exclusive:
		return false
	case order.Isolation == Exclusive:
		return o.runs == 0
	case order.Isolation == ApartFromSuspects:
		return o.suspects == 0
	}
	return true
}

// suspectsLocked returns the number of active and waiting runs of tasks under which servers were
// lost.
func (w *Worker) suspectsLocked() int {
	n := 0
	for _, r := range w.runs {
		if r.phase != ended && r.order.Isolation != NoIsolation {
			n++
		}
	}
	return n
}
