package home

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// report takes an agent's word on tasks, and its load and offers beside it.
func (p *pool) report(now time.Time, from state.NodeID, m *message.Report) []coordination.Action {
	a := p.agents[from]
	if a != nil {
		a.down, a.probe = false, false
	}
	if a != nil && m.Load.ID == from {
		a.learn(now, m.Load)
		a.heardAt = now
	}
	var out []coordination.Action
	useful := false
	j := p.jobs[m.Key.ID]
	if j != nil && (j.phase == running || j.phase == settling) {
		j.stats.Messages++
		useful = p.takeResults(now, j, from, m)
		p.pace.add(now, len(m.Results), p.backlog > 0)
		p.takeRefused(now, j, from, a, m)
		p.takeRunning(now, j, from, m)
		out = p.advance(now, j)
	}
	if a != nil && m.Credit > 0 && !a.history.out {
		offered := p.credit(now, a, m.Credit)
		useful = useful || len(offered) > 0
		out = append(out, offered...)
	}
	if j != nil && !useful {
		j.stats.Waste(message.WasteReport, 1)
		if j.phase == finished {
			// The answer is out; the count stays with the stored one.
			j.answer.Stats.Waste(message.WasteReport, 1)
			j.answer.Stats.Messages++
		}
	}
	if p.waiting.len() > 0 {
		out = append(out, p.dispatch(now)...)
	}
	return out
}

// takeResults stores first results and reports whether there was one.
func (p *pool) takeResults(now time.Time, j *job, from state.NodeID, m *message.Report) bool {
	first := false
	for i := range m.Results {
		r := &m.Results[i]
		if r.Index < 0 || r.Index >= len(j.tasks) {
			continue
		}
		t := &j.tasks[r.Index]
		if t.phase != assigned || t.agent != from {
			continue
		}
		t.phase = done
		t.result = *r
		j.left--
		j.contact(from).outstanding--
		j.batches[t.batch].useful = true
		j.stats.Total += r.Ran
		j.stats.Longest = max(j.stats.Longest, r.Ran)
		if r.Err == "" {
			p.sawPace(from, &t.spec, r.Ran)
		}
		p.sawRun(&t.spec, r.Ran)
		if r.Err != "" && j.failed == nil {
			j.failed = &t.result
		}
		first = true
	}
	return first
}

// runDecay is the part by which the run times seen before count less with each
// result.
const runDecay = 200

func (p *pool) sawRun(t *state.Task, ran time.Duration) {
	p.longest -= p.longest / runDecay
	p.longest = max(p.longest, ran)
	p.runs.add(t, ran)
}

// takeRefused moves refused tasks back into the backlog. A refusal counts for
// the try it names: an older one, late or repeated, is of a placement that has
// been dealt with, and taking it for the present one would start the task twice.
func (p *pool) takeRefused(now time.Time, j *job, from state.NodeID, a *agent, m *message.Report) {
	moved, kept := 0, false
	for i, index := range m.Refused {
		if index < 0 || index >= len(j.tasks) {
			continue
		}
		t := &j.tasks[index]
		try := uint32(0)
		if i < len(m.Tries) {
			try = m.Tries[i]
		}
		if t.phase != assigned || t.agent != from || try < t.try {
			continue
		}
		t.phase = waiting
		t.agent = ""
		t.try++
		t.started = false
		t.bounced = m.Reason == state.ReasonBusy && try >= message.KeepFrom
		kept = kept || t.bounced
		j.contact(from).outstanding--
		j.backlog = append(j.backlog, index)
		moved++
		p.o.Metrics.moved(m.Reason)
	}
	if moved == 0 {
		return
	}
	if j.phase == running {
		p.backlog += moved
		if len(j.backlog) == moved {
			j.orderAt = p.orderTime(j)
			p.waiting.push(j)
		}
	}
	if a != nil {
		p.shun(now, a, m, kept)
	}
}

// shun keeps tasks from an agent that refused some.
func (p *pool) shun(now time.Time, a *agent, m *message.Report, kept bool) {
	switch m.Reason {
	case state.ReasonBusy:
		p.refusedAt = now
		a.free = min(a.free, 0)
		// The agent has noted the refused tasks as backlog.
		if kept {
			a.told, a.toldAt = max(1, a.told), now
		}
		return
	case state.ReasonDeadline:
		return
	}
	a.avoid(now.Add(max(m.RetryAfter, retrySoon/5)), m.Reason)
}

// takeRunning notes what the agent says that it holds. While the job settles
// the agent has ruled out all that had not started, so the rest has.
func (p *pool) takeRunning(now time.Time, j *job, from state.NodeID, m *message.Report) {
	for _, index := range m.Running {
		if index < 0 || index >= len(j.tasks) {
			continue
		}
		t := &j.tasks[index]
		if t.phase == assigned && t.agent == from && j.phase == settling {
			t.started = true
			j.batches[t.batch].useful = true
		}
	}
}

// deadlineSlack is how long before the deadline, by this node's clock, a failed
// task still counts as one that the deadline ended. The backend server has its
// own clock on the task and gives it up a moment before or after.
const deadlineSlack = 50 * time.Millisecond

// failure is why the job failed. A task that is ended by the deadline fails at
// its backend server, and the news may be here before the deadline is: the
// caller would be told that its task is at fault. The deadline that counts is the
// one that the task was started with.
func (j *job) failure(now time.Time) state.Reason {
	until := j.tasks[j.failed.Index].until
	if !until.IsZero() && !now.Add(deadlineSlack).Before(until) {
		return state.ReasonDeadline
	}
	return state.ReasonTaskFailed
}

// advance ends the job if its outcome is known.
func (p *pool) advance(now time.Time, j *job) []coordination.Action {
	if j.phase == settling {
		return p.settled(now, j)
	}
	switch {
	case j.failed != nil:
		j.detail = j.failed.Err
		return p.finish(now, j, state.Failed, j.failure(now), 0)
	case j.left == 0:
		return p.finish(now, j, state.Complete, state.ReasonNone, 0)
	}
	return nil
}
