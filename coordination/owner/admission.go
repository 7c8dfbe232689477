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
	// wait is the predicted one, and waited what the client has waited before.
	wait, waited time.Duration
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
	waited := s.waitedLocked(p, spec.Patience)
	a := admission{due: objective - waited, useful: s.usefulFor(spec, objective) - waited, waited: waited}
	for i := range spec.Steps {
		n := s.need(p, &spec.Steps[i])
		n.Now, n.Slack = now, objective-chain
		wait, ok := s.predictLocked(n, placeKeyOf(p, &spec.Steps[i]), spec.Steps[i].Count)
		if !ok && !s.expectsAgents(now, spec) {
			return admission{reason: s.noWorkerReason(n), retryAfter: time.Second}
		}
		a.wait = max(a.wait, wait)
	}
	limit := s.longestWait(objective, chain, p.Priority) - waited
	if a.wait <= limit {
		return a
	}
	idle := a.wait <= s.fleet.params.MinWait
	if waited > 0 && a.useful < chain && idle {
		// It is of no use by the users' figure, but its client still waits, and there
		// is room.
		a.useful = spec.Patience
	}
	if !s.worthLateLocked(now, spec, p, a.wait+chain, a.useful) {
		a.reason, a.retryAfter = ReasonOverload, a.wait-max(limit, 0)
		return a
	}
	a.yields, a.due = true, a.useful
	return a
}

// predictLocked is how long the last of a step's tasks would wait, here and at its
// worker. The other owners are taken to have as much waiting as this one.
func (s *Shard) predictLocked(n Need, where placeKey, tasks int) (time.Duration, bool) {
	finish, ok := s.fleet.Predict(n, tasks, s.mayOrderLocked)
	if !ok {
		return 0, false
	}
	wait := finish - n.Estimate
	if ahead := s.waiting.ahead(where, false, n.Now+n.Slack); ahead > 0 {
		cores, times := s.fleet.Room(n, s.mayOrderLocked)
		wait += time.Duration(float64(ahead) * times / max(cores, 1))
	}
	return wait, true
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
	if spec.Patience > 0 {
		useful = min(useful, spec.Patience)
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

// worthLateLocked reports whether a job that can't be in time can surely be of use.
// Accepted in vain it would hold its client, who could have gone elsewhere.
func (s *Shard) worthLateLocked(now time.Duration, spec *job.Spec, p *job.Policy, took, useful time.Duration) bool {
	if useful == 0 {
		return false
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
	return took <= time.Duration(s.fleet.params.LateShare*float64(useful))
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
