package agent

import (
	"maps"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/peer"
)

const (
	// spreadCost times the number of callers that place work here is the least
	// pause between two frames that only tell one of them of a changed load.
	// With 8 entries and 51 agents an entry gets at most 450 of them a second,
	// at about 30 µs each 1.4 % of a core; other frames carry the load as well.
	spreadCost = 14 * time.Millisecond
	// placing is how long after its last order a caller counts as one that
	// places work here. Others hear of loads with the signs of life.
	placing = time.Second
	// ownedEvery is the pace at which callers are told again which shards are
	// owned here. One that has forgotten an owner waits that long for it.
	ownedEvery = 150 * time.Millisecond
)

// loadLevel is the part of a load whose change is worth a frame.
type loadLevel struct {
	free    job.Demand
	waiting int
	accepts bool
}

func levelOf(l *worker.Load) loadLevel {
	return loadLevel{free: l.Free, waiting: l.Waiting, accepts: l.Accepts}
}

// news is what one caller was told last.
type news struct {
	mu sync.Mutex
	// All fields below are guarded by mu.

	level   loadLevel
	levelAt time.Duration
	// ownedAt is when it was told which shards are owned here; zero: not yet.
	ownedAt time.Duration
	// orderAt is when its last order came; zero: none did.
	orderAt time.Duration
}

func (n *news) ordered(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.orderAt = now
}

func (n *news) places(now time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.orderAt > 0 && now-n.orderAt < placing
}

// due reports whether a changed load is worth a frame of its own.
func (n *news) due(now time.Duration, level loadLevel, pause time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.level != level && now-n.levelAt >= pause
}

// told notes a frame, and reports whether it has to tell the owned shards.
func (n *news) told(now time.Duration, level loadLevel) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.level, n.levelAt = level, now
	if n.ownedAt > 0 && now-n.ownedAt < ownedEvery {
		return false
	}
	n.ownedAt = now
	return true
}

// ownersChanged has the next frame tell the owned shards.
func (n *news) ownersChanged() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ownedAt = 0
}

// BeforeSend implements peer.AgentHandler: each frame carries the present load.
func (a *Agent) BeforeSend(c *peer.Caller, f *corepb.FromAgent) {
	now := bootclock.Now()
	// Read before the load: what is said to be seen must be in it.
	seen := c.Orders.Load()
	l := a.worker.Load(now)
	f.Load = wire.LoadToWire(&l)
	f.Load.Domain = a.settings.Domain
	f.Load.OrdersSeen = seen
	f.Load.Placers = a.placers.Load()
	f.Load.Orders = a.orders.Load()
	f.Drains = a.drains.ToWire()
	if n := a.newsFor(c); n != nil && n.told(now, levelOf(&l)) {
		f.Owned, f.OwnedValid = a.ownership(), true
	}
}

// spreadLoad tells those that place work here of a changed load.
func (a *Agent) spreadLoad(now time.Duration) {
	l := a.worker.Load(now)
	level := levelOf(&l)
	placers := a.everyCaller()
	maps.DeleteFunc(placers, func(_ *peer.Caller, n *news) bool { return !n.places(now) })
	a.placers.Store(int32(len(placers)))
	for c, n := range placers {
		if n.due(now, level, time.Duration(len(placers))*spreadCost) {
			c.Send(nothing)
		}
	}
}

// nothing leaves a frame as it is; what each frame carries is enough.
func nothing(*corepb.FromAgent) {}

// announce tells all callers at once which shards are owned here.
func (a *Agent) announce() {
	for c, n := range a.everyCaller() {
		n.ownersChanged()
		c.Send(nothing)
	}
}

func (a *Agent) ownership() []*corepb.Ownership {
	var out []*corepb.Ownership
	for _, r := range a.owned() {
		if !r.Closed() {
			out = append(out, &corepb.Ownership{Shard: int32(r.ID), Epoch: r.Epoch})
		}
	}
	return out
}
