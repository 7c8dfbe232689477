package owner

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// runsPerEpoch is the distance between the first run numbers of successive epochs. The numbers that
// an earlier owner has used may be lost with it; no task is started this often in one epoch.
const runsPerEpoch = 1 << 10

// dispatchLocked places all idle tasks of a job whose steps are ready.
func (s *Shard) dispatchLocked(now time.Duration, fx *Effects, j *jobState) {
	if j.rec.State.Final() || !j.durable {
		return
	}
	at := 0
	for i := range j.rec.Spec.Steps {
		ready := s.readyLocked(j, i)
		for k := 0; k < j.rec.Spec.Steps[i].Count; k++ {
			if ready && j.tasks[at].phase == idle {
				s.placeOrQueueLocked(now, fx, j, job.TaskID{Job: j.rec.ID, Step: i, Index: k}, &j.tasks[at])
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

func (s *Shard) newOrder(j *jobState, id job.TaskID, t *task, estimate time.Duration) worker.Order {
	st := &j.rec.Spec.Steps[id.Step]
	return worker.Order{
		Shard: s.ID, Epoch: s.Epoch, Session: s.links[t.node].session,
		Run:          job.RunID{Task: id, Number: t.number},
		Payload:      j.rec.Spec.TaskPayload(id),
		Service:      j.rec.Policy.Service,
		Label:        st.Label,
		Demand:       st.Demand,
		Estimate:     estimate,
		Speed:        s.fleet.speedOf(t.node),
		Due:          j.due,
		Checkpoint:   j.rec.Task(id).Checkpoint,
		MaxPerWorker: st.MaxPerWorker,
		AtMostOnce:   j.rec.Policy.AtMostOnce,
		Isolation:    s.isolation(j.rec.Task(id)),
	}
}

// mayOrderLocked reports whether orders may go to an agent: it has answered the claim, and the
// store lists it among the agents that may have runs of this shard. The next owner waits for all
// listed agents before it starts a task again; a run on an agent that is not listed would be
// started twice.
func (s *Shard) mayOrderLocked(node string) bool {
	l := s.links[node]
	return l != nil && !l.lost && l.claimed && (s.storedAgents[node] || s.private)
}

// SetOwnershipConfirmed sets whether the group has confirmed this owner so recently that no other
// process can own the shard.
func (s *Shard) SetOwnershipConfirmed(confirmed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownershipUnconfirmed = !confirmed
}

// Tick does the work that depends on time: it retries tasks without an agent, gives up links that
// were lost for too long, and expires the records of ended jobs.
func (s *Shard) Tick(now time.Duration) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	if s.closed {
		return fx
	}
	s.expireLostAgentsLocked(now, &fx)
	s.renewUnansweredLinksLocked(now, &fx)
	s.retrySuspectsLocked(now, &fx)
	s.observeCapacityLocked(now, &fx)
	s.shedLocked(now, &fx)
	s.giveUpUselessLocked(now, &fx)
	s.placeWaitingLocked(now, &fx)
	s.expireJobsLocked(now)
	s.forgetEndedLocked(now)
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

// maxRemovalDelay is how long the removal of an expired record may wait for another write to go
// with. Removals only free space.
const maxRemovalDelay = 10 * time.Second

// expireJobsLocked removes jobs whose retention is over.
func (s *Shard) expireJobsLocked(now time.Duration) {
	for len(s.expiringBestEffort) > 0 && s.expiringBestEffort[0].at <= now {
		id := s.expiringBestEffort[0].id
		s.expiringBestEffort = s.expiringBestEffort[1:]
		if j := s.jobs[id]; j != nil && j.rec.State.Final() && j.departed == 0 && len(j.waiters) == 0 {
			s.releaseLocked(j)
			delete(s.jobs, id)
		}
	}
	s.expiring = s.removeExpiredLocked(now, s.expiring)
	s.expiringRestarted = s.removeExpiredLocked(now, s.expiringRestarted)
}

// removeExpiredLocked schedules the removal of the records that have expired, and returns the others.
func (s *Shard) removeExpiredLocked(now time.Duration, list []expiry) []expiry {
	for len(list) > 0 && list[0].at <= now {
		if j := s.jobs[list[0].id]; j != nil {
			j.removing = true
			s.markDirtyLocked(j, now+maxRemovalDelay)
		}
		list = list[1:]
	}
	return list
}
