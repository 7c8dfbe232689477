package agent

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// responseNotOwner is the response to a request for a shard that this agent doesn't own.
var responseNotOwner = owner.Response{Outcome: owner.NotOwner, Reason: owner.ReasonOwnerChanged}

// Submit implements peer.AgentHandler.
func (a *Agent) Submit(shard int, id job.ID, spec job.Spec, p job.Policy, reply func(owner.Response)) {
	r := a.shard(shard)
	if r == nil || !a.ownershipConfirmed() {
		reply(responseNotOwner)
		return
	}
	if now := bootclock.Now(); a.links.RecordNeed(now, &spec, &p) && a.links.IsOpen() {
		a.linkWaitUntil.Set(now + core.NeedLinksTimeout)
		a.links.Reconcile(now)
	}
	a.awaitLinks(r)
	r.Step(func(now time.Duration) owner.Effects { return r.Shard.Submit(now, id, spec, p, reply) })
}

const (
	// firstLinksTimeout bounds the wait for links when an owner gets its first job. A
	// dial, a claim and the record of the claimed agents take 50 ms, on a slow host
	// 200 ms.
	firstLinksTimeout = 400 * time.Millisecond
	// linkPollInterval is the interval at which a waiting job checks the links.
	linkPollInterval = 5 * time.Millisecond
)

// awaitLinks opens the links to other agents, if they are not open, and waits until orders may be
// sent to all wanted agents, but not beyond linkWaitUntil. Without the wait, the first jobs of an
// owner would be refused because no worker is available. Later jobs don't wait: an agent that is
// not linked by then is down.
func (a *Agent) awaitLinks(r *shardRunner) {
	if !a.links.IsOpen() {
		klog.InfoS("Linking the agents for the first job of an owner", "shard", r.ID)
		a.linkWaitUntil.Set(bootclock.Now() + firstLinksTimeout)
		a.links.Open()
	}
	for bootclock.Now() < a.linkWaitUntil.Get() {
		if wanted, known := a.links.NumWanted(); known && r.ReachableAgents() >= wanted {
			return
		}
		_ = pause.For(context.Background(), linkPollInterval)
	}
}

// Lookup implements peer.AgentHandler. While the ownership is not confirmed, a job that is not known
// here may be known to a newer owner.
func (a *Agent) Lookup(shard int, id job.ID, reply func(owner.Response)) {
	r := a.shard(shard)
	if r == nil || !a.ownershipConfirmed() && r.KnownState(id).Outcome == owner.Absent {
		reply(responseNotOwner)
		return
	}
	r.Step(func(now time.Duration) owner.Effects { return r.Shard.Lookup(now, id, reply) })
}

// Cancel implements peer.AgentHandler.
func (a *Agent) Cancel(shard int, id job.ID, reply func(owner.Response)) {
	r := a.shard(shard)
	if r == nil || !a.ownershipConfirmed() {
		reply(responseNotOwner)
		return
	}
	r.Step(func(now time.Duration) owner.Effects { return r.Shard.Cancel(now, id, reply) })
}

// Await implements peer.AgentHandler.
func (a *Agent) Await(shard int, id job.ID, reply func(owner.Response)) {
	r := a.shard(shard)
	if r == nil || !a.ownershipConfirmed() {
		reply(responseNotOwner)
		return
	}
	r.Step(func(now time.Duration) owner.Effects { return r.Shard.Await(now, id, reply) })
}

// Pending implements peer.AgentHandler. The response names the shards that it covers: a shard that is
// still being opened, or that another agent may have held, has jobs that aren't known here.
func (a *Agent) Pending(queue string, shards []int) owner.Response {
	resp := owner.Response{}
	for _, r := range a.ownedShards() {
		if len(shards) > 0 && !slices.Contains(shards, r.ID) || r.Closed() {
			continue
		}
		if r.Unverified() {
			r.VerifyNow(bootclock.Now())
			r.Signal()
			continue
		}
		resp.Count += r.Shard.Pending(queue)
		resp.Counted = append(resp.Counted, r.ID)
	}
	return resp
}
