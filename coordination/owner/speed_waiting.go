package owner

import (
	"math"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// noSpeed is less than each task's required speed.
const noSpeed = math.MinInt8

// anySpeed is more than each task's required speed.
const anySpeed = math.MaxInt8

// requiredSpeed returns the least speed, in steps of a square root of two, of a server on which a
// task ends in the time that is left. Steps bound how often a frame makes an owner look for room.
func requiredSpeed(run, left time.Duration) int8 {
	if run <= 0 || left <= 0 {
		return maxSpeedStep
	}
	steps := math.Ceil(speedSteps * math.Log2(float64(run)/float64(left)))
	return int8(min(max(steps, -maxSpeedStep), maxSpeedStep))
}

const (
	// speedSteps is the number of steps for each doubling of the speed, and maxSpeedStep the last
	// one: four times as fast or as slow as others.
	speedSteps   = 2
	maxSpeedStep = 4
)

// speedOfStep returns the speed of a step of requiredSpeed.
func speedOfStep(step int8) float64 { return math.Exp2(float64(step) / speedSteps) }

// requiredSpeed returns the step of the speed that a waiting task requires.
func (t *waitingTask) requiredSpeed(now time.Duration) int8 {
	return requiredSpeed(t.run, t.latestStart+t.run-now)
}

// blockedKeys has, for each placement key, the lowest required speed of the tasks that could not be
// placed in a pass. Tasks that need no less are not tried: a server that is free for them would have
// been free for the first one.
type blockedKeys map[placementKey]int8

// has reports whether a task of the required speed need not be tried.
func (b blockedKeys) has(key placementKey, required int8) bool {
	lowest, ok := b[key]
	return ok && required >= lowest
}

// all reports whether no task of any of the keys need be tried.
func (b blockedKeys) all(keys int) bool {
	if len(b) < keys {
		return false
	}
	for _, lowest := range b {
		if lowest != noSpeed {
			return false
		}
	}
	return true
}

// competingWork returns the waiting work with the same key that is placed before a task that must
// start by latestStart, less the tasks that require more than the given speed: they wait for servers
// that the task can do without.
func (b *backlog) competingWork(now time.Duration, key placementKey, late bool, latestStart time.Duration, required int8) time.Duration {
	var work time.Duration
	for i := range b.tasks {
		t := &b.tasks[i]
		if t.late && !late || t.late == late && t.latestStart > latestStart {
			break
		}
		if t.key == key && t.requiredSpeed(now) <= required {
			work += t.work
		}
	}
	return work
}

// reservedSpeed returns the speed from which on servers are left to the tasks that wait for a fast
// one, for a task that requires less; zero: no task waits for one.
func (b *backlog) reservedSpeed(now time.Duration, key placementKey, required int8) float64 {
	lowest := int8(anySpeed)
	for i := range min(len(b.tasks), maxReservingTasks) {
		t := &b.tasks[i]
		if t.late || lowest == required+1 {
			break
		}
		if step := t.requiredSpeed(now); t.key == key && step > required {
			lowest = min(lowest, step)
		}
	}
	if lowest == anySpeed {
		return 0
	}
	return speedOfStep(lowest)
}

// maxReservingTasks is the number of waiting tasks for which servers are reserved: the first ones get
// the next room, and the others wait in any case.
const maxReservingTasks = 64

// runTimeAfter returns the expected run time of the longest chain of steps after a step.
func (s *Shard) runTimeAfter(spec *job.Spec, p *job.Policy, step int) time.Duration {
	after := make([]time.Duration, len(spec.Steps))
	for i := len(spec.Steps) - 1; i > step; i-- {
		run := s.fleet.ExpectedRunTime(p.Queue, spec.Steps[i].Estimate)
		for _, d := range spec.Steps[i].DependsOn {
			if d >= 0 && d < i {
				after[d] = max(after[d], run+after[i])
			}
		}
	}
	return after[step]
}

// ownSlack returns a step's part of a job's slack. Each step gets as much of it as of the run time
// that is left, or the first one would use all of it on a slow server.
func (s *Shard) ownSlack(spec *job.Spec, p *job.Policy, step int, run, left time.Duration) time.Duration {
	after := s.runTimeAfter(spec, p, step)
	slack := left - run - after
	return shareOf(slack, run, run+after)
}

// shareOf returns the share of a slack for a run time that is a part of a whole.
func shareOf(slack, part, whole time.Duration) time.Duration {
	if part == whole || slack <= 0 {
		return slack
	}
	return time.Duration(float64(slack) * float64(part) / float64(whole))
}

// workBeforeLocked returns the waiting work that is placed before a new task. hasRoom is set if all
// tasks of its step find room now. They don't wait then for those that need a faster server.
func (s *Shard) workBeforeLocked(n PlacementRequest, key placementKey, hasRoom bool) time.Duration {
	if !s.fleet.unevenSpeeds() {
		return s.waiting.workAhead(key, false, n.Now+n.Slack)
	}
	required := int8(anySpeed)
	if hasRoom {
		required = requiredSpeed(n.Estimate, n.Slack+n.Estimate)
	}
	return s.waiting.competingWork(n.Now, key, false, n.Now+n.Slack, required)
}
