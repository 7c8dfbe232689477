package home

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// phase is how far a job came.
type phase uint8

const (
	// claiming: the pair has not yet recorded the claim.
	claiming phase = iota
	// running: the claim is ours, tasks are placed.
	running
	// settling: the job ends without having run as a whole, and it is being
	// found out whether any part of it was started.
	settling
	// finished: answered; kept for resubmission.
	finished
)

// taskPhase is where a task is.
type taskPhase uint8

const (
	// waiting: with no agent; certainly not started.
	waiting taskPhase = iota
	// assigned: with an agent that has not said what became of it.
	assigned
	// done: has a result.
	done
)

type task struct {
	spec  state.Task
	phase taskPhase
	// agent and batch belong to the present assignment.
	agent state.NodeID
	batch int
	// try counts placements; see message.Assign.Tries. A refusal of an older
	// try, late or repeated, must not move the task a second time.
	try uint32
	// until is the deadline that the agent was told; zero means none.
	until time.Time
	// bounced: an agent that was taken to have room refused it as busy.
	bounced bool
	// started: the agent said so.
	started bool
	result  state.TaskResult
}

// waiter is a submission that has had no answer yet.
type waiter struct {
	from    state.NodeID
	attempt message.Attempt
}

// contact is the home's dealings with one agent about one job.
type contact struct {
	agent       state.NodeID
	outstanding int
	// askAt is when the agent is asked again if it stays silent.
	askAt time.Time
	asked int
	// patience is the first pause before that.
	patience time.Duration
}

// batch is one Assign: of use if it led to a first start.
type batch struct{ useful bool }

// job is one submission.
type job struct {
	key        state.JobKey
	operator   string
	digest     state.Digest
	repeatable bool
	phase      phase
	attempt    message.Attempt // the one that is being claimed
	epoch      state.Epoch
	fence      message.Fence // of that attempt
	tasks      []task
	// backlog holds the waiting tasks' indexes in the order to place them.
	backlog []int
	// orderAt is where a job with a backlog stands in its operator's order.
	orderAt time.Time
	left    int // tasks without result
	// failed is the result of the first task that failed.
	failed   *state.TaskResult
	arrived  time.Time
	deadline time.Time // zero means none
	waiters  []waiter
	// refused are the attempts that were told "not run". A late copy of one of
	// them must not start what its caller was told did not run.
	refused  []message.Attempt
	contacts []contact
	batches  []batch
	// graceUntil is when the job stops waiting for an agent that takes anything,
	// stuckSince when it began to because all of them had refused.
	graceUntil time.Time
	stuckSince time.Time
	stats      message.Stats
	// asks counts the messages that only told of the backlog. Stats count them as
	// wasted, even where an offer came of them: which one did is not known.
	asks int

	// reason, retryAfter and detail go into the answer.
	reason     state.Reason
	retryAfter time.Duration
	detail     string
	// settleBy is when waiters are told "unknown"; zero once they were.
	settleBy time.Time

	// holder is the node that the claim names if this node was handed the answer;
	// empty for its own jobs.
	holder state.NodeID
	// transfer is set while the answer is on its way to another home.
	transfer *transfer
	// movedTo is the home that has acknowledged the answer last.
	movedTo state.NodeID
	// answer is the stored answer; size its bytes.
	answer  message.Answer
	size    int
	expires time.Time
	// cancelled: stop as soon as the claim's verdict is known.
	cancelled bool
	wake      time.Time
}

// started reports whether some task is known to have been started.
func (j *job) started() bool {
	for i := range j.tasks {
		if j.tasks[i].phase == done || j.tasks[i].started {
			return true
		}
	}
	return false
}

// startedCount is how many tasks are known to have been started.
func (j *job) startedCount() int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].phase == done || j.tasks[i].started {
			n++
		}
	}
	return n
}

// undecided reports whether a task is with an agent that has not said whether it
// started it.
func (j *job) undecided() bool {
	for i := range j.tasks {
		if j.tasks[i].phase == assigned && !j.tasks[i].started {
			return true
		}
	}
	return false
}

// uncertain reports whether some task is with an agent.
func (j *job) uncertain() bool {
	for i := range j.contacts {
		if j.contacts[i].outstanding > 0 {
			return true
		}
	}
	return false
}

func (j *job) contact(agent state.NodeID) *contact {
	for i := range j.contacts {
		if j.contacts[i].agent == agent {
			return &j.contacts[i]
		}
	}
	j.contacts = append(j.contacts, contact{agent: agent})
	return &j.contacts[len(j.contacts)-1]
}

// at returns the indexes and tries of the tasks that are with an agent.
func (j *job) at(agent state.NodeID) (indexes []int, tries []uint32) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == assigned && t.agent == agent {
			indexes = append(indexes, i)
			tries = append(tries, t.try)
		}
	}
	return indexes, tries
}
