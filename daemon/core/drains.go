package core

import (
	"context"
	"sync"
	"sync/atomic"
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

const (
	// drainsStale is the age from which on an agent looks into the store itself. Entries
	// hear from it each 0.6 s.
	drainsStale = 2 * time.Second
	// drainsRetry is the pause between two looks of an agent.
	drainsRetry = time.Second
)

// DrainSource is where the operators' drains of failure domains stand.
type DrainSource struct {
	Partition store.Partition
	// Decode reads a record; it is false for records of other kinds. An error leaves what is
	// known as it is.
	Decode func(store.Record) (drains.Change, bool, error)
}

// drainWatch is what a process knows of drains, and acts on a change.
type drainWatch struct {
	source  DrainSource
	book    drains.Book
	changed func(drains.State)
	// acting keeps changes in their order: an older state that went into force after a newer
	// one would stay.
	acting sync.Mutex
	// looking is set while this process looks into the store because what it was told is
	// old, and lookedAt is when it did last.
	looking  atomic.Bool
	lookedAt atomicDuration
}

func newDrainWatch(source DrainSource, changed func(drains.State)) *drainWatch {
	return &drainWatch{source: source, changed: changed}
}

// frame is what a frame tells.
func (w *drainWatch) frame() *corepb.Drains {
	state, age := w.book.Latest(bootclock.Now())
	return wire.DrainsToWire(state, age)
}

// told takes in what a frame says.
func (w *drainWatch) told(p *corepb.Drains) {
	if p == nil {
		return
	}
	state, age := wire.DrainsFromWire(p)
	if w.book.Told(bootclock.Now(), state, age) {
		w.act("told")
	}
}

// act has the newest state go into force.
func (w *drainWatch) act(by string) {
	w.acting.Lock()
	defer w.acting.Unlock()
	state := w.book.State()
	klog.InfoS("Drains of failure domains have changed", "domains", state.Domains, "position", state.Position, "by", by)
	w.changed(state)
}

// apply hands a record to a reader, if it is one of a drain.
func (w *drainWatch) apply(to *drains.Reader, r store.Record) {
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
func (w *drainWatch) reached(r *drains.Reader, position int64) {
	if r.Reached(bootclock.Now(), position) {
		w.act("store")
	}
}

// look reads what has come to the store since the newest state that is known.
func (w *drainWatch) look(ctx context.Context, st store.Store) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	reader := drains.NewReader(&w.book)
	records, next, err := w.since(ctx, st, w.book.State().Position)
	if errors.Is(err, store.ErrTrimmed) {
		reader.Begin()
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
func (w *drainWatch) since(ctx context.Context, st store.Store, position int64) ([]store.Record, int64, error) {
	if position == 0 {
		return nil, 0, store.ErrTrimmed // all there are have to be read
	}
	return st.Follow(ctx, w.source.Partition, position, 0)
}

// followers keep the configuration and the drains up to date. Where both stand in one
// partition one reader does for both.
func (e *Entry) followers() []*follower {
	reader := drains.NewReader(&e.drains.book)
	drained := &follower{
		store: e.store, partition: e.drains.source.Partition, wait: configWait, name: "drains",
		begin: reader.Begin, reached: func(position int64) { e.drains.reached(reader, position) },
		apply: func(r store.Record) { e.drains.apply(reader, r) },
	}
	if e.drains.source.Partition == e.config {
		drained.name = "configuration"
		drained.apply = func(r store.Record) {
			e.applyConfig(r)
			e.drains.apply(reader, r)
		}
		return []*follower{drained}
	}
	config := &follower{store: e.store, partition: e.config, wait: configWait, name: "configuration", apply: e.applyConfig}
	return []*follower{config, drained}
}

// drainsChanged has nothing more placed in the drained failure domains, and tells all
// linked agents.
func (e *Entry) drainsChanged(s drains.State) {
	e.fleet.Drain(s)
	e.links.drain(s)
	e.links.nudge()
	known, read := e.links.domains()
	for _, domain := range s.Domains {
		if read && known[domain] == 0 {
			klog.InfoS("A drained failure domain has no agents", "domain", domain)
		}
	}
}

// Drains returns the drains in force, as far as they are known here.
func (e *Entry) Drains() drains.State { return e.drains.book.State() }

// Domains counts the agents of each known failure domain.
func (e *Entry) Domains() map[string]int {
	known, _ := e.links.domains()
	return known
}

// drainsChanged has nothing newly started beside this agent if its failure domain is
// drained, and tells those that are linked with it.
func (a *Agent) drainsChanged(s drains.State) {
	a.fleet.Drain(s)
	a.links.drain(s)
	a.apply(a.worker.DrainDomain(bootclock.Now(), s.Has(a.settings.Zone)))
	for c := range a.everyCaller() {
		c.Send(nothing)
	}
	a.links.nudge()
}

// checkDrains looks into the store if the callers have not heard from it for long. Those of a
// process that has just started may only have started too.
func (a *Agent) checkDrains(ctx context.Context, now time.Duration) {
	w := a.drains
	_, age := w.book.Latest(now)
	if min(age, now-a.started) < drainsStale || now-w.lookedAt.get() < drainsRetry || len(a.everyCaller()) == 0 {
		return
	}
	if w.looking.Swap(true) {
		return
	}
	w.lookedAt.set(now)
	go func() {
		defer w.looking.Store(false)
		err := w.look(ctx, a.store)
		klog.InfoS("Looked for drains in the store, since those who place work here have not lately", "err", err)
	}()
}
