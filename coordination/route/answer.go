package route

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// onAnswer takes the answer to the current attempt, from whom it was asked of.
func (r *Router) onAnswer(now time.Time, f *flight, from state.NodeID, m *message.Answer) {
	if m.Attempt != f.cur.id || from != f.target {
		r.late()
		return
	}
	if f.kind != kindSubmit {
		r.onQueryAnswer(now, f, from, m)
		return
	}
	switch m.Outcome {
	case state.Pending:
		r.received(f)
		r.atWork(now, f)
	case state.Complete:
		r.onComplete(now, f, m)
	case state.NotRun:
		r.onNotRun(now, f, from, m)
	case state.Unknown:
		r.onUnknown(now, f, from, m)
	default:
		r.settle(now, f, m)
	}
}

// onComplete checks that the answer is whole. The failure it is for: a peer of
// another version that cuts an answer short, which the caller would take for
// the whole.
func (r *Router) onComplete(now time.Time, f *flight, m *message.Answer) {
	if len(m.Results) == len(f.job.Tasks) {
		r.settle(now, f, m)
		return
	}
	r.settle(now, f, &message.Answer{
		Outcome: state.Failed, Reason: state.ReasonTaskFailed,
		Detail: "the answer did not hold a result for each task", Stats: m.Stats,
	})
}

// settle ends the flight with an answer that says what became of the job, and
// so of every attempt: none of them can be granted beside it. If nobody is
// left to hear it, they stay open, so that a resubmission is not told NotRun
// by a home that hasn't heard of the job yet.
func (r *Router) settle(now time.Time, f *flight, m *message.Answer) {
	for f.heard() && len(f.open) > 0 {
		id := f.open[0].id
		delete(r.shardOf(f.key).attempts, id)
		f.ruleOut(id)
	}
	r.finish(now, f, *m)
}

// onNotRun takes a home's or holder's word that this attempt is ruled out.
func (r *Router) onNotRun(now time.Time, f *flight, from state.NodeID, m *message.Answer) {
	tried := f.cur
	f.doubtful = f.doubtful || m.Reason == state.ReasonClaimsUnknown
	news := f.takeFence(m)
	sinceFence := m.Fence.Age > 0 && now.Sub(f.began) < m.Fence.Age
	delete(r.shardOf(f.key).attempts, tried.id)
	f.ruleOut(tried.id)
	v := verdict{reason: m.Reason, detail: m.Detail, retryAfter: m.RetryAfter}
	switch {
	case m.Reason == state.ReasonIDConflict:
		r.giveUp(now, f, v)
	case r.elsewhere(m, from):
		r.askHolder(now, f, m.Holder)
	case notReady(m.Reason):
		r.wait(now, f, m, tried.epoch)
	case news && sinceFence && f.heard():
		// Somebody was told "not run" of the id, and this caller has submitted
		// since. If the submission can't be made anew, another one may run that was.
		f.doubtful = f.doubtful || f.attempts >= maxAttempts
		r.tryHome(now, f)
	case m.Reason == state.ReasonBarred || m.Reason == state.ReasonHomeUnreachable:
		// The pair could not agree in time: that is no refusal of the job, and
		// another pair may take it.
		f.verdict = verdict{state.ReasonHomeUnreachable, m.Detail, max(m.RetryAfter, retryPair)}
		r.ruledOut(now, f)
	case isDeadline(m.Reason) && r.waitsLonger(f):
		r.tryHome(now, f)
	default:
		r.giveUp(now, f, v)
	}
}

// takeFence keeps what the next attempt has to carry and reports whether it is
// news.
func (f *flight) takeFence(m *message.Answer) bool {
	if m.Fence.IsZero() || m.Epoch < f.fenceEpoch {
		return false
	}
	if m.Epoch > f.fenceEpoch {
		f.fence, f.fenceEpoch = message.Fence{}, m.Epoch
	}
	old := f.fence
	f.fence = f.fence.Join(m.Fence)
	return f.fence != old
}

// onUnknown takes an answer that leaves the attempt open.
func (r *Router) onUnknown(now time.Time, f *flight, from state.NodeID, m *message.Answer) {
	switch {
	case r.elsewhere(m, from):
		r.askHolder(now, f, m.Holder)
	case notReady(m.Reason):
		r.wait(now, f, m, f.cur.epoch)
	case isDeadline(m.Reason) && r.waitsLonger(f):
		f.until, _ = f.latest()
		r.resend(now, f)
	default:
		r.finish(now, f, *m)
	}
}

