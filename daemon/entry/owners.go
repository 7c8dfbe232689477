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
	ownerUse = 10 * time.Second
	// lookPause is the least pause between two looks at the store for owners that are not
	// known; it doubles up to maxLookPause while nothing comes of them. A sudden loss
	// leaves a shard without an owner for 1.2 s.
	lookPause    = 50 * time.Millisecond
	maxLookPause = 400 * time.Millisecond
)

// ownerBook knows which agent owns each shard: by what linked agents say, and else by the
// store's group. An entry links few of the agents, and owners that its recorded jobs need
// are linked as they are asked.
type ownerBook struct {
	settings *settings.Settings
	store    store.Store

	mu sync.Mutex
	// All fields below are guarded by mu.

	owners map[int]ownerView
	// used is when a shard's owner was asked for last.
	used map[int]time.Duration
	// looking is set while the store is asked; next is when it may be asked again.
	looking bool
	next    time.Duration
	// vain spaces looks after which somebody still asks.
	vain pause.Backoff
}

// ownerView is the owner of a shard. An owner that only the store's group names has no
// epoch yet.
type ownerView struct {
	node  string
	epoch int64
}

func newOwnerBook(s *settings.Settings, st store.Store) *ownerBook {
	return &ownerBook{
		settings: s, store: st, owners: make(map[int]ownerView), used: make(map[int]time.Duration),
		vain: pause.Backoff{Min: lookPause, Max: maxLookPause},
	}
}

// use notes that a shard's owner is asked for, and returns it. It is fresh if the owner
// was not in use just before, so that it may have no link.
func (b *ownerBook) use(now time.Duration, shard int) (node string, fresh bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last, was := b.used[shard]
	b.used[shard] = now
	return b.owners[shard].node, !was || now-last > ownerUse
}

// useAll notes that the owners of all shards are asked for.
func (b *ownerBook) useAll(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for shard := range b.settings.Shards() {
		b.used[shard] = now
	}
}

// inUse names the owners that are asked.
func (b *ownerBook) inUse(now time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	nodes := make(map[string]bool)
	for shard, at := range b.used {
		if now-at > ownerUse {
			delete(b.used, shard)
			continue
		}
		if o, ok := b.owners[shard]; ok {
			nodes[o.node] = true
		}
	}
	return slices.Collect(maps.Keys(nodes))
}

// note takes in which shards an agent says to own.
func (b *ownerBook) note(node string, f *corepb.FromAgent) {
	if !f.GetOwnedValid() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	says := make(map[int]bool, len(f.GetOwned()))
	for _, o := range f.GetOwned() {
		shard := int(o.GetShard())
		says[shard] = true
		if known, ok := b.owners[shard]; !ok || o.GetEpoch() >= known.epoch {
			b.owners[shard] = ownerView{node: node, epoch: o.GetEpoch()}
		}
	}
	for shard, o := range b.owners {
		if o.node == node && !says[shard] {
			delete(b.owners, shard)
		}
	}
}

// lost takes in that the link to an agent has ended.
func (b *ownerBook) lost(node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.owners, func(_ int, o ownerView) bool { return o.node == node })
}

// forget drops an owner that said it is none.
func (b *ownerBook) forget(shard int, node string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owners[shard].node == node {
		delete(b.owners, shard)
	}
}

// look asks the store who owns the shards, unless that was done just now, and reports
// whether it did. Whoever asked in vain comes again.
func (b *ownerBook) look(ctx context.Context) bool {
	if !b.begin(bootclock.Now()) {
		return false
	}
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), core.StoreTimeout)
	defer cancel()
	owners, err := b.store.Owners(call, core.OwnersGroup)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.looking = false
	b.next = bootclock.Now() + b.vain.Next(0)
	if err != nil {
		klog.InfoS("The owners of the shards could not be read", "err", err)
		return true
	}
	for p, member := range owners {
		b.takeLocked(p, worker.NodeOf(member))
	}
	return true
}

func (b *ownerBook) begin(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.looking || now < b.next {
		return false
	}
	if now > b.next+maxLookPause {
		b.vain.Reset()
	}
	b.looking = true
	return true
}

// takeLocked takes in what the group says of a shard. What an agent has said of itself
// stays until its link ends or it says otherwise: it is newer, or will be corrected.
func (b *ownerBook) takeLocked(p store.Partition, node string) {
	id, ok := core.ShardSeries(b.settings).Number(p)
	if !ok {
		return
	}
	if known, is := b.owners[id]; is && known.epoch > 0 {
		return
	}
	b.owners[id] = ownerView{node: node}
}
