package owner

import (
	"math"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// admission is the decision on a submission. All durations are relative to the time of the
// decision.
type admission struct {
	// reason is why the job is refused; empty if it is accepted.
	reason     string
	retryAfter time.Duration
	// due is when the job has to end, whether in time or late. useful is until when an answer is of
	// use; zero: no end.
	due, useful time.Duration
	// yields is set for a job that is accepted although it will miss its objective.
	yields bool
	// wait is the predicted wait, here the part of it behind tasks that wait at this owner, and
	// waited how long the client has waited already.
	wait, here, waited time.Duration
	// objective is the job's latency objective, limit the longest wait with which it is accepted as
	// in time, and late when it would end if accepted as late.
	objective, limit, late time.Duration
}

// wordLate is the Decision.Kind of a job that is accepted as late.
const wordLate = "accepted_late"

func (a *admission) word() string {
	if a.yields {
		return wordLate
	}
	return "accepted"
}

// admitLocked decides whether to accept a job.
//
// A job that is accepted as in time and then ends late takes capacity from others, which become
// late in turn, until nothing is in time under a load just above what the workers carry. So a
// best-effort job that can only be late is accepted only for the capacity that jobs in time leave
// over, and only if it then ends while its answer is of use. Everything else is refused at once.
func (s *Shard) admitLocked(now time.Duration, spec *job.Spec, p *job.Policy) admission {
	if s.storeBad && !spec.BestEffort {
		return admission{reason: ReasonStore, retryAfter: time.Second}
	}
	objective := s.objective(spec, p)
	chain := s.chain(spec, p)
	waited := s.waitedLocked(p, spec.Patience)
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
		// By LateFactor an answer is of no use any more, but the client still waits for it and
		// there is free capacity.
		a.useful = spec.Patience
	}
	if a.late = s.lateEndLocked(now, spec, p, a.wait+chain, a.useful); !s.worthLate(a.late, a.useful) {
		a.reason, a.retryAfter = ReasonOverload, a.wait-max(a.limit, 0)
		return a
	}
	a.yields, a.due = true, a.useful
	return a
}

// predictLocked predicts how long the last of a step's tasks would wait, at this owner and at its
// worker, and returns the part at this owner too. It assumes that the other owners have as much
// work waiting as this one. ok is false if no agent is eligible.
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

// noWorkerReason returns the reason why no agent may have a task.
func (s *Shard) noWorkerReason(n Need) string {
	if s.fleet.DrainedOnly(n, s.mayOrderLocked) {
		return ReasonDrained
	}
	return ReasonNoWorker
}

// expectsAgents reports whether the owner of a best-effort job has started so recently that its
// links to agents may still be coming up.
func (s *Shard) expectsAgents(now time.Duration, spec *job.Spec) bool {
	return spec.BestEffort && now-s.opened < s.fleet.params.Arrival
}

// usefulFor returns for how long after its submission an answer to a best-effort job is of use:
// LateFactor times its objective, but no longer than its client waits. Zero: no end. Recorded jobs
// are carried out however late they are.
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

// usefulFor sets until when an answer is of use; a length of zero means no end.
func (j *jobState) usefulFor(now, length time.Duration) {
	j.useful = 0
	if length > 0 {
		j.useful = now + length
	}
}

// worthLate reports whether a late job is predicted to end early enough for its answer to be of
// use. A job accepted in vain would hold its client, which could have sent it to another entry.
func (s *Shard) worthLate(end, useful time.Duration) bool {
	return useful != 0 && end <= time.Duration(s.fleet.params.LateShare*float64(useful))
}

// lateEndLocked predicts when a job would end that runs only in the capacity that jobs in time
// leave over. It returns zero if a late answer is of no use.
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

// refusalLocked returns the figures that a refusal is based on.
func (s *Shard) refusalLocked(now time.Duration, spec *job.Spec, p *job.Policy, a *admission) *Refusal {
	r := &Refusal{
		Predicted: a.wait, Here: a.here, Limit: a.limit, Late: a.late, Objective: a.objective, Waited: a.waited,
	}
	if len(spec.Steps) > 0 {
		r.Free, r.Cores, r.News = s.fleet.believed(now, s.need(p, &spec.Steps[0]), s.mayOrderLocked)
	}
	return r
}

// longestWait returns the longest predicted wait with which a job is accepted as in time.
func (s *Shard) longestWait(objective, chain time.Duration, priority int) time.Duration {
	p := &s.fleet.params
	share := time.Duration(p.AimShare * float64(objective))
	wait := max(share-chain, time.Duration(p.SlackShare*float64(objective-chain)))
	steps := min(max(priority, 0), p.PrioritySteps)
	return max(time.Duration(math.Pow(p.PriorityShare, float64(steps))*float64(wait)), p.MinWait)
}
