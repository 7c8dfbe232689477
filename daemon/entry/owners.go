package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/pause"
)

const (
	// ownerIdleTimeout is how long the link to a shard's owner is kept after the last
	// request for the shard.
	ownerIdleTimeout = 10 * time.Second
	// minRefreshInterval is the least interval between two reads of the owners from the
	// store. It doubles up to maxRefreshInterval while requests still find no owner. The
	// sudden loss of an agent leaves its shards without an owner for 1.2 s.
	minRefreshInterval = 50 * time.Millisecond
	maxRefreshInterval = 400 * time.Millisecond
)

// ownerCache holds which agent owns each shard, as reported by the linked agents, or else
// as assigned by the store's group. An entry links only a few of the agents;
// the owners of its recorded jobs are linked when requests go to them.
type ownerCache struct {
	settings *settings.Settings
	store    store.Store

	mu sync.Mutex
	// All fields below are guarded by mu.

	owners map[int]shardOwner
	// usedAt is when the owner of a shard was last requested.
	usedAt map[int]time.Duration
	// refreshing is set while the owners are read from the store, and nextRefresh is when
	// they may be read again.
	refreshing  bool
	nextRefresh time.Duration
	// backoff spaces successive refreshes that requests still need.
	backoff pause.Backoff
}

// shardOwner is the owner of a shard. The epoch is zero if only the store's group names the
// owner.
type shardOwner struct {
	node  string
	epoch int64
}

func newOwnerCache(s *settings.Settings, st store.Store) *ownerCache {
	return &ownerCache{
		settings: s, store: st, owners: make(map[int]shardOwner), usedAt: make(map[int]time.Duration),
		backoff: pause.Backoff{Min: minRefreshInterval, Max: maxRefreshInterval},
	}
}

// use records a request for a shard and returns the shard's owner, or "" if it is unknown.
// newlyUsed is true if the shard was idle before, so that its owner may not be linked.
func (c *ownerCache) use(now time.Duration, shard int) (node string, newlyUsed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, wasUsed := c.usedAt[shard]
	c.usedAt[shard] = now
	return c.owners[shard].node, !wasUsed || now-last > ownerIdleTimeout
}

// useAll records a request for every shard.
func (c *ownerCache) useAll(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for shard := range c.settings.Shards() {
		c.usedAt[shard] = now
	}
}

// inUse returns the owners of the shards that are in use, and forgets the use of idle
// shards.
func (c *ownerCache) inUse(now time.Duration) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	nodes := make(map[string]bool)
	for shard, at := range c.usedAt {
		if now-at > ownerIdleTimeout {
			delete(c.usedAt, shard)
			continue
		}
		if o, ok := c.owners[shard]; ok {
			nodes[o.node] = true
		}
	}
	return slices.Collect(maps.Keys(nodes))
}

// update records the shards that an agent reports as its own.
func (c *ownerCache) update(node string, f *corepb.FromAgent) {
	if !f.GetOwnedValid() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	owned := make(map[int]bool, len(f.GetOwned()))
	for _, o := range f.GetOwned() {
		shard := int(o.GetShard())
		owned[shard] = true
		if known, ok := c.owners[shard]; !ok || o.GetEpoch() >= known.epoch {
			c.owners[shard] = shardOwner{node: node, epoch: o.GetEpoch()}
		}
	}
	for shard, o := range c.owners {
		if o.node == node && !owned[shard] {
			delete(c.owners, shard)
		}
	}
}

// linkLost removes an agent whose link has ended as an owner.
func (c *ownerCache) linkLost(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.owners, func(_ int, o shardOwner) bool { return o.node == node })
}

// forget removes an agent as the owner of a shard after it did not answer a request for the
// shard or answered that it is not the owner.
func (c *ownerCache) forget(shard int, node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owners[shard].node == node {
		delete(c.owners, shard)
	}
}

// forgetAssigned is forget for an owner that only the store's group has named. An agent that has reported
// the shard as its own reports when it gives that up, also while the store can't be asked.
func (c *ownerCache) forgetAssigned(shard int, node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owners[shard] == (shardOwner{node: node}) {
		delete(c.owners, shard)
	}
}

// refresh reads the owners of the shards from the store and reports whether it did. It does
// nothing while another call reads them or if they were read too recently; callers that
// still lack an owner repeat the call.
func (c *ownerCache) refresh(ctx context.Context) bool {
	if !c.beginRefresh(bootclock.Now()) {
		return false
	}
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), core.StoreTimeout)
	defer cancel()
	owners, err := c.store.Owners(callCtx, core.OwnersGroup)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshing = false
	c.nextRefresh = bootclock.Now() + c.backoff.Next(0)
	if err != nil {
		klog.InfoS("The owners of the shards could not be read", "err", err)
		return true
	}
	for p, member := range owners {
		c.updateFromGroupLocked(p, worker.NodeOf(member))
	}
	return true
}

// beginRefresh reports whether a refresh may begin. It resets the backoff if no request has
// needed one for a while.
func (c *ownerCache) beginRefresh(now time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refreshing || now < c.nextRefresh {
		return false
	}
	if now > c.nextRefresh+maxRefreshInterval {
		c.backoff.Reset()
	}
	c.refreshing = true
	return true
}

// updateFromGroupLocked records the owner that the store's group names for a shard. An owner
// reported by the agent itself is kept until its link ends or it reports otherwise: its
// report is newer than the group's, or will be corrected.
func (c *ownerCache) updateFromGroupLocked(p store.Partition, node string) {
	shard, ok := core.ShardSeries(c.settings).Number(p)
	if !ok {
		return
	}
	if known, exists := c.owners[shard]; exists && known.epoch > 0 {
		return
	}
	c.owners[shard] = shardOwner{node: node}
}
