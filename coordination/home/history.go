package home

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/place"
)

// history is how an agent's results compare with what was expected of the tasks.
// A worker that is slow looks as free as the rest while there is little to do, so
// loads don't tell it from them.
type history struct {
	// ratio follows run time over expected run time; it starts at 1.
	ratio   float64
	results int
	at      time.Time
}

const (
	// historyWeight is how much one result counts. One task in a hundred runs ten
	// times the mean; where nothing is declared, one of them must not do.
	historyWeight = 1.0 / 8
	// probeWeight is how much the first result after historyKept counts: one
	// usual run clears an agent.
	probeWeight = 1.0 / 2
	// straggles is the ratio above which an agent is taken to straggle, and
	// ratioMost bounds it, so that it can be cleared.
	straggles = 2.0
	ratioMost = 3.0
	// historyResults is how many results it takes.
	historyResults = 3
	// historyKept is how long a history counts without new results. After that the
	// agent gets tasks again and shows what it is by now.
	historyKept = 30 * time.Second
)

// add notes a result.
func (h *history) add(now time.Time, ran, expected time.Duration) {
	if expected <= 0 {
		return
	}
	weight := historyWeight
	switch {
	case h.results == 0:
		h.ratio = 1
	case now.Sub(h.at) > historyKept:
		weight = probeWeight
	}
	h.ratio += weight * (float64(ran)/float64(expected) - h.ratio)
	h.ratio = min(h.ratio, ratioMost)
	h.results++
	h.at = now
}

// straggling reports whether the agent's tasks have run far longer than
// expected of late.
func (h *history) straggling(now time.Time) bool {
	return h.ratio > straggles && h.results >= historyResults && now.Sub(h.at) <= historyKept
}

// passedOver reports whether an agent gets no tasks and hears of no backlog
// because it straggles. Its offers are still taken up. If more than the share that
// may be ejected straggle, none is passed over: then it is the tasks, or the fleet.
func (p *pool) passedOver(now time.Time, a *agent) bool {
	return a.history.straggling(now) && !p.manySlow
}

// noteSlow counts the agents in use that straggle.
func (p *pool) noteSlow(now time.Time) {
	slow, open := 0, 0
	for _, a := range p.list {
		if !a.open(now) {
			continue
		}
		open++
		if a.history.straggling(now) {
			slow++
		}
	}
	p.manySlow = float64(slow) > place.MaxEjectedShare*float64(open)
}
