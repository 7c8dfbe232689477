package route

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

func (r *Router) submitJob(now time.Time, ticket uint64, job state.Job, digest state.Digest, deadline time.Duration) []coordination.Action {
	s := r.shardOf(job.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	w := newWaiter(now, ticket, deadline)
	if f := s.findLocked(job.Key, digest); f != nil {
		r.join(now, f, w)
		s.scheduleLocked(f)
		return s.takeLocked()
	}
	f := r.newFlight(now, kindSubmit, job.Key, w)
	f.job, f.digest = job, digest
	s.addLocked(f)
	r.tickets.put(ticket, place{flight: f})
	if v, ok := r.admit(now, &job, deadline); !ok {
		r.turnAway(now, f, v)
		s.scheduleLocked(f)
		return s.takeLocked()
	}
	f.admitted = r.opts.Limits != nil
	f.service.budget.First()
	r.tryHome(now, f)
	s.scheduleLocked(f)
	return s.takeLocked()
}

// turnAway refuses a submission that this entry doesn't let in. An id that runs,
// or has run, may be coming back through here after another entry took it: told
// "not run", its caller could have it run again under a new id. So the witness
// rules the attempt out first, which it does only for an id that the pair has no
// record of; otherwise the submission joins its job at the holder. It costs one
// round trip and two messages for each refusal.
func (r *Router) turnAway(now time.Time, f *flight, v verdict) {
	home, witness, epoch, ok := r.opts.Roster.Pair(f.key.Service, f.key)
	f.doubtful = f.doubtful || !ok
	if ok {
		a := attempt{id: r.newAttempt(), digest: f.digest, epoch: epoch, home: home, witness: witness, unsent: true}
		r.open(now, f, home, a)
	}
	r.giveUp(now, f, v)
}

// admit asks the limits; a verdict is returned with ok false.
func (r *Router) admit(now time.Time, job *state.Job, deadline time.Duration) (v verdict, ok bool) {
	if r.draining.Load() {
		return verdict{reason: state.ReasonDraining, retryAfter: retryPair}, false
	}
	if r.opts.Limits == nil {
		return verdict{}, true
	}
	lv := r.opts.Limits.Admit(now, job.Operator, job.Key.Service, len(job.Tasks), deadline)
	return verdict{reason: lv.Reason, retryAfter: lv.RetryAfter}, lv.OK
}

// join lets one more caller wait for a submission that is under way. It costs
// no message unless this caller waits longer than the home was told. Then the home
// is asked again and works on until the later deadline; it would otherwise stop the
// job at the first one, and this caller would hear "deadline" long before its own.
// Where that comes too late, onNotRun and onUnknown go on for those who wait longer.
func (r *Router) join(now time.Time, f *flight, w waiter) {
	r.stats.add(&r.stats.joined)
	f.waiters = append(f.waiters, w)
	r.tickets.put(w.ticket, place{flight: f})
	if f.phase == asking && r.waitsLonger(f) {
		f.until, _ = f.latest()
		r.resend(now, f)
	}
}

func (r *Router) ask(now time.Time, ticket uint64, key state.JobKey, k kind) []coordination.Action {
	s := r.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := r.newFlight(now, k, key, newWaiter(now, ticket, queryFor))
	s.addLocked(f)
	r.tickets.put(ticket, place{flight: f})
	if k == kindCancel {
		r.cancelLocal(now, s, key)
	}
	r.tryHome(now, f)
	s.scheduleLocked(f)
	return s.takeLocked()
}

// cancelLocal stops this entry from making new attempts for a cancelled job.
// The failure it is for: the home has nothing to stop while a flight waits for
// the pair, and the flight would start the job after its cancellation.
func (r *Router) cancelLocal(now time.Time, s *shard, key state.JobKey) {
	for _, f := range append([]*flight(nil), s.byKey[key]...) {
		f.cancelled = true
		if len(f.open) == 0 {
			r.giveUp(now, f, verdict{reason: state.ReasonCancelled})
		}
	}
}

func newWaiter(now time.Time, ticket uint64, deadline time.Duration) waiter {
	w := waiter{ticket: ticket}
	if deadline > 0 {
		w.deadline = now.Add(deadline)
	}
	return w
}

func (r *Router) newFlight(now time.Time, k kind, key state.JobKey, w waiter) *flight {
	return &flight{
		seq: r.seq.Add(1), kind: k, key: key, began: now,
		service: r.services.get(key.Service),
		waiters: []waiter{w},
	}
}

// tryHome makes a fresh attempt at the home of the present pair.
func (r *Router) tryHome(now time.Time, f *flight) {
	if f.cancelled {
		r.giveUp(now, f, verdict{reason: state.ReasonCancelled})
		return
	}
	if f.attempts >= maxAttempts {
		r.giveUp(now, f, verdict{reason: f.waitReason, retryAfter: retryPair})
		return
	}
	home, witness, epoch, ok := r.opts.Roster.Pair(f.key.Service, f.key)
	if !ok {
		// A pair may have run the id, and nobody is there to ask. That this entry
		// never heard of a pair says nothing: one that has just started, with the
		// log out of service, knows of none, and told callers "not run" of jobs
		// that another entry had answered.
		f.doubtful = true
		r.giveUp(now, f, verdict{reason: state.ReasonNoPair, retryAfter: retryPair})
		return
	}
	f.attempts++
	f.lastHome, f.lastEpoch = home, epoch
	a := attempt{id: r.newAttempt(), digest: f.digest, epoch: epoch, home: home, witness: witness}
	if !r.opts.Roster.Alive(home) {
		r.skipHome(now, f, a)
		return
	}
	r.begin(now, f, home, a)
}

// skipHome asks the witness straight away when nobody hears of the home. The
// attempt was never sent, but this may be a resubmission of an id that has
// run: the witness's word covers that, the entry's own would not.
func (r *Router) skipHome(now time.Time, f *flight, a attempt) {
	a.unsent = true
	r.open(now, f, a.home, a)
	r.homeSilent(now, f)
}

// begin sends a fresh attempt to target.
func (r *Router) begin(now time.Time, f *flight, target state.NodeID, a attempt) {
	first := f.attempts <= 1 && f.cur.id == "" && f.extra == 0 && len(f.open) == 0
	r.open(now, f, target, a)
	if first {
		r.send(f, target, r.question(now, f))
		return
	}
	r.sendExtra(f, target, r.question(now, f))
}

// open makes an attempt the current one. It counts as open from here on.
func (r *Router) open(now time.Time, f *flight, target state.NodeID, a attempt) {
	s := r.shardOf(f.key)
	if f.cur.id != "" && !f.isOpen(f.cur.id) {
		delete(s.attempts, f.cur.id)
	}
	f.cur = a
	f.until, _ = f.latest()
	if f.kind == kindSubmit {
		f.open = append(f.open, a)
	}
	s.attempts[a.id] = f
	s.aimLocked(f, target)
	f.phase = asking
	f.cutAt, f.held, f.probed = r.cutSince(now, target), false, false
	f.probe = f.service.probeAfter()
	f.resendAt = now.Add(f.probe)
}

// resend repeats the current attempt. The home answers each attempt alike
// however often it is asked, so this is safe; a new attempt would not be.
func (r *Router) resend(now time.Time, f *flight) {
	if f.cur.unsent {
		return
	}
	r.stats.add(&r.stats.resent)
	r.sendExtra(f, f.target, r.question(now, f))
}

func (r *Router) question(now time.Time, f *flight) message.Message {
	if f.kind == kindCancel {
		return message.Cancel{Key: f.key, Attempt: f.cur.id}
	}
	m := message.Submit{Attempt: f.cur.id, Epoch: f.cur.epoch, Digest: f.digest, Deadline: f.left(now)}
	if f.cur.epoch == f.fenceEpoch {
		m.Fence = f.fence
	}
	if f.kind == kindQuery {
		m.Query = true
		m.Job = state.Job{Key: f.key}
		return m
	}
	m.Job = f.job
	return m
}
