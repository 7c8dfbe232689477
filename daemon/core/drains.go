package core

import (
	"context"
	"sync"
	"sync/atomic"

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
	Source  DrainSource
	Book    drains.Book
	changed func(drains.State)
	// acting keeps changes in their order: an older state that went into force after a newer
	// one would stay.
	acting sync.Mutex
	// Looking is set while this process looks into the store because what it was told is
	// old, and lookedAt is when it did last.
	Looking  atomic.Bool
	LookedAt AtomicDuration
}

func NewDrainWatch(source DrainSource, changed func(drains.State)) *DrainWatch {
	return &DrainWatch{Source: source, changed: changed}
}

// Frame is what a frame tells.
func (w *DrainWatch) Frame() *corepb.Drains {
	state, age := w.Book.Latest(bootclock.Now())
	return wire.DrainsToWire(state, age)
}

// Told takes in what a frame says.
func (w *DrainWatch) Told(p *corepb.Drains) {
	if p == nil {
		return
	}
	state, age := wire.DrainsFromWire(p)
	if w.Book.Told(bootclock.Now(), state, age) {
		w.act("told")
	}
}

// act has the newest state go into force.
func (w *DrainWatch) act(by string) {
	w.acting.Lock()
	defer w.acting.Unlock()
	state := w.Book.State()
	klog.InfoS("Drains of failure domains have changed", "domains", state.Domains, "position", state.Position, "by", by)
	w.changed(state)
}

// Apply hands a record to a reader, if it is one of a drain.
func (w *DrainWatch) Apply(to *drains.Reader, r store.Record) {
	change, ok, err := w.Source.Decode(r)
	if err != nil {
		metrics.Malformed(metrics.KindDrain)
		klog.ErrorS(err, "A drain can't be read and is left out")
		return
	}
	if ok {
		to.Apply(change)
	}
}

// Reached notes how far the records were read.
func (w *DrainWatch) Reached(r *drains.Reader, position int64) {
	if r.Reached(bootclock.Now(), position) {
		w.act("store")
	}
}

// Look reads what has come to the store since the newest state that is known.
func (w *DrainWatch) Look(ctx context.Context, st store.Store) error {
	ctx, cancel := context.WithTimeout(ctx, StoreTimeout)
	defer cancel()
	reader := drains.NewReader(&w.Book)
	records, next, err := w.since(ctx, st, w.Book.State().Position)
	if errors.Is(err, store.ErrTrimmed) {
		reader.Begin()
		records, next, err = st.Newest(ctx, w.Source.Partition)
	}
	if err != nil {
		return err
	}
	for _, r := range records {
		w.Apply(reader, r)
	}
	w.Reached(reader, next)
	return nil
}

// since reads the records from a position on.
func (w *DrainWatch) since(ctx context.Context, st store.Store, position int64) ([]store.Record, int64, error) {
	if position == 0 {
		return nil, 0, store.ErrTrimmed // all there are have to be read
	}
	return st.Follow(ctx, w.Source.Partition, position, 0)
}
