package model

import (
	"fmt"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/state/job"
)

var taskDemand = job.Demand{CPUMillis: 1000, MemoryMB: 100}

// client submits jobs, queries their state and cancels some of them.
type client struct {
	w    *world
	jobs map[job.ID]*clientJob
	ids  []job.ID
}

type clientJob struct {
	spec       job.Spec
	atMostOnce bool
	// crashesServer is set if the first task crashes each backend server that starts it.
	crashesServer bool
	// accepted and refused are set by the responses to the client, and outcomeUnknown once a
	// submission had no known outcome.
	accepted, refused, outcomeUnknown bool
	// final is the final state that the client was shown; finalShown is set once there is one.
	final      job.State
	finalShown bool
}

// attempts returns how many runs of a task may fail.
func (j *clientJob) attempts() int {
	if j.atMostOnce {
		return 1
	}
	return 3
}

func (c *client) start() {
	for at := time.Duration(0); at < faultsEnd; at += c.w.randUpTo(600 * time.Millisecond) {
		c.w.after(at, c.submit)
	}
	c.checkStates()
}

// crasherShare is the share of the repeatable jobs whose first task crashes its backend servers.
const crasherShare = 0.06

// crashes reports whether a task crashes its backend servers.
func (c *client) crashes(id job.TaskID) bool {
	return c.jobs[id.Job].crashesServer && id.Step == 0 && id.Index == 0
}

func (c *client) submit() {
	id := job.ID(fmt.Sprintf("%016x", len(c.ids)))
	j := &clientJob{atMostOnce: c.w.chance(0.3)}
	j.crashesServer = !j.atMostOnce && c.w.chance(crasherShare)
	j.spec = job.Spec{Steps: []job.Step{{Count: 1 + c.w.rand.IntN(3), Demand: taskDemand, Estimate: 400 * time.Millisecond}}}
	if c.w.chance(0.3) {
		j.spec.Steps = append(j.spec.Steps, job.Step{Count: 1, Demand: taskDemand, Estimate: 100 * time.Millisecond, DependsOn: []int{0}})
	}
	c.jobs[id] = j
	c.ids = append(c.ids, id)
	c.try(id, j)
}

// pickOwner returns the owner that the client's entry takes for the current one. It may be the
// previous owner.
func (c *client) pickOwner() *ownerModel {
	o := c.w.newestOwner()
	if n := len(c.w.owners); n > 1 && c.w.chance(0.2) {
		o = c.w.owners[n-2]
	}
	return o
}

func (c *client) try(id job.ID, j *clientJob) {
	o := c.pickOwner()
	if o.dead {
		c.retryLater(id, j)
		return
	}
	answered := false
	o.run(func() {
		p := job.Policy{Queue: "q", Service: "desk", MaxAttempts: j.attempts(), AtMostOnce: j.atMostOnce, Slack: 1, Target: time.Hour}
		fx := o.shard.Submit(c.w.now, id, j.spec, p, func(v owner.Response) {
			answered = true
			c.handleResponse(id, j, v)
		})
		if c.w.mutant == acceptedBeforeWrite && o.shard.KnownState(id).Outcome == owner.Absent && !o.shard.Closed() {
			c.handleResponse(id, j, owner.Response{Outcome: owner.OK})
		}
		o.apply(fx)
	})
	c.w.after(2*time.Second, func() {
		if !answered && !j.accepted && !j.refused {
			j.outcomeUnknown = true
			c.retryLater(id, j)
		}
	})
}

func (c *client) retryLater(id job.ID, j *clientJob) {
	c.w.after(100*time.Millisecond+c.w.randUpTo(200*time.Millisecond), func() {
		if !j.accepted && !j.refused {
			c.try(id, j)
		}
	})
}

func (c *client) handleResponse(id job.ID, j *clientJob, v owner.Response) {
	switch v.Outcome {
	case owner.OK:
		j.accepted = true
		if c.w.chance(0.1) {
			c.w.after(c.w.randUpTo(time.Second), func() { c.cancel(id) })
		}
	case owner.Refused:
		if j.outcomeUnknown || j.accepted {
			c.retryLater(id, j)
			return
		}
		if c.w.chance(0.5) {
			// The client gives up and relies on the refusal: the job must never run.
			j.refused = true
			if c.started(id) {
				c.w.addViolation(string(id), "job %s was refused and has run", id)
			}
			return
		}
		c.retryLater(id, j)
	default:
		j.outcomeUnknown = j.outcomeUnknown || v.Outcome == owner.Unknown
		c.retryLater(id, j)
	}
}

