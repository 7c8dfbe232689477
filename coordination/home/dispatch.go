package home

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/coordination/place"
	"github.com/shallotstep/shallotstep/state"
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
		p.take(now, r, j, a, p.share(now, j, a))
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
// room, because other homes see the same slots.
func (p *pool) share(now time.Time, j *job, a *agent) int {
	return min(len(j.backlog), max(1, (a.sureRoom(now, false)+1)/2))
}

// choose returns the better of two agents with room for the task, or nil. Those
// that have room even if half of what old news calls free is taken go first.
func (p *pool) choose(now time.Time, t *task) *agent {
	if a := p.chooseBy(now, t, func(a *agent) int { return a.sureRoom(now, t.bounced) }); a != nil {
		return a
	}
	return p.chooseBy(now, t, func(a *agent) int { return a.room(now, t.bounced) })
}

func (p *pool) chooseBy(now time.Time, t *task, room func(*agent) int) *agent {
	p.eligible = p.eligible[:0]
	for _, a := range p.list {
		if a.open(now) && room(a) > 0 && a.load.Fits(&t.spec) {
			p.eligible = append(p.eligible, a)
		}
	}
	i := place.BetterOfTwo(p.rng, len(p.eligible), func(i int) int { return room(p.eligible[i]) })
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
		longest := time.Duration(0)
		for _, index := range x.indexes {
			t := &j.tasks[index]
			t.phase = assigned
			t.agent = a.load.ID
			t.until = j.deadline
			t.batch = len(j.batches) - 1
			longest = max(longest, p.runs.expect(&t.spec))
		}
		c := j.contact(a.load.ID)
		c.outstanding += len(x.indexes)
		c.patience = max(c.patience, p.patience(longest))
		c.askAt = now.Add(c.patience)
		c.asked = 0
		p.schedule(j, j.nextWake())
		j.stats.Messages++
		backlog := p.tell(now, a, j.operator)
		out = append(out, p.assign(now, j, a, x.indexes, backlog))
	}
	return out
}

func (p *pool) assign(now time.Time, j *job, a *agent, indexes []int, backlog int) coordination.Action {
	m := message.Assign{
		Key: j.key, Operator: j.operator, Repeatable: j.repeatable,
		Indexes: indexes, Backlog: backlog, Override: p.override,
		Priority: p.o.PriorityOf(j.operator),
	}
	if len(indexes) > 0 {
		m.Tasks = make([]state.Task, 0, len(indexes))
		m.Tries = make([]uint32, 0, len(indexes))
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
