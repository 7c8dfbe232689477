package core

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// growingStore has a partition to which records are appended at an interval, until there are enough.
type growingStore struct {
	coretest.RejectingStore
	began    time.Time
	interval time.Duration
	records  atomic.Int64
	reads    atomic.Int64
}

func (s *growingStore) end() int64 {
	return min(s.records.Load(), int64(time.Since(s.began)/s.interval))
}

func (s *growingStore) Newest(context.Context, store.Partition) ([]store.Record, int64, error) {
	return nil, 0, nil
}

func (s *growingStore) Follow(ctx context.Context, _ store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	s.reads.Add(1)
	for deadline := time.Now().Add(wait); s.end() == from && time.Now().Before(deadline); {
		if err := pause.For(ctx, s.interval); err != nil {
			return nil, from, err
		}
	}
	var out []store.Record
	for i := from; i < s.end(); i++ {
		out = append(out, store.Record{Key: fmt.Sprint(i)})
	}
	return out, s.end(), nil
}

// readsWhileRegistering returns how often the registry is read while a number of agents register, one
// each 4 ms, and how long after it a later registration is known.
func readsWhileRegistering(t *testing.T, agents int64) (reads int64, delay time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		st := &growingStore{began: time.Now(), interval: 4 * time.Millisecond}
		st.records.Store(agents)
		ctx, cancel := context.WithCancel(t.Context())
		var known atomic.Int64
		var lastAt atomic.Pointer[time.Time]
		f := &follower{store: st, wait: registryWait, batchPause: pause.Backoff{Min: minRegistryPause, Max: maxRegistryPause}, apply: func(store.Record) {
			now := time.Now()
			known.Add(1)
			lastAt.Store(&now)
		}}
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.run(ctx)
		}()
		time.Sleep(time.Duration(agents)*st.interval + 2*maxRegistryPause)
		reads = st.reads.Load()
		if known.Load() != agents {
			t.Errorf("%d of %d registrations are known", known.Load(), agents)
		}
		time.Sleep(registryWait)
		st.records.Add(1)
		registered := time.Now()
		time.Sleep(registryWait)
		delay = lastAt.Load().Sub(registered)
		cancel()
		<-done
	})
	return reads, delay
}

// All agents of a fleet register within seconds. Guards against readers that read as often as the
// store has something new: each of 183 entries made 30 calls a second for as long as 800 records
// took. While the pause grows, a reader may need one for each doubling, and from then on one for each
// of the longest pauses, which jitter makes a quarter shorter. A single registration later is known at
// once.
func TestReadsOfARegistryThatFillsUp(t *testing.T) {
	is := is.New(t)
	doublings := int64(math.Ceil(math.Log2(float64(maxRegistryPause) / float64(minRegistryPause))))
	for _, agents := range []int64{100, 200, 400, 800, 1600} {
		reads, delay := readsWhileRegistering(t, agents)
		t.Logf("%d agents: %d reads", agents, reads)
		longest := time.Duration(agents) * 4 * time.Millisecond / (maxRegistryPause * 3 / 4)
		is.True(reads <= doublings+int64(longest)+3) // the first, the last and one that waits
		is.True(delay < 2*minRegistryPause)
	}
}
