package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/subset"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/pause"
)

const (
	// EntriesGroup is the group of the store that assigns the hash buckets to the entries.
	// An entry chooses its agents by its buckets.
	EntriesGroup = "entries"
	// bucketTopics is the number of topics whose partitions stand for the buckets, one
	// partition for each. The topics stay empty: only the assignment of their partitions
	// to the members of the group is used.
	bucketTopics = 16
	// bucketsTTL is how long a stopped entry keeps its buckets. If it restarts within that
	// time, it gets them back and no link changes. Only the evenness of the subsets
	// depends on it.
	bucketsTTL = 10 * time.Second
	// joinInterval is the interval between joins. Four joins fit into bucketsTTL.
	joinInterval = 2500 * time.Millisecond
	// rebalanceJoinInterval is the interval between joins while the group rebalances. A
	// bucket moves to another entry only after its holder has joined with the new
	// generation.
	rebalanceJoinInterval = 500 * time.Millisecond
	// firstJoinTimeout is how long a starting entry waits for its buckets before it links
	// the agents of its fallback bucket. A join takes 5 ms, with a slow store half a
	// second.
	firstJoinTimeout = 150 * time.Millisecond
)

// buckets keeps an entry's share of the hash buckets by which agents are chosen.
type buckets struct {
	settings *settings.Settings
	store    store.Store

	mu    sync.Mutex
	share subset.Share // guarded by mu
}

func newBuckets(s *settings.Settings, st store.Store) *buckets {
	return &buckets{settings: s, store: st, share: subset.FallbackShare(s.Name)}
}

// get returns the buckets that were last assigned, or the fallback bucket of the entry's
// name if none were assigned yet.
func (b *buckets) get() subset.Share {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share
}

func (b *buckets) set(s subset.Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = s
}

// run keeps the entry in the group until ctx ends. It calls attempted after each attempt to
// join. An entry that can't reach the store keeps its buckets: two entries that hold the
// same bucket link more of the same agents, which has no other effect.
func (b *buckets) run(ctx context.Context, attempted func()) {
	var generation int64
	lost := false
	for {
		next, err := b.join(ctx, generation)
		if err != nil && !lost && ctx.Err() == nil {
			klog.InfoS("Lost the group of the entries", "err", err)
		}
		if err == nil && lost {
			klog.InfoS("Reached the group of the entries again")
		}
		lost = err != nil
		interval := joinInterval
		if next != generation {
			interval = rebalanceJoinInterval
		}
		generation = next
		attempted()
		if pause.For(ctx, interval) != nil {
			return
		}
	}
}

// join joins the group, or renews the membership, and stores the assigned buckets. It
// returns the group's generation.
func (b *buckets) join(ctx context.Context, generation int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, core.StoreTimeout)
	defer cancel()
	series := core.PartitionSeries{Prefix: "entries", Topics: bucketTopics, PartitionsPerTopic: b.settings.Store.Partitions}
	m, err := b.store.Join(ctx, EntriesGroup, b.settings.Name, series.TopicNames(), max(bucketsTTL, b.settings.Store.MinTTL), generation)
	if err != nil {
		return generation, err
	}
	share := subset.Share{Total: series.Size()}
	for _, p := range m.Partitions {
		if bucket, ok := series.Number(p); ok {
			share.Buckets = append(share.Buckets, bucket)
		}
	}
	if len(share.Buckets) > 0 {
		b.set(share)
	}
	if m.Generation != generation {
		klog.InfoS("The group of the entries has changed", "generation", m.Generation, "numbers", len(share.Buckets), "of", share.Total)
	}
	return m.Generation, nil
}
