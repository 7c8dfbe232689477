package agent

import (
	"maps"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/metrics"
	"github.com/shallotstep/shallotstep/transport/peer"
)

var errSilent = errors.New("the owner was silent for too long; it has to claim its shards anew")

// Ready implements peer.AgentHandler. Links are refused until the agent knows what runs on its
// backend server.
func (a *Agent) Ready() bool {
	now := bootclock.Now()
	return a.serving.Load() && a.worker.Ready(now, now-a.started)
}

// CallerUp implements peer.AgentHandler.
func (a *Agent) CallerUp(c *peer.Caller) {
	a.mu.Lock()
	a.callerStates[c] = &callerState{}
	a.mu.Unlock()
	c.Send(emptyFrame)
}

// CallerDown implements peer.AgentHandler.
func (a *Agent) CallerDown(c *peer.Caller) {
	a.worker.LinkLost(bootclock.Now(), c.Node)
	a.sums.Forget(c.Node)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.callerStates, c)
	for shard, known := range a.shardCallers {
		if known == c {
			delete(a.shardCallers, shard)
		}
	}
}

// Frame implements peer.AgentHandler.
func (a *Agent) Frame(c *peer.Caller, f *corepb.ToAgent) error {
	now := bootclock.Now()
	if start := f.GetSessionStart(); start != nil {
		a.worker.SessionStarted(c.Node, start.GetSession(), heldShards(f))
	}
	if !a.worker.Heard(now, c.Node) && len(f.GetClaims()) == 0 {
		return errSilent
	}
	// The drains apply before the orders of the frame, because the sender knew them when it sent
	// the orders.
	a.drains.Merge(f.GetDrains())
	if answer := f.GetSnapshot(); answer != nil {
		a.snapshots.tell(answer)
	}
	for _, p := range f.GetClaims() {
		a.noteClaim(c, int(p.GetShard()))
		a.handleClaim(c, p)
	}
	for _, shard := range f.GetReleases() {
		a.worker.Release(int(shard), c.Node)
	}
	for _, p := range f.GetOrders() {
		if !wire.OrderSpeedIsValid(p) {
			metrics.Malformed(metrics.KindSpeed)
		}
		a.apply(a.worker.Order(now, wire.OrderFromWire(now, p)))
		c.Orders.Add(1)
		a.orders.Add(1)
	}
	if s := a.stateOf(c); s != nil && len(f.GetOrders()) > 0 {
		s.recordOrder(now)
		a.recentPlacers.record(now, c.Node)
	}
	if p := f.GetDemand(); p != nil {
		core.CountInvalidDemand(a.sums.Update(now, c.Node, wire.DemandFromWire(p)))
	}
	for _, p := range f.GetStops() {
		a.apply(a.worker.Stop(now, int(p.GetShard()), p.GetEpoch(), wire.RunFromWire(p.GetRun())))
	}
	for _, p := range f.GetSettled() {
		a.worker.Settled(wire.RunFromWire(p.GetRun()), p.GetVoid())
	}
	return nil
}

// heldShards returns the epochs of the shards that the sender of a session's first frame has.
func heldShards(f *corepb.ToAgent) map[int]int64 {
	out := make(map[int]int64)
	for _, p := range f.GetSessionStart().GetHeld() {
		out[int(p.GetShard())] = p.GetEpoch()
	}
	for _, p := range f.GetClaims() {
		out[int(p.GetShard())] = p.GetEpoch()
	}
	return out
}

// handleClaim answers a claim. A claim of a recorded shard is answered in the background once the
// marker for recorded jobs is stored. Its owner sends no order before the answer.
func (a *Agent) handleClaim(c *peer.Caller, p *corepb.Claim) {
	if a.markerStored.Load() || int(p.GetShard()) >= a.settings.Shards() {
		a.answerClaim(bootclock.Now(), c, p)
		return
	}
	go func() {
		a.storeMarker()
		a.answerClaim(bootclock.Now(), c, p)
	}()
}

func (a *Agent) answerClaim(now time.Duration, c *peer.Caller, p *corepb.Claim) {
	answer := a.worker.Claim(now, worker.Claim{Shard: int(p.GetShard()), Epoch: p.GetEpoch(), Session: p.GetSession(), Owner: c.Node})
	a.apply(answer.Effects)
	klog.InfoS("Claim", "shard", p.GetShard(), "epoch", p.GetEpoch(), "session", p.GetSession(), "owner", c.Node, "refused", answer.Refused, "known_epoch", answer.KnownEpoch, "runs", len(answer.Runs))
	if !answer.Refused {
		a.mu.Lock()
		a.shardCallers[int(p.GetShard())] = c
		a.mu.Unlock()
	}
	c.Send(func(f *corepb.FromAgent) { f.Claimed = append(f.Claimed, wire.ClaimedToWire(&answer)) })
}

// snapshotCallers returns a copy of the callers and their states.
func (a *Agent) snapshotCallers() map[*peer.Caller]*callerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.callerStates)
}

// stateOf returns the state of a caller, or nil if its link has ended.
func (a *Agent) stateOf(c *peer.Caller) *callerState {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.callerStates[c]
}

// LinkUp implements peer.LinkHandler. The frame that it returns claims the open shards, or names those
// that can't be claimed yet.
func (a *Agent) LinkUp(node string, session int64) *corepb.ToAgent {
	a.mu.Lock()
	a.linkSessions[node] = session
	a.mu.Unlock()
	a.fleet.Linked(node)
	out := &corepb.ToAgent{SessionStart: &corepb.SessionStart{Session: session}}
	confirmed := a.ownershipConfirmed()
	if !confirmed {
		// An agent that has just started knows no epochs, so it would accept the claim
		// of an owner that the group has replaced. That owner would settle ends and
		// repeat orders that belong to its successor. The shards are claimed after the
		// next successful join instead.
		a.claimsPending.Store(true)
	}
	for _, r := range a.ownedShards() {
		if confirmed && !a.claimMustWait(r) {
			out.Claims = append(out.Claims, r.LinkUp(node, session)...)
			continue
		}
		out.SessionStart.Held = append(out.SessionStart.Held, r.LinkUpUnclaimed(node, session))
	}
	return out
}

// LinkDown implements peer.LinkHandler.
func (a *Agent) LinkDown(node string, session int64) {
	a.mu.Lock()
	delete(a.linkSessions, node)
	a.mu.Unlock()
	a.fleet.LinkLost(node)
	for _, r := range a.ownedShards() {
		r.LinkDown(node, session)
	}
}

// LinkFrame implements peer.LinkHandler.
func (a *Agent) LinkFrame(node string, _ int64, f *corepb.FromAgent) {
	a.drains.Merge(f.GetDrains())
	if l := f.GetLoad(); l != nil {
		now := bootclock.Now()
		a.fleet.Update(now, node, a.loads.Read(now, node, l))
	}
	a.demand.Hear(bootclock.Now(), node, f.GetDemand())
	for _, p := range f.GetClaimed() {
		if r := a.shard(int(p.GetShard())); r != nil {
			r.HandleClaimed(node, p)
		}
	}
	for _, p := range f.GetEvents() {
		if r := a.shard(int(p.GetShard())); r != nil {
			r.HandleEvent(node, p)
		}
	}
	for _, r := range a.ownedShards() {
		r.PlaceWaiting()
	}
}
