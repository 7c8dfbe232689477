// Package gossip spreads what agents say of their loads. It is soft news: it
// chooses where tasks run and tells who has fallen silent; it never decides who
// guards a claim.
//
// An agent sends to its watchers only (package watch), a small fixed set of its
// own region that the roster defines. So the number of its connections doesn't
// grow with the fleet, and those who may evict it hear it directly. Two kinds of
// news travel differently:
//
//   - Urgent news is what makes others send tasks in vain or not at all: an agent
//     that is new, drains, is ejected or has changed its services or size. It is
//     rare. Whoever hears of it for the first time passes it on within
//     UrgentInterval, so that it floods the region in about a second.
//   - Ordinary news is the present load and that the agent lives. Each agent
//     sends its own to a few watchers in turn every Interval and adds the
//     youngest of what it has heard, as far as MaxItems allows.
//
// A lost message is made up for by pages: now and then each node pulls one page
// of a random neighbour's table. This periodic sync with a random neighbour, and
// flooding of what is new to the receiver only, are from "KvStore - Store and
// Sync (Open/R)"; bench/gossip has the measurement that the choice rests on.
//
// Entry hosts have no load to tell. They pull pages, and the agents that they
// pull from send them urgent news for a while.
package gossip

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/member/watch"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/defaults"
	"github.com/shallotstep/shallotstep/state/loadview"
)

// Defaults of Options.
const (
	DefaultInterval       = time.Second
	DefaultFanout         = 4
	DefaultMaxItems       = 6
	DefaultExpiry         = 3 * time.Minute
	DefaultUrgentInterval = 100 * time.Millisecond
	DefaultUrgentCopies   = watch.Count
	DefaultPullEvery      = 10
	DefaultPageItems      = 64
)

// Options configure a Gossip.
type Options struct {
	// Self is the node. Its Region is whose agents it hears of.
	Self state.Member
	// Peers returns the members of the roster, Self among them or not. It is
	// called about once per Interval and must not call back.
	Peers func() []state.Member
	Seed  uint64
	// Interval is between two rounds of ordinary news.
	Interval time.Duration
	// Fanout is how many nodes get the news of one round.
	Fanout int
	// MaxItems bounds the loads in one message of ordinary news.
	MaxItems int
	// PageItems bounds the loads in a page and in one message of urgent news.
	PageItems int
	// Expiry is how long a load counts without news from its agent. It only
	// clears away agents that the roster doesn't name; members are forgotten
	// when they leave or are evicted.
	Expiry time.Duration
	// UrgentInterval is between two rounds of urgent news, if there is any.
	UrgentInterval time.Duration
	// UrgentCopies is to how many neighbours a node passes on one piece of
	// urgent news: to all, unless told otherwise.
	UrgentCopies int
	// PullEvery is how many rounds pass between two pulls of a page.
	PullEvery int
	// Agent says that Self has a load of its own. Others only listen.
	Agent bool
	// Position returns how far this node has read the declarations. Nil says
	// nothing of it.
	Position func(now time.Time) message.ReadPosition
}

func (o *Options) setDefaults() {
	defaults.Positive(&o.Interval, DefaultInterval)
	defaults.Positive(&o.Fanout, DefaultFanout)
	defaults.Positive(&o.MaxItems, DefaultMaxItems)
	defaults.Positive(&o.Expiry, DefaultExpiry)
	defaults.Positive(&o.UrgentInterval, DefaultUrgentInterval)
	defaults.Positive(&o.UrgentCopies, DefaultUrgentCopies)
	defaults.Positive(&o.PullEvery, DefaultPullEvery)
	defaults.Positive(&o.PageItems, DefaultPageItems)
}

