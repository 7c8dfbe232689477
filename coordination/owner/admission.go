package owner

import (
	"math"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// admission is what was decided about a submission. All times count from it.
type admission struct {
	// reason is why it is refused; empty: it is accepted.
	reason     string
	retryAfter time.Duration
	// due is when the job has to end, in time or late, and useful the end of the time
	// in which an answer is of use; zero: that has no end.
	due, useful time.Duration
	// yields is set for a job that is accepted to be late.
	yields bool
	// wait is the predicted one, here the part of it behind tasks that wait at this owner,
	// and waited what the client has waited before.
	wait, here, waited time.Duration
	// objective is the job's, limit the longest wait with which it is accepted as one in
	// time, and late when it would end as a late one.
	objective, limit, late time.Duration
}

// wordLate is the decision on a job that is accepted to be late.
const wordLate = "accepted_late"

func (a *admission) word() string {
	if a.yields {
		return wordLate
	}
	return "accepted"
}

// admitLocked accepts what can be served in time. A job that is accepted as such and
// then late takes room from others, which are late in turn, until nothing is in time
// under a load just above what the workers carry. So a best-effort job that can only
// be late is accepted to run in the room that the others leave, if that is in time
// to be of use; everything else is refused at once.
func (s *Shard) admitLocked(now time.Duration, spec *job.Spec, p *job.Policy) admission {
	if s.storeBad && !spec.BestEffort {
		return admission{reason: ReasonStore, retryAfter: time.Second}
	}
	objective := s.objective(spec, p)
	chain := s.chain(spec, p)
	waited := s.waitedLocked(p, spec.ClientTimeout)
	a := admission{objective: objective, due: objective - waited, useful: s.usefulFor(spec, objective) - waited, waited: waited}
	for i := range spec.Steps {
		n := s.need(p, &spec.Steps[i])
		n.Now, n.Slack = now, objective-chain
		wait, here, ok := s.predictLocked(n, placeKeyOf(p, &spec.Steps[i]), spec.Steps[i].Count)
		if !ok && !s.expectsAgents(now, spec) {
			return admission{reason: s.noWorkerReason(n), retryAfter: time.Second}
		}
		if wait >= a.wait {
			a.wait, a.here = wait, here
		}
	}
	a.limit = s.longestWait(objective, chain, p.Priority) - waited
	if a.wait <= a.limit {
		return a
	}
	idle := a.wait <= s.fleet.params.MinWait
	if waited > 0 && a.useful < chain && idle {
		// It is of no use by the users' figure, but its client still waits, and there
		// is room.
		a.useful = spec.ClientTimeout
	}
	if a.late = s.lateEndLocked(now, spec, p, a.wait+chain, a.useful); !s.worthLate(a.late, a.useful) {
		a.reason, a.retryAfter = ReasonOverload, a.wait-max(a.limit, 0)
		return a
	}
	a.yields, a.due = true, a.useful
	return a
}

// predictLocked is how long the last of a step's tasks would wait, here and at its
// worker, and the part of it here. The other owners are taken to have as much waiting as
// this one.
func (s *Shard) predictLocked(n Need, where placeKey, tasks int) (wait, here time.Duration, ok bool) {
	finish, ok := s.fleet.Predict(n, tasks, s.mayOrderLocked)
	if !ok {
		return 0, 0, false
	}
	if ahead := s.waiting.ahead(where, false, n.Now+n.Slack); ahead > 0 {
		cores, times := s.fleet.Room(n, s.mayOrderLocked)
		here = time.Duration(float64(ahead) * times / max(cores, 1))
	}
	return finish - n.Estimate + here, here, true
}

// noWorkerReason is why no agent may have a task.
func (s *Shard) noWorkerReason(n Need) string {
	if s.fleet.DrainedOnly(n, s.mayOrderLocked) {
		return ReasonDrained
	}
	return ReasonNoWorker
}

// expectsAgents reports whether agents are still to be linked after the start.
func (s *Shard) expectsAgents(now time.Duration, spec *job.Spec) bool {
	return spec.BestEffort && now-s.opened < s.fleet.params.Arrival
}

// usefulFor is how long an answer to a best-effort job is of use, by the users'
// figure and by its client's word. Recorded jobs are carried out whenever it may be.
func (s *Shard) usefulFor(spec *job.Spec, objective time.Duration) time.Duration {
	if !spec.BestEffort || s.fleet.params.LateFactor == 0 {
		return 0
	}
	useful := time.Duration(s.fleet.params.LateFactor * float64(objective))
	if spec.ClientTimeout > 0 {
		useful = min(useful, spec.ClientTimeout)
	}
	return useful
}

// usefulFor sets until when an answer is of use; zero: without end.
func (j *jobState) usefulFor(now, length time.Duration) {
	j.useful = 0
	if length > 0 {
		j.useful = now + length
	}
}

// worthLate reports whether a job that can't be in time can surely be of use, by when it
// would end. Accepted in vain it would hold its client, who could have gone elsewhere.
func (s *Shard) worthLate(end, useful time.Duration) bool {
	return useful != 0 && end <= time.Duration(s.fleet.params.LateShare*float64(useful))
}

// lateEndLocked is when a job would end in the room that those in time leave; zero if it
// can't be of use late.
func (s *Shard) lateEndLocked(now time.Duration, spec *job.Spec, p *job.Policy, took, useful time.Duration) time.Duration {
	if useful == 0 {
		return 0
	}
	prior := s.fleet.params.YieldPrior
	s.waiting.measure(now, s.fleet.params.YieldMemory)
	for i := range spec.Steps {
		st := &spec.Steps[i]
		n := s.need(p, st)
		cores, times := s.fleet.Room(n, s.mayOrderLocked)
		s.waiting.expect(prior * cores / times)
		took += s.waiting.yieldWait(s.waiting.yieldWork() + coreTime(n)*time.Duration(st.Count))
	}
	return took
}

// refusalLocked is what a refusal was decided by.
func (s *Shard) refusalLocked(now time.Duration, spec *job.Spec, p *job.Policy, a *admission) *Refusal {
	r := &Refusal{
		Predicted: a.wait, Here: a.here, Limit: a.limit, Late: a.late, Objective: a.objective, Waited: a.waited,
	}
	if len(spec.Steps) > 0 {
		r.Free, r.Cores, r.News = s.fleet.believed(now, s.need(p, &spec.Steps[0]), s.mayOrderLocked)
	}
	return r
}

// longestWait is the longest predicted wait with which a job is accepted as one that
// will be in time.
func (s *Shard) longestWait(objective, chain time.Duration, priority int) time.Duration {
	p := &s.fleet.params
	share := time.Duration(p.AimShare * float64(objective))
	wait := max(share-chain, time.Duration(p.SlackShare*float64(objective-chain)))
	steps := min(max(priority, 0), p.PrioritySteps)
	return max(time.Duration(math.Pow(p.PriorityShare, float64(steps))*float64(wait)), p.MinWait)
}
