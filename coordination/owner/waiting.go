package owner

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// orderLocked sends a task to an agent that has room, or has it wait here. One that
// waits already is passed over: each end of a job's task has its other idle ones looked
// at, and a job of a thousand would fill the backlog with itself a thousand times.
func (s *Shard) orderLocked(now time.Duration, fx *Effects, j *jobState, id job.TaskID, t *task) {
	if t.waiting || !s.maySuspectStartLocked(now, fx, j, id, t) {
		return
	}
	w := s.waitingTask(j, id)
	if s.waiting.ahead(w.where, w.yields, w.latest) > 0 || !s.bindLocked(now, fx, j, id, t) {
		s.waiting.add(w)
		t.waiting = true
	}
}

func (s *Shard) waitingTask(j *jobState, id job.TaskID) waitingTask {
	st := &j.rec.Spec.Steps[id.Step]
	n := s.need(&j.rec.Policy, st)
	where := placeKeyOf(&j.rec.Policy, st)
	where.suspect = s.caution(j.rec.Task(id)) != worker.NoIsolation
	return waitingTask{id: id, where: where, yields: j.yields, latest: j.due - n.Estimate, work: coreTime(n)}
}

// bindLocked sends a task to an agent, if one has room for it soon.
func (s *Shard) bindLocked(now time.Duration, fx *Effects, j *jobState, id job.TaskID, t *task) bool {
	rec := j.rec.Task(id)
	need := s.need(&j.rec.Policy, &j.rec.Spec.Steps[id.Step])
	need.Now, need.Slack, need.Yields = now, j.due-now-need.Estimate, j.yields
	need.Avoid, need.Caution = avoided(t, rec), s.caution(rec)
	node, ok := s.fleet.Place(need, s.mayOrderLocked)
	if !ok {
		return false
	}
	t.number = max(t.number+1, (s.Epoch-j.rec.FirstEpoch)*runsPerEpoch+1)
	t.phase, t.node = ordered, node
	j.ordered = true
	fx.log(Decision{What: "ordered", Job: id.Job, Run: job.RunID{Task: id, Number: t.number}, Node: node, Age: now - j.accepted, Wait: need.Slack})
	fx.Orders = append(fx.Orders, Placed[worker.Order]{Node: node, What: s.order(j, id, t, need.Estimate)})
	return true
}

// Waiting reports whether tasks wait here for room.
func (s *Shard) Waiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting.tasks) > 0
}

// News has the tasks that wait here looked at again: an agent may have room.
func (s *Shard) News(now time.Duration) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	if !s.closed {
		s.placeWaitingLocked(now, &fx)
	}
	return fx
}

// placeWaitingLocked sends what waits here to agents that have room by now.
//
// It looks no further than the first task of each place that finds no room. News comes
// some hundred times a second, most while agents are full: with a look at all that waits, an
// entry that had a hundred jobs waiting spent more than its processor on them, fell behind
// its frames, and had more waiting.
func (s *Shard) placeWaitingLocked(now time.Duration, fx *Effects) {
	s.waiting.measure(now, s.fleet.params.YieldMemory)
	full := make(map[placeKey]bool)
	s.waiting.filter(func(w *waitingTask) fate {
		if len(full) == len(s.waiting.places) {
			return stop
		}
		j, t := s.stillWaitsLocked(w)
		if t == nil {
			return leave
		}
		if full[w.where] {
			// Smaller ones behind it don't overtake: a wide one would starve.
			return stay
		}
		if s.tooLateLocked(now, j, w) {
			t.waiting = false
			s.giveUpLocked(now, fx, j, ReasonOverload)
			return leave
		}
		if !s.bindLocked(now, fx, j, w.id, t) {
			full[w.where] = true
			return stay
		}
		t.waiting = false
		if w.yields {
			s.waiting.left += w.work
		}
		return leave
	})
}

// stillWaitsLocked returns the job and the task that wait, or nil if they don't any more.
func (s *Shard) stillWaitsLocked(w *waitingTask) (*jobState, *task) {
	j := s.jobs[w.id.Job]
	if j == nil {
		return nil, nil
	}
	t := s.taskLocked(j, w.id)
	if t == nil {
		return nil, nil
	}
	if j.rec.State.Final() || t.phase != idle {
		t.waiting = false
		return nil, nil
	}
	return j, t
}

// dropHopelessLocked gives up the jobs that wait here and can't be of use any more.
func (s *Shard) dropHopelessLocked(now time.Duration, fx *Effects) {
	reachable := make(map[placeKey]job.Demand)
	s.waiting.filter(func(w *waitingTask) fate {
		j, t := s.stillWaitsLocked(w)
		if t == nil {
			return leave
		}
		reason := s.hopelessLocked(now, j, w, reachable)
		if reason == "" {
			return stay
		}
		t.waiting = false
		s.giveUpLocked(now, fx, j, reason)
		return leave
	})
}

// hopelessLocked says why a job of which nothing has started can't be of use any more, or
// "". Reachable has a demand of each place for which an agent is there: one look at the
// agents does for all that ask for as much.
func (s *Shard) hopelessLocked(now time.Duration, j *jobState, w *waitingTask, reachable map[placeKey]job.Demand) string {
	if j.useful == 0 || j.ordered {
		return ""
	}
	if s.tooLateLocked(now, j, w) {
		return ReasonOverload
	}
	st := &j.rec.Spec.Steps[w.id.Step]
	if known, ok := reachable[w.where]; ok && st.Demand.Fits(known) {
		return ""
	}
	need := s.need(&j.rec.Policy, st)
	if cores, _ := s.fleet.Room(need, s.mayOrderLocked); cores > 0 {
		reachable[w.where] = st.Demand
		return ""
	}
	if s.expectsAgents(now, &j.rec.Spec) || s.fleet.Offers(j.rec.Policy.Service, st.Label, job.Demand{}) {
		// It fitted when it was accepted, and what has shrunk may grow again.
		return ""
	}
	return s.noWorkerReason(need)
}

// tooLateLocked reports whether a job of which nothing has started would end too late to
// be of use if it began now.
func (s *Shard) tooLateLocked(now time.Duration, j *jobState, w *waitingTask) bool {
	if j.useful == 0 || j.ordered {
		return false
	}
	return now > j.useful-s.fleet.Expect(j.rec.Policy.Queue, j.rec.Spec.Steps[w.id.Step].Estimate)
}

// giveUpLocked refuses a job that was to wait and of which nothing has started. Its
// client is told so as soon as that is known, and may go elsewhere.
func (s *Shard) giveUpLocked(now time.Duration, fx *Effects, j *jobState, reason string) {
	fx.log(Decision{What: "given_up", Job: j.rec.ID, Reason: reason, Age: now - j.accepted})
	for _, w := range j.waiters {
		fx.reply(w, Verdict{Outcome: Refused, Reason: reason, RetryAfter: time.Second})
	}
	for _, w := range slices.Concat(j.cancels, j.watchers) {
		fx.reply(w, Verdict{Outcome: Absent})
	}
	delete(s.jobs, j.rec.ID)
}
