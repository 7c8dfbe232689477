package home

import (
	"math"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/place"
	"github.com/shallotstep/shallotstep/state"
)

// A worker that runs everything several times slower than its peers, and fails
// nothing, is found by nobody else: its slots free up now and then, it answers
// each message at once, and each task that goes there decides its job's response.
// A home knows how long a task should run, and so holds the agents' results
// against one another. It leaves out the slow ones, tries one again after a pause
// with the few tasks that find its way there, and brings it back when those are
// no slower than elsewhere.
const (
	// slowBy is by how much slower than the middle agent makes a straggler.
	slowBy = 2.0
	// slowDoubt is what few results are doubted by, over the root of their number,
	// in logarithms: run times of one service differ by a factor of twenty.
	slowDoubt = 1.2
	// slowResults is the least number of results that say anything.
	slowResults = 3
	// slowKeep is about how many results a history rests on.
	slowKeep = 20
	// The pause before a straggler is tried again doubles from the first to the
	// last of these.
	slowPauseFirst = 20 * time.Second
	slowPauseMax   = 5 * time.Minute
)

// history is how an agent's results compare with what their tasks should run.
type history struct {
	results float64
	// over is the sum of the logarithms of run times over expected ones. Both
	// sums decay.
	over float64
	// leftOut until: found to be slow.
	until time.Time
	pause time.Duration
	// out: left out of the list at present.
	out bool
}

func (h *history) mean() float64 { return h.over / math.Max(1, h.results) }

// sawPace takes in how long an agent took for a task, before the service's run
// times learn from it.
func (p *pool) sawPace(from state.NodeID, t *state.Task, ran time.Duration) {
	a := p.agents[from]
	want := p.runs.expect(t)
	if a == nil || want <= 0 || ran <= 0 {
		return
	}
	const keep = 1 - 1.0/slowKeep
	h := &a.history
	h.results = h.results*keep + 1
	h.over = h.over*keep + math.Log(ran.Seconds()/want.Seconds())
	p.judgePace(a)
}

// judgePace leaves an agent out whose results are far slower than the middle
// agent's.
func (p *pool) judgePace(a *agent) {
	h := &a.history
	if h.results < slowResults {
		return
	}
	over := h.mean() - p.middlePace()
	if over <= math.Log(slowBy)+slowDoubt/math.Sqrt(h.results) {
		if over <= math.Log(slowBy)/2 && h.results >= slowKeep/2 {
			h.pause = 0
		}
		return
	}
	h.pause = min(max(2*h.pause, slowPauseFirst), slowPauseMax)
	h.until = a.heardAt.Add(h.pause)
	// One more slow result suffices when it is tried again, a few good ones clear it.
	h.results, h.over = slowResults, h.mean()*slowResults
	p.o.Metrics.avoidedSlow()
}

// middlePace is the median of the agents' means.
func (p *pool) middlePace() float64 {
	var means []float64
	for _, a := range p.agents {
		if a.history.results >= slowResults {
			means = append(means, a.history.mean())
		}
	}
	slices.Sort(means)
	return means[len(means)/2]
}

// withoutSlow leaves stragglers out of the usable loads, as long as they are no
// more than a set part of them: beyond that the tasks have grown, not the workers
// slowed.
func (p *pool) withoutSlow(now time.Time, usable []state.AgentLoad) []state.AgentLoad {
	slow := 0
	for i := range usable {
		if a := p.agents[usable[i].ID]; a != nil {
			a.history.out = now.Before(a.history.until)
			if a.history.out {
				slow++
			}
		}
	}
	if slow == 0 {
		return usable
	}
	if float64(slow) > place.MaxEjectedShare*float64(len(usable)) {
		for i := range usable {
			if a := p.agents[usable[i].ID]; a != nil {
				a.history.out = false
			}
		}
		return usable
	}
	return slices.DeleteFunc(slices.Clone(usable), func(l state.AgentLoad) bool {
		a := p.agents[l.ID]
		return a != nil && a.history.out
	})
}
