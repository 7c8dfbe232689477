package agent

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// confirmedOwner reports whether the store has confirmed this agent's share
// recently enough that nobody else can have been given it, unless all shares
// were dealt anew.
func (a *Agent) ownershipConfirmed() bool {
	return bootclock.Now()-a.joinedAt.Get() < a.membershipTTL()
}

func (a *Agent) membershipTTL() time.Duration { return max(core.GroupTTL, a.settings.Store.MinTTL) }

// memberLoop stays in the group and opens and closes shards as it deals them.
func (a *Agent) membershipLoop(ctx context.Context, previous string) {
	if previous != "" {
		// The earlier life of this agent would keep its share until it lapses.
		call, cancel := context.WithTimeout(ctx, core.StoreTimeout)
		if err := a.store.Leave(call, core.OwnersGroup, previous); err != nil {
			klog.InfoS("The earlier life could not be taken out of the group", "member", previous, "err", err)
		}
		cancel()
	}
	tick := time.NewTicker(core.JoinEvery)
	defer tick.Stop()
	var generation int64
	lost := false
	for {
		if !a.draining() {
			next, err := a.joinOnce(ctx, generation)
			if err == nil && lost {
				klog.InfoS("The group is reached again")
			}
			if err != nil && !lost {
				klog.InfoS("Lost the group", "err", err)
			}
			lost = err != nil
			if err == nil {
				generation = next
			} else if bootclock.Now()-a.joinedAt.Get() > core.RenewLimit {
				// The next owner waits this long for agents it can't reach.
				a.release(nil)
			}
		}
		a.manageLinks(bootclock.Now())
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// linkLinger is how long links are kept after the last shard has gone: shares are
// often dealt anew several times in a row, and new links cost both sides about a
// millisecond each.
const idleLinkTimeout = 10 * time.Second

// keepLinks ends the links to the other agents when this one has owned no shards for a
// while: it has nothing to say to them. They are made for a shard that has jobs, or may
// have runs somewhere, and with the first job that is submitted: with a link from each
// owner to each agent, signs of life alone take more than the work. Owners also link
// agents when one has ends that only they can settle.
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
	case idle == 0 && a.links.Needed():
		a.links.Open()
	}
}

// joinTimeout bounds one join; a slow store's answer fits into it.
const joinTimeout = 700 * time.Millisecond

func (a *Agent) joinOnce(ctx context.Context, generation int64) (int64, error) {
	call, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	sent := bootclock.Now()
	shards := core.ShardSeries(a.settings)
	m, err := a.store.Join(call, core.OwnersGroup, a.member, shards.Names(), a.membershipTTL(), generation)
	if err != nil {
		return generation, err
	}
	a.joinedAt.Set(sent)
	if m.Generation != generation {
		klog.InfoS("The group has changed", "generation", m.Generation, "shards", len(m.Partitions))
	}
	mine := make(map[int]bool, len(m.Partitions))
	for _, p := range m.Partitions {
		if id, ok := shards.Number(p); ok {
			mine[id] = true
		}
	}
	a.release(mine)
	if a.claimsPending.Swap(false) {
		for _, r := range a.ownedShards() {
			a.claimEverywhere(r)
		}
	}
	for id := range mine {
		a.acquire(ctx, id, m.Generation)
	}
	return m.Generation, nil
}

// release closes the shards that are not in the agent's share any more. The
// next join gives them to their new owners.
func (a *Agent) release(keep map[int]bool) {
	var gone []*shardRunner
	a.mu.Lock()
	for id, r := range a.shards {
		if !keep[id] || r.Closed() {
			gone = append(gone, r)
			delete(a.shards, id)
		}
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

// linked returns the sessions of the links to agents that are up.
func (a *Agent) linkedAgents() map[string]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.linkSessions)
}

// acquire opens a shard in the background unless that is under way.
func (a *Agent) acquire(ctx context.Context, id int, generation int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.shards[id] != nil || a.opening[id] || a.drainStarted {
		return
	}
	a.opening[id] = true
	a.firstShardOnce.Do(func() { close(a.firstShard) })
	epoch := a.epochs.next(id, generation)
	go func() {
		r, err := a.openShard(ctx, id, epoch)
		if err == nil && r.MayHaveRuns() {
			a.links.Open()
		}
		a.mu.Lock()
		delete(a.opening, id)
		switch {
		case err == nil:
			a.shards[id] = r
		case errors.Is(err, store.ErrFenced):
			a.epochs.fenced(id)
		}
		a.mu.Unlock()
		if err != nil {
			klog.InfoS("A shard can't be taken over yet", "shard", id, "epoch", epoch, "err", err)
			return
		}
		// Those that the shard's list names are linked at once: its jobs wait for them.
		a.links.Reconcile(bootclock.Now())
		a.claimEverywhere(r)
		a.announceOwnership()
	}()
}

// claimEverywhere claims a shard at all agents that are linked.
func (a *Agent) claimEverywhere(r *shardRunner) {
	for node, session := range a.linkedAgents() {
		claims := r.LinkUp(node, session)
		if len(claims) > 0 {
			a.links.Send(node, func(f *corepb.ToAgent) { f.Claims = append(f.Claims, claims...) })
		}
	}
}

// leave gives all shards back.
func (a *Agent) leave(ctx context.Context) {
	for _, r := range a.ownedShards() {
		// What was accepted is in the store; what is on its way gets there.
		for i := 0; i < drainAttempts && ctx.Err() == nil && r.HasRecordWaiters(); i++ {
			r.Signal()
			_ = pause.For(ctx, drainPause)
		}
	}
	a.release(nil)
	call, cancel := context.WithTimeout(ctx, core.StoreTimeout)
	defer cancel()
	if err := a.store.Leave(call, core.OwnersGroup, a.member); err != nil {
		klog.InfoS("The group was not left; the share lapses", "err", err)
	}
}

const (
	// drainWrites times drainPause bounds the wait for records on their way.
	drainAttempts = 20
	drainPause    = 5 * time.Millisecond
)
