package owner

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// placeOrQueueLocked sends a task to an agent with free capacity, or adds it to the backlog. A task
// in the backlog is skipped: each end of a run calls this for all idle tasks of the job, and a job
// of a thousand tasks would add each of them a thousand times.
func (s *Shard) placeOrQueueLocked(now time.Duration, fx *Effects, j *jobState, id job.TaskID, t *task) {
	if t.waiting || !t.restartRecorded() || !s.mayStartSuspectLocked(now, fx, j, id, t) {
		return
	}
	w := s.newWaitingTask(j, id)
	if s.workAheadLocked(now, &w) > 0 || !s.placeLocked(now, fx, j, id, t) {
		s.waiting.add(w)
		t.waiting = true
	}
}

// workAheadLocked returns the waiting work that is placed before a task.
func (s *Shard) workAheadLocked(now time.Duration, w *waitingTask) time.Duration {
	if !s.fleet.unevenSpeeds(w.key.service) {
		return s.waiting.workAhead(w.key, w.late, w.latestStart)
	}
	return s.waiting.competingWork(now, w.key, w.late, w.latestStart, w.requiredSpeed(now))
}

func (s *Shard) newWaitingTask(j *jobState, id job.TaskID) waitingTask {
	st := &j.rec.Spec.Steps[id.Step]
	n := s.placementRequest(&j.rec.Policy, st)
	key := placementKeyOf(&j.rec.Policy, st)
	key.suspect = s.isolation(j.rec.Task(id)) != worker.NoIsolation
	return waitingTask{id: id, key: key, late: j.late && !j.postponed, latestStart: j.due - n.Estimate, work: coreTime(n), run: n.Estimate}
}

// placeLocked sends a task to an agent, if one will have free capacity soon.
func (s *Shard) placeLocked(now time.Duration, fx *Effects, j *jobState, id job.TaskID, t *task) bool {
	rec := j.rec.Task(id)
	need := s.placementRequest(&j.rec.Policy, &j.rec.Spec.Steps[id.Step])
	need.Now, need.Slack, need.Late = now, j.due-now-need.Estimate, j.late && !j.postponed
	if s.fleet.unevenSpeeds(need.Service) {
		need.Slack = s.ownSlack(&j.rec.Spec, &j.rec.Policy, id.Step, need.Estimate, j.due-now)
		need.ReservedSpeed = s.waiting.reservedSpeed(now, placementKeyOf(&j.rec.Policy, &j.rec.Spec.Steps[id.Step]), requiredSpeed(need.Estimate, j.due-now))
	}
	need.Avoid, need.Isolation = avoidedAgents(t, rec), s.isolation(rec)
	mayOrder := s.mayOrderLocked
	if j.rec.Policy.AtMostOnce && !j.rec.Spec.BestEffort {
		mayOrder = s.mayOrderOnceLocked
	}
	node, ok := s.fleet.Place(need, mayOrder)
	if !ok {
		return false
	}
	t.number = s.nextRunLocked(j, t)
	t.phase, t.node = ordered, node
	j.ordered = true
	j.ordersOpen++
	t.openRun = t.number
	fx.log(Decision{Kind: "ordered", Job: id.Job, Run: job.RunID{Task: id, Number: t.number}, Node: node, Age: now - j.acceptedAt, Wait: need.Slack})
	fx.Orders = append(fx.Orders, Addressed[worker.Order]{Node: node, Value: s.newOrder(j, id, t, need.Estimate)})
	return true
}

// HasWaitingTasks reports whether tasks wait at this owner for free capacity.
func (s *Shard) HasWaitingTasks() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting.tasks) > 0
}

// AgentsUpdated tries to place the waiting tasks after an agent has reported a new load.
func (s *Shard) AgentsUpdated(now time.Duration) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	if !s.closed {
		s.shedOnUpdateLocked(now, &fx)
		s.placeWaitingLocked(now, &fx)
	}
	return fx
}

// placeWaitingLocked sends waiting tasks to agents that have free capacity now.
//
// For each placement key it tries only the tasks up to the first that can't be placed, and while the
// servers' speeds differ those that are in time on slower servers than that one, or on none. Loads arrive
// some hundred times a second, most of them while agents are full. When all waiting tasks were
// tried each time, an entry with a hundred jobs waiting spent more than its processor on that, fell
// behind with handling its frames, and had even more jobs waiting.
func (s *Shard) placeWaitingLocked(now time.Duration, fx *Effects) {
	s.waiting.updateLateRate(now, s.fleet.params.LateRateWindow)
	blocked := make(blockedKeys)
	s.waiting.filter(func(w *waitingTask) filterAction {
		if blocked.all(len(s.waiting.counts)) {
			return stopFilter
		}
		j, t := s.stillWaitingLocked(w)
		if t == nil {
			return removeTask
		}
		key, required := s.blockedKeyLocked(now, w)
		if blocked.has(key, required) {
			// Smaller tasks behind it must not overtake it, or a task with a large demand would
			// starve.
			return keepTask
		}
		if s.tooLateLocked(now, j, w) {
			t.waiting = false
			s.giveUpLocked(now, fx, j, ReasonOverload)
			return removeTask
		}
		if !s.placeLocked(now, fx, j, w.id, t) {
			blocked[key] = required
			return keepTask
		}
		t.waiting = false
		if w.late {
			s.waiting.lateStarted += w.work
		}
		return removeTask
	})
}

