package route

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// giveUp ends the flight with a refusal. Attempts that are still open are
// ruled out first, if their witnesses can be asked; it takes a round trip.
func (r *Router) giveUp(now time.Time, f *flight, v verdict) {
	// One that is at another epoch, or knows that it is cut off from the log, rules
	// the attempt out and vouches for nothing: a later pair may have run the id.
	f.doubtful = f.doubtful || v.reason == state.ReasonStaleEpoch || v.reason == state.ReasonLogUnavailable
	if f.kind != kindSubmit || len(f.open) == 0 || !r.canBar(f) {
		r.finish(now, f, f.refusal(v))
		return
	}
	r.startBar(now, f, v, now.Add(settleFor))
}

// homeSilent turns to the witness because the home doesn't answer.
func (r *Router) homeSilent(now time.Time, f *flight) {
	v := verdict{reason: state.ReasonHomeUnreachable, retryAfter: retryPair}
	if f.kind != kindSubmit {
		r.finish(now, f, f.refusal(v))
		return
	}
	since := now
	if !f.cutAt.IsZero() {
		since = f.cutAt
	}
	r.startBar(now, f, v, since.Add(unreachableAfter))
}

func (r *Router) startBar(now time.Time, f *flight, v verdict, until time.Time) {
	f.verdict = v
	f.phase = barring
	f.barUntil = until
	r.sendBars(now, f)
}

func (r *Router) sendBars(now time.Time, f *flight) {
	f.barAt = now.Add(barResend)
	for _, a := range f.open {
		if a.witness == "" || !r.opts.Roster.Alive(a.witness) {
			continue
		}
		r.stats.add(&r.stats.bars)
		r.sendExtra(f, a.witness, message.Bar{Key: f.key, Attempt: a.id, Epoch: a.epoch, Unsent: a.unsent})
	}
}

// canBar reports whether every open attempt has a witness that can be asked.
func (r *Router) canBar(f *flight) bool {
	for _, a := range f.open {
		if a.witness == "" || !r.opts.Roster.Alive(a.witness) {
			return false
		}
	}
	return true
}

// suspectHome notes that a home left an attempt lying until its witness ruled it
// out: a live one would have claimed it there within milliseconds.
//
// The failure it is for: a home is paused and its link stays up until keepalives
// notice, after ten seconds or so. Until then the caller of each submission
// waited for a probe of its own. A home that is suspected wrongly holds the claim
// when the witness is asked, and goes on; its next answer clears it.
func (r *Router) suspectHome(now time.Time, f *flight, a attempt) {
	if !a.unsent && f.verdict.reason == state.ReasonHomeUnreachable {
		r.agents.setDown(a.home, now)
	}
}

// onBarReply takes a witness's word on an open attempt.
func (r *Router) onBarReply(now time.Time, f *flight, from state.NodeID, m *message.BarReply) {
	i := slices.IndexFunc(f.open, func(a attempt) bool { return a.id == m.Attempt && a.witness == from })
	if i < 0 {
		r.late()
		return
	}
	r.received(f)
	if !m.Barred {
		r.onNotBarred(now, f, f.open[i], m)
		return
	}
	r.suspectHome(now, f, f.open[i])
	f.doubtful = f.doubtful || m.Reason == state.ReasonClaimsUnknown
	wasCurrent := m.Attempt == f.cur.id
	delete(r.shardOf(f.key).attempts, m.Attempt)
	f.ruleOut(m.Attempt)
	if f.phase == barring && len(f.open) == 0 || f.phase == asking && wasCurrent {
		r.ruledOut(now, f)
	}
}

// ruledOut goes on once the home can't grant the current attempt any more:
// with a new attempt if the pair has changed, or with the refusal at once.
func (r *Router) ruledOut(now time.Time, f *flight) {
	if f.verdict.reason == "" {
		f.verdict = verdict{reason: state.ReasonHomeUnreachable, retryAfter: retryPair}
	}
	if f.verdict.reason == state.ReasonHomeUnreachable && r.newHome(f) {
		r.tryHome(now, f)
		return
	}
	r.giveUp(now, f, f.verdict)
}

// newHome reports whether there is another live home to try. A cancelled flight
// has none: tryHome would only send it back to its witness, over and over.
func (r *Router) newHome(f *flight) bool {
	home, _, epoch, ok := r.opts.Roster.Pair(f.key.Service, f.key)
	if !ok || f.cancelled || f.attempts >= maxAttempts || !r.opts.Roster.Alive(home) {
		return false
	}
	return home != f.lastHome || epoch > f.lastEpoch
}

// onNotBarred takes a witness's no: it has recorded a claim, or can't say.
func (r *Router) onNotBarred(now time.Time, f *flight, a attempt, m *message.BarReply) {
	if f.phase != barring {
		return
	}
	if a.unsent && m.Holder != "" {
		delete(r.shardOf(f.key).attempts, a.id)
		f.ruleOut(a.id)
	}
	switch {
	case m.Holder != "" && !r.opts.Roster.Alive(m.Holder):
		r.unknown(now, f, state.ReasonHomeLost)
	case m.Holder != "" && m.Holder == f.target && f.cur.id != "" && !f.cur.unsent:
		r.keepAsking(now, f)
	case m.Holder != "":
		r.askHolder(now, f, m.Holder)
	case m.Reason == state.ReasonStaleEpoch && m.Epoch < a.epoch:
		// The witness is behind; the Bar is repeated until it has caught up.
	case m.Reason == "":
		r.unknown(now, f, state.ReasonClaimsUnknown)
	default:
		r.unknown(now, f, m.Reason)
	}
}

// keepAsking waits on for a target that the witness knows to hold the job.
func (r *Router) keepAsking(now time.Time, f *flight) {
	f.phase = asking
	f.held = true
	f.probed = false
	f.resendAt = now.Add(f.probe)
	if !f.cutAt.IsZero() {
		f.resendAt = now.Add(cutResend)
		return
	}
	r.resend(now, f)
}

// onBarDue repeats Bars, or gives up when nobody of the pair was reachable for
// the whole time.
func (r *Router) onBarDue(now time.Time, f *flight) {
	if now.Before(f.barUntil) {
		if !now.Before(f.barAt) {
			r.sendBars(now, f)
		}
		return
	}
	if f.verdict.reason == state.ReasonHomeUnreachable && r.newHome(f) {
		r.tryHome(now, f)
		return
	}
	r.finish(now, f, f.refusal(f.verdict))
}
