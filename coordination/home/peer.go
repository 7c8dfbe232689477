package home

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
)

// reconnectPause is how soon an agent is asked again after the link to it broke.
const reconnectPause = 20 * time.Millisecond

// peerDown asks the agent again soon about every task it holds.
func (p *pool) peerDown(now time.Time, id state.NodeID) []coordination.Action {
	a := p.agents[id]
	if a == nil {
		return nil
	}
	a.down = true
	a.told = 0
	for _, j := range p.jobsAt(id) {
		j.contact(id).askAt = now.Add(reconnectPause)
		p.schedule(j, j.nextWake())
	}
	return nil
}

// probeDown asks agents to which the link broke for a sign of life: it offers
// them backlog, which they answer when they have room.
func (p *pool) probeDown(now time.Time, j *job) []coordination.Action {
	var out []coordination.Action
	for _, a := range p.list {
		if !a.probe {
			continue
		}
		a.probe = false
		a.told, a.toldAt = 1, now
		j.stats.Messages++
		j.asks++
		p.o.Metrics.asked()
		out = append(out, p.assign(now, j, a, nil, 1))
	}
	return out
}

// peerGone gives up on the agent. A task that it was given and has not refused
// may have started there, and starting it elsewhere could run it twice, so its
// job has failed.
func (p *pool) peerGone(now time.Time, id state.NodeID) []coordination.Action {
	var out []coordination.Action
	for _, j := range p.jobsAt(id) {
		j.contact(id).outstanding = 0
		out = append(out, p.finish(now, j, state.Failed, state.ReasonAgentLost, 0)...)
	}
	delete(p.agents, id)
	p.list = slices.DeleteFunc(p.list, func(a *agent) bool { return a.load.ID == id })
	return out
}

// jobsAt returns the jobs with tasks at an agent, the oldest first.
func (p *pool) jobsAt(id state.NodeID) []*job {
	var out []*job
	for _, j := range p.jobs {
		for i := range j.contacts {
			if j.contacts[i].agent == id && j.contacts[i].outstanding > 0 {
				out = append(out, j)
			}
		}
	}
	slices.SortFunc(out, func(a, b *job) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.key.ID, b.key.ID))
	})
	return out
}
