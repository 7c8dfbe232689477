package home

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/coordination/place"
)

// assignment is one Assign in the making.
type assignment struct {
	j       *job
	a       *agent
	indexes []int
}

// round is one pass of placing tasks. The tasks of one job for one agent go in
// one message.
type round struct {
	list []assignment
}

func (r *round) add(j *job, a *agent, indexes []int) {
	for i := range r.list {
		if r.list[i].j == j && r.list[i].a == a {
			r.list[i].indexes = append(r.list[i].indexes, indexes...)
			return
		}
	}
	r.list = append(r.list, assignment{j, a, indexes})
}

// dispatch places as many waiting tasks as there is room for, and asks agents
// for room if some are left.
func (p *pool) dispatch(now time.Time) []coordination.Action {
	var r round
	for p.waiting.len() > 0 && p.placeOne(now, &r) {
	}
	out := p.send(now, &r)
	if p.waiting.len() > 0 {
		p.noteStuck(now)
		out = append(out, p.askForRoom(now)...)
	}
	return out
}

// placeOne places tasks of the first job that finds an agent.
func (p *pool) placeOne(now time.Time, r *round) bool {
	placed := false
	if !p.anyRoom(now) {
		return false
	}
	looked := 0
	p.waiting.inTurn(func(j *job) bool {
		if looked++; looked > lookAhead {
			return false
		}
		a := p.choose(now, &j.tasks[j.backlog[0]])
		if a == nil {
			return true
		}
		p.take(now, r, j, a, p.share(j, a))
		placed = true
		return false
	})
	return placed
}

// lookAhead bounds how many jobs are considered when the first ones fit nowhere.
const lookAhead = 16

func (p *pool) anyRoom(now time.Time) bool {
	for _, a := range p.list {
		if a.open(now) && a.free > 0 {
			return true
		}
	}
	return false
}

// share is how many tasks of a job go to an agent in one go: up to half of its
// free slots, because other homes see the same slots.
func (p *pool) share(j *job, a *agent) int {
	return min(len(j.backlog), max(1, (a.free+1)/2))
}

// choose returns the better of two agents with room for the task, or nil.
func (p *pool) choose(now time.Time, t *task) *agent {
	p.eligible = p.eligible[:0]
	for _, a := range p.list {
		if a.open(now) && a.load.Fits(&t.spec) && a.room(now, t.bounced) > 0 {
			p.eligible = append(p.eligible, a)
		}
	}
	i := place.BetterOfTwo(p.rng, len(p.eligible), func(i int) int { return p.eligible[i].free })
	if i < 0 {
		return nil
	}
	return p.eligible[i]
}

// take moves up to n tasks from a job's backlog to an agent.
func (p *pool) take(now time.Time, r *round, j *job, a *agent, n int) {
	n = min(n, len(j.backlog))
	r.add(j, a, slices.Clone(j.backlog[:n]))
	j.backlog = j.backlog[n:]
	p.backlog -= n
	a.push(now, n)
	if len(j.backlog) == 0 {
		p.waiting.remove(j)
	} else {
		j.orderAt = p.orderTime(j)
		p.waiting.moved(j)
	}
	p.waiting.rotate(j.operator)
}

// send turns a round into messages.
func (p *pool) send(now time.Time, r *round) []coordination.Action {
	var out []coordination.Action
	for i := range r.list {
		x := &r.list[i]
		j, a := x.j, x.a
		j.batches = append(j.batches, batch{})
		for _, index := range x.indexes {
			t := &j.tasks[index]
			t.phase = assigned
			t.agent = a.load.ID
			t.batch = len(j.batches) - 1
		}
		c := j.contact(a.load.ID)
		c.outstanding += len(x.indexes)
		c.askAt = now.Add(p.patience())
		c.asked = 0
		p.schedule(j, j.nextWake())
		j.stats.Messages++
		backlog := p.tell(now, a, j.operator)
		out = append(out, p.assign(now, j, a, x.indexes, backlog))
	}
	return out
}

// maxTold bounds the backlog that an agent is told of. The Assign that answers
// its offer tells it anew, so little is lost by a low number, while a high one
// draws offers long after the tasks went elsewhere.
const maxTold = 2

