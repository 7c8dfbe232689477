package core

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/worker"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/transport/bootclock"
)

// ShardDriver drives the state machine of one shard: it runs its steps one at a time and carries
// out their effects.
type ShardDriver struct {
	*owner.Shard
	links   *LinkSet
	metrics *Metrics
	// Wake receives a value when there are records to write.
	Wake chan struct{}

	// stepMu is held during a step and its effects, so that the effects are carried out in the
	// order of the steps: a stop that was sent before its order would have no effect.
	stepMu sync.Mutex
}

// NewShardDriver returns the driver of a shard that sends its messages on the given links.
func NewShardDriver(s *owner.Shard, links *LinkSet, m *Metrics) *ShardDriver {
	return &ShardDriver{Shard: s, links: links, metrics: m, Wake: make(chan struct{}, 1)}
}

// Step runs a step of the state machine and carries out its effects.
func (r *ShardDriver) Step(f func(now time.Duration) owner.Effects) {
	r.stepMu.Lock()
	defer r.stepMu.Unlock()
	now := bootclock.Now()
	fx := f(now)
	r.apply(now, &fx)
}

// apply carries out the effects of a step.
func (r *ShardDriver) apply(now time.Duration, fx *owner.Effects) {
	for i := range fx.Orders {
		o := wire.OrderToWire(now, &fx.Orders[i].Value)
		r.links.Send(fx.Orders[i].Node, func(f *corepb.ToAgent) { f.Orders = append(f.Orders, o) })
	}
	for _, s := range fx.Stops {
		stop := &corepb.Stop{Shard: int32(r.ID), Epoch: r.Epoch, Run: wire.RunToWire(s.Value)}
		r.links.Send(s.Node, func(f *corepb.ToAgent) { f.Stops = append(f.Stops, stop) })
	}
	for _, s := range fx.Settled {
		settled := &corepb.Settled{Shard: int32(r.ID), Run: wire.RunToWire(s.Value.Run), Void: s.Value.Void}
		r.sendSettled(s.Node, settled)
	}
	for _, node := range fx.Reconnects {
		r.links.reconnect(node)
	}
	for _, reply := range fx.Replies {
		r.metrics.CountResponse(reply.Response)
		reply.To(reply.Response)
	}
	for i := range fx.Log {
		if fx.Log[i].LacksCapacity() {
			r.links.recordRefusal(now)
		}
		r.logDecision(&fx.Log[i])
	}
	if fx.Write {
		r.Signal()
	}
}

// sendSettled tells an agent that the end of a run is settled. The message may wait for the next
// frame that is sent anyway: the agent then acknowledges the end a little later, which delays no
// release of resources. A void end must stop the acknowledgements and is sent at once.
func (r *ShardDriver) sendSettled(node string, settled *corepb.Settled) {
	add := func(f *corepb.ToAgent) { f.Settled = append(f.Settled, settled) }
	if settled.GetVoid() {
		r.links.Send(node, add)
		return
	}
	r.links.sendWithNextFrame(node, add)
}

// logDecision counts and logs a decision. Durations are in milliseconds.
func (r *ShardDriver) logDecision(d *owner.Decision) {
	r.metrics.decisions.WithLabelValues(d.Kind).Inc()
	if d.Refusal != nil {
		if d.Refusal.BesideRoom {
			r.metrics.refusedBesideRoom.WithLabelValues(d.Reason).Inc()
		}
		logRefusal(d)
	}
	klog.InfoS("Job", "what", d.Kind, "id", d.Job, "shard", r.ID, "epoch", r.Epoch, "step", d.Run.Task.Step, "task", d.Run.Task.Index,
		"run", d.Run.Number, "agent", d.Node, "reason", d.Reason, "age", d.Age.Milliseconds(), "wait", d.Wait.Milliseconds(), "count", d.Count)
}

// logRefusal logs the figures that a refusal was based on, in milliseconds and cores.
func logRefusal(d *owner.Decision) {
	r := d.Refusal
	klog.InfoS("Refusal", "id", d.Job, "reason", d.Reason, "predicted", r.PredictedWait.Milliseconds(), "here", r.LocalWait.Milliseconds(),
		"limit", r.WaitLimit.Milliseconds(), "late", r.LateEnd.Milliseconds(), "objective", r.Objective.Milliseconds(), "waited", r.ClientWaited.Milliseconds(),
		"free", int(r.FreeCores), "cores", int(r.TotalCores), "news", r.LoadAge.Milliseconds(), "beside_room", r.BesideRoom)
}

// PlaceWaiting tries to place the waiting tasks, after an agent may have reported free capacity.
func (r *ShardDriver) PlaceWaiting() {
	if r.HasWaitingTasks() {
		r.Step(r.AgentsUpdated)
	}
}

// Signal wakes the writer of the shard's records. It never blocks.
func (r *ShardDriver) Signal() {
	select {
	case r.Wake <- struct{}{}:
	default:
	}
}

// LinkUp adds a link to the shard and returns the claims to send on it: one, or none if the link
// was claimed already.
func (r *ShardDriver) LinkUp(node string, session int64) []*corepb.Claim {
	var claim worker.Claim
	var ok bool
	r.Step(func(now time.Duration) owner.Effects {
		var fx owner.Effects
		claim, ok, fx = r.Linked(now, node, session)
		return fx
	})
	if !ok {
		return nil
	}
	return []*corepb.Claim{{Shard: int32(claim.Shard), Epoch: claim.Epoch, Session: claim.Session}}
}

// LinkUpUnclaimed tells the shard of a new link on which it can't be claimed yet.
func (r *ShardDriver) LinkUpUnclaimed(node string, session int64) *corepb.Ownership {
	r.LinkedUnclaimed(node, session)
	return &corepb.Ownership{Shard: int32(r.ID), Epoch: r.Epoch}
}

// LinkDown tells the shard that a link is lost.
func (r *ShardDriver) LinkDown(node string, session int64) {
	r.Step(func(now time.Duration) owner.Effects {
		r.LinkLost(now, node, session)
		return owner.Effects{}
	})
}

// HandleClaimed handles an agent's answer to a claim.
func (r *ShardDriver) HandleClaimed(node string, p *corepb.Claimed) {
	r.Step(func(now time.Duration) owner.Effects { return r.Claimed(now, node, wire.ClaimedFromWire(p)) })
}

// HandleEvent handles a run event from an agent.
func (r *ShardDriver) HandleEvent(node string, p *corepb.Event) {
	e := worker.Event{Shard: int(p.GetShard()), Epoch: p.GetEpoch(), State: wire.RunStateFromWire(p.GetRun())}
	r.Step(func(now time.Duration) owner.Effects { return r.Event(now, node, e) })
}
