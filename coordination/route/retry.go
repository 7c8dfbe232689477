package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// onReport takes what an agent says of a try.
func (r *Router) onReport(now time.Time, from state.NodeID, m *message.Report) []coordination.Action {
	r.agents.setDown(from, time.Time{})
	id, n, ok := r.parseTry(m.Key)
	if !ok {
		r.late()
		return nil
	}
	s := &r.requests[id%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.byID[id]
	if q == nil || n < 0 || n >= len(q.tries) || q.tries[n].agent != from {
		r.late()
		return nil
	}
	q.messages++
	switch {
	case len(m.Results) > 0:
		r.onResult(now, s, q, n, &m.Results[0])
	case len(m.Refused) > 0:
		r.onRefused(now, s, q, n, verdict{reason: m.Reason, retryAfter: m.RetryAfter})
	case len(m.Running) > 0:
		r.onRunning(now, q, n)
	}
	s.scheduleLocked(q)
	return s.takeLocked()
}

// onResult ends the request with the first result, good or bad: a task that
// failed by itself would fail elsewhere too.
func (r *Router) onResult(now time.Time, s *requestShard, q *request, n int, res *state.TaskResult) {
	a := message.Answer{Outcome: state.Complete, Results: []state.TaskResult{*res}}
	a.Stats.Longest, a.Stats.Total = res.Ran, res.Ran
	if res.Err != "" {
		a = message.Answer{Outcome: state.Failed, Reason: state.ReasonTaskFailed, Detail: res.Err}
	} else {
		q.service.requestDone(now.Sub(q.tries[n].sent))
	}
	r.dropOthers(s, q, n)
	r.endRequest(now, s, q, a)
}

// dropOthers tells each agent that still works on a try of q, but for the
// winner's, that it is of no use any more.
func (r *Router) dropOthers(s *requestShard, q *request, winner int) {
	for i, t := range q.tries {
		if i != winner && t.state == tryOpen {
			r.stats.add(&r.stats.drops)
			r.sendRequest(s, q, t.agent, message.Drop{Key: t.key})
		}
	}
}

func (r *Router) onRefused(now time.Time, s *requestShard, q *request, n int, v verdict) {
	t := &q.tries[n]
	if t.state == tryRefused {
		return
	}
	if t.state == tryOpen {
		r.agents.ended(t.agent)
	}
	t.state = tryRefused
	q.refused = v
	r.retryOr(now, s, q, v)
}

// onRunning notes that a lost try is at work after all.
func (r *Router) onRunning(now time.Time, q *request, n int) {
	if t := &q.tries[n]; t.state == tryLost {
		t.state = tryOpen
		q.lostAt = time.Time{}
		r.agents.sent(t.agent)
	}
}

// retryOr tries elsewhere when nothing is under way any more, or refuses.
func (r *Router) retryOr(now time.Time, s *requestShard, q *request, v verdict) {
	if q.anyOpen() {
		return
	}
	if reason := r.retry(now, s, q, v.reason); reason == "" {
		return
	}
	if q.anyLost() {
		if q.lostAt.IsZero() {
			q.lostAt = now
		}
		return
	}
	r.endRequest(now, s, q, q.refusal(v))
}

// retry sends one more try if the caller, the deadline and the budget allow.
func (r *Router) retry(now time.Time, s *requestShard, q *request, why state.Reason) state.Reason {
	if q.gone || r.tooLate(now, q) {
		return state.ReasonDeadlineUnreachable
	}
	if _, _, none := r.pick(now, s.rng, q.job.Key.Service, &q.job.Tasks[0], q.tries); none != "" {
		return none
	}
	if !q.service.budget.Take() {
		r.stats.add(&r.stats.budgetEmpty)
		return state.ReasonRetryBudget
	}
	r.stats.retried(why)
	return r.sendTry(now, s, q)
}

// tooLate reports whether one more try would likely miss the deadline.
func (r *Router) tooLate(now time.Time, q *request) bool {
	return !q.deadline.IsZero() && q.deadline.Sub(now) <= q.service.typical()
}

func (q *request) anyOpen() bool {
	return slices.ContainsFunc(q.tries, func(t try) bool { return t.state == tryOpen })
}

func (q *request) anyLost() bool {
	return slices.ContainsFunc(q.tries, func(t try) bool { return t.state == tryLost })
}

// requestsDown marks the tries at a node as lost and tries elsewhere. A node
// that is gone for good will not report them.
func (r *Router) requestsDown(now time.Time, id state.NodeID, gone bool) []coordination.Action {
	return r.eachTry(id, func(s *requestShard, q *request, t *try) {
		if t.state == tryOpen {
			r.agents.ended(id)
			t.state = tryLost
		}
		if t.state != tryLost {
			return
		}
		v := verdict{reason: state.ReasonAgentLost, retryAfter: retryPair}
		r.retryOr(now, s, q, v)
		if gone && !q.done && !q.anyOpen() {
			r.endRequest(now, s, q, q.refusal(v))
		}
	})
}

// requestsUp asks a node that is back what became of the tries there.
func (r *Router) requestsUp(now time.Time, id state.NodeID) []coordination.Action {
	return r.eachTry(id, func(s *requestShard, q *request, t *try) {
		if t.state == tryLost {
			r.sendRequest(s, q, id, message.TaskQuery{Key: t.key, Indexes: []int{0}})
		}
	})
}

func (r *Router) eachTry(id state.NodeID, fn func(*requestShard, *request, *try)) []coordination.Action {
	var acts []coordination.Action
	for i := range r.requests {
		s := &r.requests[i]
		s.mu.Lock()
		for _, q := range s.withTriesLocked(id) {
			for n := range q.tries {
				if q.tries[n].agent == id && !q.done {
					fn(s, q, &q.tries[n])
				}
			}
			s.scheduleLocked(q)
		}
		acts = append(acts, s.takeLocked()...)
		s.mu.Unlock()
	}
	return acts
}

// withTriesLocked returns the requests with a try at a node, in a fixed order.
func (s *requestShard) withTriesLocked(id state.NodeID) []*request {
	var out []*request
	for _, q := range s.byID {
		if slices.ContainsFunc(q.tries, func(t try) bool { return t.agent == id }) {
			out = append(out, q)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (q *request) nextDue() time.Time {
	due := earliest(q.deadline, q.probeAt)
	if !q.hedged {
		due = earliest(due, q.hedgeAt)
	}
	if !q.lostAt.IsZero() {
		due = earliest(due, q.lostAt.Add(barAfter))
	}
	return due
}

func (r *Router) tickRequests(now time.Time, s *requestShard) []coordination.Action {
	s.mu.Lock()
	defer s.mu.Unlock()
	for q := s.popDueLocked(now); q != nil; q = s.popDueLocked(now) {
		r.onRequestDue(now, s, q)
		s.scheduleLocked(q)
	}
	return s.takeLocked()
}

func (r *Router) onRequestDue(now time.Time, s *requestShard, q *request) {
	switch {
	case !q.deadline.IsZero() && !now.Before(q.deadline):
		r.endRequest(now, s, q, q.refusal(verdict{reason: state.ReasonDeadline, retryAfter: retryPair}))
	case !q.lostAt.IsZero() && !now.Before(q.lostAt.Add(barAfter)):
		r.endRequest(now, s, q, q.refusal(verdict{reason: state.ReasonAgentLost, retryAfter: retryPair}))
	case !q.hedgeAt.IsZero() && !q.hedged && !now.Before(q.hedgeAt):
		r.hedge(now, s, q)
	case !now.Before(q.probeAt):
		r.probeTries(now, s, q)
	}
}

// hedge sends a second try when the first takes longer than most, so that one
// straggler doesn't decide the response time. It draws on the retry budget.
func (r *Router) hedge(now time.Time, s *requestShard, q *request) {
	q.hedged = true
	if len(q.tries) != 1 || q.tries[0].state != tryOpen {
		return
	}
	if r.retry(now, s, q, reasonHedge) == "" {
		r.stats.add(&r.stats.hedges)
	}
}

// reasonHedge labels hedges among the retries.
const reasonHedge state.Reason = "hedge"

// probeTries asks silent agents what became of their tries: an Assign or a
// Report may be lost on a link that stayed up. A try at an agent that nobody
// hears of any more is lost.
func (r *Router) probeTries(now time.Time, s *requestShard, q *request) {
	q.probe = min(2*q.probe, probeMax)
	q.probeAt = now.Add(q.probe)
	for n := range q.tries {
		t := &q.tries[n]
		switch {
		case t.state != tryOpen:
		case r.opts.Roster.Alive(t.agent):
			r.sendRequest(s, q, t.agent, message.TaskQuery{Key: t.key, Indexes: []int{0}})
		default:
			r.agents.ended(t.agent)
			t.state = tryLost
		}
	}
	if !q.anyOpen() {
		r.retryOr(now, s, q, verdict{reason: state.ReasonAgentLost, retryAfter: retryPair})
	}
}