func (c *client) started(id job.ID) bool {
	for task, t := range c.w.ledger {
		if task.Job == id && t.starts > 0 {
			return true
		}
	}
	return false
}

func (c *client) cancel(id job.ID) {
	if o := c.pickOwner(); !o.dead {
		o.run(func() {
			o.apply(o.shard.Cancel(c.w.now, id, func(v owner.Response) {
				if v.Outcome == owner.Absent {
					c.w.addViolation(string(id), "job %s was accepted and %s says that there is none to cancel", id, o.name)
				}
			}))
		})
	}
}

// checkStates queries all jobs at the newest owner, where no final state that was shown may change, and at
// the owner that an entry takes for it. Neither may say that an accepted job is unknown.
func (c *client) checkStates() {
	for _, o := range []*ownerModel{c.w.newestOwner(), c.pickOwner()} {
		if !o.dead && c.w.now >= o.frozenUntil && !o.shard.Closed() {
			c.query(o)
		}
	}
	if !c.w.quiet || c.w.now < time.Hour+faultsEnd {
		c.w.after(200*time.Millisecond, c.checkStates)
	}
}

func (c *client) query(o *ownerModel) {
	for _, id := range c.ids {
		accepted := c.jobs[id].accepted
		known := o.shard.KnownState(id)
		if o == c.w.newestOwner() && known.Outcome == owner.OK && !o.shard.Unverified() {
			c.checkState(id, known)
		}
		if !accepted {
			continue
		}
		checkKnown := func(v owner.Response) {
			if v.Outcome == owner.Absent {
				c.w.addViolation(string(id), "job %s was accepted and %s says that it is unknown", id, o.name)
			}
		}
		if !c.w.mutant.asksStore() {
			checkKnown(known)
			continue
		}
		o.apply(o.shard.Lookup(c.w.now, id, checkKnown))
	}
}

func (c *client) checkState(id job.ID, v owner.Response) {
	j := c.jobs[id]
	switch {
	case v.Outcome != owner.OK:
	case j.finalShown && v.State != j.final:
		c.w.addViolation(string(id), "job %s was shown as %v and is %v now", id, j.final, v.State)
	case v.State.Final():
		j.finalShown, j.final = true, v.State
		if v.State == job.Failed && !c.hasFailed(id) && !slices.Contains([]string{owner.FailureCrashed, owner.FailureLost}, v.Failure) {
			c.w.addViolation(string(id), "job %s has failed before a task had used up its attempts: %s", id, v.Failure)
		}
	}
}

// hasFailed reports whether a task of a job has used up its attempts.
func (c *client) hasFailed(id job.ID) bool {
	for task, t := range c.w.ledger {
		if task.Job == id && t.failures >= c.jobs[id].attempts() {
			return true
		}
	}
	return false
}

// checkAllEnded checks, long after the last fault, that all jobs have ended.
func (c *client) checkAllEnded() {
	for _, id := range c.ids {
		j := c.jobs[id]
		if c.w.quiet && !c.w.newestOwner().dead {
			c.checkState(id, c.w.newestOwner().shard.KnownState(id))
		}
		switch {
		case j.accepted && !j.finalShown:
			c.w.addViolation(string(id), "job %s was accepted and has not ended", id)
		case !j.accepted && !j.refused:
			c.w.addViolation(string(id), "job %s was never answered", id)
		case j.crashesServer && j.final == job.Completed:
			c.w.addViolation(string(id), "job %s was completed although its first task crashes each backend server", id)
		}
		if j.atMostOnce && j.final != job.Cancelled {
			c.checkStartedOnce(id)
		}
	}
}

// checkStartedOnce checks that no task of a job that must not be repeated was started twice.
func (c *client) checkStartedOnce(id job.ID) {
	for task, t := range c.w.ledger {
		if task.Job == id && t.starts > 1 {
			c.w.addViolation(string(task.Job), "task %v, which must not be repeated, was started %d times", task, t.starts)
		}
	}
}
