// Package coretest holds the helpers that the tests of entries and agents share.
package coretest

import (
	"context"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
)

// RejectingStore is a store.Store whose calls all fail with store.ErrRejected.
type RejectingStore struct{}

// Append implements store.Store.
func (RejectingStore) Append(context.Context, store.Partition, *store.Producer, []store.Record) (int64, error) {
	return 0, store.ErrRejected
}

// Newest implements store.Store.
func (RejectingStore) Newest(context.Context, store.Partition) ([]store.Record, int64, error) {
	return nil, 0, store.ErrRejected
}

// Follow implements store.Store.
func (RejectingStore) Follow(context.Context, store.Partition, int64, time.Duration) ([]store.Record, int64, error) {
	return nil, 0, store.ErrRejected
}

// Join implements store.Store.
func (RejectingStore) Join(context.Context, string, string, []string, time.Duration, int64) (store.Membership, error) {
	return store.Membership{}, store.ErrRejected
}

// Owners implements store.Store.
func (RejectingStore) Owners(context.Context, string) (map[store.Partition]string, error) {
	return nil, store.ErrRejected
}

// Leave implements store.Store.
func (RejectingStore) Leave(context.Context, string, string) error { return store.ErrRejected }

// Shards is the number of shards of Settings.
const Shards = 4

// Settings returns the settings of an entry.
func Settings() *settings.Settings {
	return &settings.Settings{
		Role: settings.RoleEntry, Name: "entry", Store: settings.Store{Topics: 1, Partitions: Shards, WritesPerSecond: 100},
		Bounds: settings.Bounds{Lease: time.Second, Grace: time.Second, Retention: time.Minute},
	}
}

// Await waits until a condition holds that other goroutines establish. It fails the test after
// awaitTimeout.
func Await(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %v", awaitTimeout)
		}
	}
}

// awaitTimeout bounds a wait. The tests make no assertion about how long a wait takes.
const awaitTimeout = time.Minute