// stillWaitingLocked returns the job and the task of an entry in the backlog, or nil if the task no
// longer waits.
func (s *Shard) stillWaitingLocked(w *waitingTask) (*jobState, *task) {
	j := s.jobs[w.id.Job]
	if j == nil {
		return nil, nil
	}
	t := s.taskLocked(j, w.id)
	if t == nil {
		return nil, nil
	}
	if j.rec.State.Final() || t.phase != idle || !t.restartRecorded() {
		t.waiting = false
		return nil, nil
	}
	return j, t
}

// giveUpUselessLocked gives up the waiting jobs whose answers can't be of use any more.
func (s *Shard) giveUpUselessLocked(now time.Duration, fx *Effects) {
	reachable := make(map[placementKey]job.Demand)
	s.waiting.filter(func(w *waitingTask) filterAction {
		j, t := s.stillWaitingLocked(w)
		if t == nil {
			return removeTask
		}
		reason := s.uselessReasonLocked(now, j, w, reachable)
		if reason == "" {
			return keepTask
		}
		t.waiting = false
		s.giveUpLocked(now, fx, j, reason)
		return removeTask
	})
}

// uselessReasonLocked returns why the answer to a job of which nothing has started can't be of use
// any more, or "". reachable has, for each placement key, a demand for which an agent is eligible,
// so that the agents are examined only once for all tasks that need no more.
func (s *Shard) uselessReasonLocked(now time.Duration, j *jobState, w *waitingTask, reachable map[placementKey]job.Demand) string {
	if j.usefulUntil == 0 || s.mayHaveRunLocked(now, j) {
		return ""
	}
	if s.tooLateLocked(now, j, w) {
		return ReasonOverload
	}
	st := &j.rec.Spec.Steps[w.id.Step]
	if known, ok := reachable[w.key]; ok && st.Demand.Fits(known) {
		return ""
	}
	need := s.placementRequest(&j.rec.Policy, st)
	if cores, _ := s.fleet.EligibleCapacity(need, s.mayOrderLocked); cores > 0 {
		reachable[w.key] = st.Demand
		return ""
	}
	if s.inStartupGrace(now, &j.rec.Spec) || s.fleet.Offers(j.rec.Policy.Service, st.Label, job.Demand{}) {
		// Some agent could run the job when it was accepted. Capacity that has shrunk may grow
		// again.
		return ""
	}
	return s.noWorkerReason(need)
}

// tooLateLocked reports whether a job of which nothing has started would end too late to be of use
// even if it started now.
func (s *Shard) tooLateLocked(now time.Duration, j *jobState, w *waitingTask) bool {
	if j.usefulUntil == 0 || s.mayHaveRunLocked(now, j) {
		return false
	}
	return now > j.usefulUntil-s.shortestRunTime(&j.rec.Policy, &j.rec.Spec.Steps[w.id.Step])
}

// shortestRunTime returns the expected run time of a step's tasks on the fastest server.
func (s *Shard) shortestRunTime(p *job.Policy, st *job.Step) time.Duration {
	run := s.fleet.ExpectedRunTime(p.Queue, st.Estimate)
	if best := s.fleet.bestSpeed(p.Service); best != 1 {
		return time.Duration(float64(run) / best)
	}
	return run
}

// giveUpLocked refuses a job that was accepted and of which nothing has started. Its client is told
// at once and can submit the job elsewhere.
func (s *Shard) giveUpLocked(now time.Duration, fx *Effects, j *jobState, reason string) {
	fx.log(Decision{Kind: "given_up", Job: j.rec.ID, Reason: reason, Age: now - j.acceptedAt})
	retryAfter := s.retryAfterLocked(now, fx, j.rec.ID, &j.rec.Spec, &j.rec.Policy, time.Second)
	for _, w := range j.waiters {
		fx.reply(w, Response{Outcome: Refused, Reason: reason, RetryAfter: retryAfter})
	}
	for _, w := range slices.Concat(j.cancelWaiters, j.watchers) {
		fx.reply(w, Response{Outcome: Absent})
	}
	for i := range j.tasks {
		s.shed.lastRun = max(s.shed.lastRun, j.tasks[i].number)
	}
	s.releaseLocked(j)
	delete(s.jobs, j.rec.ID)
}
