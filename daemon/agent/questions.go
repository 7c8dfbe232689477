package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// verdictNotOwner answers questions about shards of other agents.
var verdictNotOwner = owner.Response{Outcome: owner.NotOwner, Reason: owner.ReasonOwnerChanged}

// Submit implements peer.AgentHandler.
func (a *Agent) Submit(shard int, id job.ID, spec job.Spec, p job.Policy, reply func(owner.Response)) {
	r := a.shard(shard)
	if r == nil || !a.confirmedOwner() {
		reply(verdictNotOwner)
		return
	}
	if now := bootclock.Now(); a.links.RecordNeed(now, &spec, &p) && a.links.IsOpen() {
		a.reachUntil.Set(now + core.LinkWaitTimeout)
		a.links.Reconcile(now)
	}
	a.reach(r)
	r.Step(func(now time.Duration) owner.Effects { return r.Shard.Submit(now, id, spec, p, reply) })
}

const (
	// reachTimeout bounds the wait for the links of an owner's first job: a dial, a
	// claim and the record of whom it has claimed take 50 ms, on a slow host 200.
	reachTimeout = 400 * time.Millisecond
	// reachPoll is the pace at which it is looked whether they are there.
	reachPoll = 5 * time.Millisecond
)

// reach links the other agents, if they are not, and waits until orders may go to them.
// Without the wait an owner's first jobs would be refused for want of a worker. Later
// ones are not held: an agent that is not there by then is away.
func (a *Agent) reach(r *shardRunner) {
	if !a.links.IsOpen() {
		klog.InfoS("The first job of an owner: the agents are linked", "shard", r.ID)
		a.reachUntil.Set(bootclock.Now() + reachTimeout)
		a.links.Open()
	}
	for bootclock.Now() < a.reachUntil.Get() {
		if wanted, known := a.links.NumWanted(); known && r.ReachableAgents() >= wanted {
			return
		}
		_ = pause.For(context.Background(), reachPoll)
	}
}

// Lookup implements peer.AgentHandler.
func (a *Agent) Lookup(shard int, id job.ID) owner.Response {
	r := a.shard(shard)
	if r == nil {
		return verdictNotOwner
	}
	v := r.Shard.Lookup(id)
	if v.Outcome == owner.Absent && !a.confirmedOwner() {
		// A newer owner may know the job.
		return verdictNotOwner
	}
	return v
}

// Cancel implements peer.AgentHandler.
func (a *Agent) Cancel(shard int, id job.ID, reply func(owner.Response)) {
	r := a.shard(shard)
	if r == nil || !a.confirmedOwner() {
		reply(verdictNotOwner)
		return
	}
	r.Step(func(now time.Duration) owner.Effects { return r.Shard.Cancel(now, id, reply) })
}

// Await implements peer.AgentHandler.
func (a *Agent) Await(shard int, id job.ID, reply func(owner.Response)) {
	r := a.shard(shard)
	if r == nil || !a.confirmedOwner() {
		reply(verdictNotOwner)
		return
	}
	r.Step(func(time.Duration) owner.Effects { return r.Shard.Await(id, reply) })
}

// Pending implements peer.AgentHandler.
func (a *Agent) Pending(queue string) owner.Response {
	v := owner.Response{}
	for _, r := range a.owned() {
		v.Count += r.Shard.Pending(queue)
	}
	return v
}
