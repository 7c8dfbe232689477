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
	// ReasonOverShare: capacity is contended, and the job's queue has taken its share.
	ReasonOverShare = "over_share"
	// ReasonNoWorker: no backend server can run the job now.
	ReasonNoWorker = "no_worker"
	// ReasonDomainDrained: all agents that may have a task are in drained failure domains.
	ReasonDomainDrained = worker.ReasonDomainDrained
	// ReasonStoreUnavailable: the record can't be written now.
	ReasonStoreUnavailable = "store_unavailable"
	// ReasonIDConflict: the ID is in use for another job.
	ReasonIDConflict = "id_conflict"
	// ReasonNoOwner: no owner of the shard is known, so no request was sent.
	ReasonNoOwner = "no_owner"
	// ReasonOwnerLost: the owner was lost before it answered.
	ReasonOwnerLost = "owner_lost"
	// ReasonTimeLimit: the client's time limit has passed.
	ReasonTimeLimit = "time_limit"
	// ReasonOwnerChanged: the shard has another owner now.
	ReasonOwnerChanged = "owner_changed"
	// ReasonUnconfirmed: the shard may have another owner, and the store can't be asked now.
	ReasonUnconfirmed = "owner_unconfirmed"
)

// Submit accepts a job, or refuses it at once if it can't be served in time. An accepted job is
// replied to once its record is in the store, or, for a best-effort job, once it has ended. A job
// that is known already is accepted again once the store confirms this owner.
func (s *Shard) Submit(now time.Duration, id job.ID, spec job.Spec, p job.Policy, reply func(Response)) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	s.answerLocked(now, &fx, reply, func(now time.Duration, fx *Effects) { s.submitLocked(now, fx, id, spec, p, reply) })
	return fx
}

// answerLocked answers a request with do. If another owner may have held the shard, the store is asked
// first.
func (s *Shard) answerLocked(now time.Duration, fx *Effects, reply func(Response), do func(time.Duration, *Effects)) {
	switch {
	case s.closed:
		fx.reply(reply, Response{Outcome: NotOwner, Reason: ReasonOwnerChanged})
	case s.unverifiedLocked():
		s.confirmLocked(now, fx, replyNotOwner(reply), do)
	default:
		do(now, fx)
	}
}

func (s *Shard) submitLocked(now time.Duration, fx *Effects, id job.ID, spec job.Spec, p job.Policy, reply func(Response)) {
	if j := s.jobs[id]; j != nil {
		if j.rec.Spec.Digest != spec.Digest {
			fx.reply(reply, Response{Outcome: Refused, Reason: ReasonIDConflict})
			return
		}
		s.resubmitLocked(now, fx, j, reply)
		return
	}
	a := s.admitLocked(now, &spec, &p)
	s.countSubmissionLocked(now, p.Service, a.clientWaited > 0)
	a = s.admitReturningLocked(now, fx, id, &spec, &p, a)
	size := sizeOf(&spec)
	if a.reason == "" && !s.fleet.memory.take(size, s.fleet.params.LargeJob) {
		a.reason, a.retryAfter = ReasonNoMemory, time.Second
	}
	if a.reason != "" {
		a.retryAfter = s.retryAfterLocked(now, fx, id, &spec, &p, a.retryAfter)
		fx.reply(reply, Response{Outcome: Refused, Reason: a.reason, RetryAfter: a.retryAfter})
		fx.log(Decision{Kind: "refused", Job: id, Reason: a.reason, Wait: a.retryAfter, Refusal: s.refusalLocked(now, &spec, &p, &a)})
		return
	}
	s.fleet.grantShare(now, &spec, &p)
	j := &jobState{
		rec:        job.NewRecord(id, spec, p, s.Epoch),
		tasks:      make([]task, spec.Tasks()),
		remaining:  spec.Tasks(),
		acceptedAt: now,
		due:        now + a.due,
		late:       a.late,

		clientWaited: a.clientWaited,
		size:         size,
	}
	s.openBytes += size
	j.setUsefulPeriod(now, a.useful)
	s.jobs[id] = j
	j.waiters = append(j.waiters, reply)
	if spec.BestEffort {
		for i := range j.tasks {
			j.tasks[i].number = s.shed.lastRun
		}
		j.durable = true
		fx.log(Decision{Kind: a.kind(), Job: id, Wait: j.due - now, Age: a.clientWaited})
		s.dispatchLocked(now, fx, j)
		return
	}
	s.queued[p.Queue]++
	if p.AtMostOnce {
		s.noteAtMostOnceLocked(fx)
	}
	s.scheduleWriteLocked(fx, j, now)
}

