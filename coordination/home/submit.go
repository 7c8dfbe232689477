package home

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// Pauses that callers are told to make before they come back.
const (
	retrySoon  = 100 * time.Millisecond
	retryLater = time.Second
)

func unknownJob(to state.NodeID, key state.JobKey, attempt message.Attempt) []coordination.Action {
	return reply(to, message.Answer{Key: key, Attempt: attempt, Outcome: state.Unknown, Reason: state.ReasonUnknownJob})
}

func reply(to state.NodeID, a message.Answer) []coordination.Action {
	return []coordination.Action{coordination.Send{To: to, Msg: a}}
}

// submit accepts a job, joins a running one or repeats a stored answer.
func (p *pool) submit(now time.Time, from state.NodeID, m *message.Submit, draining bool) []coordination.Action {
	j := p.jobs[m.Job.Key.ID]
	if m.Query {
		return p.query(from, m, j)
	}
	if j != nil {
		return p.again(now, from, m, j)
	}
	if draining {
		return p.turnAway(now, from, m)
	}
	j = newJob(now, from, m)
	p.jobs[j.key.ID] = j
	p.schedule(j, j.deadline)
	out := p.o.Claims.Claim(now, j.key, j.digest, j.attempt, j.epoch, j.fence)
	j.stats.Messages += claimMessages(out)
	return out
}

// turnAway refuses a new submission because this home is leaving. That the job
// is not known here doesn't make it "not run": an earlier home may have run it.
// So the guard has to rule the attempt out first.
func (p *pool) turnAway(now time.Time, from state.NodeID, m *message.Submit) []coordination.Action {
	a := message.Answer{
		Key: m.Job.Key, Attempt: m.Attempt, Outcome: state.Unknown, Reason: state.ReasonDraining,
		RetryAfter: retrySoon, Epoch: m.Epoch,
	}
	var out []coordination.Action
	if b, ok := p.o.Claims.(Barrer); ok {
		for _, act := range b.Handle(now, p.o.Self, message.Bar{Key: m.Job.Key, Attempt: m.Attempt, Epoch: m.Epoch}) {
			send, ok := act.(coordination.Send)
			r, isReply := send.Msg.(message.BarReply)
			if !ok || !isReply {
				out = append(out, act)
				continue
			}
			a.Epoch, a.Holder = r.Epoch, r.Holder
			if r.Barred {
				a.Outcome = state.NotRun
			}
			if !r.Barred || r.Reason == state.ReasonClaimsUnknown {
				a.Reason = r.Reason // the attempt may be ruled out, and its id not
			}
		}
	}
	if a.Holder == p.o.Self {
		a.Holder = ""
	}
	p.o.Metrics.answered(a.Outcome, a.Reason)
	return append(out, reply(from, a)...)
}

// claimMessages counts what a claim costs: each ask has a reply.
func claimMessages(actions []coordination.Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(coordination.Send); ok {
			n += 2
		}
	}
	return n
}

func newJob(now time.Time, from state.NodeID, m *message.Submit) *job {
	j := &job{
		key: m.Job.Key, operator: m.Job.Operator, digest: m.Digest, repeatable: m.Job.Repeatable,
		attempt: m.Attempt, epoch: m.Epoch, fence: m.Fence, arrived: now,
		tasks:   make([]task, len(m.Job.Tasks)),
		backlog: make([]int, len(m.Job.Tasks)),
		left:    len(m.Job.Tasks),
		waiters: []waiter{{from, m.Attempt}},
	}
	if m.Deadline > 0 {
		j.deadline = now.Add(m.Deadline)
	}
	j.stats.Messages = 1
	for i := range m.Job.Tasks {
		j.tasks[i].spec = m.Job.Tasks[i]
		j.backlog[i] = i
	}
	return j
}

func (p *pool) query(from state.NodeID, m *message.Submit, j *job) []coordination.Action {
	switch {
	case j == nil:
		return unknownJob(from, m.Job.Key, m.Attempt)
	case j.phase == finished:
		return reply(from, j.answerTo(m.Attempt))
	}
	return reply(from, message.Answer{Key: j.key, Attempt: m.Attempt, Outcome: state.Pending, Epoch: j.epoch})
}

