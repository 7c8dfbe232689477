package route

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/limit"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

const shardCount = 32

// Roster answers who guards a job and who is believed to be alive. It is
// called with a shard's lock held and must not call back.
type Roster interface {
	// Pair returns the home and the witness of a job at the newest known
	// epoch; ok is false when the service has no pair.
	Pair(service string, key state.JobKey) (home, witness state.NodeID, epoch state.Epoch, ok bool)
	// Alive is soft: false means that nobody has heard of id lately.
	Alive(id state.NodeID) bool
}

// View answers which agents serve a service. It is called with a shard's lock
// held; the returned slice is not changed.
type View interface {
	Candidates(service string) []state.AgentLoad
}

// Fitter is a View that can also look beyond its candidates for a worker that is
// large enough for a task.
type Fitter interface {
	CandidatesFor(service string, t *state.Task) []state.AgentLoad
}

// Knower is a View that can tell whether it has news of every agent. Without it a
// view is taken to know all.
type Knower interface {
	AllKnown() bool
}

// Options are the settings of a Router.
type Options struct {
	Self   state.NodeID
	Roster Roster
	View   View
	// Limits may be nil: everything is admitted.
	Limits *limit.Limits
	Seed   uint64
	// RetryRatio and RetryBurst size the retry budget of each service; zero
	// takes the defaults of package limit.
	RetryRatio float64
	RetryBurst float64
}

// Router is safe for concurrent use. A shard's lock is taken first, then at
// most one of the leaf locks: a ticket shard's, a service's, an agent's.
type Router struct {
	opts     Options
	seq      atomic.Uint64
	draining atomic.Bool
	aliveAt  atomic.Int64
	pause    pause
	shards   [shardCount]shard
	requests [shardCount]requestShard
	tickets  tickets
	services services
	agents   agents
	stats    counters
}

// New returns the machine of one entry.
func New(opts Options) *Router {
	if opts.RetryRatio == 0 {
		opts.RetryRatio = limit.DefaultRetryRatio
	}
	if opts.RetryBurst == 0 {
		opts.RetryBurst = limit.DefaultRetryBurst
	}
	r := &Router{opts: opts}
	for i := range r.shards {
		r.shards[i].init()
		r.requests[i].init(rand.New(rand.NewPCG(opts.Seed, uint64(i))))
	}
	r.tickets.init()
	r.services.init(opts.RetryRatio, opts.RetryBurst)
	r.agents.init()
	return r
}

// Submit takes a submission. deadline is how long from now the caller waits;
// zero means always. The ticket gets one Deliver, in what Submit returns or in
// what a later call returns.
func (r *Router) Submit(now time.Time, ticket uint64, job state.Job, digest state.Digest, deadline time.Duration) []coordination.Action {
	r.stats.add(&r.stats.submitted)
	if job.Repeatable && len(job.Tasks) == 1 {
		return r.submitRequest(now, ticket, job, deadline)
	}
	return r.submitJob(now, ticket, job, digest, deadline)
}

// Query asks for the state of a job.
func (r *Router) Query(now time.Time, ticket uint64, key state.JobKey) []coordination.Action {
	return r.ask(now, ticket, key, kindQuery)
}

// Cancel asks for a job to be stopped. The ticket's answer says what became of
// the job; its own tickets are answered too.
func (r *Router) Cancel(now time.Time, ticket uint64, key state.JobKey) []coordination.Action {
	acts := r.cancelRequests(now, key)
	if len(acts) > 0 {
		answer := message.Answer{Key: key, Outcome: state.Failed, Reason: state.ReasonCancelled}
		return append(acts, r.deliver(ticket, answer))
	}
	return r.ask(now, ticket, key, kindCancel)
}