// operatorBacklog counts an operator's waiting tasks, up to maxTold.
func (p *pool) operatorBacklog(operator string) int {
	n := 0
	for i := range p.waiting.operators {
		if p.waiting.operators[i].operator != operator {
			continue
		}
		for _, j := range p.waiting.operators[i].jobs {
			if n += len(j.backlog); n >= maxTold {
				return maxTold
			}
		}
	}
	return n
}

// tell returns how much backlog an agent is told of, and notes it. What other
// agents have been told of draws their offers; if each were told of the same few
// tasks, most would offer a slot when those are gone.
func (p *pool) tell(now time.Time, a *agent, operator string) int {
	known := 0
	for _, x := range p.list {
		if x != a && x.knowsBacklog(now) {
			known += x.told
		}
	}
	n := min(p.operatorBacklog(operator), max(0, p.backlog-known))
	a.told, a.toldAt = n, now
	return n
}

func (p *pool) assign(now time.Time, j *job, a *agent, indexes []int, backlog int) coordination.Action {
	m := message.Assign{
		Key: j.key, Operator: j.operator, Repeatable: j.repeatable,
		Indexes: indexes, Backlog: backlog, Override: p.override,
		Priority: p.o.PriorityOf(j.operator),
	}
	for _, i := range indexes {
		m.Tasks = append(m.Tasks, j.tasks[i].spec)
		m.Tries = append(m.Tries, j.tasks[i].try)
	}
	if !j.deadline.IsZero() {
		m.Deadline = max(1, j.deadline.Sub(now))
	}
	return coordination.Send{To: a.load.ID, Msg: m}
}

// askForRoom tells some agents that tasks wait here, so that they offer their
// next free slot.
func (p *pool) askForRoom(now time.Time) []coordination.Action {
	know := 0
	var rest []*agent
	for _, a := range p.list {
		switch {
		case !a.open(now):
		case a.knowsBacklog(now):
			know++
		default:
			rest = append(rest, a)
		}
	}
	var out []coordination.Action
	for want := p.askCount(); know < want && len(rest) > 0; know++ {
		i := place.BetterOfTwo(p.rng, len(rest), func(i int) int { return rest[i].free })
		a := rest[i]
		rest = slices.Delete(rest, i, i+1)
		j := p.waiting.first()
		a.told, a.toldAt = p.operatorBacklog(j.operator), now
		j.stats.Messages++
		j.asks++
		p.o.Metrics.asked()
		out = append(out, p.assign(now, j, a, nil, a.told))
	}
	return out
}

// askCount is how many agents should know of the backlog.
func (p *pool) askCount() int {
	return max(p.o.Ask, (p.backlog+p.o.AskPer-1)/p.o.AskPer)
}

// credit places waiting tasks at an agent that offered slots.
func (p *pool) credit(now time.Time, a *agent, n int) []coordination.Action {
	a.told = max(0, a.told-n)
	var r round
	for ; n > 0 && p.waiting.len() > 0; n-- {
		j := p.firstFitting(a)
		if j == nil {
			break
		}
		p.take(now, &r, j, a, 1)
	}
	if len(r.list) == 0 {
		a.told = 0
	}
	return p.send(now, &r)
}

func (p *pool) firstFitting(a *agent) *job {
	var found *job
	looked := 0
	p.waiting.inTurn(func(j *job) bool {
		if looked++; looked > lookAhead {
			return false
		}
		if a.load.Fits(&j.tasks[j.backlog[0]].spec) {
			found = j
		}
		return found == nil
	})
	return found
}

const (
	// stuckGrace is how long jobs wait while no agent takes anything at all;
	// stuckStarted is the same for a job of which some part has run.
	stuckGrace   = 200 * time.Millisecond
	stuckStarted = 5 * time.Second
)

// noteStuck starts the clock of waiting jobs when every agent refuses.
func (p *pool) noteStuck(now time.Time) {
	for _, a := range p.list {
		if a.open(now) {
			return
		}
	}
	p.waiting.inTurn(func(j *job) bool {
		if j.graceUntil.IsZero() {
			j.stuckSince = now
			j.graceUntil = now.Add(stuckGrace)
			p.schedule(j, j.nextWake())
		}
		return true
	})
}

// patience is how long an agent may be silent about tasks: well beyond the
// longest run seen of late, because a running task makes no messages.
func (p *pool) patience() time.Duration {
	return max(p.o.Resend, 2*p.longest)
}
