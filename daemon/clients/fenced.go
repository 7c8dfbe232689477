package clients

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/pause"
)

const (
	// storeCallTimeout bounds one call to the store. A slow store answers within it.
	storeCallTimeout = time.Second
	// applyTimeout bounds an apply including its retries.
	applyTimeout = 15 * time.Second
	// meanRetryDelay is the mean delay before an apply that conflicted with another
	// writer is retried. An apply makes three calls of 5 ms each.
	meanRetryDelay = 30 * time.Millisecond
)

// fencedWriter replaces a record of one partition with a read-modify-write that is safe
// against concurrent writers. Two operators may write at the same time at two entries, and
// the store has no conditional writes, only producer epochs as fencing tokens. So a writer
// first takes an epoch above all it has seen, which fences off the writers in progress,
// then reads the records, and then writes under its epoch. A write that succeeds is
// therefore based on everything that was written before it.
type fencedWriter struct {
	store     store.Store
	partition store.Partition
	// name is the name of the producer. It is the same for all writers of the
	// partition.
	name string
	// epoch is the epoch to write under, and attempts is how often it was raised.
	epoch    int64
	attempts int
	// appendSent is set once an append has been sent; its outcome may be unknown.
	appendSent bool
}

func newFencedWriter(st store.Store, p store.Partition, name string) *fencedWriter {
	return &fencedWriter{store: st, partition: p, name: name}
}

// fence raises the epoch, which fences off the writers in progress, and returns the newest
// records. epochOf returns the epoch under which a record was written.
func (w *fencedWriter) fence(ctx context.Context, epochOf func(store.Record) (int64, error)) ([]store.Record, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	if w.epoch == 0 {
		if err := w.readHighestEpoch(callCtx, epochOf); err != nil {
			return nil, err
		}
	}
	w.epoch = nextEpoch(w.epoch, w.attempts)
	w.attempts++
	if _, err := w.store.Append(callCtx, w.partition, w.producer(0), nil); err != nil {
		return nil, err
	}
	records, _, err := w.store.Newest(callCtx, w.partition)
	return records, err
}

// readHighestEpoch sets w.epoch to the highest epoch in the records. A writer that has
// appended no record may have taken a higher one.
func (w *fencedWriter) readHighestEpoch(ctx context.Context, epochOf func(store.Record) (int64, error)) error {
	records, _, err := w.store.Newest(ctx, w.partition)
	if err != nil {
		return err
	}
	for _, r := range records {
		epoch, err := epochOf(r)
		if err != nil {
			return err
		}
		w.epoch = max(w.epoch, epoch)
	}
	return nil
}

// writerBits is the number of low bits of an epoch that each writer draws at random.
// Two writers with the same epoch would be the same producer to the store: it would
// acknowledge the second one's write as a repeat of the first, and both operators
// would be told that their change is in force. With 2^30 values, two concurrent
// writers practically never draw the same one.
const writerBits = 30

// nextEpoch returns an epoch above the one seen. The distance doubles with each
// attempt, because writers that have appended no record may have taken higher
// epochs.
func nextEpoch(seen int64, attempts int) int64 {
	round := seen>>writerBits + 1<<min(attempts, 20)
	return round<<writerBits | rand.Int64N(1<<writerBits)
}

func (w *fencedWriter) producer(sequence int64) *store.Producer {
	return &store.Producer{Name: w.name, Epoch: w.epoch, Sequence: sequence}
}

// certainlyNotWritten reports whether an append was certainly not carried out, so that the
// writer can start over.
func certainlyNotWritten(err error) bool {
	return errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrRejected)
}

// append retries one append until its outcome is known. The append is idempotent: the
// store deduplicates retries by producer, epoch and sequence number.
func (w *fencedWriter) append(ctx context.Context, r store.Record) error {
	mayHaveWritten := false
	w.appendSent = true
	for {
		callCtx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		_, err := w.store.Append(callCtx, w.partition, w.producer(1), []store.Record{r})
		cancel()
		switch {
		case err == nil:
			return nil
		case certainlyNotWritten(err) && !mayHaveWritten:
			return err
		case ctx.Err() != nil:
			return errors.Wrap(err, "the fate of the write is open")
		case errors.Is(err, store.ErrFenced):
			// An earlier attempt may have succeeded before the writer was fenced.
			return errors.New("the fate of the write is open: another writer followed")
		}
		mayHaveWritten = mayHaveWritten || !errors.Is(err, store.ErrRejected)
		_ = pause.For(ctx, meanRetryDelay)
	}
}

// backOff waits for a random delay before the writer starts over.
func (w *fencedWriter) backOff(ctx context.Context) {
	_ = pause.For(ctx, meanRetryDelay/2+rand.N(meanRetryDelay))
}
