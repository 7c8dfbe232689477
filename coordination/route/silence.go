package route

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// onSilent notes that the target is cut off from this entry.
func (r *Router) onSilent(now time.Time, f *flight) {
	if f.phase != asking || !f.cutAt.IsZero() {
		return
	}
	f.cutAt = now
	f.resendAt = now.Add(cutResend)
}

// cutSince is since when a fresh attempt counts its target as cut off; zero means
// that nothing is known against it. The attempt is sent nonetheless, for
// sending has the link dialled.
//
// The failure it is for: a home has died, and the entry dials it ever more
// seldom. A new submission waited in the link for the next dial to fail, or for
// its probe, and its caller heard "not run" after a second or two. A living host
// answers a dial within cutResend, and PeerUp then gives it its time anew.
//
// A home that has just stopped as planned breaks its link as well, a moment before
// the record of its leave is read here. So a fresh loss gets its full time, in
// which the roster moves on to the next home.
func (r *Router) cutSince(now time.Time, target state.NodeID) time.Time {
	down := r.agents.downSince(target)
	switch {
	case down.IsZero():
		return down
	case now.Sub(down) < rosterLag:
		return now
	}
	return now.Add(cutResend - barAfter)
}

// onLinkBack asks again what was asked before the link was lost; on a first
// link that would double every question. The target gets the time of a fresh
// cut: a reconnected home that stays silent is as good as one that is away.
func (r *Router) onLinkBack(now time.Time, f *flight) {
	if f.phase == waiting || f.cur.id == "" || f.cutAt.IsZero() {
		return
	}
	f.cutAt = now
	f.resendAt = now.Add(barAfter)
	r.resend(now, f)
}

// onGone reacts to a target that never comes back. What a holder knew is lost
// with it; a home's part is asked of the witness.
func (r *Router) onGone(now time.Time, f *flight) {
	if f.cutAt.IsZero() {
		f.cutAt = now
	}
	switch {
	case f.phase != asking:
	case f.cur.witness == "" && f.kind == kindSubmit:
		r.unknown(now, f, state.ReasonHomeLost)
	default:
		r.homeSilent(now, f)
	}
}

// onRoster lets a flight go on that waits for the pair to change.
func (r *Router) onRoster(now time.Time, f *flight) {
	switch {
	case f.done:
	case f.phase == waiting && r.moved(f, f.tried):
		r.tryHome(now, f)
	case f.phase == barring && !r.canBar(f) && f.verdict.reason == state.ReasonHomeUnreachable && r.newHome(f):
		r.tryHome(now, f)
	}
}

// nextDue returns when the flight must be looked at next; zero means never.
func (f *flight) nextDue() time.Time {
	due := f.nextDeadline()
	switch f.phase {
	case asking:
		due = earliest(due, f.resendAt)
		if !f.cutAt.IsZero() {
			due = earliest(due, f.cutUntil())
		}
	case waiting:
		due = earliest(due, f.wakeAt)
		due = earliest(due, f.waitUntil)
	case barring:
		due = earliest(due, f.barAt)
		due = earliest(due, f.barUntil)
	}
	return due
}

// cutUntil is when a cut-off target is given up: a home that may not have
// accepted the job soon, one that is known to hold it later.
func (f *flight) cutUntil() time.Time {
	if f.held || f.kind != kindSubmit {
		return f.cutAt.Add(unreachableAfter)
	}
	return f.cutAt.Add(barAfter)
}

// onDue does what the time asks for.
func (r *Router) onDue(now time.Time, f *flight) {
	r.expire(now, f)
	if f.done {
		return
	}
	switch f.phase {
	case asking:
		r.onAskDue(now, f)
	case waiting:
		r.onWaitDue(now, f)
	case barring:
		r.onBarDue(now, f)
	}
}

// expire answers at once everybody whose time has passed. Nothing more is
// asked for them; the home knows the deadline.
func (r *Router) expire(now time.Time, f *flight) {
	s := r.shardOf(f.key)
	rest := f.waiters[:0]
	for _, w := range f.waiters {
		if w.deadline.IsZero() || now.Before(w.deadline) {
			rest = append(rest, w)
			continue
		}
		r.finishTicket(s, w.ticket, f.refusal(verdict{reason: state.ReasonDeadline, retryAfter: retryPair}))
	}
	f.waiters = rest
	if len(rest) == 0 {
		r.account(now, f, &message.Answer{Outcome: state.Unknown, Reason: state.ReasonDeadline})
		s.removeLocked(now, f)
	}
}

func (r *Router) onAskDue(now time.Time, f *flight) {
	if !f.cutAt.IsZero() && !now.Before(f.cutUntil()) {
		r.cutOff(now, f)
		return
	}
	if now.Before(f.resendAt) {
		return
	}
	if !f.cutAt.IsZero() {
		f.resendAt = now.Add(barAfter)
		r.resend(now, f)
		return
	}
	r.probeTarget(now, f)
}

// cutOff gives up a target that stayed cut off.
func (r *Router) cutOff(now time.Time, f *flight) {
	switch {
	case !f.held:
		r.homeSilent(now, f)
	case r.newHome(f):
		r.tryHome(now, f)
	case r.opts.Roster.Alive(f.target):
		r.unknown(now, f, state.ReasonHomeUnreachable)
	default:
		r.unknown(now, f, state.ReasonHomeLost)
	}
}

// probeTarget asks a silent target again. The failure it is for: a lost Submit
// or Answer on a link that stayed up. A slow home must not be asked over and
// over, so it is asked once and within the retry budget; then the witness is
// asked. A target that is known to hold the job is asked ever more seldom, but
// always, or a caller without a deadline would wait for a lost answer for ever.
func (r *Router) probeTarget(now time.Time, f *flight) {
	if !f.held && (f.probed || !f.service.budget.Take()) {
		r.homeSilent(now, f)
		return
	}
	f.probed = true
	if f.held {
		f.probe = min(f.probe*2, probeMax)
	}
	f.resendAt = now.Add(f.probe)
	r.resend(now, f)
}

// onWaitDue tries again, or gives up on the pair.
func (r *Router) onWaitDue(now time.Time, f *flight) {
	if !now.Before(f.waitUntil) {
		r.giveUp(now, f, verdict{reason: f.waitReason, retryAfter: retryPair})
		return
	}
	if now.Before(f.wakeAt) {
		return
	}
	if f.cur.id == "" || r.moved(f, f.tried) {
		r.tryHome(now, f)
		return
	}
	// The attempt is still open and its epoch is still the pair's: the same
	// attempt goes out again, so that nothing more is opened.
	f.phase = asking
	f.resendAt = now.Add(f.probe)
	r.resend(now, f)
}
