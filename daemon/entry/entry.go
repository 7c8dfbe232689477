// Package entry implements the process that serves clients. It forwards recorded jobs to
// their owners and runs best-effort jobs itself.
package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/xid"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/snapshot"
	"github.com/shallotstep/shallotstep/coordination/subset"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/state/routing"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/peer"
)

const (
	// ownerPollInterval is the interval at which a request looks again for its shard's
	// owner.
	ownerPollInterval = 5 * time.Millisecond
	// ownerSearchTimeout bounds that search for requests about existing jobs. A planned
	// handover of a shard takes about 50 ms.
	ownerSearchTimeout = 400 * time.Millisecond
	// awaitSearchTimeout bounds the search for the owner of an accepted job whose
	// client waits for its end. All agents may have lost power and be restarting.
	awaitSearchTimeout = time.Minute
	// submitSearchShare is the share of its latency objective after which a job
	// without a known owner is refused. A retry serves its client better than the
	// wait for a takeover, which takes a second.
	submitSearchShare = 0.2
)

// Entry forwards clients' requests to the owners of their jobs.
type Entry struct {
	settings *settings.Settings
	store    store.Store
	metrics  *core.Metrics
	links    *core.LinkSet
	// decode reads a version of the configuration from a record. It returns nil for
	// records of other kinds.
	decode func(store.Record) (*routing.Table, error)
	config store.Partition
	// configMu serializes changes of table and toldUntil, which the store and peers bring at once.
	configMu sync.Mutex
	table    atomic.Pointer[routing.Table]
	// toldUntil is until when table, which came from a peer, holds on the boot clock; zero once the
	// store has told a configuration here.
	toldUntil core.AtomicDuration
	// copies are what this entry has read in the store, or was told of it.
	copies copies
	// toldMu serializes the answers of peers.
	toldMu sync.Mutex
	// started is the time of New on the boot clock. firstServed is done with the first job that is
	// served.
	started     time.Duration
	firstServed sync.Once
	fleet       *owner.Fleet
	// bestEffort is the private shard with the best-effort jobs of this incarnation.
	bestEffort *core.ShardDriver
	owners     *ownerCache
	buckets    *buckets
	drains     *core.DrainWatch
	demand     *core.DemandReporter
	// loads reads the agents' loads.
	loads core.LoadReader
}

// New returns an entry. It has no effect until Run is called. config is the partition of
// the configuration, and decode reads its records.
func New(s *settings.Settings, st store.Store, config store.Partition, decode func(store.Record) (*routing.Table, error), drains core.DrainSource) *Entry {
	m := core.NewMetrics()
	st = m.CountCalls(st)
	e := &Entry{
		settings: s, metrics: m, started: bootclock.Now(),
		config: config, decode: decode, owners: newOwnerCache(s, st), buckets: newBuckets(s, st),
		fleet: owner.NewFleet(s.Bounds.RemoteFactor, core.OwnerParams(s), rand.Uint64()),
	}
	e.store = st
	if len(s.Seeds) > 0 {
		e.store = core.KeepCopies(st, map[store.Partition]*snapshot.Copy{config: &e.copies.config, core.RegistryPartition: &e.copies.registry})
	}
	e.drains = core.NewDrainWatch(drains, e.applyDrains)
	e.metrics.WatchDrains(e.drains)
	// The name contains the incarnation, by which agents tell the entry's runs from those
	// of a later incarnation.
	dialer := peer.NewDialer(core.MemberName(s.Name, xid.New().String()), e)
	e.links = core.NewLinkSet(s.Links, e, e.fleet, e.metrics, func(node string, reg core.Registration) core.AgentLink {
		return dialer.Dial(context.Background(), node, reg.LinkAddr)
	})
	e.demand = core.NewDemandReporter(e.fleet, e.links)
	e.bestEffort = e.newBestEffort()
	e.metrics.WatchFleet(e.fleet)
	e.metrics.WatchShares(e.fleet.Shares())
	return e
}

// Run follows the configuration, the drains and the agents until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	defer e.links.Close()
	var wg conc.WaitGroup
	wg.Go(func() { e.tickLoop(ctx) })
	for _, follow := range e.followers() {
		wg.Go(func() { follow(ctx) })
	}
	joinAttempted := make(chan struct{})
	wg.Go(func() { e.buckets.run(ctx, sync.OnceFunc(func() { close(joinAttempted) })) })
	wg.Go(func() { e.links.FollowRegistry(ctx, e.store) })
	wg.Go(func() { e.startFromPeers(ctx) })
	wg.Go(func() {
		select {
		case <-joinAttempted:
		case <-time.After(firstJoinTimeout):
		}
		e.links.Open()
		e.links.Maintain(ctx)
	})
	wg.Wait()
	return nil
}

// Share returns the hash buckets of this entry, by which its links are chosen.
func (e *Entry) Share() subset.Share { return e.buckets.get() }

