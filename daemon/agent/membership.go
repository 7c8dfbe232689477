package agent

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// ownershipConfirmed reports whether the store has confirmed this agent's shards so
// recently that the membership can't have expired. The shards can then have another
// owner only after a rebalance of the group.
func (a *Agent) ownershipConfirmed() bool {
	return bootclock.Now()-a.joinedAt.Get() < a.membershipTTL()
}

// membershipTTL returns the time after the last join at which the store drops the
// agent from the owners' group.
func (a *Agent) membershipTTL() time.Duration { return max(core.GroupTTL, a.settings.Store.MinTTL) }

// membershipLoop keeps the agent in the owners' group once it is needed there, and opens and
// releases shards as the group assigns them. previous is the member name of the earlier
// incarnation, if that was a member and is known.
func (a *Agent) membershipLoop(ctx context.Context, previous string) {
	if previous == "" && !a.awaitNeeded(ctx) {
		return
	}
	a.isMember.Store(true)
	a.recentPlacers.markDirty()
	if previous != "" {
		// Otherwise the shards of the earlier incarnation would stay assigned to it until
		// its membership expires.
		call, cancel := context.WithTimeout(ctx, core.StoreTimeout)
		if err := a.store.Leave(call, core.OwnersGroup, previous); err != nil {
			klog.InfoS("Could not remove the earlier incarnation from the group", "member", previous, "err", err)
		}
		cancel()
	}
	tick := time.NewTicker(core.JoinInterval)
	defer tick.Stop()
	lost := false
	for {
		if !a.draining() {
			err := a.joinOnce(ctx)
			if err == nil && lost {
				klog.InfoS("The group is reachable again")
			}
			if err != nil && !lost {
				klog.InfoS("Lost the group", "err", err)
			}
			lost = err != nil
			if err != nil && bootclock.Now()-a.joinedAt.Get() > core.RenewLimit {
				// An owner must not renew its runs for longer: the time for which
				// the next owner waits for agents that it can't reach depends on it.
				a.release(nil)
			}
		}
		a.manageLinks(bootclock.Now())
		select {
		case <-ctx.Done():
			return
		case <-a.rejoin:
		case <-tick.C:
		}
	}
}

// idleLinkTimeout is how long links are kept after the agent has lost its last shard.
// Rebalances often follow one another, and each new link costs both sides about a
// millisecond.
const idleLinkTimeout = 10 * time.Second

// manageLinks closes the links to other agents once this one has owned no shard for
// idleLinkTimeout, because it needs none then. The links are opened only for a shard that
// has unfinished jobs or may have runs at agents, for the first submitted job, or, here,
// when an agent has ends that only owners can settle. If every owner always linked every
// agent, the heartbeats alone would take more processor time than the work.
func (a *Agent) manageLinks(now time.Duration) {
	a.mu.Lock()
	if len(a.shards)+len(a.opening) > 0 {
		a.ownedAt = now
	}
	idle := now - a.ownedAt
	a.mu.Unlock()
	switch {
	case idle > idleLinkTimeout:
		a.links.Close()
		a.stopFollowing()
	case idle == 0 && a.links.HasOrphans():
		a.links.Open()
	}
}

// joinTimeout is the timeout of a join. It allows for the answer of a slow store.
const joinTimeout = 700 * time.Millisecond

// joinOnce joins the group or renews the membership, closes the shards that are not assigned to this
// agent and opens those that are.
func (a *Agent) joinOnce(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	sent := bootclock.Now()
	shards := core.ShardSeries(a.settings)
	generation := a.generation()
	m, err := a.store.Join(call, core.OwnersGroup, a.member, shards.TopicNames(), a.membershipTTL(), generation)
	if err != nil {
		return err
	}
	if m.Generation != generation {
		klog.InfoS("The group has changed", "generation", m.Generation, "shards", len(m.Partitions))
	}
	var mine []int
	for _, p := range m.Partitions {
		if id, ok := shards.Number(p); ok {
			mine = append(mine, id)
		}
	}
	a.markUnverified(a.noteAssigned(m.Generation, mine))
	// Shards that another owner may have held must not count as confirmed by this join.
	a.joinedAt.Set(sent)
	a.release(mine)
	if a.claimsPending.Swap(false) {
		for _, r := range a.ownedShards() {
			a.claimEverywhere(r)
		}
	}
	for _, id := range mine {
		a.acquire(ctx, id, m.Generation)
	}
	return nil
}

// generation returns the generation of the group that the last join has returned.
func (a *Agent) generation() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.assigned.Generation()
}

// noteAssigned notes the shards that a join has returned. It returns those that another owner may have
// held since the join before.
func (a *Agent) noteAssigned(generation int64, shards []int) []int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.assigned.Joined(generation, shards)
}

// markUnverified has the store asked whether shards that are open here, or are being opened, have a newer owner.
// An agent whose membership has expired may get a shard back that another one has written to.
func (a *Agent) markUnverified(shards []int) {
	var open []*shardRunner
	a.mu.Lock()
	for _, id := range shards {
		if r := a.shards[id]; r != nil {
			open = append(open, r)
		} else if o := a.opening[id]; o != nil {
			o.unverified = true
		}
	}
	a.mu.Unlock()
	for _, r := range open {
		klog.InfoS("Another agent may have owned a shard", "shard", r.ID, "epoch", r.Epoch)
		r.MarkUnverified(bootclock.Now())
	}
	a.metrics.UnverifiedShards.Add(float64(len(open)))
}

