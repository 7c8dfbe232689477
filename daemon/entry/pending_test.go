package entry

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
)

// assignShards has the store's group name two agents for the shards, half each.
func assignShards(e *Entry, a, b *fakeAgent) {
	e.owners.mu.Lock()
	defer e.owners.mu.Unlock()
	for shard := range coretest.Shards {
		node := a.addr
		if shard%2 == 1 {
			node = b.addr
		}
		e.owners.updateFromGroupLocked(core.ShardSeries(e.settings).Partition(shard), node)
	}
}

// Guards against a number of pending jobs that leaves out the shards which an agent has not opened yet after
// its restart.
func TestCountWithoutAShardIsNotWhole(t *testing.T) {
	is := is.New(t)
	a, b := startFakeAgent(t), startFakeAgent(t)
	e := newTestEntry(t, a, b)
	a.open(0, 5)
	a.open(2, 6)
	b.open(1, 7)
	assignShards(e, a, b)
	_, complete := e.Pending(t.Context(), "quotes")
	is.True(!complete)
}

// Guards against requests that find no owner while the store is away, because a count was not whole.
func TestIncompleteCountKeepsOwnersThatHaveReported(t *testing.T) {
	is := is.New(t)
	a, b := startFakeAgent(t), startFakeAgent(t)
	e := newTestEntry(t, a, b)
	assignShards(e, a, b)
	e.owners.update(a.addr, &corepb.FromAgent{OwnedValid: true, Owned: []*corepb.Ownership{{Shard: 2, Epoch: 7}}})
	_, complete := e.Pending(t.Context(), "quotes")
	is.True(!complete)
	is.Equal(e.owners.owners[2], shardOwner{node: a.addr, epoch: 7})
	is.Equal(len(e.owners.owners), 1) // the others were named by the group alone
}

// Guards against adding the count of an agent of an earlier version, which names no shards.
func TestCountThatNamesNoShardsIsNotAdded(t *testing.T) {
	is := is.New(t)
	a, b := startFakeAgent(t), startFakeAgent(t)
	e := newTestEntry(t, a, b)
	b.unnamed = 1
	for shard := range coretest.Shards {
		a.open(shard, 1)
		b.open(shard, 1)
	}
	assignShards(e, a, b)
	got := make(chan int, 1)
	go func() {
		n, _ := e.Pending(t.Context(), "quotes")
		got <- n
	}()
	coretest.Await(t, func() bool {
		assignShards(e, a, b)
		return len(got) == 1
	})
	is.Equal(<-got, coretest.Shards)
}

// Guards against counting a shard twice, or not at all, that is opened while a count waits for it.
func TestCountWaitsForShardsThatAreBeingOpened(t *testing.T) {
	is := is.New(t)
	a, b := startFakeAgent(t), startFakeAgent(t)
	e := newTestEntry(t, a, b)
	a.open(0, 5)
	a.open(2, 6)
	b.open(1, 7)
	assignShards(e, a, b)
	type count struct {
		n        int
		complete bool
	}
	got := make(chan count, 1)
	go func() {
		n, complete := e.Pending(t.Context(), "quotes")
		got <- count{n, complete}
	}()
	coretest.Await(t, func() bool {
		assignShards(e, a, b)
		return b.asked() > 0
	})
	b.open(3, 8)
	coretest.Await(t, func() bool {
		assignShards(e, a, b)
		return len(got) == 1
	})
	is.Equal(<-got, count{5 + 6 + 7 + 8, true})
}
