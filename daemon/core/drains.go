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
	source  DrainSource
	book    drains.Tracker
	changed func(drains.State)
	// acting keeps changes in their order: an older state that went into force after a newer
	// one would stay.
	acting sync.Mutex
}

// NewDrainWatch returns a watch that knows nothing yet. The function has a changed state go
// into force; it is called with one state at a time.
func NewDrainWatch(source DrainSource, changed func(drains.State)) *DrainWatch {
	return &DrainWatch{source: source, changed: changed}
}

// State is what is in force.
func (w *DrainWatch) State() drains.State { return w.book.State() }

// Age is how long ago the store confirmed what is known.
func (w *DrainWatch) Age(now time.Duration) time.Duration {
	_, age := w.book.Latest(now)
	return age
}

// Frame is what a frame tells.
func (w *DrainWatch) Frame() *corepb.Drains {
	state, age := w.book.Latest(bootclock.Now())
	return wire.DrainsToWire(state, age)
}

// Told takes in what a frame says.
func (w *DrainWatch) Told(p *corepb.Drains) {
	if p == nil {
		return
	}
	state, age := wire.DrainsFromWire(p)
	if w.book.Update(bootclock.Now(), state, age) {
		w.act("told")
	}
}

// act has the newest state go into force.
func (w *DrainWatch) act(by string) {
	w.acting.Lock()
	defer w.acting.Unlock()
	state := w.book.State()
	klog.InfoS("Drains of failure domains have changed", "domains", state.Domains, "position", state.Position, "by", by)
	w.changed(state)
}

// Follow keeps the watch up to date from the store until the context ends. Other gets each
// record of the partition as well, if it is set.
func (w *DrainWatch) Follow(ctx context.Context, st store.Store, name string, other func(store.Record)) {
	reader := drains.NewReplayer(&w.book)
	f := &follower{
		store: st, partition: w.source.Partition, wait: ConfigWait, name: name,
		begin: reader.Reset, reached: func(position int64) { w.reached(reader, position) },
		apply: func(r store.Record) {
			if other != nil {
				other(r)
			}
			w.apply(reader, r)
		},
	}
	f.run(ctx)
}

// Partition is where the records stand.
func (w *DrainWatch) Partition() store.Partition { return w.source.Partition }

// apply hands a record to a reader, if it is one of a drain.
func (w *DrainWatch) apply(to *drains.Replayer, r store.Record) {
	change, ok, err := w.source.Decode(r)
	if err != nil {
		metrics.Malformed(metrics.KindDrain)
		klog.ErrorS(err, "A drain can't be read and is left out")
		return
	}
	if ok {
		to.Apply(change)
	}
}

// reached notes how far the records were read.
func (w *DrainWatch) reached(r *drains.Replayer, position int64) {
	if r.Publish(bootclock.Now(), position) {
		w.act("store")
	}
}

// Look reads what has come to the store since the newest state that is known.
func (w *DrainWatch) Look(ctx context.Context, st store.Store) error {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	reader := drains.NewReplayer(&w.book)
	records, next, err := w.since(ctx, st, w.book.State().Position)
	if errors.Is(err, store.ErrTrimmed) {
		reader.Reset()
		records, next, err = st.Newest(ctx, w.source.Partition)
	}
	if err != nil {
		return err
	}
	for _, r := range records {
		w.apply(reader, r)
	}
	w.reached(reader, next)
	return nil
}

// since reads the records from a position on.
func (w *DrainWatch) since(ctx context.Context, st store.Store, position int64) ([]store.Record, int64, error) {
	if position == 0 {
		return nil, 0, store.ErrTrimmed // all there are have to be read
	}
	return st.Follow(ctx, w.source.Partition, position, 0)
}
