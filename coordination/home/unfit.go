package home

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
)

// unfitEvery is how often the waiting jobs are held against the known workers.
const unfitEvery = time.Second

// stopUnfit refuses a job with a task that no known worker holds. "Never" is said
// only if something is known of every agent. The failure it is for: a home that
// has just started, or lost touch with the one agent that stands beside a large
// worker, tells callers for good what is untrue a moment later.
func (p *pool) stopUnfit(now time.Time, j *job) []coordination.Action {
	if k, ok := p.o.View.(Knower); ok && !k.AllKnown() {
		return p.stop(now, j, state.ReasonNoBackend, retryLater)
	}
	return p.stop(now, j, state.ReasonNeverRunnable, 0)
}

// noteUnfit starts the clock of waiting jobs that no known worker holds any more.
// The failure it is for: the only worker that is large enough leaves, and a job
// without a deadline waits for ever, because the others take tasks. The clock
// spares jobs whose worker is back within a moment. Workers brought in for single
// tasks are looked for anew, or one that has left would be counted on for ever.
func (p *pool) noteUnfit(now time.Time) {
	if now.Before(p.unfitAt) {
		return
	}
	p.unfitAt = now.Add(unfitEvery)
	for _, a := range p.list {
		a.extra = false
	}
	p.refresh(now, true, p.backlog)
	if len(p.list) == 0 {
		return
	}
	p.waiting.inTurn(func(j *job) bool {
		if j.graceUntil.IsZero() && !p.runnable(now, j) {
			j.stuckSince = now
			j.graceUntil = now.Add(stuckGrace)
			p.schedule(j, j.nextWake())
		}
		return true
	})
}

// waitsOn has a job of which some part has run wait longer than others, and
// reports whether it does. Whether some part has run is asked now and not when
// the wait began: a first task may have started in between.
func (p *pool) waitsOn(now time.Time, j *job) bool {
	until := j.stuckSince.Add(stuckStarted)
	if !j.started() || !now.Before(until) {
		return false
	}
	j.graceUntil = until
	p.schedule(j, j.nextWake())
	return true
}
