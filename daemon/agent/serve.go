package agent

import (
	"maps"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/worker"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/peer"
)

var errSilent = errors.New("the owner was silent for too long; it has to claim its shards anew")

// Ready implements peer.AgentHandler.
func (a *Agent) Ready() bool {
	return a.enrolled.Load() && a.worker.Ready(bootclock.Now()-a.started)
}

// CallerUp implements peer.AgentHandler.
func (a *Agent) CallerUp(c *peer.Caller) {
	a.mu.Lock()
	a.all[c] = &news{}
	a.mu.Unlock()
	c.Send(nothing)
}

// CallerDown implements peer.AgentHandler.
func (a *Agent) CallerDown(c *peer.Caller) {
	a.worker.Unlinked(bootclock.Now(), c.Node)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.all, c)
	for shard, known := range a.callers {
		if known == c {
			delete(a.callers, shard)
		}
	}
}

// Frame implements peer.AgentHandler.
func (a *Agent) Frame(c *peer.Caller, f *corepb.ToAgent) error {
	now := bootclock.Now()
	if !a.worker.Heard(now, c.Node) && len(f.GetClaims()) == 0 {
		return errSilent
	}
	// Before the orders of the frame: its sender knew as much when it sent them.
	a.drains.Merge(f.GetDrains())
	for _, p := range f.GetClaims() {
		a.takeClaim(c, p)
	}
	for _, shard := range f.GetReleases() {
		a.worker.Release(int(shard), c.Node)
	}
	for _, p := range f.GetOrders() {
		a.apply(a.worker.Order(now, wire.OrderFromWire(now, p)))
		c.Orders.Add(1)
		a.orders.Add(1)
	}
	if n := a.newsFor(c); n != nil && len(f.GetOrders()) > 0 {
		n.ordered(now)
		a.placed.note(now, c.Node)
	}
	for _, p := range f.GetStops() {
		a.apply(a.worker.Stop(now, int(p.GetShard()), p.GetEpoch(), wire.RunFromWire(p.GetRun())))
	}
	for _, p := range f.GetSettled() {
		a.worker.Settled(wire.RunFromWire(p.GetRun()), p.GetVoid())
	}
	return nil
}

// takeClaim answers a claim. That of a recorded shard waits for what has to be written
// down first; its owner sends no order before the answer.
func (a *Agent) takeClaim(c *peer.Caller, p *corepb.Claim) {
	if a.marked.Load() || int(p.GetShard()) >= a.settings.Shards() {
		a.claim(bootclock.Now(), c, p)
		return
	}
	go func() {
		a.mark()
		a.claim(bootclock.Now(), c, p)
	}()
}

func (a *Agent) claim(now time.Duration, c *peer.Caller, p *corepb.Claim) {
	answer := a.worker.Claim(now, worker.Claim{Shard: int(p.GetShard()), Epoch: p.GetEpoch(), Session: p.GetSession(), Owner: c.Node})
	a.apply(answer.Effects)
	klog.InfoS("Claim", "shard", p.GetShard(), "epoch", p.GetEpoch(), "session", p.GetSession(), "owner", c.Node, "refused", answer.Refused, "known_epoch", answer.KnownEpoch, "runs", len(answer.Runs))
	if !answer.Refused {
		a.mu.Lock()
		a.callers[int(p.GetShard())] = c
		a.mu.Unlock()
	}
	c.Send(func(f *corepb.FromAgent) { f.Claimed = append(f.Claimed, wire.ClaimedToWire(&answer)) })
}

// everyCaller returns a copy of the links that others have made.
func (a *Agent) everyCaller() map[*peer.Caller]*news {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.all)
}

// newsFor returns what a caller was told, or nil if its link has ended.
func (a *Agent) newsFor(c *peer.Caller) *news {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.all[c]
}

// LinkUp implements peer.LinkHandler.
func (a *Agent) LinkUp(node string, session int64) *corepb.ToAgent {
	a.mu.Lock()
	a.up[node] = session
	a.mu.Unlock()
	a.fleet.Linked(node)
	out := &corepb.ToAgent{}
	if !a.confirmedOwner() {
		// An agent that has just started knows no epochs. An owner that the group
		// has replaced must not be the first to claim there: it would settle ends
		// and repeat orders that are its successor's. Once the store confirms the
		// shards, the next join claims them.
		a.unclaimed.Store(true)
		return out
	}
	for _, r := range a.owned() {
		out.Claims = append(out.Claims, r.LinkUp(node, session)...)
	}
	return out
}

// LinkDown implements peer.LinkHandler.
func (a *Agent) LinkDown(node string, session int64) {
	a.mu.Lock()
	delete(a.up, node)
	a.mu.Unlock()
	a.fleet.LinkLost(node)
	for _, r := range a.owned() {
		r.LinkDown(node, session)
	}
}

// LinkFrame implements peer.LinkHandler.
func (a *Agent) LinkFrame(node string, _ int64, f *corepb.FromAgent) {
	a.drains.Merge(f.GetDrains())
	if l := f.GetLoad(); l != nil {
		a.fleet.Update(bootclock.Now(), node, wire.LoadFromWire(l))
	}
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
	for _, r := range a.owned() {
		r.PlaceWaiting()
	}
}
