package core

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/drains"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/metrics"
)

// Entries read the operators' drains from the store, and every frame between two processes
// carries the state that its sender knows. An agent therefore needs no store calls of its own,
// and an entry that has lost the store learns of drains from its agents. If none of an agent's
// callers has had a confirmation from the store for a while, the agent reads the store itself:
// the callers may be cut off from the store while the agent is not, and would continue to send
// orders to a drained domain.

// DrainSource is the partition that holds the operators' drains of failure domains, and the
// decoder of its records.
type DrainSource struct {
	Partition store.Partition
	// Decode decodes a record. It returns false for records of other kinds. A record with an
	// error is skipped.
	Decode func(store.Record) (drains.Change, bool, error)
}

// DrainWatch holds the drains that a process knows of and calls a function when they change. It
// is safe for concurrent use.
type DrainWatch struct {
	source   DrainSource
	tracker  drains.Tracker
	onChange func(drains.State)
	// notifyMu serializes the calls of onChange with the read of the newest state. Otherwise
	// an older state could be applied after a newer one and stay in force.
	notifyMu sync.Mutex
}

// NewDrainWatch returns a DrainWatch that knows no state yet. onChange applies a changed state;
// it is not called concurrently.
func NewDrainWatch(source DrainSource, onChange func(drains.State)) *DrainWatch {
	return &DrainWatch{source: source, onChange: onChange}
}

// State returns the drains in force.
func (w *DrainWatch) State() drains.State { return w.tracker.State() }

// Age returns how long ago the store confirmed the known state. now is a reading of the boot
// clock.
func (w *DrainWatch) Age(now time.Duration) time.Duration {
	_, age := w.tracker.Latest(now)
	return age
}

// ToWire returns the known state and its age as a frame carries them.
func (w *DrainWatch) ToWire() *corepb.Drains {
	state, age := w.tracker.Latest(bootclock.Now())
	return wire.DrainsToWire(state, age)
}

// Merge merges the state that a frame carries. A nil message is ignored.
func (w *DrainWatch) Merge(p *corepb.Drains) {
	if p == nil {
		return
	}
	state, age := wire.DrainsFromWire(p)
	if w.tracker.Update(bootclock.Now(), state, age) {
		w.notify("told")
	}
}

// MergeRecords merges the drains among the newest records of the partition, which another process
// has read up to a position and the store has confirmed age ago.
func (w *DrainWatch) MergeRecords(records []store.Record, position int64, age time.Duration) {
	state := drains.State{Position: position}
	for _, r := range records {
		change, ok, err := w.source.Decode(r)
		if err != nil {
			metrics.Malformed(metrics.KindDrain)
			klog.ErrorS(err, "Skipped a malformed drain record")
			continue
		}
		if ok && change.Drained {
			state.Domains = append(state.Domains, change.Domain)
		}
	}
	slices.Sort(state.Domains)
	if w.tracker.Update(bootclock.Now(), state, age) {
		w.notify("peer")
	}
}

// Confirm records that the store confirmed the state at a position age ago. It does nothing if
// another state is known.
func (w *DrainWatch) Confirm(position int64, age time.Duration) {
	if state := w.tracker.State(); state.Position == position {
		w.tracker.Update(bootclock.Now(), state, age)
	}
}

// notify calls onChange with the newest state. origin is logged: "told" for a state from a
// frame, "store" for one that was read, "peer" for one that another process has read.
func (w *DrainWatch) notify(origin string) {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	state := w.tracker.State()
	klog.InfoS("Drains of failure domains have changed", "domains", state.Domains, "position", state.Position, "by", origin)
	w.onChange(state)
}

// Follow updates the state from the store until the context ends. If other is not nil, it is
// called with each record of the partition as well. A read waits for new records for wait. name
// identifies the reader in log lines.
func (w *DrainWatch) Follow(ctx context.Context, st store.Store, wait time.Duration, name string, other func(store.Record)) {
	replayer := drains.NewReplayer(&w.tracker)
	f := &follower{
		store: st, partition: w.source.Partition, wait: wait, name: name,
		onReset: replayer.Reset, onPosition: func(position int64) { w.publish(replayer, position) },
		apply: func(r store.Record) {
			if other != nil {
				other(r)
			}
			w.applyRecord(replayer, r)
		},
	}
	f.run(ctx)
}

// Partition returns the partition that holds the drain records.
func (w *DrainWatch) Partition() store.Partition { return w.source.Partition }

// applyRecord applies a record to the replayer if it is a drain record. Malformed records are
// counted and skipped.
func (w *DrainWatch) applyRecord(replayer *drains.Replayer, r store.Record) {
	change, ok, err := w.source.Decode(r)
	if err != nil {
		metrics.Malformed(metrics.KindDrain)
		klog.ErrorS(err, "Skipped a malformed drain record")
		return
	}
	if ok {
		replayer.Apply(change)
	}
}

// publish makes the replayed state known, once all records before a position were applied.
func (w *DrainWatch) publish(replayer *drains.Replayer, position int64) {
	if replayer.Publish(bootclock.Now(), position) {
		w.notify("store")
	}
}

// Refresh reads the records that the store has received since the newest known state. It
// returns the error of the store call, which is bounded by StoreTimeout.
func (w *DrainWatch) Refresh(ctx context.Context, st store.Store) error {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	replayer := drains.NewReplayer(&w.tracker)
	records, next, err := w.readSince(ctx, st, w.tracker.State().Position)
	if errors.Is(err, store.ErrTrimmed) {
		replayer.Reset()
		records, next, err = st.Newest(ctx, w.source.Partition)
	}
	if err != nil {
		return err
	}
	for _, r := range records {
		w.applyRecord(replayer, r)
	}
	w.publish(replayer, next)
	return nil
}

// readSince reads the records from a position on. It returns store.ErrTrimmed if the newest
// record of each key has to be read instead.
func (w *DrainWatch) readSince(ctx context.Context, st store.Store, position int64) ([]store.Record, int64, error) {
	if position == 0 {
		return nil, 0, store.ErrTrimmed // no state is known yet
	}
	return st.Follow(ctx, w.source.Partition, position, 0)
}