// Abandon says that the caller of a ticket went away. Its job goes on; the
// ticket gets no Deliver.
func (r *Router) Abandon(now time.Time, ticket uint64) []coordination.Action {
	place, ok := r.tickets.remove(ticket)
	if !ok {
		return nil
	}
	if place.request != 0 {
		return r.abandonRequest(now, place.request)
	}
	s := r.shardOf(place.flight.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	place.flight.drop(now, ticket)
	s.scheduleLocked(place.flight)
	return s.takeLocked()
}

// Handle takes an Answer, a BarReply or a Report. Others are none of the
// entry's business and are ignored.
func (r *Router) Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action {
	switch m := msg.(type) {
	case message.Answer:
		r.agents.setDown(from, time.Time{})
		return r.withFlight(now, m.Key, m.Attempt, func(f *flight) { r.onAnswer(now, f, from, &m) })
	case message.BarReply:
		return r.withFlight(now, m.Key, m.Attempt, func(f *flight) { r.onBarReply(now, f, from, &m) })
	case message.Report:
		return r.onReport(now, from, &m)
	}
	return nil
}

// PeerDown says that the link to a node is lost. It may come back.
func (r *Router) PeerDown(now time.Time, id state.NodeID) []coordination.Action {
	r.agents.setDown(id, now)
	acts := r.eachTarget(now, id, func(f *flight) { r.onSilent(now, f) })
	return append(acts, r.requestsDown(now, id, false)...)
}

// PeerUp says that the link to a node is back: what is unanswered there is
// asked again, because the answer may have been lost with the link.
func (r *Router) PeerUp(now time.Time, id state.NodeID) []coordination.Action {
	r.agents.setDown(id, time.Time{})
	acts := r.eachTarget(now, id, func(f *flight) { r.onLinkBack(now, f) })
	return append(acts, r.requestsUp(now, id)...)
}

// PeerGone says that an incarnation is known never to come back.
func (r *Router) PeerGone(now time.Time, id state.NodeID) []coordination.Action {
	acts := r.eachTarget(now, id, func(f *flight) { r.onGone(now, f) })
	r.agents.forget(id)
	return append(acts, r.requestsDown(now, id, true)...)
}

// RosterChanged says that Roster.Pair may answer differently now.
func (r *Router) RosterChanged(now time.Time) []coordination.Action {
	return r.eachFlight(now, func(f *flight) { r.onRoster(now, f) })
}

// aliveEvery is how often the liveness of the nodes that owe an answer is
// looked up.
const aliveEvery = 50 * time.Millisecond

// Tick lets time pass: deadlines, repeated sends, bars and hedges.
func (r *Router) Tick(now time.Time) []coordination.Action {
	r.pause.tick(now)
	look := now.UnixNano()-r.aliveAt.Load() >= int64(aliveEvery)
	if look {
		r.aliveAt.Store(now.UnixNano())
	}
	var acts []coordination.Action
	for i := range r.shards {
		acts = append(acts, r.tickShard(now, &r.shards[i], look)...)
		acts = append(acts, r.tickRequests(now, &r.requests[i])...)
	}
	return acts
}

// Drain refuses new submissions from now on; those in flight go on.
func (r *Router) Drain(time.Time) []coordination.Action {
	r.draining.Store(true)
	return nil
}

// Idle reports that no ticket waits for an answer.
func (r *Router) Idle() bool { return r.tickets.count() == 0 }

// newAttempt returns a name that no other attempt of any entry has: Self is
// unique to this incarnation.
func (r *Router) newAttempt() message.Attempt {
	return message.Attempt(string(r.opts.Self) + "/" + strconv.FormatUint(r.seq.Add(1), 36))
}

func (r *Router) shardOf(key state.JobKey) *shard {
	return &r.shards[shardIndex(key)]
}

func shardIndex(key state.JobKey) uint64 {
	return (xxhash.Sum64String(key.ID) ^ xxhash.Sum64String(key.Service)) % shardCount
}

// deliver makes the final answer of a ticket that is registered nowhere.
func (r *Router) deliver(ticket uint64, a message.Answer) coordination.Action {
	r.stats.answered(a.Outcome, a.Reason)
	return coordination.Deliver{Ticket: ticket, Answer: a}
}

// tickets finds what a ticket waits for.
type tickets struct {
	shards [shardCount]ticketShard
}

type ticketShard struct {
	mu     sync.Mutex
	places map[uint64]place // guarded by mu
}

// place is where a ticket stands: with a flight or with a request.
type place struct {
	flight  *flight
	request uint64
}

func (t *tickets) init() {
	for i := range t.shards {
		t.shards[i].places = make(map[uint64]place)
	}
}

func (t *tickets) put(ticket uint64, p place) {
	s := &t.shards[ticket%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.places[ticket] = p
}

func (t *tickets) remove(ticket uint64) (place, bool) {
	s := &t.shards[ticket%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.places[ticket]
	delete(s.places, ticket)
	return p, ok
}

func (t *tickets) count() int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		n += len(s.places)
		s.mu.Unlock()
	}
	return n
}
