package route

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// tryState is what is known of one try.
type tryState uint8

const (
	// tryOpen: the agent owes a result.
	tryOpen tryState = iota
	// tryRefused: the agent has said that it didn't start the task and won't.
	tryRefused
	// tryLost: the agent is cut off; the task may run.
	tryLost
)

// try is one Assign of a repeatable request to one agent, under its own key.
type try struct {
	key   state.JobKey
	agent state.NodeID
	state tryState
	sent  time.Time
}

// request is a repeatable request on its way. It is guarded by its shard's
// lock.
type request struct {
	id       uint64
	ticket   uint64
	gone     bool // the caller went away
	job      state.Job
	service  *service
	began    time.Time
	deadline time.Time // zero means none
	tries    []try
	admitted bool
	hedged   bool
	hedgeAt  time.Time // zero means no hedge
	probe    time.Duration
	probeAt  time.Time
	lostAt   time.Time // when the last open try was lost; zero while one is open
	refused  verdict   // the latest refusal
	messages int
	done     bool
	due      time.Time
}

// requestShard holds a part of the requests. A request's id modulo shardCount
// is its shard, and that of its caller's key.
type requestShard struct {
	mu     sync.Mutex
	rng    *rand.Rand                  // guarded by mu
	byID   map[uint64]*request         // guarded by mu
	byKey  map[state.JobKey][]*request // guarded by mu
	timers timers[*request]            // guarded by mu
	acts   []coordination.Action       // guarded by mu; of the call in progress
}

func (s *requestShard) init(rng *rand.Rand) {
	s.rng = rng
	s.byID = make(map[uint64]*request)
	s.byKey = make(map[state.JobKey][]*request)
}

func (s *requestShard) takeLocked() []coordination.Action {
	acts := s.acts
	s.acts = nil
	return acts
}

func (s *requestShard) scheduleLocked(q *request) {
	due := q.nextDue()
	if q.done || due.Equal(q.due) {
		return
	}
	q.due = due
	if !due.IsZero() {
		heap.Push(&s.timers, timer[*request]{due, q})
	}
}

func (s *requestShard) popDueLocked(now time.Time) *request {
	for len(s.timers) > 0 && !s.timers[0].at.After(now) {
		t := heap.Pop(&s.timers).(timer[*request])
		if !t.of.done && t.at.Equal(t.of.due) {
			t.of.due = time.Time{}
			return t.of
		}
	}
	return nil
}

func (r *Router) submitRequest(now time.Time, ticket uint64, job state.Job, deadline time.Duration) []coordination.Action {
	shardNo := shardIndex(job.Key)
	s := &r.requests[shardNo]
	s.mu.Lock()
	defer s.mu.Unlock()
	q := &request{
		id:     r.seq.Add(1)*shardCount + shardNo,
		ticket: ticket, job: job, began: now, service: r.services.get(job.Key.Service),
		deadline: newWaiter(now, ticket, deadline).deadline,
	}
	s.byID[q.id] = q
	s.byKey[job.Key] = append(s.byKey[job.Key], q)
	r.tickets.put(ticket, place{request: q.id})
	v, ok := r.admit(now, &job, deadline)
	if !ok {
		r.endRequest(now, s, q, q.refusal(v))
		return s.takeLocked()
	}
	q.admitted = r.opts.Limits != nil
	q.service.budget.First()
	if reason := r.sendTry(now, s, q); reason != "" {
		r.endRequest(now, s, q, q.refusal(noAgent(reason)))
	}
	s.scheduleLocked(q)
	return s.takeLocked()
}

func noAgent(reason state.Reason) verdict {
	if reason == state.ReasonNeverRunnable {
		return verdict{reason: reason}
	}
	return verdict{reason: reason, retryAfter: retryPair}
}

// sendTry assigns the task to one more agent, or says why there is none.
func (r *Router) sendTry(now time.Time, s *requestShard, q *request) state.Reason {
	task := &q.job.Tasks[0]
	id, override, reason := r.pick(now, s.rng, q.job.Key.Service, task, q.tries)
	if reason != "" {
		return reason
	}
	t := try{key: r.tryKey(q), agent: id, sent: now}
	q.tries = append(q.tries, t)
	q.lostAt = time.Time{}
	q.probe = q.service.probeAfter()
	q.probeAt = now.Add(q.probe)
	if after, ok := q.service.hedgeAfter(); ok && len(q.tries) == 1 {
		q.hedgeAt = now.Add(after)
	}
	r.agents.sent(id)
	r.sendRequest(s, q, id, message.Assign{
		Key: t.key, Operator: q.job.Operator, Indexes: []int{0}, Tasks: q.job.Tasks,
		Deadline: q.left(now), Repeatable: true, Override: override,
	})
	return ""
}

