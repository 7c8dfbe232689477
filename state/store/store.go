// Package store defines the interface to the platform's partitioned log: appending
// records under a fencing epoch, reading the newest record of each key, following
// a partition, and assigning partitions to the members of a group.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store. After any other error the call may have been carried out, or
// may still be carried out later.
var (
	// ErrRejected means that the call had no effect and will have none.
	ErrRejected = errors.New("the store has rejected the call")
	// ErrFenced means that a producer with a higher epoch has written to the
	// partition.
	ErrFenced = errors.New("a newer epoch owns the partition")
	// ErrTrimmed means that the log no longer holds the requested records. The
	// caller has to continue from the result of Newest.
	ErrTrimmed = errors.New("the records were dropped")
)

// Partition identifies a partition: a topic and the number of the partition
// within it, from 0.
type Partition struct {
	Topic  string
	Number int
}

// Record is a key and its value. A nil Value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Producer identifies the writer of an append. Epoch is its fencing token. Sequence
// makes appends idempotent: the store answers a repeated append as it answered the
// first one.
type Producer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// Membership is the assignment of partitions to a member of a group.
type Membership struct {
	// Generation increases with each change of the group.
	Generation int64
	Partitions []Partition
}

// Store is the platform's log. Implementations are safe for concurrent use.
type Store interface {
	// Append atomically adds records to a partition and returns the offset of the
	// first one. Without records it only sets the producer's epoch, which fences
	// producers with lower epochs.
	Append(ctx context.Context, p Partition, by *Producer, records []Record) (int64, error)
	// Newest returns the newest record of each key, and the offset from which
	// Follow has to continue.
	Newest(ctx context.Context, p Partition) ([]Record, int64, error)
	// Follow returns the records from an offset on and the offset after them. If
	// there are none it waits for up to the given duration.
	Follow(ctx context.Context, p Partition, from int64, wait time.Duration) ([]Record, int64, error)
	// Join joins a group or renews the membership, and returns the partitions
	// assigned to the member. A member that does not call Join for ttl loses its
	// partitions.
	Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (Membership, error)
	// Leave ends a membership and releases its partitions at once.
	Leave(ctx context.Context, group, member string) error
	// Owners returns the member that each partition of a group is assigned to.
	Owners(ctx context.Context, group string) (map[Partition]string, error)
}
