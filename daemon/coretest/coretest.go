// Package coretest has what the tests of entries and agents share.
package coretest

import (
	"context"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
)

// NoStore rejects everything.
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

// Shards is the number of shards that Settings make.
const Shards = 4

// Settings are those of an entry.
func Settings() *settings.Settings {
	return &settings.Settings{
		Role: settings.RoleEntry, Name: "entry", Store: settings.Store{Topics: 1, Partitions: Shards, WritesPerSecond: 100},
		Bounds: settings.Bounds{Lease: time.Second, Grace: time.Second, Retention: time.Minute},
	}
}

// Await waits for something that other goroutines bring about.
func Await(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(awaitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not in %v", awaitTimeout)
		}
	}
}

// patience bounds a wait; nothing is asserted of how long it takes.
const awaitTimeout = time.Minute
