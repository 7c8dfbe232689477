package route

import (
	"maps"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/limit"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// withFlight runs fn, which takes a word of another node, on the flight that owns
// an attempt. A word on an attempt that nobody has open is late or repeated, and
// dropped.
func (r *Router) withFlight(now time.Time, key state.JobKey, id message.Attempt, fn func(*flight)) []coordination.Action {
	s := r.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.attempts[id]
	if f == nil || f.key != key {
		r.late()
		return nil
	}
	f.doubtful = f.doubtful || r.pause.mayBeOld(now)
	fn(f)
	s.scheduleLocked(f)
	return s.takeLocked()
}

// eachTarget runs fn on every flight that id owes an answer.
func (r *Router) eachTarget(now time.Time, id state.NodeID, fn func(*flight)) []coordination.Action {
	var acts []coordination.Action
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, f := range sorted(s.targets[id]) {
			fn(f)
			s.scheduleLocked(f)
		}
		acts = append(acts, s.takeLocked()...)
		s.mu.Unlock()
	}
	return acts
}

// eachFlight runs fn on every flight.
func (r *Router) eachFlight(now time.Time, fn func(*flight)) []coordination.Action {
	var acts []coordination.Action
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, f := range sorted(s.all) {
			fn(f)
			s.scheduleLocked(f)
		}
		acts = append(acts, s.takeLocked()...)
		s.mu.Unlock()
	}
	return acts
}

func (r *Router) tickShard(now time.Time, s *shard, look bool) []coordination.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := s.popDueLocked(now); f != nil; f = s.popDueLocked(now) {
		r.onDue(now, f)
		s.scheduleLocked(f)
	}
	if look {
		r.lookAliveLocked(now, s)
	}
	s.forgetLeftLocked(now)
	return s.takeLocked()
}

// lookAliveLocked treats a target that nobody hears of like one whose link is
// lost. A paused home keeps its link, so that alone would not tell.
func (r *Router) lookAliveLocked(now time.Time, s *shard) {
	for _, target := range slices.Sorted(maps.Keys(s.targets)) {
		if r.opts.Roster.Alive(target) {
			continue
		}
		for _, f := range sorted(s.targets[target]) {
			r.onSilent(now, f)
			s.scheduleLocked(f)
		}
	}
}

// send hands a message of f to the driver.
func (r *Router) send(f *flight, to state.NodeID, msg message.Message) {
	s := r.shardOf(f.key)
	s.acts = append(s.acts, coordination.Send{To: to, Msg: msg})
	r.stats.add(&r.stats.messages)
}

// sendExtra is send for a message that leads to no first start.
func (r *Router) sendExtra(f *flight, to state.NodeID, msg message.Message) {
	r.send(f, to, msg)
	r.stats.add(&r.stats.wasted)
	f.extra++
}

// received counts a reply that leads nowhere by itself.
func (r *Router) received(f *flight) {
	r.stats.add(&r.stats.wasted)
	f.extra++
}

// late counts a reply that nobody waits for any more.
func (r *Router) late() {
	r.stats.add(&r.stats.late)
	r.stats.add(&r.stats.wasted)
}

// finish gives the flight's answer to everybody who waits for it.
func (r *Router) finish(now time.Time, f *flight, a message.Answer) {
	s := r.shardOf(f.key)
	a.Key = f.key
	a.Stats.Messages += f.extra
	a.Stats.Waste(message.WasteEntry, f.extra)
	for _, w := range f.waiters {
		r.finishTicket(s, w.ticket, a)
	}
	f.waiters = nil
	r.account(now, f, &a)
	s.removeLocked(now, f)
}

// finishTicket delivers unless the ticket has been delivered or abandoned: who
// takes the ticket out of the table answers it.
func (r *Router) finishTicket(s *shard, ticket uint64, a message.Answer) {
	if _, ok := r.tickets.remove(ticket); ok {
		s.acts = append(s.acts, r.deliver(ticket, a))
	}
}

// account tells the limits and the service's response times of the end.
func (r *Router) account(now time.Time, f *flight, a *message.Answer) {
	elapsed := now.Sub(f.began)
	if a.Outcome == state.Complete && f.kind == kindSubmit {
		f.service.jobDone(elapsed)
	}
	if f.admitted {
		r.release(now, &f.job, elapsed, a)
	}
}

// release reports the end of an admitted submission to the limits.
func (r *Router) release(now time.Time, job *state.Job, elapsed time.Duration, a *message.Answer) {
	r.opts.Limits.Finish(now, limit.End{
		Operator: job.Operator, Service: job.Key.Service, Tasks: len(job.Tasks),
		Elapsed: elapsed, Ran: a.Stats.Longest, OK: a.Outcome == state.Complete, Short: shortage(a.Reason),
	})
}

// shortage reports whether a reason says that the fleet lacked capacity.
func shortage(reason state.Reason) bool {
	switch reason {
	case state.ReasonBusy, state.ReasonQueueFull, state.ReasonOverload,
		state.ReasonDeadline, state.ReasonDeadlineUnreachable:
		return true
	}
	return false
}
