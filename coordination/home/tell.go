package home

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/place"
)

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

// askPatience is how long a home waits for the offer of the one agent that it
// told of a small backlog. Eight slots with usual tasks free one in 70 ms.
const askPatience = 200 * time.Millisecond

// askForRoom tells some agents that tasks wait here, so that they offer their
// next free slot.
func (p *pool) askForRoom(now time.Time) []coordination.Action {
	know, slow := 0, 0
	var rest []*agent
	for _, a := range p.list {
		switch {
		case !a.open(now):
		case a.knowsBacklog(now) && now.Sub(a.toldAt) >= askPatience:
			slow++
		case a.knowsBacklog(now):
			know++
		default:
			rest = append(rest, a)
		}
	}
	var out []coordination.Action
	want := p.askCount()
	if want == 1 {
		// One agent may be slow, so that another is told too; not a third.
		slow = max(0, slow-1)
	}
	for know += slow; know < want && len(rest) > 0; know++ {
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