// onQueryAnswer relays what the home or the holder says of a job.
func (r *Router) onQueryAnswer(now time.Time, f *flight, from state.NodeID, m *message.Answer) {
	switch {
	case r.elsewhere(m, from):
		r.askHolder(now, f, m.Holder)
		return
	case notReady(m.Reason):
		r.wait(now, f, m, f.cur.epoch)
		return
	}
	answer := *m
	if answer.Outcome == state.NotRun && r.shardOf(f.key).openLocked(f.key) {
		answer.Outcome = state.Unknown
	}
	r.finish(now, f, answer)
}

// elsewhere reports whether an answer names another node to ask.
func (r *Router) elsewhere(m *message.Answer, from state.NodeID) bool {
	final := m.Outcome == state.Complete || m.Outcome == state.Failed
	return !final && m.Holder != "" && m.Holder != from
}

// notReady reports whether a reason passes by itself once the roster has moved
// or a member has caught up.
func notReady(reason state.Reason) bool {
	switch reason {
	case state.ReasonStaleEpoch, state.ReasonClaimsUnknown, state.ReasonNotReady, state.ReasonDraining:
		return true
	}
	return false
}

func isDeadline(reason state.Reason) bool {
	return reason == state.ReasonDeadline || reason == state.ReasonDeadlineUnreachable
}

// waitsLonger reports whether somebody waits longer than the home was told.
func (r *Router) waitsLonger(f *flight) bool {
	if f.until.IsZero() {
		return false
	}
	latest, ok := f.latest()
	return !ok || latest.After(f.until)
}

// atWork notes that the target is at work on the attempt.
func (r *Router) atWork(now time.Time, f *flight) {
	f.phase = asking
	f.cutAt = time.Time{}
	f.held = true
	f.probed = false
	f.probe = min(f.probe*2, probeMax)
	f.resendAt = now.Add(f.probe)
}

// askHolder joins the job at the node that holds it. The content digest goes
// along, so a holder of other content refuses.
func (r *Router) askHolder(now time.Time, f *flight, holder state.NodeID) {
	f.redirects++
	r.stats.add(&r.stats.redirects)
	if f.redirects > maxRedirects || !r.opts.Roster.Alive(holder) {
		r.unknown(now, f, state.ReasonHomeLost)
		return
	}
	_, _, epoch, _ := r.opts.Roster.Pair(f.key.Service, f.key)
	r.begin(now, f, holder, attempt{id: r.newAttempt(), digest: f.digest, epoch: epoch, home: holder})
	f.held = true
}

// unknown ends the flight without knowing what became of the job.
func (r *Router) unknown(now time.Time, f *flight, reason state.Reason) {
	r.finish(now, f, message.Answer{Outcome: state.Unknown, Reason: reason, RetryAfter: retryPair})
}

// wait lets the pair become ready, for pairWait in all. A member that is behind
// is asked again soon; if this entry is behind, or the home leaves, only a move
// of the roster helps, and asking again before would be wasted.
func (r *Router) wait(now time.Time, f *flight, m *message.Answer, tried state.Epoch) {
	if f.waitUntil.IsZero() {
		f.waitUntil = now.Add(pairWait)
		f.catchUp = catchUpMin
	}
	f.waitReason, f.tried = m.Reason, tried
	r.received(f)
	if r.moved(f, tried) {
		r.tryHome(now, f)
		return
	}
	f.phase = waiting
	f.cutAt = time.Time{}
	if f.cur.id == "" {
		r.shardOf(f.key).aimLocked(f, "")
	}
	if m.Reason == state.ReasonDraining || m.Epoch > tried {
		f.wakeAt = f.waitUntil
		return
	}
	f.wakeAt = now.Add(f.catchUp)
	f.catchUp = min(f.catchUp*2, catchUpMax)
}

// moved reports whether the share has another pair than at an epoch.
func (r *Router) moved(f *flight, tried state.Epoch) bool {
	_, _, epoch, ok := r.opts.Roster.Pair(f.key.Service, f.key)
	return ok && epoch > tried
}
