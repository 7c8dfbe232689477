package core

import (
	"context"
	"time"

	"github.com/shallotstep/shallotstep/coordination/snapshot"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
)

// copyingStore is a store.Store that keeps what was read of some partitions.
type copyingStore struct {
	store.Store
	copies map[store.Partition]*snapshot.Copy
}

// KeepCopies returns a store that keeps what is read of some partitions in copies.
func KeepCopies(st store.Store, copies map[store.Partition]*snapshot.Copy) store.Store {
	return &copyingStore{Store: st, copies: copies}
}

// Newest implements store.Store.
func (s *copyingStore) Newest(ctx context.Context, p store.Partition) ([]store.Record, int64, error) {
	began := bootclock.Now()
	records, next, err := s.Store.Newest(ctx, p)
	if c := s.copies[p]; c != nil && err == nil {
		c.Replace(began, records, next)
	}
	return records, next, err
}

// Follow implements store.Store.
func (s *copyingStore) Follow(ctx context.Context, p store.Partition, from int64, wait time.Duration) ([]store.Record, int64, error) {
	began := bootclock.Now()
	records, next, err := s.Store.Follow(ctx, p, from, wait)
	if c := s.copies[p]; c != nil && err == nil {
		// An answer that comes later than the read could wait was sent before that: the process
		// may have been suspended meanwhile.
		c.Extend(min(bootclock.Now(), began+wait), records, from, next)
	}
	return records, next, err
}
