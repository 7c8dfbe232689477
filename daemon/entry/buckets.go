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
	// EntriesGroup is the name under which entries share the numbers by which they choose
	// their agents.
	EntriesGroup = "entries"
	// numberTopics times the partitions of a topic is how many numbers there are. The
	// topics stay empty: what the group deals is their partitions' numbers.
	bucketTopics = 16
	// numbersTTL is how long the numbers of an entry that is gone stay with it. One that
	// restarts within it gets them back, and no link moves. Nothing but the evenness of
	// the subsets rests on it.
	bucketsTTL = 10 * time.Second
	// numbersEvery is the pace of joins; four fit into the time to live.
	joinInterval = 2500 * time.Millisecond
	// numbersSettle is the pace while the group changes: a number changes hands once its
	// holder has joined with the new generation.
	rebalanceJoinInterval = 500 * time.Millisecond
	// numbersWait is how long an entry that starts waits for its numbers before it links
	// agents by its name: a call takes 5 ms, and with a slow store half a second.
	firstJoinTimeout = 150 * time.Millisecond
)

// numbers are an entry's part of those by which agents are chosen.
type buckets struct {
	settings *settings.Settings
	store    store.Store

	mu    sync.Mutex
	share subset.Share // guarded by mu
}

func newBuckets(s *settings.Settings, st store.Store) *buckets {
	return &buckets{settings: s, store: st, share: subset.FallbackShare(s.Name)}
}

// get returns the numbers that were dealt last, or one by the entry's name.
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

// run stays in the group until the context ends. It calls tried after its first call. An
// entry that can't reach the store keeps its numbers: two that hold the same one link
// more of the same agents, and nothing else.
func (b *buckets) run(ctx context.Context, attempted func()) {
	var generation int64
	lost := false
	for {
		next, err := b.join(ctx, generation)
		if err != nil && !lost && ctx.Err() == nil {
			klog.InfoS("Lost the group of the entries", "err", err)
		}
		if err == nil && lost {
			klog.InfoS("The group of the entries is reached again")
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

func (b *buckets) join(ctx context.Context, generation int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, core.StoreTimeout)
	defer cancel()
	series := core.Series{Prefix: "entries", Topics: bucketTopics, Parts: b.settings.Store.Partitions}
	m, err := b.store.Join(ctx, EntriesGroup, b.settings.Name, series.Names(), max(bucketsTTL, b.settings.Store.MinTTL), generation)
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
