// Package home is the job machine of a job's home agent: the first member of
// the pair that guards the job's share. It has the claim recorded, places the
// tasks at agents, gathers the results and answers whoever waits.
//
// It keeps three promises. A task is with one agent at a time and moves only
// after that agent said that it did not start it and never will. An answer is
// complete or a refusal or a failure, never partial. "Not run" is said only
// when nothing was started and nothing will be.
package home

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/defaults"
)

// Claimer has a claim recorded by both members of the pair. Its verdict comes
// back through Home.Verdict.
type Claimer interface {
	Claim(now time.Time, key state.JobKey, digest state.Digest, attempt message.Attempt, epoch state.Epoch, fence message.Fence) []coordination.Action
}

// Barrer is a Claimer that can rule an attempt out for good: it takes a Bar and
// returns a Send of the BarReply among its actions.
type Barrer interface {
	Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action
}

// View knows how loaded the agents are that serve a service.
type View interface {
	Candidates(service string) []state.AgentLoad
}

// Fitter is a View that can also look beyond its candidates for a worker that
// is large enough for a task.
type Fitter interface {
	CandidatesFor(service string, t *state.Task) []state.AgentLoad
}

// Knower is a View that can tell whether it has news of every agent. Without it a
// view is taken to know all.
type Knower interface {
	AllKnown() bool
}

// Defaults of Options.
const (
	DefaultRetention   = 10 * time.Minute
	DefaultStoredBytes = 16 << 20
	DefaultMaxWaiting  = 20000
	DefaultGrace       = 100 * time.Millisecond
	DefaultResend      = time.Second
	DefaultSettle      = 50 * time.Millisecond
	DefaultNarrow      = 6
	DefaultAsk         = 1
	DefaultAskPer      = 2
)

// Options configure a Home. Zero values stand for the defaults above.
type Options struct {
	Self   state.NodeID
	Claims Claimer
	View   View
	Seed   uint64
	// Retention is how long answers stay for resubmission.
	Retention time.Duration
	// StoredBytes bounds the stored answers of all services; beyond it the
	// oldest of each service lose their results.
	StoredBytes int
	// MaxWaiting bounds the tasks of one service that wait for a slot.
	MaxWaiting int
	// Grace is how long a job may wait for a first backend server to be known.
	Grace time.Duration
	// Resend is how long an agent may be silent about a task before it is
	// asked; the pause doubles from there.
	Resend time.Duration
	// Settle is how long an answer may wait for word on whether something was
	// started, before it is "unknown".
	Settle time.Duration
	// Ask is how many agents hear of a backlog at once.
	Ask int
	// AskPer is for how many waiting tasks one more agent hears of it.
	AskPer int
	// Narrow is how many agents a service's small jobs are placed on; large ones
	// use more of the view's candidates.
	Narrow int
	// PriorityOf returns an operator's declared priority, which agents are told
	// with its tasks. Nil stands for no priorities.
	PriorityOf func(operator string) int
	// HomeOf returns the present home of a job, or "" if it has none. Nil: stored
	// answers are not handed over. It is called with locks held and must not call
	// the home.
	HomeOf func(state.JobKey) state.NodeID
	// Metrics may be nil.
	Metrics *Metrics
}

func (o *Options) setDefaults() {
	defaults.Zero(&o.Retention, DefaultRetention)
	defaults.Zero(&o.StoredBytes, DefaultStoredBytes)
	defaults.Zero(&o.MaxWaiting, DefaultMaxWaiting)
	defaults.Zero(&o.Grace, DefaultGrace)
	defaults.Zero(&o.Resend, DefaultResend)
	defaults.Zero(&o.Settle, DefaultSettle)
	defaults.Zero(&o.Ask, DefaultAsk)
	defaults.Zero(&o.Narrow, DefaultNarrow)
	defaults.Zero(&o.AskPer, DefaultAskPer)
	if o.PriorityOf == nil {
		o.PriorityOf = func(string) int { return 0 }
	}
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
}

const shardCount = 16

// Home runs the jobs whose home this agent is. It is safe for concurrent use.
// Services are spread over shards; a shard's lock guards everything about its
// services' jobs.
type Home struct {
	o     Options
	links links
	drops drops
	left  atomic.Bool // Leave was called
	// stored is the size of the stored answers of all services.
	stored atomic.Int64
	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	pools    map[string]*pool // by service, guarded by mu
	order    []*pool          // in order of creation, guarded by mu
	draining bool             // guarded by mu
}

// New returns a home without jobs.
func New(o Options) *Home {
	o.setDefaults()
	h := &Home{o: o}
	for i := range h.shards {
		h.shards[i].pools = make(map[string]*pool)
	}
	return h
}

