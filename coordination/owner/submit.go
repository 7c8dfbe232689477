package owner

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// Reasons of refusals. They are labels of metrics and values in log lines.
const (
	// ReasonOverload: the job would end too late because of the work that waits.
	ReasonOverload = "overload"
	// ReasonNoWorker: no backend server can run the job now.
	ReasonNoWorker = "no_worker"
	// ReasonDrained: all agents that may have a task are in drained failure domains.
	ReasonDrained = worker.ReasonDomainDrained
	// ReasonStore: the record can't be written now.
	ReasonStore = "store_unavailable"
	// ReasonConflict: the ID is in use for another job.
	ReasonConflict = "id_conflict"
	// ReasonNoOwner: no owner of the shard is known, so no request was sent.
	ReasonNoOwner = "no_owner"
	// ReasonLost: the owner was lost before it answered.
	ReasonLost = "owner_lost"
	// ReasonTime: the client's time limit has passed.
	ReasonTime = "time_limit"
	// ReasonTakeover: the shard has another owner now.
	ReasonTakeover = "owner_changed"
)

// Submit accepts a job, or refuses it at once if it can't be served in time. An accepted job is
// replied to once its record is in the store, or, for a best-effort job, once it has ended. A job
// that is known already is accepted again.
func (s *Shard) Submit(now time.Duration, id job.ID, spec job.Spec, p job.Policy, reply func(Verdict)) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	if s.closed {
		fx.reply(reply, Verdict{Outcome: NotOwner, Reason: ReasonTakeover})
		return fx
	}
	if j := s.jobs[id]; j != nil {
		if j.rec.Spec.Digest != spec.Digest {
			fx.reply(reply, Verdict{Outcome: Refused, Reason: ReasonConflict})
			return fx
		}
		s.resubmitLocked(now, &fx, j, reply)
		return fx
	}
	a := s.admitLocked(now, &spec, &p)
	if a.reason != "" {
		fx.reply(reply, Verdict{Outcome: Refused, Reason: a.reason, RetryAfter: a.retryAfter})
		fx.log(Decision{What: "refused", Job: id, Reason: a.reason, Wait: a.retryAfter, Refusal: s.refusalLocked(now, &spec, &p, &a)})
		return fx
	}
	j := &jobState{
		rec:      job.NewRecord(id, spec, p, s.Epoch),
		tasks:    make([]task, spec.Tasks()),
		left:     spec.Tasks(),
		accepted: now,
		due:      now + a.due,
		yields:   a.yields,
	}
	j.usefulFor(now, a.useful)
	s.jobs[id] = j
	j.waiters = append(j.waiters, reply)
	if spec.BestEffort {
		j.durable = true
		fx.log(Decision{What: a.word(), Job: id, Wait: j.due - now, Age: a.waited})
		s.dispatchLocked(now, &fx, j)
		return fx
	}
	s.queued[p.Queue]++
	s.writeLocked(&fx, j, now)
	return fx
}

func (s *Shard) resubmitLocked(now time.Duration, fx *Effects, j *jobState, tell func(Verdict)) {
	reply := func(v Verdict) {
		v.Known = true
		tell(v)
	}
	effort := j.rec.Spec.BestEffort
	if effort && j.shown == job.Cancelled {
		j.waiters = append(j.waiters, reply)
		s.reviveLocked(now, fx, j)
		return
	}
	if j.durable && !effort || effort && j.shown.Final() {
		fx.reply(reply, Verdict{Outcome: OK, State: j.shown})
		return
	}
	j.waiters = append(j.waiters, reply)
}

// Abandon cancels a best-effort job when no client waits for its answer any more, since its work
// would be wasted. If the job is submitted again, its completed tasks count.
func (s *Shard) Abandon(now time.Duration, id job.ID) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	j := s.jobs[id]
	if s.closed || j == nil || !j.rec.Spec.BestEffort || j.rec.State.Final() {
		return fx
	}
	j.gone++
	if j.gone < len(j.waiters) {
		return fx
	}
	j.waiters, j.gone = nil, 0
	fx.log(Decision{What: "abandoned", Job: id, Age: now - j.accepted})
	s.finishLocked(now, &fx, j, job.Cancelled)
	return fx
}

