package owner

import (
	"math"
	"time"

	"github.com/shallotstep/shallotstep/coordination/shedding"
	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// Kinds of decisions while there is less capacity than callers could expect.
const (
	kindCapacityFallen = "capacity_fallen"
	// kindPostponed: the job can't be in time, is carried out all the same, and lets others pass.
	kindPostponed = "postponed"
	// kindReturnPromised: a refused client was told when to come back. kindReturnKept: it came, and
	// goes before new ones.
	kindReturnPromised, kindReturnKept = "return_promised", "return_kept"
)

// Kinds of decisions that give an accepted job up: one that was to be in time, and a late one.
const (
	shedInTime = "shed_in_time"
	shedLate   = "shed_late"
)

// shedState is the state of shedding and return. Guarded by Shard.mu.
type shedState struct {
	// capacity has the capacity of each service.
	capacity map[string]*shedding.Capacity
	// accepting is reused by each observation, in thousandths of a core.
	accepting map[string]int64
	// returns is nil until the first refusal while capacity is short.
	returns *shedding.Returns
	// lastRun is the highest run number of the jobs that were given up. New jobs go on from there:
	// one of them may have the ID of a job that was given up, of whose runs late reports may come.
	lastRun int64
}

// shedOnUpdateLocked sheds between two ticks if capacity has just fallen, or if the most urgent task
// can't be in time: it would be placed before tasks that can.
func (s *Shard) shedOnUpdateLocked(now time.Duration, fx *Effects) {
	fallen := s.observeCapacityLocked(now, fx)
	if len(s.waiting.tasks) == 0 {
		return
	}
	first := &s.waiting.tasks[0]
	j := s.jobs[first.id.Job]
	if fallen || !first.late && s.mayShedLocked(j) && now > s.latestStartLocked(j, first) {
		s.shedLocked(now, fx)
	}
}

// latestStartLocked returns the latest start of a waiting task on the fastest server.
func (s *Shard) latestStartLocked(j *jobState, w *waitingTask) time.Duration {
	best := s.fleet.bestSpeed(j.rec.Policy.Service)
	if best == 1 {
		return w.latestStart
	}
	return w.latestStart + w.run - time.Duration(float64(w.run)/best)
}

// mayShedLocked reports whether shedding decides on a job. Recorded jobs are carried out however late
// they are, and those that were postponed have their place.
func (s *Shard) mayShedLocked(j *jobState) bool {
	return j != nil && j.usefulUntil != 0 && !j.postponed && !j.rec.State.Final()
}

// shedLocked decides again on the jobs that wait for services of which capacity is short. Jobs that
// can't be in time any more are given up at once or let others pass, so that they don't make these
// late in turn.
func (s *Shard) shedLocked(now time.Duration, fx *Effects) {
	if len(s.waiting.tasks) == 0 || !s.anyCapacityShortLocked(now) {
		return
	}
	changed := make(map[job.ID]bool)
	for _, group := range s.waitingJobsLocked(now, false) {
		s.applyVerdictsLocked(now, fx, group, shedding.InTime(now, group.jobs, group.cores), shedInTime, changed)
	}
	s.waiting.updateLateRate(now, s.fleet.params.LateRateWindow)
	for _, group := range s.waitingJobsLocked(now, true) {
		s.applyVerdictsLocked(now, fx, group, shedding.Late(now, group.jobs, s.waiting.lateRate), shedLate, changed)
	}
	s.requeueLocked(changed)
}

// applyVerdictsLocked carries out the verdicts on the jobs of a group, and adds the jobs whose tasks
// have to leave their places in the backlog to changed.
func (s *Shard) applyVerdictsLocked(now time.Duration, fx *Effects, g *jobGroup, verdicts []shedding.Verdict, kind string, changed map[job.ID]bool) {
	for i, v := range verdicts {
		j := g.states[i]
		switch v {
		case shedding.GiveUp:
			changed[j.rec.ID] = true
			fx.log(Decision{Kind: kind, Job: j.rec.ID, Age: now - j.acceptedAt})
			s.giveUpLocked(now, fx, j, ReasonOverload)
		case shedding.Postpone:
			s.postponeLocked(now, fx, j, changed)
		}
	}
}

// postponeLocked sets a later latest start for a job that can't be in time.
func (s *Shard) postponeLocked(now time.Duration, fx *Effects, j *jobState, changed map[job.ID]bool) {
	usefulStart := s.lateJobStart(j)
	start, ok := shedding.PostponedStart(now, usefulStart)
	if !ok {
		// Nothing is left to decide. A late job stays one until it is placed.
		j.postponed = !j.late
		return
	}
	j.postponed = true
	j.due = start + j.usefulUntil - usefulStart
	changed[j.rec.ID] = true
	fx.log(Decision{Kind: kindPostponed, Job: j.rec.ID, Age: now - j.acceptedAt, Wait: j.due - now})
}

// lateJobStart returns the last start of a job's longest step with which its answer is of use.
func (s *Shard) lateJobStart(j *jobState) time.Duration {
	var run time.Duration
	for i := range j.rec.Spec.Steps {
		run = max(run, s.fleet.ExpectedRunTime(j.rec.Policy.Queue, j.rec.Spec.Steps[i].Estimate))
	}
	return j.usefulUntil - run
}

// jobGroup has the jobs that wait for the same agents, in the order in which they are served, and
// this process's part of those agents' cores. states has the job of each entry in jobs.
type jobGroup struct {
	jobs   []shedding.Job
	states []*jobState
	cores  float64
}

// waitingJobsLocked returns the waiting jobs of the services of which capacity is short, late ones or
// those that are to be in time, by the agents that they wait for.
func (s *Shard) waitingJobsLocked(now time.Duration, late bool) []*jobGroup {
	var groups []*jobGroup
	byKey := make(map[placementKey]*jobGroup)
	// places has the group of each known job and its place there.
	type place struct {
		group *jobGroup
		at    int
	}
	places := make(map[*jobState]place)
	for i := range s.waiting.tasks {
		w := &s.waiting.tasks[i]
		j := s.jobs[w.id.Job]
		if w.late != late || !s.mayShedLocked(j) {
			continue
		}
		if p, ok := places[j]; ok {
			p.group.jobs[p.at].Work += w.work
			continue
		}
		if !s.capacityShortLocked(now, w.key.service) {
			continue
		}
		g := byKey[w.key]
		if g == nil {
			g = &jobGroup{cores: s.ownCoresLocked(now, j, w)}
			byKey[w.key] = g
			groups = append(groups, g)
		}
		places[j] = place{group: g, at: len(g.jobs)}
		g.states = append(g.states, j)
		g.jobs = append(g.jobs, s.shedJobLocked(now, j, w))
	}
	return groups
}

// ownCoresLocked returns this process's part of the cores that a waiting task may be placed on.
func (s *Shard) ownCoresLocked(now time.Duration, j *jobState, w *waitingTask) float64 {
	if s.startingLocked(now) {
		return math.Inf(1) // links are still coming up
	}
	n := s.placementRequest(&j.rec.Policy, &j.rec.Spec.Steps[w.id.Step])
	cores, ratio := s.fleet.EligibleCapacity(n, s.mayOrderLocked)
	return cores / ratio
}

// shedJobLocked returns what decides on a job, with the work of its first waiting task.
func (s *Shard) shedJobLocked(now time.Duration, j *jobState, w *waitingTask) shedding.Job {
	return shedding.Job{
		Work: w.work, Since: j.acceptedAt - j.clientWaited, Objective: s.objective(&j.rec.Spec, &j.rec.Policy),
		LatestStart: s.latestStartLocked(j, w), MayHaveRun: s.mayHaveRunLocked(now, j),
	}
}

// requeueLocked takes the tasks of changed jobs out of the backlog and adds those of jobs that were
// not given up again.
func (s *Shard) requeueLocked(changed map[job.ID]bool) {
	if len(changed) == 0 {
		return
	}
	var moved []waitingTask
	s.waiting.filter(func(w *waitingTask) filterAction {
		if !changed[w.id.Job] {
			return keepTask
		}
		if j, t := s.stillWaitingLocked(w); t != nil {
			moved = append(moved, s.newWaitingTask(j, w.id))
		}
		return removeTask
	})
	for _, w := range moved {
		s.waiting.add(w)
	}
}

// mayHaveRunLocked reports whether something of a job may have run. Outside of a shortage every
// order counts, also one that is known never to have run.
func (s *Shard) mayHaveRunLocked(now time.Duration, j *jobState) bool {
	if s.capacityShortLocked(now, j.rec.Policy.Service) {
		return j.ordersOpen > 0
	}
	return j.ordered
}

// closeOrderLocked notes that an order is known never to have run. The agent says so of an order that
// it has not passed on, or that the backend server has refused. A start without an answer counts as
// possibly run even once it is barred: a client that is told "not run" submits its job elsewhere.
func (s *Shard) closeOrderLocked(j *jobState, t *task, r worker.RunState) {
	if r.End != job.NeverRan || r.Reason == worker.ReasonBarred || t.openRun != r.Run.Number {
		return
	}
	t.openRun = 0
	j.ordersOpen--
}

// retryAfterLocked returns when a refused client is to come back: after wait, and while capacity is
// short in turn with the others that were refused.
func (s *Shard) retryAfterLocked(now time.Duration, fx *Effects, id job.ID, spec *job.Spec, p *job.Policy, wait time.Duration) time.Duration {
	if wait <= 0 || !s.capacityShortLocked(now, p.Service) || len(spec.Steps) == 0 {
		return wait
	}
	if s.shed.returns == nil {
		s.shed.returns = shedding.NewReturns(s.fleet.random())
	}
	var work time.Duration
	for i := range spec.Steps {
		work += coreTime(s.placementRequest(p, &spec.Steps[i])) * time.Duration(spec.Steps[i].Count)
	}
	cores, ratio := s.fleet.EligibleCapacity(s.placementRequest(p, &spec.Steps[0]), s.mayOrderLocked)
	after := s.shed.returns.Promise(now, string(id), work, wait, cores/ratio)
	fx.log(Decision{Kind: kindReturnPromised, Job: id, Wait: after})
	return after
}

// admitReturningLocked decides again on a job whose client comes back when it was told to. It goes
// before new ones: it may wait for the headroom that is kept free of them.
func (s *Shard) admitReturningLocked(now time.Duration, fx *Effects, id job.ID, spec *job.Spec, p *job.Policy, a admission) admission {
	if s.shed.returns == nil || !s.shed.returns.Due(now, string(id)) {
		return a
	}
	fx.log(Decision{Kind: kindReturnKept, Job: id, Wait: a.wait})
	limit := a.objective - s.criticalPath(spec, p) - a.clientWaited
	if a.reason != "" && a.reason != ReasonOverload || a.wait > limit {
		return a
	}
	a.reason, a.retryAfter, a.late, a.lateEnd = "", 0, false, 0
	a.due = a.objective - a.clientWaited
	return a
}
