package home

import (
	"container/heap"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/coordination/place"
	"github.com/shallotstep/shallotstep/state"
)

// pool holds one service's jobs and what is known of the agents that serve it.
// Its shard's lock guards it.
type pool struct {
	o       *Options
	links   *links
	service string
	rng     *rand.Rand
	jobs    map[string]*job
	waiting turns // jobs with a backlog
	agents  map[state.NodeID]*agent
	timers  timers
	stored  []*job // finished jobs, oldest first
	// shrunk is how many of stored have given up their results.
	shrunk int
	bytes  int
	// allBytes is the sum of bytes over all services.
	allBytes *atomic.Int64
	// transfers are the answers on their way to other homes, the newest first.
	transfers []*transfer
	// leaving: this node's leave is in force.
	leaving bool
	// backlog counts the tasks of all waiting jobs that have no agent.
	backlog   int
	refreshAt time.Time
	list      []*agent // in the view's order
	eligible  []*agent // scratch space of choose
	// longest follows the longest run times seen of late.
	longest  time.Duration
	runs     runTimes
	pace     pace
	override bool
	// unfitAt is when what waits is next held against the known workers.
	unfitAt time.Time
	// refusedAt is when an agent last refused a task as busy.
	refusedAt time.Time
}

func newPool(o *Options, l *links, stored *atomic.Int64, service string, rng *rand.Rand) *pool {
	return &pool{
		o: o, links: l, allBytes: stored, service: service, rng: rng,
		jobs:   make(map[string]*job),
		agents: make(map[state.NodeID]*agent),
	}
}

// begin starts a job that is ours to run.
func (p *pool) begin(now time.Time, j *job) []coordination.Action {
	j.phase = running
	switch {
	case j.cancelled:
		return p.stop(now, j, state.ReasonCancelled, 0)
	case j.late(now):
		return p.stop(now, j, state.ReasonDeadline, 0)
	case p.backlog+len(j.backlog) > p.o.MaxWaiting:
		return p.stop(now, j, state.ReasonOverload, retryLater)
	}
	p.refresh(now, true, p.backlog+len(j.backlog))
	if len(p.list) == 0 {
		j.graceUntil = now.Add(p.o.Grace)
		if !j.deadline.IsZero() {
			j.graceUntil = earlier(j.graceUntil, now.Add(j.deadline.Sub(now)/2))
		}
	} else if !p.runnable(now, j) {
		return p.stopUnfit(now, j)
	}
	j.orderAt = p.orderTime(j)
	if wait := p.expectedWait(now, j); j.unreachable(now, wait) {
		return p.stop(now, j, state.ReasonDeadlineUnreachable, retryWhenDrained(wait))
	}
	p.waiting.push(j)
	p.backlog += len(j.backlog)
	p.schedule(j, j.nextWake())
	probes := p.probeDown(now, j)
	return append(probes, p.dispatch(now)...)
}