// again takes a submission under an id that is known here.
func (p *pool) again(now time.Time, from state.NodeID, m *message.Submit, j *job) []coordination.Action {
	if j.digest != m.Digest {
		p.o.Metrics.answered(state.NotRun, state.ReasonIDConflict)
		return reply(from, message.Answer{
			Key: j.key, Attempt: m.Attempt, Outcome: state.NotRun, Reason: state.ReasonIDConflict, Epoch: j.epoch,
		})
	}
	w := waiter{from, m.Attempt}
	p.extend(now, j, m.Deadline)
	if j.phase != finished {
		if !slices.Contains(j.waiters, w) {
			j.waiters = append(j.waiters, w)
			return nil
		}
		return atWork(w, j)
	}
	if p.revivable(j) && !slices.Contains(j.refused, m.Attempt) && len(j.refused) < maxRefused {
		return p.revive(now, m, j, w)
	}
	return reply(from, j.answerTo(m.Attempt))
}

// extend lets a job work until the latest deadline of those who wait for it. Each
// entry tells its own callers when their time has passed; a job that ended with its
// first caller's would refuse those who submit it again and wait longer, though
// their work still runs. Tasks that an agent has keep the deadline that they were
// given, because a backend server can't be told another.
func (p *pool) extend(now time.Time, j *job, deadline time.Duration) {
	if j.deadline.IsZero() || j.phase != claiming && j.phase != running {
		return
	}
	if deadline <= 0 {
		j.deadline = time.Time{}
		return
	}
	if until := now.Add(deadline); until.After(j.deadline) {
		j.deadline = until
	}
}

// atWork is a sign of life for an entry that asks again. Without it the entry
// can't tell a long job from a home that has stopped, and asks the witness. While
// the claim is not granted there is nothing at work to vouch for.
func atWork(w waiter, j *job) []coordination.Action {
	if j.phase == claiming {
		return nil
	}
	return reply(w.from, message.Answer{Key: j.key, Attempt: w.attempt, Outcome: state.Pending, Epoch: j.epoch})
}

// maxRefused bounds how often a job may be refused as not run and come back.
const maxRefused = 100

// revive runs a job that was claimed and refused as not run, now that its
// caller comes back. The claim is still this home's. The tasks' tries go on
// counting, so that what the agents ruled out stays ruled out.
func (p *pool) revive(now time.Time, m *message.Submit, j *job, w waiter) []coordination.Action {
	tries := make([]uint32, len(j.tasks))
	for i := range j.tasks {
		tries[i] = j.tasks[i].try
	}
	p.unstore(j)
	n := newJob(now, w.from, m)
	n.refused = j.refused
	for i := range n.tasks {
		n.tasks[i].try = tries[i]
	}
	p.jobs[n.key.ID] = n
	return p.begin(now, n)
}

// granted starts a job whose claim is recorded.
func (p *pool) granted(now time.Time, g coordination.Granted) []coordination.Action {
	j := p.jobs[g.Key.ID]
	if j == nil || j.phase != claiming || j.attempt != g.Attempt {
		return nil
	}
	return p.begin(now, j)
}

// denied answers a job whose claim was not granted and forgets it.
func (p *pool) denied(now time.Time, d coordination.Denied) []coordination.Action {
	j := p.jobs[d.Key.ID]
	if j == nil || j.phase != claiming || j.attempt != d.Attempt {
		return nil
	}
	a := message.Answer{
		Key: j.key, Outcome: d.Outcome, Reason: d.Reason, RetryAfter: d.RetryAfter, Epoch: d.Epoch, Fence: d.Fence, Holder: d.Holder,
	}
	switch {
	case d.Reason == state.ReasonIDConflict:
		// The guard alone can tell whether this content may have run as well: its
		// outcome stands.
	case d.Holder == p.o.Self:
		// The claim is this home's from a time of which it no longer keeps the
		// job: it may have run, and there is nobody else to ask.
		a.Outcome, a.Reason, a.Holder = state.Unknown, state.ReasonUnknownJob, ""
	case d.Holder != "" && d.Outcome == state.NotRun:
		// Another holder may have run the id.
		a.Outcome = state.Unknown
	}
	j.phase = finished
	delete(p.jobs, j.key.ID)
	p.o.Metrics.answered(a.Outcome, a.Reason)
	return j.tellWaiters(now, a)
}

// cancel stops a job for everyone who waits for it. The sender gets the answer.
func (p *pool) cancel(now time.Time, from state.NodeID, m *message.Cancel) []coordination.Action {
	j := p.jobs[m.Key.ID]
	if j == nil {
		return unknownJob(from, m.Key, m.Attempt)
	}
	if j.phase == finished {
		return reply(from, j.answerTo(m.Attempt))
	}
	if w := (waiter{from, m.Attempt}); !slices.Contains(j.waiters, w) {
		j.waiters = append(j.waiters, w)
	}
	switch j.phase {
	case claiming:
		j.cancelled = true
		return nil
	case settling:
		return nil
	}
	return p.stop(now, j, state.ReasonCancelled, 0)
}