// reviveLocked continues a best-effort job that was abandoned. Runs that were told to stop must
// have ended before their tasks start again.
func (s *Shard) reviveLocked(now time.Duration, fx *Effects, j *jobState) {
	if j.rec.State != job.Cancelled {
		return
	}
	j.rec.State, j.shown = job.Queued, job.Queued
	objective := s.objective(&j.rec.Spec, &j.rec.Policy)
	j.accepted, j.due, j.yields = now, now+objective, false
	j.usefulFor(now, s.usefulFor(&j.rec.Spec, objective))
	for i := range j.tasks {
		if j.tasks[i].phase == over && !j.rec.Tasks[i].Done {
			j.tasks[i].phase = idle
		}
	}
	if j.left == 0 {
		s.finishLocked(now, fx, j, job.Completed)
		return
	}
	s.dispatchLocked(now, fx, j)
}

func (s *Shard) need(p *job.Policy, st *job.Step) Need {
	return Need{
		Service: p.Service, Label: st.Label, Rack: st.Rack, Domains: st.Domains, Demand: st.Demand,
		Estimate: s.fleet.Expect(p.Queue, st.Estimate),
	}
}

// Lookup returns a job's recorded state, and its results or failure.
func (s *Shard) Lookup(id job.ID) Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Verdict{Outcome: NotOwner, Reason: ReasonTakeover}
	}
	j := s.jobs[id]
	if j == nil || !j.durable {
		return Verdict{Outcome: Absent}
	}
	if j.shown == job.Queued && j.started {
		return Verdict{Outcome: OK, State: job.Active}
	}
	return endVerdict(j)
}

// Await replies when the job's end is recorded.
func (s *Shard) Await(id job.ID, reply func(Verdict)) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	j := s.jobs[id]
	switch {
	case s.closed:
		fx.reply(reply, Verdict{Outcome: NotOwner, Reason: ReasonTakeover})
	case j == nil || !j.durable:
		fx.reply(reply, Verdict{Outcome: Absent})
	case j.shown.Final():
		fx.reply(reply, endVerdict(j))
	default:
		j.watchers = append(j.watchers, reply)
	}
	return fx
}

// endVerdict returns a job's state, and its results or failure if it has ended.
func endVerdict(j *jobState) Verdict {
	v := Verdict{Outcome: OK, State: j.shown, Failure: j.rec.Failure, Elapsed: j.rec.Elapsed}
	if j.shown == job.Completed {
		v.Tasks = j.rec.Tasks
	}
	return v
}

// Cancel cancels a job and replies when that is recorded.
func (s *Shard) Cancel(now time.Duration, id job.ID, reply func(Verdict)) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	if s.closed {
		fx.reply(reply, Verdict{Outcome: NotOwner, Reason: ReasonTakeover})
		return fx
	}
	j := s.jobs[id]
	if j == nil {
		fx.reply(reply, Verdict{Outcome: Absent})
		return fx
	}
	if j.shown.Final() {
		fx.reply(reply, endVerdict(j))
		return fx
	}
	j.cancels = append(j.cancels, reply)
	if !j.rec.State.Final() {
		fx.log(Decision{What: "cancelled", Job: id, Age: now - j.accepted})
		s.finishLocked(now, &fx, j, job.Cancelled)
	}
	return fx
}

// Pending returns the number of a queue's accepted jobs of which no task has started.
func (s *Shard) Pending(queue string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queued[queue]
}

func (fx *Effects) reply(to func(Verdict), v Verdict) {
	fx.Replies = append(fx.Replies, Reply{To: to, Verdict: v})
}

func (fx *Effects) log(d Decision) { fx.Log = append(fx.Log, d) }
