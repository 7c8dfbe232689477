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
	numberTopics = 16
	// numbersTTL is how long the numbers of an entry that is gone stay with it. One that
	// restarts within it gets them back, and no link moves. Nothing but the evenness of
	// the subsets rests on it.
	numbersTTL = 10 * time.Second
	// numbersEvery is the pace of joins; four fit into the time to live.
	numbersEvery = 2500 * time.Millisecond
	// numbersSettle is the pace while the group changes: a number changes hands once its
	// holder has joined with the new generation.
	numbersSettle = 500 * time.Millisecond
	// numbersWait is how long an entry that starts waits for its numbers before it links
	// agents by its name: a call takes 5 ms, and with a slow store half a second.
	numbersWait = 150 * time.Millisecond
)

// numbers are an entry's part of those by which agents are chosen.
type numbers struct {
	settings *settings.Settings
	store    store.Store

	mu    sync.Mutex
	share subset.Share // guarded by mu
}

func newNumbers(s *settings.Settings, st store.Store) *numbers {
	return &numbers{settings: s, store: st, share: subset.FallbackShare(s.Name)}
}

// get returns the numbers that were dealt last, or one by the entry's name.
func (n *numbers) get() subset.Share {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.share
}

func (n *numbers) set(s subset.Share) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.share = s
}

// run stays in the group until the context ends. It calls tried after its first call. An
// entry that can't reach the store keeps its numbers: two that hold the same one link
// more of the same agents, and nothing else.
func (n *numbers) run(ctx context.Context, tried func()) {
	var generation int64
	lost := false
	for {
		next, err := n.join(ctx, generation)
		if err != nil && !lost && ctx.Err() == nil {
			klog.InfoS("Lost the group of the entries", "err", err)
		}
		if err == nil && lost {
			klog.InfoS("The group of the entries is reached again")
		}
		lost = err != nil
		every := numbersEvery
		if next != generation {
			every = numbersSettle
		}
		generation = next
		tried()
		if pause.For(ctx, every) != nil {
			return
		}
	}
}

func (n *numbers) join(ctx context.Context, generation int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, core.StoreTimeout)
	defer cancel()
	all := core.PartitionSeries{Prefix: "entries", Topics: numberTopics, PartitionsPerTopic: n.settings.Store.Partitions}
	m, err := n.store.Join(ctx, EntriesGroup, n.settings.Name, all.TopicNames(), max(numbersTTL, n.settings.Store.MinTTL), generation)
	if err != nil {
		return generation, err
	}
	share := subset.Share{Total: all.Size()}
	for _, p := range m.Partitions {
		if number, ok := all.Number(p); ok {
			share.Buckets = append(share.Buckets, number)
		}
	}
	if len(share.Buckets) > 0 {
		n.set(share)
	}
	if m.Generation != generation {
		klog.InfoS("The group of the entries has changed", "generation", m.Generation, "numbers", len(share.Buckets), "of", share.Total)
	}
	return m.Generation, nil
}