// Gossip is one node's part in spreading loads. It is safe for concurrent use.
type Gossip struct {
	o     Options
	view  *loadview.View
	table table
	// readers has its own lock, taken after mu.
	readers readers

	mu  sync.Mutex // taken before any shard of the table
	rng *rand.Rand // guarded by mu
	own own        // guarded by mu
	// hot maps agents with urgent news to the copies still to send. Guarded by mu.
	hot map[state.NodeID]int
	// listeners are nodes outside the roster that have pulled, with the time of
	// the last pull. Guarded by mu.
	listeners map[state.NodeID]time.Time
	rounds    rounds // guarded by mu
	messages  int    // guarded by mu
	items     int    // guarded by mu
}

// own is what this agent says of itself.
type own struct {
	load state.AgentLoad
	set  bool
	beat uint32 // rounds since the start
}

// New returns a Gossip that knows nobody yet.
func New(o Options) *Gossip {
	o.setDefaults()
	g := &Gossip{
		o:         o,
		view:      loadview.New(loadview.Options{Self: o.Self, TTL: o.Expiry}),
		rng:       rand.New(rand.NewPCG(o.Seed, 0)),
		hot:       make(map[state.NodeID]int),
		listeners: make(map[state.NodeID]time.Time),
	}
	g.table.init()
	g.rounds.cursors = make(map[string]state.NodeID)
	g.rounds.catchingUp = true
	return g
}

// SetOwn sets what this agent says of itself. Who and where it is, is taken from
// Options.Self. A load that differs from the last one without a higher Seq gets
// the next Seq.
func (g *Gossip) SetOwn(now time.Time, load state.AgentLoad) {
	self := &g.o.Self
	load.ID, load.Addr = self.ID, self.Addr
	load.Region, load.Domain, load.Rack = self.Region, self.Domain, self.Rack
	g.mu.Lock()
	defer g.mu.Unlock()
	old := &g.own
	if old.set && sameLoad(&old.load, &load) {
		return
	}
	urgent := !old.set || urgentChange(&old.load, &load)
	load.Seq = max(load.Seq, old.load.Seq+1)
	g.own = own{load: load, set: true, beat: old.beat}
	g.view.Merge(now, load, 0)
	if urgent {
		g.hot[load.ID] = g.o.UrgentCopies
	}
}

// Observe takes in a load that came straight from its agent, on a Report.
func (g *Gossip) Observe(now time.Time, load state.AgentLoad) {
	if load.ID == "" || load.ID == g.o.Self.ID {
		return
	}
	g.merge(now, message.LoadItem{Load: load})
	g.table.hear(load.ID, now)
}

// Candidates returns the fresh loads of the agents that this node places a
// service's tasks on, draining and ejected ones among them. The caller must not
// change them.
func (g *Gossip) Candidates(service string) []state.AgentLoad {
	return g.view.Candidates(service)
}

// CandidatesFor returns agents whose worker is large enough for the task, also
// from beyond the candidates.
func (g *Gossip) CandidatesFor(service string, t *state.Task) []state.AgentLoad {
	return g.view.CandidatesFor(service, t)
}

// AllKnown reports whether there is fresh news of every other member: what no
// known worker can do, then no worker can do.
func (g *Gossip) AllKnown() bool {
	for _, m := range g.o.Peers() {
		if _, ok := g.view.Load(m.ID); !ok && m.ID != g.o.Self.ID {
			return false
		}
	}
	return true
}

// Load returns the newest load of one agent, if it is fresh.
func (g *Gossip) Load(id state.NodeID) (state.AgentLoad, bool) {
	return g.view.Load(id)
}

// All returns every fresh load with its age, in no particular order.
func (g *Gossip) All(now time.Time) []loadview.Aged {
	return g.view.All(now)
}

// LastHeard returns when the agent last spoke, by this node's clock, as far as
// this node knows. The time a message was in flight is not counted in.
func (g *Gossip) LastHeard(id state.NodeID) (time.Time, bool) {
	return g.table.lastHeard(id)
}

// Forget drops an incarnation that has left the roster for good.
func (g *Gossip) Forget(now time.Time, id state.NodeID) {
	g.view.Forget(now, id)
	g.table.forget(id)
	g.readers.forget(id)
	g.mu.Lock()
	delete(g.hot, id)
	g.mu.Unlock()
}
