// Package store names what the system needs of the platform's log: appending
// records under an epoch, reading the newest record of each key, following a
// partition, and sharing partitions out among members of a group.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Store. Any other error leaves open whether the call was carried
// out, now or later.
var (
	// ErrRejected: nothing was done and nothing will be.
	ErrRejected = errors.New("the store has rejected the call")
	// ErrFenced: a producer with a higher epoch has written to the partition.
	ErrFenced = errors.New("a newer epoch owns the partition")
	// ErrTrimmed: the wanted records are gone; read the newest ones instead.
	ErrTrimmed = errors.New("the records were dropped")
)

// Partition is one sequence of records.
type Partition struct {
	Topic string
	Part  int
}

// Record is a value under a key. A nil Value removes the key.
type Record struct {
	Key   string
	Value []byte
}

// Producer names the writer of an append. Sequence makes a repeat safe: the
// store answers it as it did the first time.
type Producer struct {
	Name     string
	Epoch    int64
	Sequence int64
}

// Membership is a member's share of a group.
type Membership struct {
	// Generation rises with each change of the group.
	Generation int64
	Parts      []Partition
}

// Store is the platform's log. Implementations are safe for concurrent use.
type Store interface {
	// Append adds records to a partition, all or none, and returns the offset
	// of the first. Without records it only sets the producer's epoch.
	Append(ctx context.Context, p Partition, by *Producer, records []Record) (int64, error)
	// Newest returns the newest record of each key, and where following goes
	// on.
	Newest(ctx context.Context, p Partition) ([]Record, int64, error)
	// Follow waits for records from an offset on, and returns the next offset.
	Follow(ctx context.Context, p Partition, from int64, wait time.Duration) ([]Record, int64, error)
	// Join enters a group or stays in it. A member that has not joined for ttl
	// loses its share.
	Join(ctx context.Context, group, member string, topics []string, ttl time.Duration, generation int64) (Membership, error)
	// Leave gives a member's share back at once.
	Leave(ctx context.Context, group, member string) error
	// Owners tells which member holds each partition of a group.
	Owners(ctx context.Context, group string) (map[Partition]string, error)
}
