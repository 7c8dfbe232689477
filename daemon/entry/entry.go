// Package entry is the process that takes clients' requests: it takes recorded jobs to their
// owners, and runs best-effort jobs itself.
package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/xid"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/subset"
	"github.com/shallotstep/shallotstep/daemon/core"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/state/routing"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/peer"
)

const (
	// ownerPoll is the pace at which a question without an owner looks again.
	ownerPoll = 5 * time.Millisecond
	// ownerWait bounds that search for questions about known jobs: a planned
	// handover takes about 50 ms.
	ownerWait = 400 * time.Millisecond
	// awaitPatience bounds the search for the owner of an accepted job whose
	// client waits for its end: every agent may have lost power and come back.
	awaitPatience = time.Minute
	// refuseAfter is the part of its latency objective after which a job that
	// no owner could be found for is refused: its caller is better off asking
	// again than waiting for a takeover of a second.
	refuseAfter = 0.2
)

// Entry takes clients' questions to the owners of their jobs.
type Entry struct {
	settings *settings.Settings
	store    store.Store
	metrics  *core.Metrics
	links    *core.LinkSet
	// decode reads a version of the configuration from a record.
	decode func(store.Record) (*routing.Table, error)
	config store.Partition
	table  atomic.Pointer[routing.Table]
	fleet  *owner.Fleet
	// effort has the best-effort jobs of this life.
	effort  *core.ShardDriver
	owners  *ownerBook
	numbers *numbers
	drains  *core.DrainWatch
}

// New returns an entry that does nothing yet.
func New(s *settings.Settings, st store.Store, config store.Partition, decode func(store.Record) (*routing.Table, error), drains core.DrainSource) *Entry {
	e := &Entry{
		settings: s, store: st, metrics: core.NewMetrics(),
		config: config, decode: decode, owners: newOwnerBook(s, st), numbers: newNumbers(s, st),
		fleet: owner.NewFleet(s.Bounds.RemoteFactor, owner.DefaultParams()),
	}
	e.drains = core.NewDrainWatch(drains, e.drainsChanged)
	e.metrics.WatchDrains(e.drains)
	// The name is that of this life: agents tell its runs from a later one's.
	dialer := peer.NewDialer(core.MemberName(s.Name, xid.New().String()), e)
	e.links = core.NewLinkSet(s.Links, e, e.fleet, e.metrics, func(node string, reg core.Registration) core.AgentLink {
		return dialer.Dial(context.Background(), node, reg.LinkAddr)
	})
	e.effort = e.newEffort()
	e.metrics.WatchFleet(e.fleet)
	return e
}

// Run follows the configuration and the agents until the context ends.
func (e *Entry) Run(ctx context.Context) error {
	defer e.links.Close()
	var wg conc.WaitGroup
	wg.Go(func() { e.tickLoop(ctx) })
	for _, follow := range e.followers() {
		wg.Go(func() { follow(ctx) })
	}
	dealt := make(chan struct{})
	wg.Go(func() { e.numbers.run(ctx, sync.OnceFunc(func() { close(dealt) })) })
	wg.Go(func() { e.links.FollowRegistry(ctx, e.store) })
	wg.Go(func() {
		select {
		case <-dealt:
		case <-time.After(numbersWait):
		}
		e.links.Open()
		e.links.Maintain(ctx)
	})
	wg.Wait()
	return nil
}

// Share implements linkUser.
func (e *Entry) Share() subset.Share { return e.numbers.get() }

// Required implements linkUser: owners of recorded jobs are linked while they are asked.
func (e *Entry) Required() []string { return e.owners.inUse(bootclock.Now()) }

// Occupied implements linkUser.
func (e *Entry) MayHaveRunsAt(node string) bool { return e.effort.MayHaveRunsAt(node) }

// applyConfig takes up a version unless a newer one is in force: a reader that
// starts again may see older ones.
func (e *Entry) applyConfig(r store.Record) {
	if r.Value == nil {
		return
	}
	t, err := e.decode(r)
	if err != nil {
		klog.ErrorS(err, "A configuration can't be read and is left out")
		return
	}
	if t == nil {
		return
	}
	if old := e.table.Load(); old != nil && old.Version >= t.Version {
		return
	}
	e.table.Store(t)
	klog.InfoS("A configuration is in force", "version", t.Version, "routes", len(t.Routes))
}

// Table returns the configuration in force, or nil before the first.
func (e *Entry) Table() *routing.Table { return e.table.Load() }

// Ready reports whether the entry can serve: it has a configuration, and an agent takes
// its orders. A link alone doesn't say that: with links whose claims were refused an entry
// that refused every job kept its part of the clients, who would have been served by others.
func (e *Entry) Ready() bool {
	return e.table.Load() != nil && e.effort.ReachableAgents() > 0
}

// Agents returns what is known of the agents.
func (e *Entry) Agents() []owner.AgentView { return e.fleet.Agents() }

// Capacities are what the known backend servers of a service have: those that the entry
// links by their last news, the others by the registry.
func (e *Entry) Capacities(service string) []job.Demand {
	offers := e.links.RegisteredCapacities(service)
	for _, a := range e.fleet.Agents() {
		delete(offers, a.Node)
		if a.Load.Service == service {
			offers[a.Node] = a.Load.Capacity
		}
	}
	return slices.Collect(maps.Values(offers))
}

// Linked reports whether there is a link to an agent.
func (e *Entry) Linked() bool { return e.links.AnyUp() }

// LinkUp implements peer.LinkHandler.
func (e *Entry) LinkUp(node string, session int64) *corepb.ToAgent {
	e.fleet.Linked(node)
	return &corepb.ToAgent{Claims: e.effort.LinkUp(node, session)}
}

// LinkDown implements peer.LinkHandler.
func (e *Entry) LinkDown(node string, session int64) {
	e.fleet.LinkLost(node)
	e.effort.LinkDown(node, session)
	e.owners.lost(node)
}

// LinkFrame implements peer.LinkHandler.
func (e *Entry) LinkFrame(node string, _ int64, f *corepb.FromAgent) {
	e.drains.Merge(f.GetDrains())
	if l := f.GetLoad(); l != nil {
		e.fleet.Update(bootclock.Now(), node, wire.LoadFromWire(l))
	}
	for _, p := range f.GetClaimed() {
		e.effort.HandleClaimed(node, p)
	}
	for _, p := range f.GetEvents() {
		e.effort.HandleEvent(node, p)
	}
	e.owners.note(node, f)
	e.effort.PlaceWaiting()
}

// owner returns a shard's owner and its client; nil while it is not known or not linked.
func (e *Entry) owner(ctx context.Context, shard int) (string, corepb.CoreClient) {
	node, fresh := e.owners.use(bootclock.Now(), shard)
	if link := e.links.Get(node); link != nil && link.Up() {
		return node, link.Client()
	}
	if e.owners.look(ctx) || fresh {
		e.links.Reconcile(bootclock.Now())
	}
	return "", nil
}

// Metrics serves the entry's metrics.
func (e *Entry) Metrics() http.Handler { return e.metrics.Handler() }