// tryKey names a try. Each has its own key, because an agent starts a task of
// a key once and remembers its refusal. The mark keeps it apart from callers'.
func (r *Router) tryKey(q *request) state.JobKey {
	id := tryMark + string(r.opts.Self) + tryMark + strconv.FormatUint(q.id, 36) + tryMark + strconv.Itoa(len(q.tries))
	return state.JobKey{Service: q.job.Key.Service, ID: id}
}

const tryMark = "~"

// parseTry finds the request and the try that a key of tryKey names.
func (r *Router) parseTry(key state.JobKey) (id uint64, n int, ok bool) {
	rest, mine := strings.CutPrefix(key.ID, tryMark+string(r.opts.Self)+tryMark)
	idPart, nPart, cut := strings.Cut(rest, tryMark)
	if !mine || !cut {
		return 0, 0, false
	}
	id, err := strconv.ParseUint(idPart, 36, 64)
	n, err2 := strconv.Atoi(nPart)
	return id, n, err == nil && err2 == nil
}

func (r *Router) sendRequest(s *requestShard, q *request, to state.NodeID, msg message.Message) {
	q.messages++
	r.stats.add(&r.stats.messages)
	s.acts = append(s.acts, coordination.Send{To: to, Msg: msg})
}

// left is how long the caller still waits. Zero means always.
func (q *request) left(now time.Time) time.Duration {
	if q.deadline.IsZero() {
		return 0
	}
	return max(1, q.deadline.Sub(now))
}

// refusal makes the answer to a request that got no result: NotRun only if
// every agent that was asked has refused.
func (q *request) refusal(v verdict) message.Answer {
	outcome := state.NotRun
	for _, t := range q.tries {
		if t.state != tryRefused {
			outcome = state.Unknown
		}
	}
	return message.Answer{Outcome: outcome, Reason: v.reason, Detail: v.detail, RetryAfter: v.retryAfter}
}

// endRequest answers the caller and drops the tries that lost.
func (r *Router) endRequest(now time.Time, s *requestShard, q *request, a message.Answer) {
	for _, t := range q.tries {
		if t.state == tryOpen {
			r.agents.ended(t.agent)
		}
	}
	a.Key = q.job.Key
	a.Stats.Messages = q.messages
	wasted := q.messages
	if a.Outcome == state.Complete || a.Reason == state.ReasonTaskFailed {
		wasted -= usefulMessages
	}
	a.Stats.Waste(message.WasteEntry, wasted)
	a.Stats.Elapsed = now.Sub(q.began)
	r.stats.wasted.Add(uint64(a.Stats.Wasted))
	if _, ok := r.tickets.remove(q.ticket); ok {
		s.acts = append(s.acts, r.deliver(q.ticket, a))
	}
	if q.admitted {
		r.release(now, &q.job, a.Stats.Elapsed, &a)
	}
	s.removeLocked(q)
}

// usefulMessages of a request are the Assign that ran and the Report of it.
const usefulMessages = 2

func (s *requestShard) removeLocked(q *request) {
	q.done = true
	delete(s.byID, q.id)
	rest := s.byKey[q.job.Key][:0]
	for _, o := range s.byKey[q.job.Key] {
		if o != q {
			rest = append(rest, o)
		}
	}
	s.byKey[q.job.Key] = rest
	if len(rest) == 0 {
		delete(s.byKey, q.job.Key)
	}
}

func (r *Router) abandonRequest(now time.Time, id uint64) []coordination.Action {
	s := &r.requests[id%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.byID[id]; q != nil {
		q.gone = true
		if q.deadline.IsZero() {
			q.deadline = now.Add(orphanFor)
		}
		s.scheduleLocked(q)
	}
	return nil
}

// cancelRequests stops the repeatable requests with a caller's key.
func (r *Router) cancelRequests(now time.Time, key state.JobKey) []coordination.Action {
	s := &r.requests[shardIndex(key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, q := range append([]*request(nil), s.byKey[key]...) {
		r.dropOthers(s, q, -1)
		r.endRequest(now, s, q, message.Answer{Outcome: state.Failed, Reason: state.ReasonCancelled})
	}
	return s.takeLocked()
}