// release closes the shards that are not in keep, also those that are still being opened. The next join
// lets the group assign them to their new owners.
func (a *Agent) release(keep []int) {
	var gone []*shardRunner
	a.mu.Lock()
	for id, r := range a.shards {
		if !slices.Contains(keep, id) || r.Closed() {
			gone = append(gone, r)
			delete(a.shards, id)
		}
	}
	for id, o := range a.opening {
		o.released = o.released || !slices.Contains(keep, id)
	}
	a.mu.Unlock()
	for _, r := range gone {
		r.close()
		a.links.SendAll(func(f *corepb.ToAgent) { f.Releases = append(f.Releases, int32(r.ID)) })
		klog.InfoS("Released a shard", "shard", r.ID, "epoch", r.Epoch)
	}
	if len(gone) > 0 {
		a.announceOwnership()
	}
}

// linkedAgents returns the session of each link to another agent that is up, by agent.
func (a *Agent) linkedAgents() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.linkSessions)
}

// opening is a shard that is being opened. Its fields are guarded by Agent.mu.
type opening struct {
	// released is set once the group no longer assigns the shard to this agent, and unverified once
	// another owner may have held it since the opening began.
	released, unverified bool
}

// acquire opens a shard in the background, unless it is open or being opened, or the agent
// is draining.
func (a *Agent) acquire(ctx context.Context, id int, generation int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shards[id] != nil || a.opening[id] != nil || a.drainStarted {
		return
	}
	o := &opening{}
	a.opening[id] = o
	a.signalShard()
	epoch := a.epochs.next(id, generation)
	go func() {
		r, err := a.openShard(ctx, id, epoch)
		if err != nil {
			a.openingFailed(id, err)
			klog.InfoS("A shard can't be taken over yet", "shard", id, "epoch", epoch, "err", err)
			return
		}
		if r.MayHaveRuns() {
			a.links.Open()
		}
		if !a.opened(r, o) {
			klog.InfoS("A shard was released while it was opened", "shard", id, "epoch", epoch)
			r.close()
			return
		}
		// The agents that may have runs of the shard are linked at once, because the
		// shard's jobs wait for their answers.
		a.links.Reconcile(bootclock.Now())
		a.claimEverywhere(r)
		a.announceOwnership()
	}()
}

func (a *Agent) openingFailed(id int, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.opening, id)
	if errors.Is(err, store.ErrFenced) {
		a.epochs.fenced(id)
	}
}

// opened makes a shard one of those that are open here. It returns false if the shard was released
// meanwhile: another agent may own it by now.
func (a *Agent) opened(r *shardRunner, o *opening) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.opening, r.ID)
	if o.released || a.drainStarted {
		return false
	}
	if o.unverified {
		r.MarkUnverified(bootclock.Now())
	}
	a.shards[r.ID] = r
	return true
}

// claimEverywhere claims a shard at all linked agents.
func (a *Agent) claimEverywhere(r *shardRunner) {
	for node, session := range a.linkedAgents() {
		claims := a.claim(r, node, session)
		if len(claims) > 0 {
			a.links.Send(node, func(f *corepb.ToAgent) { f.Claims = append(f.Claims, claims...) })
		}
	}
}

// claim returns the claims of a shard for a link, or none if they have to wait.
func (a *Agent) claim(r *shardRunner, node string, session int64) []*corepb.Claim {
	if a.claimMustWait(r) {
		return nil
	}
	return r.LinkUp(node, session)
}

// claimMustWait reports whether another owner may have held a shard. Such a shard is claimed after a
// later join: its agents would settle ends that only that owner knows.
func (a *Agent) claimMustWait(r *shardRunner) bool {
	if !r.Unverified() {
		return false
	}
	a.claimsPending.Store(true)
	r.VerifyNow(bootclock.Now())
	r.Signal()
	return true
}

// leave releases all shards and leaves the group. Before that it waits, within bounds,
// for the records that clients wait for.
func (a *Agent) leave(ctx context.Context) {
	if !a.isMember.Load() {
		return
	}
	for _, r := range a.ownedShards() {
		// Accepted jobs are in the store already. This waits for the writes in progress.
		for i := 0; i < drainAttempts && ctx.Err() == nil && r.HasRecordWaiters(); i++ {
			r.Signal()
			_ = pause.For(ctx, drainPause)
		}
	}
	a.release(nil)
	call, cancel := context.WithTimeout(ctx, core.StoreTimeout)
	defer cancel()
	if err := a.store.Leave(call, core.OwnersGroup, a.member); err != nil {
		klog.InfoS("Could not leave the group; the membership will expire", "err", err)
	}
}

const (
	// drainAttempts times drainPause bounds the wait of leave for records of one shard.
	drainAttempts = 20
	drainPause    = 5 * time.Millisecond
)