func (h *Home) shard(service string) *shard {
	return &h.shards[xxhash.Sum64String(service)%shardCount]
}

// poolLocked returns the service's pool, made if create is set.
func (h *Home) poolLocked(s *shard, service string, create bool) *pool {
	p := s.pools[service]
	if p == nil && create {
		p = newPool(&h.o, &h.links, &h.stored, service, rand.New(rand.NewPCG(h.o.Seed, xxhash.Sum64String(service))))
		s.pools[service] = p
		s.order = append(s.order, p)
	}
	return p
}

// Handle takes a Submit, Cancel, Report or HandOverReply.
func (h *Home) Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action {
	switch msg := msg.(type) {
	case message.Submit:
		return h.in(msg.Job.Key.Service, !msg.Query, func(s *shard, p *pool) []coordination.Action {
			return p.submit(now, from, &msg, s.draining)
		}, func() []coordination.Action { return unknownJob(from, msg.Job.Key, msg.Attempt) })
	case message.Cancel:
		return h.in(msg.Key.Service, false, func(_ *shard, p *pool) []coordination.Action {
			return p.cancel(now, from, &msg)
		}, func() []coordination.Action { return unknownJob(from, msg.Key, msg.Attempt) })
	case message.Report:
		h.links.heard(from)
		return h.in(msg.Key.Service, false, func(_ *shard, p *pool) []coordination.Action {
			return p.report(now, from, &msg)
		}, nil)
	case message.HandOverReply:
		for _, key := range msg.Settled {
			h.in(key.Service, false, func(_ *shard, p *pool) []coordination.Action {
				p.settledBy(from, key.ID)
				return nil
			}, nil)
		}
	}
	return nil
}

// in calls f with the service's pool under the shard's lock, or none if there
// is no such pool.
func (h *Home) in(service string, create bool, f func(*shard, *pool) []coordination.Action, none func() []coordination.Action) []coordination.Action {
	s := h.shard(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := h.poolLocked(s, service, create)
	if p != nil {
		return h.drops.gather(f(s, p))
	}
	if none == nil {
		return nil
	}
	return none()
}

// Verdict takes a claim's Granted or Denied.
func (h *Home) Verdict(now time.Time, a coordination.Action) []coordination.Action {
	switch a := a.(type) {
	case coordination.Granted:
		return h.in(a.Key.Service, false, func(_ *shard, p *pool) []coordination.Action {
			return p.granted(now, a)
		}, nil)
	case coordination.Denied:
		return h.in(a.Key.Service, false, func(_ *shard, p *pool) []coordination.Action {
			return p.denied(now, a)
		}, nil)
	}
	return nil
}

// each calls f for every pool in turn, each under its shard's lock.
func (h *Home) each(f func(*pool) []coordination.Action) []coordination.Action {
	var out []coordination.Action
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		for _, p := range s.order {
			out = append(out, h.drops.gather(f(p))...)
		}
		s.mu.Unlock()
	}
	return out
}

// PeerDown says that the link to an agent broke. What was in flight may be
// lost; the agent may come back. It is asked again soon.
func (h *Home) PeerDown(now time.Time, id state.NodeID) []coordination.Action {
	h.links.lost(now, id)
	return h.each(func(p *pool) []coordination.Action { return p.peerDown(now, id) })
}

// PeerGone says that an agent was evicted. Tasks that it may have started are
// lost, and so are their jobs.
func (h *Home) PeerGone(now time.Time, id state.NodeID) []coordination.Action {
	h.links.heard(id)
	return h.each(func(p *pool) []coordination.Action { return p.peerGone(now, id) })
}

// Tick notices passing time.
func (h *Home) Tick(now time.Time) []coordination.Action {
	out := h.each(func(p *pool) []coordination.Action { return p.tick(now) })
	return append(out, h.drops.flush()...)
}

// Drain refuses new submissions from now on; running jobs finish.
func (h *Home) Drain(now time.Time) []coordination.Action {
	for i := range h.shards {
		s := &h.shards[i]
		s.mu.Lock()
		s.draining = true
		s.mu.Unlock()
	}
	return nil
}

// Idle reports whether every job has been answered and settled.
func (h *Home) Idle() bool {
	return h.Stats().Running == 0
}

// Stats is a snapshot of what the home holds.
type Stats struct {
	// Running jobs have no final answer yet; Finished ones are kept for
	// resubmission.
	Running  int
	Finished int
	// Waiting tasks have no agent; Assigned ones are with an agent.
	Waiting  int
	Assigned int
	// StoredBytes is the size of the stored answers.
	StoredBytes int
}

// Stats counts jobs and tasks over all services.
func (h *Home) Stats() Stats {
	var st Stats
	h.each(func(p *pool) []coordination.Action {
		p.addStats(&st)
		return nil
	})
	return st
}
