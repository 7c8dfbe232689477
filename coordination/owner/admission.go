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
	// late is set for a job that is accepted although it will miss its objective.
	late bool
	// wait is the predicted wait, localWait the part of it behind tasks that wait at this owner,
	// and clientWaited how long the client has waited already.
	wait, localWait, clientWaited time.Duration
	// objective is the job's latency objective, waitLimit the longest wait with which it is
	// accepted as in time, and lateEnd when it would end if accepted as late.
	objective, waitLimit, lateEnd time.Duration
}

// kindAcceptedLate is the Decision.Kind of a job that is accepted as late.
const kindAcceptedLate = "accepted_late"

func (a *admission) kind() string {
	if a.late {
		return kindAcceptedLate
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
	if s.storeUnavailable && !spec.BestEffort {
		return admission{reason: ReasonStoreUnavailable, retryAfter: time.Second}
	}
	objective := s.objective(spec, p)
	criticalPath := s.criticalPath(spec, p)
	clientWaited := s.waitedLocked(p, spec.ClientTimeout)
	a := admission{objective: objective, due: objective - clientWaited, useful: s.usefulPeriod(spec, objective) - clientWaited, clientWaited: clientWaited}
	if reason := s.predictStepsLocked(now, spec, p, criticalPath, &a); reason != "" {
		return admission{reason: reason, retryAfter: time.Second}
	}
	a.waitLimit = s.waitLimit(objective, criticalPath, p.Priority) - clientWaited
	if v := s.fleet.askShare(now, spec, p, clientWaited > 0); v.Refused {
		a.reason, a.retryAfter = ReasonOverShare, v.RetryAfter
		return a
	}
	if a.wait <= a.waitLimit {
		return a
	}
	hasCapacity := a.wait <= s.fleet.params.MinWaitLimit
	if clientWaited > 0 && a.useful < criticalPath && hasCapacity {
		// By LateFactor an answer is of no use any more, but the client still waits for it and
		// there is free capacity.
		a.useful = spec.ClientTimeout
	}
	if a.lateEnd = s.predictLateEndLocked(now, spec, p, a.wait+criticalPath, a.useful); !s.usefulWhenLate(now, p.Service, a.lateEnd, a.useful) {
		a.reason, a.retryAfter = ReasonOverload, a.wait-max(a.waitLimit, 0)
		return a
	}
	a.late, a.due = true, a.useful
	return a
}

// predictStepsLocked sets the longest wait that is predicted for a step of a job. It returns why the
// job is refused if no agent may have the tasks of a step, or "".
func (s *Shard) predictStepsLocked(now time.Duration, spec *job.Spec, p *job.Policy, criticalPath time.Duration, a *admission) string {
	for i := range spec.Steps {
		n := s.placementRequest(p, &spec.Steps[i])
		n.Now, n.Slack = now, a.objective-criticalPath
		if slack := n.Slack - a.clientWaited; slack > 0 && s.fleet.unevenSpeeds(n.Service) {
			n.Slack = shareOf(slack, n.Estimate, criticalPath)
		}
		wait, localWait, ok := s.predictWaitLocked(n, placementKeyOf(p, &spec.Steps[i]), spec.Steps[i].Count)
		if !ok && !s.inStartupGrace(now, spec) {
			return s.noWorkerReason(n)
		}
		if wait >= a.wait {
			a.wait, a.localWait = wait, localWait
		}
	}
	return ""
}

// predictWaitLocked predicts how long the last of a step's tasks would wait, at this owner and at
// its worker, and returns the part at this owner too. It assumes that the other owners have as much
// work waiting as this one. ok is false if no agent is eligible.
func (s *Shard) predictWaitLocked(n PlacementRequest, key placementKey, tasks int) (wait, localWait time.Duration, ok bool) {
	finish, ok := s.fleet.Predict(n, tasks, s.mayOrderLocked)
	if !ok {
		return 0, 0, false
	}
	if workAhead := s.workBeforeLocked(n, key, finish <= n.Estimate); workAhead > 0 {
		cores, ratio := s.fleet.EligibleCapacity(n, s.mayOrderLocked)
		localWait = time.Duration(float64(workAhead) * ratio / max(cores, 1))
	}
	return finish - n.Estimate + localWait, localWait, true
}

// noWorkerReason returns the reason why no agent may have a task.
func (s *Shard) noWorkerReason(n PlacementRequest) string {
	if s.fleet.OnlyDrainedEligible(n, s.mayOrderLocked) {
		return ReasonDomainDrained
	}
	return ReasonNoWorker
}

// inStartupGrace reports whether the owner of a best-effort job has started so recently that its
// links to agents may still be coming up.
func (s *Shard) inStartupGrace(now time.Duration, spec *job.Spec) bool {
	return spec.BestEffort && now-s.openedAt < s.fleet.params.StartupGrace
}

// usefulPeriod returns for how long after its submission an answer to a best-effort job is of use:
// LateFactor times its objective, but no longer than its client waits. Zero: no end. Recorded jobs
// are carried out however late they are.
func (s *Shard) usefulPeriod(spec *job.Spec, objective time.Duration) time.Duration {
	if !spec.BestEffort || s.fleet.params.LateFactor == 0 {
		return 0
	}
	useful := time.Duration(s.fleet.params.LateFactor * float64(objective))
	if spec.ClientTimeout > 0 {
		useful = min(useful, spec.ClientTimeout)
	}
	return useful
}

// setUsefulPeriod sets until when an answer is of use; a length of zero means no end.
func (j *jobState) setUsefulPeriod(now, length time.Duration) {
	j.usefulUntil = 0
	if length > 0 {
		j.usefulUntil = now + length
	}
}

// usefulWhenLate reports whether a late job is predicted to end early enough for its answer to be
// of use. A job accepted in vain would hold its client, which could have sent it to another entry.
func (s *Shard) usefulWhenLate(now time.Duration, service string, end, useful time.Duration) bool {
	return useful != 0 && end <= time.Duration(s.lateShareLocked(now, service)*float64(useful))
}

// predictLateEndLocked predicts when a job would end that runs only in the capacity that jobs in
// time leave over. It returns zero if a late answer is of no use.
func (s *Shard) predictLateEndLocked(now time.Duration, spec *job.Spec, p *job.Policy, end, useful time.Duration) time.Duration {
	if useful == 0 {
		return 0
	}
	s.waiting.updateLateRate(now, s.fleet.params.LateRateWindow)
	for i := range spec.Steps {
		st := &spec.Steps[i]
		n := s.placementRequest(p, st)
		cores, ratio := s.fleet.EligibleCapacity(n, s.mayOrderLocked)
		s.waiting.setLatePrior(s.latePriorShareLocked(now, p.Service) * cores / ratio)
		end += s.waiting.lateWait(s.waiting.lateWork() + coreTime(n)*time.Duration(st.Count))
	}
	return end
}

// refusalLocked returns the figures that a refusal is based on.
func (s *Shard) refusalLocked(now time.Duration, spec *job.Spec, p *job.Policy, a *admission) *Refusal {
	r := &Refusal{
		PredictedWait: a.wait, LocalWait: a.localWait, WaitLimit: a.waitLimit, LateEnd: a.lateEnd, Objective: a.objective, ClientWaited: a.clientWaited,
	}
	if len(spec.Steps) > 0 {
		n := s.placementRequest(p, &spec.Steps[0])
		n.Now, n.Slack = now, a.objective-a.clientWaited-s.criticalPath(spec, p)
		r.FreeCores, r.TotalCores, r.LoadAge = s.fleet.estimatedCapacity(now, n, s.mayOrderLocked)
		r.BesideRoom = s.fleet.hasRoomInTime(n, s.mayOrderLocked)
	}
	return r
}

// waitLimit returns the longest predicted wait with which a job is accepted as in time.
func (s *Shard) waitLimit(objective, criticalPath time.Duration, priority int) time.Duration {
	p := &s.fleet.params
	share := time.Duration(p.ObjectiveShare * float64(objective))
	wait := max(share-criticalPath, time.Duration(p.SlackShare*float64(objective-criticalPath)))
	steps := min(max(priority, 0), p.PrioritySteps)
	return max(time.Duration(math.Pow(p.PriorityFactor, float64(steps))*float64(wait)), p.MinWaitLimit)
}
