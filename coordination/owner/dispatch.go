package owner

import (
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
		Isolation:    s.caution(j.rec.Task(id)),
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
	s.renewUnansweredLocked(now, &fx)
	s.retrySuspectsLocked(now, &fx)
	s.dropHopelessLocked(now, &fx)
	s.placeWaitingLocked(now, &fx)
	s.expireJobsLocked(now)
	for _, id := range s.dirty {
		if j := s.jobs[id]; j != nil && now >= j.writeBy {
			fx.Write = true
			break
		}
	}
	return fx
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