// Required returns the owners of recorded jobs that have to be linked, because requests go to
// them.
func (e *Entry) Required() []string { return e.owners.inUse(bootclock.Now()) }

// MayHaveRunsAt reports whether an agent may have a run of one of the best-effort jobs, or an end
// that is not settled.
func (e *Entry) MayHaveRunsAt(node string) bool { return e.bestEffort.MayHaveRunsAt(node) }

// applyStoredConfig applies a configuration that was read in the store.
func (e *Entry) applyStoredConfig(r store.Record) { e.applyConfig(r, 0) }

// applyConfig puts a version of the configuration into force unless it or a newer one
// already is: a reader that starts over may read older versions again, and a peer may know
// less. toldUntil is until when a peer's configuration holds; zero if it was read in the store,
// whose word makes the version in force hold without a limit.
func (e *Entry) applyConfig(r store.Record, toldUntil time.Duration) {
	if r.Value == nil {
		return
	}
	t, err := e.decode(r)
	if err != nil {
		klog.ErrorS(err, "Ignored a configuration that can't be read", "source", sourceOf(toldUntil))
		return
	}
	if t == nil {
		return
	}
	e.configMu.Lock()
	defer e.configMu.Unlock()
	if old := e.table.Load(); old != nil && old.Version >= t.Version {
		if toldUntil == 0 {
			e.toldUntil.Set(0)
		}
		return
	}
	e.table.Store(t)
	e.toldUntil.Set(toldUntil)
	klog.InfoS("A configuration is in force", "version", t.Version, "routes", len(t.Routes), "source", sourceOf(toldUntil), "since_start", bootclock.Now()-e.started)
}

// Table returns the configuration in force, or nil if there is none: none is known yet, or it came
// from a peer and the store has confirmed it to nobody for too long.
func (e *Entry) Table() *routing.Table {
	if until := e.toldUntil.Get(); until > 0 && bootclock.Now() >= until {
		return nil
	}
	return e.table.Load()
}

// Ready reports whether the entry can serve clients: it has a configuration, and an agent
// accepts its orders. A link alone is not enough. With links whose claims are refused, an
// entry refuses every job; if it were ready, it would keep its share of the clients, whom
// other entries could serve.
func (e *Entry) Ready() bool {
	return e.Table() != nil && e.bestEffort.ReachableAgents() > 0
}

// Agents returns the last load of each agent that has reported one.
func (e *Entry) Agents() []owner.AgentView { return e.fleet.Agents() }

// Capacities returns the capacities of the known backend servers of a service: as last
// reported by linked agents, and as registered for all others.
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

// Linked reports whether a link to an agent is up.
func (e *Entry) Linked() bool { return e.links.AnyUp() }

// LinkUp implements peer.LinkHandler.
func (e *Entry) LinkUp(node string, session int64) *corepb.ToAgent {
	e.fleet.Linked(node)
	return &corepb.ToAgent{SessionStart: &corepb.SessionStart{Session: session}, Claims: e.bestEffort.LinkUp(node, session)}
}

// LinkDown implements peer.LinkHandler.
func (e *Entry) LinkDown(node string, session int64) {
	e.fleet.LinkLost(node)
	e.bestEffort.LinkDown(node, session)
	e.owners.linkLost(node)
}

// LinkFrame implements peer.LinkHandler.
func (e *Entry) LinkFrame(node string, _ int64, f *corepb.FromAgent) {
	e.drains.Merge(f.GetDrains())
	if q := f.GetAskSnapshot(); q != nil {
		e.answerSnapshot(node, q)
	}
	if l := f.GetLoad(); l != nil {
		now := bootclock.Now()
		e.fleet.Update(now, node, e.loads.Read(now, node, l))
	}
	e.demand.Hear(bootclock.Now(), node, f.GetDemand())
	for _, p := range f.GetClaimed() {
		e.bestEffort.HandleClaimed(node, p)
	}
	for _, p := range f.GetEvents() {
		e.bestEffort.HandleEvent(node, p)
	}
	e.owners.update(node, f)
	e.bestEffort.PlaceWaiting()
}

// findOwner returns the name of a shard's owner and a client for it. If the owner is unknown
// or not linked, it returns a nil client and begins to find or link the owner.
func (e *Entry) findOwner(ctx context.Context, shard int) (string, corepb.CoreClient) {
	node, newlyUsed := e.owners.use(bootclock.Now(), shard)
	if link := e.links.Get(node); link != nil && link.Up() {
		return node, link.Client()
	}
	if e.owners.refresh(ctx) || newlyUsed {
		e.links.Reconcile(bootclock.Now())
	}
	return "", nil
}

// Metrics returns the handler that serves the entry's metrics.
func (e *Entry) Metrics() http.Handler { return e.metrics.Handler() }
