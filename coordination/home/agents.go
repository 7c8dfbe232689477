package home

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/place"
	"github.com/shallotstep/shallotstep/state"
)

const (
	// unseenFor is how long a push may be missing from an agent's own load:
	// about a round trip.
	unseenFor = 5 * time.Millisecond
	// freshFor is how long an agent's own report is taken as it stands.
	freshFor = 20 * time.Millisecond
	// oldAfter is how long ago an agent's own report is old: of eight slots with
	// usual tasks three or four have changed hands since.
	oldAfter = 300 * time.Millisecond
	// toldFor is how long an agent is taken to remember a backlog: a little less
	// than admit.DefaultInterestTTL.
	toldFor = 1900 * time.Millisecond
)

// agent is what the home knows of one agent, for one service.
type agent struct {
	load state.AgentLoad
	// free is how many slots are taken to be idle. Negative: tasks queue there.
	free int
	// pushed tasks since pushedAt may not be in load yet.
	pushed   int
	pushedAt time.Time
	// told is how much backlog the agent was told of and has not offered slots for.
	told   int
	toldAt time.Time
	// heardAt is when the agent itself last reported its load.
	heardAt time.Time
	// avoidUntil: it refused tasks, or the link to it broke.
	avoidUntil time.Time
	avoidFor   state.Reason
	// down: the link broke and nothing was heard of it since. probe: ask it.
	down    bool
	probe   bool
	history history
	// usable: it is among the view's candidates and takes new work.
	usable bool
	// extra: brought in for a task that no candidate of the view could hold.
	extra bool
}

// learn takes in a load if it is news. The same load again isn't: taking it in
// would forget the tasks sent since.
func (a *agent) learn(now time.Time, l state.AgentLoad) {
	if a.load.ID != "" && l.Seq <= a.load.Seq {
		return
	}
	a.load = l
	a.free = l.Free - l.Queued
	if now.Sub(a.pushedAt) < unseenFor {
		a.free -= a.pushed
	}
}

// push notes n tasks sent.
func (a *agent) push(now time.Time, n int) {
	if now.Sub(a.pushedAt) >= unseenFor {
		a.pushed = 0
		a.pushedAt = now
	}
	a.pushed += n
	a.free -= n
}

func (a *agent) avoid(until time.Time, why state.Reason) {
	if until.After(a.avoidUntil) {
		a.avoidUntil = until
		a.avoidFor = why
	}
}

func (a *agent) open(now time.Time) bool {
	return a.usable && !a.down && !now.Before(a.avoidUntil)
}

// room is how many tasks to send on what is known. A load that came by way of
// others is old. A task that was refused on such news isn't sent on it again:
// near full load it would be refused over and over, two messages each time. It
// waits for an agent's own word that it has room.
func (a *agent) room(now time.Time, refusedBefore bool) int {
	if refusedBefore && now.Sub(a.heardAt) >= freshFor {
		return 0
	}
	return a.free
}

// sureRoom is room without half of what old news calls free.
func (a *agent) sureRoom(now time.Time, refusedBefore bool) int {
	n := a.room(now, refusedBefore)
	if now.Sub(a.heardAt) >= oldAfter {
		return n / 2
	}
	return n
}

// knowsBacklog reports whether the agent will offer slots by itself.
func (a *agent) knowsBacklog(now time.Time) bool {
	return a.told > 0 && now.Sub(a.toldAt) < toldFor
}

// refreshEvery is how often the view is read while tasks wait.
const refreshEvery = 5 * time.Millisecond

// refresh reads the view. need is how many tasks there are to place.
func (p *pool) refresh(now time.Time, force bool, need int) {
	if !force && now.Before(p.refreshAt) {
		return
	}
	p.refreshAt = now.Add(refreshEvery)
	loads := p.o.View.Candidates(p.service)
	usable, override := place.Usable(loads)
	usable = p.withoutSlow(now, usable)
	p.override = override
	p.clearList()
	for i := range usable[:min(len(usable), p.width(now, need, usable))] {
		p.list = append(p.list, p.listed(now, &usable[i]))
	}
	if len(usable) == 0 {
		// Kept to tell why nothing can run.
		for i := range loads {
			a := p.listed(now, &loads[i])
			a.usable = false
			p.list = append(p.list, a)
		}
	}
	for _, a := range p.list {
		down, probe := p.links.isDown(now, a.load.ID)
		a.down, a.probe = down, a.probe && down || probe
	}
}

const (
	// tasksPerCandidate is for how many tasks to place one more agent is used.
	tasksPerCandidate = 4
	// idleShare is the part of all slots that are free where there is little to
	// do. Then one more agent is used for each task.
	idleShare = 0.5
	// newsWrongFor is how long a refusal as busy shows that the news of free slots
	// is wrong, as in a burst.
	newsWrongFor = 10 * time.Second
)

// width is how many of the view's candidates to use. A home that works with few
// agents hears of each of them often, in the reports on its own tasks, while the
// news that others spread is old. Large jobs need the slots of more. Where most
// slots are free, old news does little harm, and a job spread thinly leaves room
// at each agent for what other homes send there.
func (p *pool) width(now time.Time, need int, usable []state.AgentLoad) int {
	if p.backlog == 0 && now.Sub(p.refusedAt) > newsWrongFor && freeShare(usable) >= idleShare {
		return max(p.o.Narrow, need)
	}
	return max(p.o.Narrow, need/tasksPerCandidate)
}

// freeShare is the part of the slots that no task has or waits for.
func freeShare(loads []state.AgentLoad) float64 {
	free, slots := 0, 0
	for i := range loads {
		free += loads[i].Free - loads[i].Queued
		slots += loads[i].Slots
	}
	return float64(free) / float64(max(1, slots))
}

// clearList empties the list of agents but for the extra ones.
func (p *pool) clearList() {
	kept := p.list[:0]
	for _, a := range p.list {
		if a.extra {
			kept = append(kept, a)
		} else {
			a.usable = false
		}
	}
	p.list = kept
}

// listed returns the agent of a load, made usable.
func (p *pool) listed(now time.Time, l *state.AgentLoad) *agent {
	a := p.agents[l.ID]
	if a == nil {
		a = &agent{}
		p.agents[l.ID] = a
	}
	a.learn(now, *l)
	a.usable = true
	return a
}

// loads returns what is known of every agent in the list.
func (p *pool) loads() []state.AgentLoad {
	out := make([]state.AgentLoad, len(p.list))
	for i, a := range p.list {
		out[i] = a.load
	}
	return out
}

// addExtra brings in agents beyond those in use.
func (p *pool) addExtra(now time.Time, loads []state.AgentLoad) {
	for i := range loads {
		a := p.listed(now, &loads[i])
		a.usable = !loads[i].Draining && !loads[i].Ejected
		if !a.extra && !slices.Contains(p.list, a) {
			p.list = append(p.list, a)
		}
		a.extra = true
	}
}
