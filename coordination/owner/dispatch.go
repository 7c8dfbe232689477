package owner

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// runsPerEpoch spaces the run numbers of successive epochs. An owner that died
// takes its numbers with it; a task is not started this often in one epoch.
const runsPerEpoch = 1 << 10

// dispatchLocked orders all tasks of a job whose turn has come.
func (s *Shard) dispatchLocked(now time.Duration, fx *Effects, j *jobState) {
	if j.rec.State.Final() || !j.durable {
		return
	}
	at := 0
	for i := range j.rec.Spec.Steps {
		ready := s.readyLocked(j, i)
		for k := 0; k < j.rec.Spec.Steps[i].Count; k++ {
			if ready && j.tasks[at].phase == idle {
				s.orderLocked(now, fx, j, job.TaskID{Job: j.rec.ID, Step: i, Index: k}, &j.tasks[at])
			}
			at++
		}
	}
}

// readyLocked reports whether all steps that a step depends on are done.
func (s *Shard) readyLocked(j *jobState, step int) bool {
	for _, d := range j.rec.Spec.Steps[step].DependsOn {
		from := j.rec.Offset(d)
		for k := 0; k < j.rec.Spec.Steps[d].Count; k++ {
			if !j.rec.Tasks[from+k].Done {
				return false
			}
		}
	}
	return true
}

// orderLocked sends a task to an agent that has room, or has it wait here.
func (s *Shard) orderLocked(now time.Duration, fx *Effects, j *jobState, id job.TaskID, t *task) {
	w := s.waitingTask(j, id)
	if s.waiting.ahead(w.where, w.yields, w.latest) > 0 || !s.bindLocked(now, fx, j, id, t) {
		s.waiting.add(w)
	}
}

func (s *Shard) waitingTask(j *jobState, id job.TaskID) waitingTask {
	st := &j.rec.Spec.Steps[id.Step]
	n := s.need(&j.rec.Policy, st, "")
	return waitingTask{id: id, where: placeKeyOf(&j.rec.Policy, st), yields: j.yields, latest: j.due - n.Estimate, work: coreTime(n)}
}

// bindLocked sends a task to an agent, if one has room for it soon.
func (s *Shard) bindLocked(now time.Duration, fx *Effects, j *jobState, id job.TaskID, t *task) bool {
	need := s.need(&j.rec.Policy, &j.rec.Spec.Steps[id.Step], t.failed)
	need.Now, need.Slack, need.Yields = now, j.due-now-need.Estimate, j.yields
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

func (s *Shard) order(j *jobState, id job.TaskID, t *task, estimate time.Duration) worker.Order {
	st := &j.rec.Spec.Steps[id.Step]
	return worker.Order{
		Shard: s.ID, Epoch: s.Epoch, Session: s.links[t.node].session,
		Run:          job.RunID{Task: id, Number: t.number},
		Payload:      j.rec.Spec.TaskPayload(id),
		Service:      j.rec.Policy.Service,
		Label:        st.Label,
		Demand:       st.Demand,
		Estimate:     estimate,
		Due:          j.due,
		Checkpoint:   j.rec.Task(id).Checkpoint,
		MaxPerWorker: st.MaxPerWorker,
		Once:         j.rec.Policy.Once,
	}
}

// mayOrderLocked reports whether orders may go to an agent: it has answered the
// claim, and the store names it among the agents that may have runs of this
// shard. The next owner waits for all that are named before it starts a task
// again, so one that is not named would start it twice.
func (s *Shard) mayOrderLocked(node string) bool {
	l := s.links[node]
	return l != nil && !l.lost && l.claimed && (s.named[node] || s.private)
}

// Confirm says whether the group has confirmed this owner so recently that
// nobody else can be it.
func (s *Shard) Confirm(yes bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unconfirmed = !yes
}

// Tick lets time pass: tasks without an agent are tried again, links that stay
// lost are waited out, records of ended jobs expire.
func (s *Shard) Tick(now time.Duration) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	if s.closed {
		return fx
	}
	s.waitOutLocked(now, &fx)
	s.placeAgainLocked(now, &fx)
	s.expireJobsLocked(now)
	for _, id := range s.dirty {
		if j := s.jobs[id]; j != nil && now >= j.writeBy {
			fx.Write = true
			break
		}
	}
	return fx
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
		s.placeAgainLocked(now, &fx)
	}
	return fx
}

// placeAgainLocked sends what waits here to agents that have room by now. What can't
// be of use any more leaves.
func (s *Shard) placeAgainLocked(now time.Duration, fx *Effects) {
	s.waiting.measure(now, s.fleet.params.YieldMemory)
	full := make(map[placeKey]bool)
	for _, w := range s.waiting.take() {
		j := s.jobs[w.id.Job]
		if j == nil || j.rec.State.Final() {
			continue
		}
		t := s.taskLocked(j, w.id)
		if t == nil || t.phase != idle {
			continue
		}
		if reason := s.hopelessLocked(now, j, &w); reason != "" {
			s.giveUpLocked(now, fx, j, reason)
			continue
		}
		if !full[w.where] && s.bindLocked(now, fx, j, w.id, t) {
			if w.yields {
				s.waiting.left += w.work
			}
			continue
		}
		// Smaller ones behind it don't overtake: a wide one would starve.
		full[w.where] = true
		s.waiting.add(w)
	}
}

// hopelessLocked says why a job of which nothing has started can't be of use any
// more, or "".
func (s *Shard) hopelessLocked(now time.Duration, j *jobState, w *waitingTask) string {
	if j.useful == 0 || j.ordered {
		return ""
	}
	n := s.need(&j.rec.Policy, &j.rec.Spec.Steps[w.id.Step], "")
	if now > j.useful-n.Estimate {
		return ReasonOverload
	}
	if cores, _ := s.fleet.Room(n, s.mayOrderLocked); cores == 0 && !s.expectsAgents(now, &j.rec.Spec) {
		return ReasonNoWorker
	}
	return ""
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

func (s *Shard) taskLocked(j *jobState, id job.TaskID) *task {
	if j.rec.Task(id) == nil {
		return nil
	}
	at := j.rec.Offset(id.Step) + id.Index
	if at >= len(j.tasks) {
		return nil
	}
	return &j.tasks[at]
}

// lazyDrop is how long the removal of an old record may wait for a write that
// takes it along: it only frees room.
const lazyDrop = 10 * time.Second

// expireJobsLocked drops jobs that ended longer ago than anyone may ask.
func (s *Shard) expireJobsLocked(now time.Duration) {
	for len(s.fading) > 0 && s.fading[0].at <= now {
		id := s.fading[0].id
		s.fading = s.fading[1:]
		if j := s.jobs[id]; j != nil && j.rec.State.Final() && j.gone == 0 && len(j.waiters) == 0 {
			delete(s.jobs, id)
		}
	}
	for len(s.expiring) > 0 && s.expiring[0].at <= now {
		id := s.expiring[0].id
		s.expiring = s.expiring[1:]
		if j := s.jobs[id]; j != nil {
			j.drop = true
			s.dirtyLocked(j, now+lazyDrop)
		}
	}
}
