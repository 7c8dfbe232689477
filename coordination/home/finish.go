package home

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

const (
	// settleRetry is the first pause before an agent is asked again what it
	// started; it doubles from there.
	settleRetry = 10 * time.Millisecond
	// maxAsks bounds how often a silent agent is asked about one job.
	maxAsks = 10
)

// stop ends a job that can't go on. If some part was started it has failed. If
// nothing was, it has not run, but only once the agents that were given tasks
// have ruled them out.
func (p *pool) stop(now time.Time, j *job, reason state.Reason, retryAfter time.Duration) []coordination.Action {
	switch {
	case j.started():
		return p.finish(now, j, state.Failed, reason, 0)
	case !j.uncertain():
		return p.finish(now, j, state.NotRun, reason, retryAfter)
	}
	p.leaveBacklog(j)
	j.phase = settling
	j.reason = reason
	j.retryAfter = retryAfter
	j.settleBy = now.Add(p.o.Settle)
	var out []coordination.Action
	for i := range j.contacts {
		c := &j.contacts[i]
		if c.outstanding > 0 {
			c.asked = 0
			out = append(out, p.drop(now, j, c))
		}
	}
	p.schedule(j, j.nextWake())
	return out
}

// drop asks an agent to give up a job's tasks and say which had started.
func (p *pool) drop(now time.Time, j *job, c *contact) coordination.Action {
	c.askAt = now.Add(settleRetry << c.asked)
	c.asked++
	j.stats.Messages++
	j.stats.Waste(message.WasteDrop, 1)
	indexes, tries := j.at(c.agent)
	return coordination.Send{To: c.agent, Msg: message.Drop{Key: j.key, Indexes: indexes, Tries: tries}}
}

// settled ends a settling job once it is known whether something was started.
func (p *pool) settled(now time.Time, j *job) []coordination.Action {
	switch {
	case j.started():
		return p.finish(now, j, state.Failed, j.reason, 0)
	case !j.uncertain():
		return p.finish(now, j, state.NotRun, j.reason, j.retryAfter)
	}
	return nil
}

// wakeSettling tells the waiters "unknown" when the agents' word takes too long.
// Settling goes on, for those who ask later.
func (p *pool) wakeSettling(now time.Time, j *job) []coordination.Action {
	if j.settleBy.IsZero() || now.Before(j.settleBy) {
		return nil
	}
	j.settleBy = time.Time{}
	p.o.Metrics.answered(state.Unknown, j.reason)
	return j.tellWaiters(now, message.Answer{
		Key: j.key, Outcome: state.Unknown, Reason: j.reason, RetryAfter: retryLater, Epoch: j.epoch,
	})
}

// resettle repeats the question to silent agents, and gives up after a while.
func (p *pool) resettle(now time.Time, j *job) []coordination.Action {
	var out []coordination.Action
	silent := true
	for i := range j.contacts {
		c := &j.contacts[i]
		due := !now.Before(c.askAt)
		if c.outstanding == 0 {
			continue
		}
		if c.asked >= maxAsks && due {
			// Given up. A time that stays in the past would wake the job again
			// and again in one tick, which then never ends, while another agent
			// is still being asked.
			c.askAt = time.Time{}
			continue
		}
		silent = false
		if due {
			out = append(out, p.drop(now, j, c))
		}
	}
	if silent && j.settleBy.IsZero() {
		return append(out, p.finish(now, j, state.Unknown, j.reason, 0)...)
	}
	p.schedule(j, j.nextWake())
	return out
}

// askAgain repeats an Assign to agents that have been silent for long. The
// agent starts what it has not seen and reports on the rest, so that neither a
// lost Assign nor a lost Report leaves the job hanging.
func (p *pool) askAgain(now time.Time, j *job) []coordination.Action {
	var out []coordination.Action
	for i := range j.contacts {
		c := &j.contacts[i]
		if c.outstanding == 0 || c.askAt.IsZero() || now.Before(c.askAt) {
			continue
		}
		c.asked++
		c.askAt = time.Time{}
		if c.asked < maxAsks {
			c.askAt = now.Add(p.patience() << c.asked)
		}
		a := p.agents[c.agent]
		if a == nil {
			continue
		}
		indexes, _ := j.at(c.agent)
		j.stats.Messages++
		j.stats.Waste(message.WasteRepeat, 1)
		p.o.Metrics.resent()
		out = append(out, p.assign(now, j, a, indexes, a.told))
	}
	return out
}

// finish answers every waiter, stores the answer and drops what still runs.
func (p *pool) finish(now time.Time, j *job, outcome state.Outcome, reason state.Reason, retryAfter time.Duration) []coordination.Action {
	var out []coordination.Action
	if j.phase == running {
		p.leaveBacklog(j)
		out = p.dropAll(now, j)
	}
	j.phase = finished
	j.wake = time.Time{}
	a := message.Answer{
		Key: j.key, Attempt: j.attempt, Outcome: outcome, Reason: reason, Detail: j.detail,
		RetryAfter: retryAfter, Epoch: j.epoch,
	}
	if outcome == state.Complete {
		a.Results = make([]state.TaskResult, len(j.tasks))
		for i := range j.tasks {
			a.Results[i] = j.tasks[i].result
		}
	}
	for i := range j.batches {
		if !j.batches[i].useful {
			j.stats.Waste(message.WasteAssign, 1)
		}
	}
	j.stats.Waste(message.WasteBacklog, j.asks)
	j.stats.Elapsed = now.Sub(j.arrived)
	j.stats.Messages += len(j.waiters)
	a.Stats = j.stats
	j.answer = a
	p.o.Metrics.answered(outcome, reason)
	told := j.tellWaiters(now, a)
	p.store(now, j)
	return append(told, out...)
}

// leaveBacklog takes the job's waiting tasks out of the pool.
func (p *pool) leaveBacklog(j *job) {
	if j.phase != running || len(j.backlog) == 0 {
		return
	}
	p.waiting.remove(j)
	p.backlog -= len(j.backlog)
	j.backlog = nil
}

// dropAll tells each agent that still holds tasks of the job to give them up.
func (p *pool) dropAll(now time.Time, j *job) []coordination.Action {
	var out []coordination.Action
	for i := range j.contacts {
		c := &j.contacts[i]
		if c.outstanding == 0 {
			continue
		}
		c.outstanding = 0
		j.stats.Messages++
		j.stats.Waste(message.WasteDrop, 1)
		out = append(out, coordination.Send{To: c.agent, Msg: message.Drop{Key: j.key}})
	}
	return out
}

// tellWaiters sends an answer to all who wait.
func (j *job) tellWaiters(now time.Time, a message.Answer) []coordination.Action {
	out := make([]coordination.Action, 0, len(j.waiters))
	for _, w := range j.waiters {
		a.Attempt = w.attempt
		if a.Outcome == state.NotRun {
			j.refused = append(j.refused, w.attempt)
		}
		out = append(out, coordination.Send{To: w.from, Msg: a})
	}
	j.waiters = nil
	return out
}

// answerTo returns the stored answer for another attempt.
func (j *job) answerTo(attempt message.Attempt) message.Answer {
	a := j.answer
	a.Attempt = attempt
	return a
}
