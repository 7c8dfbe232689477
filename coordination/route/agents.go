package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	placing "github.com/shallotstep/shallotstep/coordination/place"
	"github.com/shallotstep/shallotstep/state"
)

// downFor is how long an agent with a lost link is passed over, unless it is
// heard of before.
const downFor = time.Second

// maxDraws bounds the random draws before all candidates are looked through.
const maxDraws = 8

// agent is what this entry knows of one agent beside its load report.
type agent struct {
	inFlight int
	// seq is the latest report seen; unseen counts tries sent since, which no
	// report can show yet.
	seq    uint64
	unseen int
	// downAt is when the link last broke, could not be made or the node was
	// found silent, downSince when that happened first. Both are zero while
	// nothing is known against the node.
	downAt    time.Time
	downSince time.Time
}

type agents struct {
	shards [shardCount]agentShard
}

type agentShard struct {
	mu sync.Mutex
	m  map[state.NodeID]*agent // guarded by mu
}

func (a *agents) init() {
	for i := range a.shards {
		a.shards[i].m = make(map[state.NodeID]*agent)
	}
}

// with runs fn on an agent's record under its lock.
func (a *agents) with(id state.NodeID, fn func(*agent)) {
	s := &a.shards[xxhash.Sum64String(string(id))%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m[id] == nil {
		s.m[id] = &agent{}
	}
	fn(s.m[id])
}

func (a *agents) forget(id state.NodeID) {
	s := &a.shards[xxhash.Sum64String(string(id))%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, id)
}

func (a *agents) sent(id state.NodeID) {
	a.with(id, func(g *agent) { g.inFlight++; g.unseen++ })
}

func (a *agents) ended(id state.NodeID) {
	a.with(id, func(g *agent) { g.inFlight = max(0, g.inFlight-1) })
}

// setDown notes that a node can't be reached; the zero time that it was heard of.
func (a *agents) setDown(id state.NodeID, at time.Time) {
	a.with(id, func(g *agent) {
		g.downAt = at
		if at.IsZero() || g.downSince.IsZero() {
			g.downSince = at
		}
	})
}

// downSince returns since when a node can't be reached; zero means that nothing
// is known against it.
func (a *agents) downSince(id state.NodeID) (since time.Time) {
	a.with(id, func(g *agent) { since = g.downSince })
	return since
}

// score is the load per slot: what the agent reported and what was sent since,
// or what this entry alone has there if that is more.
func (a *agents) score(now time.Time, l *state.AgentLoad) (score float64, down bool) {
	a.with(l.ID, func(g *agent) {
		if g.seq != l.Seq {
			g.seq, g.unseen = l.Seq, 0
		}
		known := l.Slots - l.Free + l.Queued + g.unseen
		score = float64(max(known, g.inFlight)) / float64(max(1, l.Slots))
		down = !g.downAt.IsZero() && now.Sub(g.downAt) < downFor
	})
	return score, down
}

// pick chooses the better of two eligible agents by known load. Of all
// candidates the least loaded would draw every entry at once until its next
// report; the better of two random ones spreads them. Without an eligible one
// it returns the reason.
//
// The candidates are a few of many agents. A task that none of them is large
// enough for is looked for among all: one that needs a rare worker would be
// called never runnable at most entries. Override says that so many agents are
// ejected that none is left out: the one picked has to take the task.
func (r *Router) pick(now time.Time, rng *rand.Rand, service string, t *state.Task, tried []try) (id state.NodeID, override bool, reason state.Reason) {
	all := r.opts.View.Candidates(service)
	if f, ok := r.opts.View.(Fitter); ok && !placing.Runnable(t, all) {
		if more := f.CandidatesFor(service, t); len(more) > 0 {
			all = more
		}
	}
	override = placing.Override(all)
	best, bestScore, found := state.NodeID(""), 0.0, 0
	consider := func(l *state.AgentLoad) {
		if l.ID == best || !eligible(t, l, tried, override) || !r.opts.Roster.Alive(l.ID) {
			return
		}
		score, down := r.agents.score(now, l)
		if down {
			return
		}
		if found++; best == "" || score < bestScore {
			best, bestScore = l.ID, score
		}
	}
	for draw := 0; draw < maxDraws && found < 2 && len(all) > 0; draw++ {
		consider(&all[rng.IntN(len(all))])
	}
	for i := 0; i < len(all) && found < 2; i++ {
		consider(&all[i])
	}
	if best != "" {
		return best, override, state.ReasonNone
	}
	return "", false, r.whyNone(t, all)
}

func eligible(t *state.Task, l *state.AgentLoad, tried []try, override bool) bool {
	if l.Draining || l.Ejected && !override || !l.Fits(t) {
		return false
	}
	return !slices.ContainsFunc(tried, func(o try) bool { return o.agent == l.ID })
}

// whyNone says why no agent is eligible. "Never" is said only if something is
// known of every agent: an entry that has just started would say it untruly.
func (r *Router) whyNone(t *state.Task, all []state.AgentLoad) state.Reason {
	if len(all) == 0 || placing.Runnable(t, all) {
		return state.ReasonNoBackend
	}
	if k, ok := r.opts.View.(Knower); ok && !k.AllKnown() {
		return state.ReasonNoBackend
	}
	return state.ReasonNeverRunnable
}
