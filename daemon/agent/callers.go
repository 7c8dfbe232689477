package agent

import (
	"maps"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/shares"
	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/peer"
)

const (
	// loadIntervalPerPlacer times the number of callers that place work here is the
	// least time between two frames to one of them that only carry a changed load.
	// With 8 entries and 51 agents an entry gets at most 450 such frames a second; at
	// about 30 µs each they take 1.4 % of a core. Other frames carry the load as well.
	loadIntervalPerPlacer = 14 * time.Millisecond
	// placerTimeout is how long after its last order a caller counts as one that
	// places work here. Other callers get the load with the heartbeats.
	placerTimeout = time.Second
	// ownershipInterval is the least time after which a frame repeats to its caller
	// which shards are owned here. A caller that has dropped an owner waits that long
	// to learn of it again.
	ownershipInterval = 150 * time.Millisecond
)

// loadSummary is the part of a load whose changes are sent in frames of their own.
type loadSummary struct {
	free    job.Demand
	waiting int
	accepts bool
}

func summarizeLoad(l *worker.Load) loadSummary {
	return loadSummary{free: l.Free, waiting: l.Waiting, accepts: l.Accepts}
}

// callerState is what was last sent to a caller and received from it.
type callerState struct {
	mu sync.Mutex
	// All fields below are guarded by mu.

	// load is the load in the last frame, which was sent at loadAt.
	load   loadSummary
	loadAt time.Duration
	// ownershipSentAt is when the caller was last sent which shards are owned here. It
	// is zero if the next frame has to carry that.
	ownershipSentAt time.Duration
	// lastOrderAt is when the last order of the caller came; zero if none has.
	lastOrderAt time.Duration
	// demand is what the caller was last told that the others ask for, at demandAt.
	demand   []shares.Demand
	demandAt time.Duration
	// entry is set once the caller has claimed a private shard, as only entries do.
	entry bool
}

func (s *callerState) recordOrder(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastOrderAt = now
}

// isPlacer reports whether the caller currently places work here.
func (s *callerState) isPlacer(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastOrderAt > 0 && now-s.lastOrderAt < placerTimeout
}

// loadDue reports whether the load has changed and the last frame was sent at least
// pause ago, so that the load is sent in a frame of its own.
func (s *callerState) loadDue(now time.Duration, load loadSummary, pause time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.load != load && now-s.loadAt >= pause
}

// recordFrame records a frame with a load and reports whether the frame also has to
// carry which shards are owned here.
func (s *callerState) recordFrame(now time.Duration, load loadSummary) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt = load, now
	if s.ownershipSentAt > 0 && now-s.ownershipSentAt < ownershipInterval {
		return false
	}
	s.ownershipSentAt = now
	return true
}

// demandDue records what the others ask for and reports whether the caller is to be told: it places
// work here, and that has changed or is due again.
func (s *callerState) demandDue(now time.Duration, rows []shares.Demand) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	placer := s.lastOrderAt > 0 && now-s.lastOrderAt < placerTimeout
	if !placer || s.demandAt > 0 && now-s.demandAt < core.DemandInterval && !shares.Changed(s.demand, rows, shares.OthersChange) {
		return false
	}
	s.demand, s.demandAt = rows, now
	return true
}

// resetOwnership makes the next frame carry which shards are owned here.
func (s *callerState) resetOwnership() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownershipSentAt = 0
}

// BeforeSend implements peer.AgentHandler. Each frame carries the present load.
func (a *Agent) BeforeSend(c *peer.Caller, f *corepb.FromAgent) {
	now := bootclock.Now()
	// The counter is read before the load, so that the load includes every order that is
	// reported as seen.
	seen := c.Orders.Load()
	l := a.worker.Load(now)
	f.Load = wire.LoadToWire(&l)
	f.Load.Domain = a.settings.Domain
	f.Load.OrdersSeen = seen
	f.Load.Placers = a.placers.Load()
	f.Load.Orders = a.orders.Load()
	f.Drains = a.drains.ToWire()
	s := a.stateOf(c)
	if s == nil {
		return
	}
	if s.recordFrame(now, summarizeLoad(&l)) {
		f.Owned, f.OwnedValid = a.ownership(), true
	}
	if rows, ok := a.sums.Others(now, c.Node); ok {
		if shares.HasRoom(float64(l.Free.CPUMillis) / float64(max(l.Server.Capacity.CPUMillis, 1))) {
			rows = nil
		}
		if s.demandDue(now, rows) {
			f.Demand = wire.DemandToWire(rows)
		}
	}
}

// sendChangedLoad sends a changed load to the callers that place work here.
func (a *Agent) sendChangedLoad(now time.Duration) {
	l := a.worker.Load(now)
	load := summarizeLoad(&l)
	placers := a.snapshotCallers()
	maps.DeleteFunc(placers, func(_ *peer.Caller, s *callerState) bool { return !s.isPlacer(now) })
	a.placers.Store(int32(len(placers)))
	for c, s := range placers {
		if s.loadDue(now, load, time.Duration(len(placers))*loadIntervalPerPlacer) {
			c.Send(emptyFrame)
		}
	}
}

// emptyFrame adds nothing to a frame, which then has only what Complete adds.
func emptyFrame(*corepb.FromAgent) {}

// announceOwnership sends all callers at once which shards are owned here.
func (a *Agent) announceOwnership() {
	for c, s := range a.snapshotCallers() {
		s.resetOwnership()
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
