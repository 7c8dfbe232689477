package worker

import "github.com/shallotstep/shallotstep/state/job"

// Settled handles an owner's settlement of an end. An end that the owner could not count, because
// it had started the task again, is void.
func (w *Worker) Settled(id job.RunID, void bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[id]
	if r == nil || r.phase != ended {
		return
	}
	if w.settleLocked(r); r.end.seq == 0 {
		return
	}
	if void && !r.end.void {
		r.end.void = true
		w.awaitLeaseExpiry = true
		w.stats.Voided++
	}
	w.acknowledgeLocked()
}

// settleLocked notes that no owner needs an end any more. An end that the backend server never
// listed, or whose sequence number is acknowledged already, is forgotten at once.
func (w *Worker) settleLocked(r *run) {
	r.end.settled = true
	if r.end.seq == 0 {
		delete(w.runs, r.order.Run)
	}
}

// acknowledgeLocked moves the acknowledgement past all settled ends. It stops at a void end: once
// that end is acknowledged, a second run of its task would be a duplicate execution. After the
// lease has expired, ends from before no longer count and void ends may be acknowledged.
//
// Ends of best-effort jobs may be acknowledged before they are settled: their tasks may run again
// after a loss, and nothing of them is recorded. They are kept here until their owner has settled
// them, but not on the backend server's list. A hold returns at once while the list has an end, so
// the agent would send one hold after another.
func (w *Worker) acknowledgeLocked() {
	for {
		r := w.unackedEnds[w.acked+1]
		if r == nil || r.end.void || !r.end.settled && !w.bestEffortLocked(r) {
			return
		}
		w.acked++
		delete(w.unackedEnds, w.acked)
		if r.end.settled {
			delete(w.runs, r.order.Run)
			continue
		}
		r.end.seq = 0
	}
}

// bestEffortLocked reports whether a run is known to belong to a best-effort job.
func (w *Worker) bestEffortLocked(r *run) bool {
	if !r.orderKnown {
		return w.formerBestEffort
	}
	return r.order.Shard >= w.bounds.Shards
}