func (s *Shard) resubmitLocked(now time.Duration, fx *Effects, j *jobState, to func(Response)) {
	reply := func(v Response) {
		v.Known = true
		to(v)
	}
	bestEffort := j.rec.Spec.BestEffort
	if bestEffort && j.reportedState == job.Cancelled {
		j.waiters = append(j.waiters, reply)
		s.resumeLocked(now, fx, j)
		return
	}
	if bestEffort && j.reportedState.Final() {
		fx.reply(reply, Response{Outcome: OK, State: j.reportedState})
		return
	}
	if j.durable && !bestEffort {
		deny := func(fx *Effects) { fx.reply(reply, Response{Outcome: Unknown, Reason: ReasonUnconfirmed}) }
		s.confirmLocked(now, fx, deny, func(_ time.Duration, fx *Effects) {
			fx.reply(reply, Response{Outcome: OK, State: j.reportedState})
		})
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
	j.departed++
	if j.departed < len(j.waiters) {
		return fx
	}
	j.waiters, j.departed = nil, 0
	fx.log(Decision{Kind: "abandoned", Job: id, Age: now - j.acceptedAt})
	s.finishJobLocked(now, &fx, j, job.Cancelled)
	return fx
}

// resumeLocked continues a best-effort job that was abandoned. Runs that were told to stop must
// have ended before their tasks start again.
func (s *Shard) resumeLocked(now time.Duration, fx *Effects, j *jobState) {
	if j.rec.State != job.Cancelled {
		return
	}
	j.rec.State, j.reportedState = job.Queued, job.Queued
	s.holdLocked(j)
	objective := s.objective(&j.rec.Spec, &j.rec.Policy)
	j.acceptedAt, j.due, j.late = now, now+objective, false
	j.clientWaited, j.postponed = 0, false
	j.setUsefulPeriod(now, s.usefulPeriod(&j.rec.Spec, objective))
	for i := range j.tasks {
		if j.tasks[i].phase == finished && !j.rec.Tasks[i].Done {
			j.tasks[i].phase = idle
		}
	}
	if j.remaining == 0 {
		s.finishJobLocked(now, fx, j, job.Completed)
		return
	}
	s.dispatchLocked(now, fx, j)
}

func (s *Shard) placementRequest(p *job.Policy, st *job.Step) PlacementRequest {
	return PlacementRequest{
		Service: p.Service, Label: st.Label, Rack: st.Rack, Domains: st.Domains, Demand: st.Demand,
		Estimate: s.fleet.ExpectedRunTime(p.Queue, st.Estimate), Tasks: st.Count,
	}
}

// Lookup replies with a job's recorded state, and its results or failure. It replies that there is no
// such job once the store confirms this owner.
func (s *Shard) Lookup(now time.Duration, id job.ID, reply func(Response)) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	s.answerLocked(now, &fx, reply, func(now time.Duration, fx *Effects) {
		if v := s.stateLocked(id); v.Outcome != Absent {
			fx.reply(reply, v)
			return
		}
		s.replyAbsentLocked(now, fx, id, reply)
	})
	return fx
}

// replyAbsentLocked replies with the state of a job that is not known here, once the store confirms this
// owner.
func (s *Shard) replyAbsentLocked(now time.Duration, fx *Effects, id job.ID, reply func(Response)) {
	s.confirmLocked(now, fx, replyNotOwner(reply), func(_ time.Duration, fx *Effects) { fx.reply(reply, s.stateLocked(id)) })
}

// KnownState returns a job's state as it is known here. A newer owner may know the job better.
func (s *Shard) KnownState(id job.ID) Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return Response{Outcome: NotOwner, Reason: ReasonOwnerChanged}
	}
	return s.stateLocked(id)
}

func (s *Shard) stateLocked(id job.ID) Response {
	j := s.jobs[id]
	if j == nil || !j.durable {
		return Response{Outcome: Absent}
	}
	if j.reportedState == job.Queued && j.started {
		return Response{Outcome: OK, State: job.Active}
	}
	return jobResponse(j)
}

// Await replies when the job's end is recorded, or, once the store confirms this owner, that there is no
// such job.
func (s *Shard) Await(now time.Duration, id job.ID, reply func(Response)) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	s.answerLocked(now, &fx, reply, func(now time.Duration, fx *Effects) {
		switch j := s.jobs[id]; {
		case j == nil || !j.durable:
			s.replyAbsentLocked(now, fx, id, reply)
		case j.reportedState.Final():
			fx.reply(reply, jobResponse(j))
		default:
			j.watchers = append(j.watchers, reply)
		}
	})
	return fx
}

// jobResponse returns a job's state, and its results or failure if it has ended.
func jobResponse(j *jobState) Response {
	v := Response{Outcome: OK, State: j.reportedState, Failure: j.rec.Failure, Elapsed: j.rec.Elapsed}
	if j.reportedState == job.Completed {
		v.Tasks = j.rec.Tasks
	}
	return v
}

// Cancel cancels a job and replies when that is recorded, or, once the store confirms this owner, that
// there is no such job.
func (s *Shard) Cancel(now time.Duration, id job.ID, reply func(Response)) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	s.answerLocked(now, &fx, reply, func(now time.Duration, fx *Effects) {
		if s.jobs[id] != nil {
			s.cancelLocked(now, fx, s.jobs[id], reply)
			return
		}
		s.confirmLocked(now, fx, replyNotOwner(reply), func(now time.Duration, fx *Effects) {
			if j := s.jobs[id]; j != nil {
				s.cancelLocked(now, fx, j, reply)
				return
			}
			fx.reply(reply, Response{Outcome: Absent})
		})
	})
	return fx
}

func (s *Shard) cancelLocked(now time.Duration, fx *Effects, j *jobState, reply func(Response)) {
	if j.reportedState.Final() {
		fx.reply(reply, jobResponse(j))
		return
	}
	j.cancelWaiters = append(j.cancelWaiters, reply)
	if !j.rec.State.Final() {
		fx.log(Decision{Kind: "cancelled", Job: j.rec.ID, Age: now - j.acceptedAt})
		s.finishJobLocked(now, fx, j, job.Cancelled)
	}
}

// Pending returns the number of a queue's accepted jobs of which no task has started.
func (s *Shard) Pending(queue string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queued[queue]
}

func (fx *Effects) reply(to func(Response), v Response) {
	fx.Replies = append(fx.Replies, Reply{To: to, Response: v})
}

func (fx *Effects) log(d Decision) { fx.Log = append(fx.Log, d) }
