package worker

import "github.com/shallotstep/shallotstep/state/job"

// Settled takes in what the owner made of an end. An end that the owner could
// not count, since it had started the task anew, is void.
func (w *Worker) Settled(id job.RunID, void bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[id]
	if r == nil || r.phase != ended {
		return
	}
	if w.settleLocked(id, r); r.end.seq == 0 {
		return
	}
	if void && !r.end.void {
		r.end.void = true
		w.lapsing = true
		w.stats.Voided++
	}
	w.trimLocked()
}

// settleLocked notes that nobody needs an end any more. One that the backend server
// never listed, or whose number is acknowledged already, is forgotten at once.
func (w *Worker) settleLocked(id job.RunID, r *run) {
	r.end.settled = true
	if r.end.seq == 0 {
		delete(w.runs, id)
	}
}

// trimLocked moves the acknowledgement over all ends that are settled. It stops
// at a void end: acknowledging it would make a second run of its task a double.
// Once the lease has expired, an end from before counts no more.
//
// Ends of best-effort jobs need not be settled first: their tasks may run again
// after a loss, and nothing is recorded of them. They are kept until their owner
// has settled them, but not on the backend server's list: a hold returns at once
// while that has an end, and the agent would ask again and again.
func (w *Worker) trimLocked() {
	for {
		r := w.ends[w.acked+1]
		if r == nil || r.end.void || !r.end.settled && !w.effortLocked(r) {
			return
		}
		w.acked++
		delete(w.ends, w.acked)
		if r.end.settled {
			delete(w.runs, r.order.Run)
			continue
		}
		r.end.seq = 0
	}
}

// effortLocked reports whether a run is known to be of a best-effort job.
func (w *Worker) effortLocked(r *run) bool {
	if !r.known {
		return w.formerEffort
	}
	return r.order.Shard >= w.bounds.Shards
}
