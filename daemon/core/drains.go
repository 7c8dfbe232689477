package core

import (
	"context"
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

// Entries read the operators' drains in the store, and every frame between two processes
// tells what its sender knows. So an agent needs no call of its own, and an entry that has
// lost the store learns of drains from its agents. An agent whose callers have not heard
// from the store for a while reads it itself: they may be cut off from it while the agent
// is not, and would go on sending orders.

// DrainSource is where the operators' drains of failure domains stand.
type DrainSource struct {
	Partition store.Partition
	// Decode reads a record; it is false for records of other kinds. An error leaves what is
	// known as it is.
	Decode func(store.Record) (drains.Change, bool, error)
}

// DrainWatch is what a process knows of drains, and acts on a change.
type DrainWatch struct {
	source   DrainSource
	tracker  drains.Tracker
	onChange func(drains.State)
	// acting keeps changes in their order: an older state that went into force after a newer
	// one would stay.
	notifyMu sync.Mutex
}

// NewDrainWatch returns a watch that knows nothing yet. The function has a changed state go
// into force; it is called with one state at a time.
func NewDrainWatch(source DrainSource, onChange func(drains.State)) *DrainWatch {
	return &DrainWatch{source: source, onChange: onChange}
}

// State is what is in force.
func (w *DrainWatch) State() drains.State { return w.tracker.State() }

// Age is how long ago the store confirmed what is known.
func (w *DrainWatch) Age(now time.Duration) time.Duration {
	_, age := w.tracker.Latest(now)
	return age
}

// Frame is what a frame tells.
func (w *DrainWatch) ToWire() *corepb.Drains {
	state, age := w.tracker.Latest(bootclock.Now())
	return wire.DrainsToWire(state, age)
}

// Told takes in what a frame says.
func (w *DrainWatch) Merge(p *corepb.Drains) {
	if p == nil {
		return
	}
	state, age := wire.DrainsFromWire(p)
	if w.tracker.Update(bootclock.Now(), state, age) {
		w.notify("told")
	}
}

// act has the newest state go into force.
func (w *DrainWatch) notify(origin string) {
	w.notifyMu.Lock()
	defer w.notifyMu.Unlock()
	state := w.tracker.State()
	klog.InfoS("Drains of failure domains have changed", "domains", state.Domains, "position", state.Position, "by", origin)
	w.onChange(state)
}

// Follow keeps the watch up to date from the store until the context ends. Other gets each
// record of the partition as well, if it is set.
func (w *DrainWatch) Follow(ctx context.Context, st store.Store, name string, other func(store.Record)) {
	replayer := drains.NewReplayer(&w.tracker)
	f := &follower{
		store: st, partition: w.source.Partition, wait: ConfigWait, name: name,
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

// Partition is where the records stand.
func (w *DrainWatch) Partition() store.Partition { return w.source.Partition }

// apply hands a record to a reader, if it is one of a drain.
func (w *DrainWatch) applyRecord(replayer *drains.Replayer, r store.Record) {
	change, ok, err := w.source.Decode(r)
	if err != nil {
		metrics.Malformed(metrics.KindDrain)
		klog.ErrorS(err, "A drain can't be read and is left out")
		return
	}
	if ok {
		replayer.Apply(change)
	}
}

// reached notes how far the records were read.
func (w *DrainWatch) publish(replayer *drains.Replayer, position int64) {
	if replayer.Publish(bootclock.Now(), position) {
		w.notify("store")
	}
}

// Look reads what has come to the store since the newest state that is known.
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

// since reads the records from a position on.
func (w *DrainWatch) readSince(ctx context.Context, st store.Store, position int64) ([]store.Record, int64, error) {
	if position == 0 {
		return nil, 0, store.ErrTrimmed // all there are have to be read
	}
	return st.Follow(ctx, w.source.Partition, position, 0)
}