func (j *job) late(now time.Time) bool {
	return !j.deadline.IsZero() && !now.Before(j.deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// runnable reports whether each waiting task fits some known worker, and makes
// such workers candidates if they weren't.
func (p *pool) runnable(now time.Time, j *job) bool {
	loads := p.loads()
	for _, i := range j.backlog {
		t := &j.tasks[i].spec
		if place.Runnable(t, loads) {
			continue
		}
		more := p.fitting(t)
		if len(more) == 0 {
			return false
		}
		p.addExtra(now, more)
		loads = p.loads()
	}
	return true
}

// fitting returns agents beyond those in use whose worker holds the task.
func (p *pool) fitting(t *state.Task) []state.AgentLoad {
	if f, ok := p.o.View.(Fitter); ok {
		return f.CandidatesFor(p.service, t)
	}
	var out []state.AgentLoad
	for _, l := range p.o.View.Candidates(p.service) {
		if l.Fits(t) {
			out = append(out, l)
		}
	}
	return out
}

// tick wakes the jobs whose time has come.
func (p *pool) tick(now time.Time) []coordination.Action {
	var out []coordination.Action
	for {
		j := p.timers.due(now)
		if j == nil {
			break
		}
		if p.jobs[j.key.ID] == j {
			out = append(out, p.woken(now, j)...)
		}
	}
	p.expire(now)
	p.shrinkOver()
	out = append(out, p.handOver(now)...)
	if p.waiting.len() > 0 {
		p.noteUnfit(now)
		p.refresh(now, false, p.backlog)
		out = append(out, p.dispatch(now)...)
	}
	return out
}

// woken looks at everything about a job that depends on time.
func (p *pool) woken(now time.Time, j *job) []coordination.Action {
	switch j.phase {
	case claiming:
		return p.wakeClaiming(now, j)
	case running:
		if j.late(now) {
			return p.stop(now, j, state.ReasonDeadline, 0)
		}
		if !j.graceUntil.IsZero() && !now.Before(j.graceUntil) {
			return p.wakeGrace(now, j)
		}
	case settling:
		out := p.wakeSettling(now, j)
		if j.phase == finished {
			return out
		}
		return append(out, p.resettle(now, j)...)
	case finished:
		return nil
	}
	out := p.askAgain(now, j)
	p.schedule(j, j.nextWake())
	return out
}

// wakeClaiming ends the wait of callers whose deadline passes while the claim
// is undecided. Whether somebody else has run the id is not known here.
func (p *pool) wakeClaiming(now time.Time, j *job) []coordination.Action {
	if !j.late(now) {
		return nil
	}
	p.o.Metrics.answered(state.Unknown, state.ReasonDeadline)
	return j.tellWaiters(now, message.Answer{
		Key: j.key, Outcome: state.Unknown, Reason: state.ReasonDeadline, Epoch: j.epoch, RetryAfter: retryLater,
	})
}

// wakeGrace ends the wait for a first backend server.
func (p *pool) wakeGrace(now time.Time, j *job) []coordination.Action {
	j.graceUntil = time.Time{}
	p.refresh(now, true, p.backlog)
	if reason := p.closedFor(now); reason != state.ReasonNone {
		if p.waitsOn(now, j) {
			return nil
		}
		return p.stop(now, j, reason, retryLater)
	}
	if !p.runnable(now, j) {
		if p.waitsOn(now, j) {
			return nil
		}
		return p.stopUnfit(now, j)
	}
	p.schedule(j, j.nextWake())
	return p.dispatch(now)
}

// closedFor says why no agent takes any task, or ReasonNone if one may.
func (p *pool) closedFor(now time.Time) state.Reason {
	reason := state.ReasonNoBackend
	for _, a := range p.list {
		if a.open(now) {
			return state.ReasonNone
		}
		if a.avoidFor != state.ReasonNone {
			reason = a.avoidFor
		}
	}
	return reason
}

// nextWake is the earliest time at which the job needs attention.
func (j *job) nextWake() time.Time {
	at := j.graceUntil
	if j.phase == settling {
		at = j.settleBy
	} else {
		at = earlier(at, j.deadline)
	}
	for i := range j.contacts {
		if c := &j.contacts[i]; c.outstanding > 0 {
			at = earlier(at, c.askAt)
		}
	}
	return at
}

func (p *pool) schedule(j *job, at time.Time) {
	if at.IsZero() || !j.wake.IsZero() && !at.Before(j.wake) {
		return
	}
	j.wake = at
	heap.Push(&p.timers, timer{at, j})
}

func (p *pool) addStats(st *Stats) {
	for _, j := range p.jobs {
		if j.phase == finished {
			st.Finished++
		} else {
			st.Running++
		}
		for i := range j.contacts {
			st.Assigned += j.contacts[i].outstanding
		}
	}
	st.Waiting += p.backlog
	st.StoredBytes += p.bytes
}
