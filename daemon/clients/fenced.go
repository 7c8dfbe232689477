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
	// callTimeout bounds one call to the store: a slow one answers within it.
	callTimeout = time.Second
	// applyTimeout bounds an apply with its repeats.
	applyTimeout = 15 * time.Second
	// applyPause is the mean pause before an apply that another one has got in
	// the way of is tried again: an apply takes three calls of 5 ms.
	applyPause = 30 * time.Millisecond
)

// fencedWriter replaces a record of one partition. Two operators may write at a time, at
// two entries, and the store only knows epochs. So a writer first takes an epoch above all
// it has seen, which shuts out whoever is under way, then reads what is in force, and then
// writes under that epoch: a write that comes through has read everything that was written
// before it.
type fencedWriter struct {
	store     store.Store
	partition store.Partition
	// name is that of the producer, the same for all writers of the partition.
	name string
	// epoch is the one to write under, and tries how often it was raised.
	epoch int64
	tries int
	// wrote is set once an append was sent whose fate may be open.
	wrote bool
}

func newFencedWriter(st store.Store, p store.Partition, name string) *fencedWriter {
	return &fencedWriter{store: st, partition: p, name: name}
}

// fence shuts out who is under way and returns what is in force. The function tells the
// epoch that a record was written under.
func (w *fencedWriter) fence(ctx context.Context, epochOf func(store.Record) (int64, error)) ([]store.Record, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if w.epoch == 0 {
		if err := w.seeEpochs(call, epochOf); err != nil {
			return nil, err
		}
	}
	w.epoch = nextEpoch(w.epoch, w.tries)
	w.tries++
	if _, err := w.store.Append(call, w.partition, w.producer(0), nil); err != nil {
		return nil, err
	}
	records, _, err := w.store.Newest(call, w.partition)
	return records, err
}

// seeEpochs finds the highest epoch in the records; a writer that never wrote may have taken
// a higher one.
func (w *fencedWriter) seeEpochs(ctx context.Context, epochOf func(store.Record) (int64, error)) error {
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

// writerBits of an epoch are drawn anew by each writer. Two that took the same
// epoch would be one producer to the store: the second one's write would be
// answered as a repeat of the first one's, and both operators be told that they
// have won. Of 2^30 numbers two writers at a time never draw the same.
const writerBits = 30

// nextEpoch returns an epoch above one that was seen, further with each try:
// writers that never wrote may have taken higher ones.
func nextEpoch(seen int64, tries int) int64 {
	round := seen>>writerBits + 1<<min(tries, 20)
	return round<<writerBits | rand.Int64N(1<<writerBits)
}

func (w *fencedWriter) producer(sequence int64) *store.Producer {
	return &store.Producer{Name: w.name, Epoch: w.epoch, Sequence: sequence}
}

// triedAgain reports whether an append was certainly not carried out, so that the writer may
// begin anew.
func triedAgain(err error) bool {
	return errors.Is(err, store.ErrFenced) || errors.Is(err, store.ErrRejected)
}

// append repeats one append until its fate is known: the store answers a repeat
// as it did the first time.
func (w *fencedWriter) append(ctx context.Context, r store.Record) error {
	unknown := false
	w.wrote = true
	for {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := w.store.Append(call, w.partition, w.producer(1), []store.Record{r})
		cancel()
		switch {
		case err == nil:
			return nil
		case triedAgain(err) && !unknown:
			return err
		case ctx.Err() != nil:
			return errors.Wrap(err, "the fate of the write is open")
		case errors.Is(err, store.ErrFenced):
			// An attempt may have come through before the fence did.
			return errors.New("the fate of the write is open: another writer followed")
		}
		unknown = unknown || !errors.Is(err, store.ErrRejected)
		_ = pause.For(ctx, applyPause)
	}
}

// rest is the pause before a writer begins anew.
func (w *fencedWriter) rest(ctx context.Context) {
	_ = pause.For(ctx, applyPause/2+rand.N(applyPause))
}
