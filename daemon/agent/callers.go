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
	loadIntervalPerPlacer = 14 * time.Millisecond
	// placing is how long after its last order a caller counts as one that
	// places work here. Others hear of loads with the signs of life.
	placerTimeout = time.Second
	// ownedEvery is the pace at which callers are told again which shards are
	// owned here. One that has forgotten an owner waits that long for it.
	ownershipInterval = 150 * time.Millisecond
)

// loadLevel is the part of a load whose change is worth a frame.
type loadSummary struct {
	free    job.Demand
	waiting int
	accepts bool
}

func summarizeLoad(l *worker.Load) loadSummary {
	return loadSummary{free: l.Free, waiting: l.Waiting, accepts: l.Accepts}
}

// news is what one caller was told last.
type callerState struct {
	mu sync.Mutex
	// All fields below are guarded by mu.

	load   loadSummary
	loadAt time.Duration
	// ownedAt is when it was told which shards are owned here; zero: not yet.
	ownershipSentAt time.Duration
	// orderAt is when its last order came; zero: none did.
	lastOrderAt time.Duration
}

func (n *callerState) recordOrder(now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastOrderAt = now
}

func (n *callerState) isPlacer(now time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastOrderAt > 0 && now-n.lastOrderAt < placerTimeout
}

// due reports whether a changed load is worth a frame of its own.
func (n *callerState) loadDue(now time.Duration, level loadSummary, pause time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.load != level && now-n.loadAt >= pause
}

// told notes a frame, and reports whether it has to tell the owned shards.
func (n *callerState) recordFrame(now time.Duration, level loadSummary) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.load, n.loadAt = level, now
	if n.ownershipSentAt > 0 && now-n.ownershipSentAt < ownershipInterval {
		return false
	}
	n.ownershipSentAt = now
	return true
}

// ownersChanged has the next frame tell the owned shards.
func (n *callerState) resetOwnership() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ownershipSentAt = 0
}

// Complete implements peer.AgentHandler: each frame carries the present load.
func (a *Agent) Complete(c *peer.Caller, f *corepb.FromAgent) {
	now := bootclock.Now()
	// Read before the load: what is said to be seen must be in it.
	seen := c.Orders.Load()
	l := a.worker.Load(now)
	f.Load = wire.LoadToWire(&l)
	f.Load.Domain = a.settings.Domain
	f.Load.OrdersSeen = seen
	f.Load.Placers = a.placers.Load()
	f.Load.Orders = a.orders.Load()
	f.Drains = a.drains.Frame()
	if n := a.stateOf(c); n != nil && n.recordFrame(now, summarizeLoad(&l)) {
		f.Owned, f.OwnedValid = a.ownership(), true
	}
}

// spreadLoad tells those that place work here of a changed load.
func (a *Agent) sendChangedLoad(now time.Duration) {
	l := a.worker.Load(now)
	level := summarizeLoad(&l)
	placers := a.snapshotCallers()
	maps.DeleteFunc(placers, func(_ *peer.Caller, n *callerState) bool { return !n.isPlacer(now) })
	a.placers.Store(int32(len(placers)))
	for c, n := range placers {
		if n.loadDue(now, level, time.Duration(len(placers))*loadIntervalPerPlacer) {
			c.Send(emptyFrame)
		}
	}
}

// nothing leaves a frame as it is; what each frame carries is enough.
func emptyFrame(*corepb.FromAgent) {}

// announce tells all callers at once which shards are owned here.
func (a *Agent) announceOwnership() {
	for c, n := range a.snapshotCallers() {
		n.resetOwnership()
		c.Send(emptyFrame)
	}
}

func (a *Agent) ownership() []*corepb.Ownership {
	var out []*corepb.Ownership
	for _, r := range a.ownedShards() {
		if !r.Closed() {
			out = append(out, &corepb.Ownership{Shard: int32(r.ID), Epoch: r.Epoch})
		}
	}
	return out
}
