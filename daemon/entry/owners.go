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
	// ownerUse is how long after the last question for a shard the link to its owner is
	// kept.
	ownerIdleTimeout = 10 * time.Second
	// lookPause is the least pause between two looks at the store for owners that are not
	// known; it doubles up to maxLookPause while nothing comes of them. A sudden loss
	// leaves a shard without an owner for 1.2 s.
	minRefreshInterval = 50 * time.Millisecond
	maxRefreshInterval = 400 * time.Millisecond
)

// ownerBook knows which agent owns each shard: by what linked agents say, and else by the
// store's group. An entry links few of the agents, and owners that its recorded jobs need
// are linked as they are asked.
type ownerCache struct {
	settings *settings.Settings
	store    store.Store

	mu sync.Mutex
	// All fields below are guarded by mu.

	owners map[int]shardOwner
	// used is when a shard's owner was asked for last.
	usedAt map[int]time.Duration
	// looking is set while the store is asked; next is when it may be asked again.
	refreshing  bool
	nextRefresh time.Duration
	// vain spaces looks after which somebody still asks.
	backoff pause.Backoff
}

// ownerView is the owner of a shard. An owner that only the store's group names has no
// epoch yet.
type shardOwner struct {
	node  string
	epoch int64
}

func newOwnerCache(s *settings.Settings, st store.Store) *ownerCache {
	return &ownerCache{
		settings: s, store: st, owners: make(map[int]shardOwner), usedAt: make(map[int]time.Duration),
		backoff: pause.Backoff{Least: minRefreshInterval, Most: maxRefreshInterval},
	}
}

// use notes that a shard's owner is asked for, and returns it. It is fresh if the owner
// was not in use just before, so that it may have no link.
func (c *ownerCache) use(now time.Duration, shard int) (node string, newlyUsed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, wasUsed := c.usedAt[shard]
	c.usedAt[shard] = now
	return c.owners[shard].node, !wasUsed || now-last > ownerIdleTimeout
}

// useAll notes that the owners of all shards are asked for.
func (c *ownerCache) useAll(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for shard := range c.settings.Shards() {
		c.usedAt[shard] = now
	}
}

// inUse names the owners that are asked.
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

// note takes in which shards an agent says to own.
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

// lost takes in that the link to an agent has ended.
func (c *ownerCache) linkLost(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.owners, func(_ int, o shardOwner) bool { return o.node == node })
}

// forget drops an owner that said it is none.
func (c *ownerCache) forget(shard int, node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.owners[shard].node == node {
		delete(c.owners, shard)
	}
}

// look asks the store who owns the shards, unless that was done just now, and reports
// whether it did. Whoever asked in vain comes again.
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
	c.nextRefresh = bootclock.Now() + c.backoff.After(0)
	if err != nil {
		klog.InfoS("The owners of the shards could not be read", "err", err)
		return true
	}
	for p, member := range owners {
		c.updateFromGroupLocked(p, worker.NodeOf(member))
	}
	return true
}

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

// takeLocked takes in what the group says of a shard. What an agent has said of itself
// stays until its link ends or it says otherwise: it is newer, or will be corrected.
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
