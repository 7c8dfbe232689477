package worker

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// A task may crash each backend server that starts it. Started again and again it takes
// one server after another down, with all that runs beside it. The owner of a task decides
// whether to go on with it; the agent tells what it has seen: how many runs were on the
// server when it was lost, and whether another instance came up after that while the agent
// ran on. An agent that was lost with its host tells nothing, so that a host without power
// makes no task a suspect, and neither does a server that was draining or has said that it
// leaves.

// Loss is what an agent tells of a run that was lost with its backend server.
type Loss uint8

const (
	// NotLost: the run has not ended with its server, or as was announced.
	NotLost Loss = iota
	// LossSuspected: the server does not answer, and the run's lease has run out.
	LossSuspected
	// LossConfirmed: another instance has come up in the server's place.
	LossConfirmed
	// LossCleared: the same instance answers again, or it has left as planned.
	LossCleared
)

// Caution is how an order's run is kept apart from others on its server, so that the next
// crash tells more of who has brought it about.
type Caution uint8

const (
	// NoCaution: the run may be beside any other.
	NoCaution Caution = iota
	// Apart: it must not be beside another suspect.
	Apart
	// Alone: nothing else may be on the server, for as long as the run is expected to take.
	Alone
)

const (
	// lostMemory is how long runs that were lost with a server are remembered: longer than
	// a backend server takes to come back, and an owner to reach an agent again.
	lostMemory = time.Minute
	// mostLost bounds the servers that are remembered so: one that crashes as soon as it
	// is up does so every few seconds.
	mostLost = 8
)

// lostServer is an instance that was lost, with the runs that went with it and what is
// known of its end. One that was cut off and is there again may be lost once more.
type lostServer struct {
	instance string
	at       time.Duration
	what     Loss
	runs     []lostRun
}

// lostRun is what is kept of a run that was lost. Its epoch is that of its shard's last
// known owner.
type lostRun struct {
	shard    int
	epoch    int64
	run      job.RunID
	suspects int
}

// occupies reports whether a run may be on the backend server.
func (r *run) occupies() bool { return r.phase != waiting && r.phase != ended }

// blameless reports whether the backend server's end says nothing of its runs.
func (w *Worker) blameless() bool { return w.server.Draining || w.closing }

// loseLocked ends a run that was lost with its server. One of several suspects may be
// the cause.
func (w *Worker) loseLocked(now time.Duration, fx *Effects, id job.RunID, r *run, what Loss, suspects int, reason string) {
	if what == NotLost || !r.occupies() {
		w.dropLocked(fx, id, r, job.Lapsed, reason)
		return
	}
	lost := w.lostServerLocked(now, what)
	lost.runs = append(lost.runs, lostRun{shard: r.order.Shard, epoch: r.order.Epoch, run: id, suspects: suspects})
	r.loss, r.suspects = what, suspects
	w.dropLocked(fx, id, r, job.Lapsed, reason)
}

// lostServerLocked returns what is kept of the present instance, which is lost now.
func (w *Worker) lostServerLocked(now time.Duration, what Loss) *lostServer {
	if n := len(w.lost); n > 0 && w.lost[n-1].at == now && w.lost[n-1].instance == w.server.Instance {
		return w.lost[n-1]
	}
	if len(w.lost) == mostLost {
		w.lost = slices.Delete(w.lost, 0, 1)
	}
	lost := &lostServer{instance: w.server.Instance, at: now, what: what}
	w.lost = append(w.lost, lost)
	return lost
}

// explainLocked tells the owners of runs that were lost with the present instance what
// became of it.
func (w *Worker) explainLocked(fx *Effects, what Loss) {
	for _, lost := range w.lost {
		if lost.instance != w.server.Instance || lost.what != LossSuspected {
			continue
		}
		lost.what = what
		for _, r := range lost.runs {
			state := RunState{Run: r.run, Status: LossNews, Loss: what, Instance: lost.instance}
			fx.Events = append(fx.Events, Event{Shard: r.shard, Epoch: r.epoch, State: state})
		}
	}
}

// lostForLocked returns the runs of a shard that were lost, for the answer to a claim. The
// news of them may have been lost with the last link, or with the owner before: taken for
// runs that just are not there, they would be started as if no server had been lost under
// them.
func (w *Worker) lostForLocked(c Claim) []RunState {
	var out []RunState
	for _, lost := range w.lost {
		for i := range lost.runs {
			r := &lost.runs[i]
			if r.shard != c.Shard {
				continue
			}
			r.epoch = c.Epoch
			out = append(out, RunState{
				Run: r.run, Status: Ended, End: job.Lapsed, Loss: lost.what, Instance: lost.instance, Suspects: r.suspects,
			})
		}
	}
	return out
}

// forgetLostLocked forgets servers that were lost long ago.
func (w *Worker) forgetLostLocked(now time.Duration) {
	w.lost = slices.DeleteFunc(w.lost, func(l *lostServer) bool { return now-l.at > lostMemory })
}

// reservedLocked reports whether the backend server is kept for one run: it is there, or
// waits until the others have ended.
func (w *Worker) reservedLocked(now time.Duration) bool {
	for _, r := range w.runs {
		if r.order.Caution == Alone && (r.phase == waiting || r.occupies() && r.keepsOthersOff(now)) {
			return true
		}
	}
	return false
}

// keepsOthersOff reports whether a run that was to be alone still is: beyond its expected
// time a task that takes long would keep its server for itself.
func (r *run) keepsOthersOff(now time.Duration) bool {
	return r.order.Caution == Alone && now-r.startedAt < max(r.order.Estimate, leastAlone)
}

// leastAlone is how long a suspect is alone at least: estimates are off by a third, and a
// crash a few milliseconds after the expected end would have others under suspicion.
const leastAlone = 150 * time.Millisecond

// admits reports whether an order may start beside what is on the server.
func (o *occupancy) admits(order *Order) bool {
	switch {
	case o.closed:
		return false
	case order.Caution == Alone:
		return o.runs == 0
	case order.Caution == Apart:
		return o.suspects == 0
	}
	return true
}

// cautiousLocked counts the suspects that are here or wait.
func (w *Worker) cautiousLocked() int {
	n := 0
	for _, r := range w.runs {
		if r.phase != ended && r.order.Caution != NoCaution {
			n++
		}
	}
	return n
}
