// Package agent implements the agent: the process beside a backend server, which is the only one
// that calls it. An agent also owns some of the shards of the recorded jobs.
package agent

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/xid"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/shallotstep/shallotstep/coordination/assignment"
	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/shares"
	"github.com/shallotstep/shallotstep/coordination/subset"
	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/settings"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/pause"
	"github.com/shallotstep/shallotstep/transport/peer"
)

// BackendClient calls the backend server beside an agent.
type BackendClient interface {
	Start(ctx context.Context, c worker.StartCall) (worker.StartOutcome, string)
	Stop(ctx context.Context, c worker.StopCall) bool
	Hold(ctx context.Context, c worker.HoldCall, wait time.Duration) (worker.HoldResult, error)
}

// Agent is the process beside one backend server. Its zero value is not usable; see New.
type Agent struct {
	settings *settings.Settings
	store    store.Store
	metrics  *core.Metrics
	// newBackendClient returns a client for this incarnation of the agent.
	newBackendClient func(fencingToken int64) BackendClient
	// member is the name of this incarnation in the owners' group and on links.
	member string
	// started is the time of New on the boot clock.
	started time.Duration

	worker  *worker.Worker
	fleet   *owner.Fleet
	links   *core.LinkSet
	backend BackendClient
	server  *peer.Server
	// joinedAt is when the last successful join of the owners' group was sent.
	joinedAt core.AtomicDuration
	// serving is set once the incarnation number is known and backend and links are set. Before
	// that, no link is accepted and reports don't make the agent call the backend server.
	serving atomic.Bool
	// linkWaitUntil is the time until which submitted jobs wait for links to agents.
	linkWaitUntil core.AtomicDuration
	// drains tracks the drained failure domains.
	drains *core.DrainWatch
	// readingDrains is set while the agent reads the drains in the store. drainsReadAt is when
	// the last read began.
	readingDrains atomic.Bool
	drainsReadAt  core.AtomicDuration
	// snapshots answers entries that start without the store.
	snapshots *snapshots
	// placers is the number of callers that currently place work here.
	placers atomic.Int32
	// orders counts the orders received from all callers.
	orders atomic.Int64
	// sums has what the callers ask for, and demand tells other agents what the owners here ask for.
	sums   *shares.Sums
	demand *core.DemandReporter
	// recentPlacers records the owners whose orders this agent has received.
	recentPlacers *recentPlacers
	// loads reads the loads of other agents.
	loads core.LoadReader
	// speeds watches the speed of the backend server.
	speeds speedWatch
	// claimsPending is set when a link came up on which the owned shards were not claimed.
	claimsPending atomic.Bool
	// markerStored is set once the marker for recorded jobs is stored; see storeMarker.
	// hasOrphans is set once ends have waited too long for the owners of their shards.
	markerStored, hasOrphans atomic.Bool
	// registered is this agent's registration in the registry, or nil while it is unknown.
	registered atomic.Pointer[core.Registration]
	// offerUpdates is signalled when the registration of this agent may have changed.
	offerUpdates chan struct{}
	// rejoin is signalled when the agent has given a shard up, which the group may still assign to it.
	rejoin chan struct{}
	// isMember is set once the agent has offered to own shards.
	isMember atomic.Bool
	// shardAcquired is signalled when the agent gets a shard. Without shards it needs no links to
	// other agents.
	shardAcquired chan struct{}
	// markerMu is held while the marker for recorded jobs is being stored.
	markerMu sync.Mutex

	mu sync.Mutex
	// All fields below are guarded by mu.

	shards map[int]*shardRunner
	// opening has the shards that are being opened.
	opening map[int]*opening
	// assigned has the shards that the group has assigned to this agent.
	assigned assignment.Tracker
	// shardCallers has, by shard, the caller whose claim was accepted last. Events of the
	// shard's runs go to it.
	shardCallers map[int]*peer.Caller
	// callerStates has the state of each caller whose link is up.
	callerStates map[*peer.Caller]*callerState
	// linkSessions has the session of each link to another agent that is up.
	linkSessions map[string]int64
	drainStarted bool
	// cancelFollowing ends the reading of the registry; nil while it is not read.
	cancelFollowing context.CancelFunc
	// ownedAt is when the agent last owned a shard or was opening one.
	ownedAt time.Duration
	// epochs assigns the epochs under which shards are opened.
	epochs epochs
}

// New returns an agent that is not running; see Run.
func New(s *settings.Settings, st store.Store, drains core.DrainSource, newBackendClient func(fencingToken int64) BackendClient) *Agent {
	member := core.MemberName(s.Name, xid.New().String())
	a := &Agent{
		settings: s, newBackendClient: newBackendClient, metrics: core.NewMetrics(),
		member: member, started: bootclock.Now(),
		worker:        worker.New(worker.Bounds{Incarnation: member, Lease: s.Bounds.Lease, OwnerTimeout: core.OwnerTimeout, ReconnectTimeout: core.ReconnectTimeout, AdoptionTimeout: core.AdoptionTimeout, Shards: s.Shards(), LearnSpeed: s.Scheduling.ServerSpeeds}),
		recentPlacers: newRecentPlacers(),
		snapshots:     newSnapshots(),
		fleet:         owner.NewFleet(s.Bounds.RemoteFactor, core.OwnerParams(s), rand.Uint64()),
		shards:        make(map[int]*shardRunner),
		opening:       make(map[int]*opening),
		shardCallers:  make(map[int]*peer.Caller),
		callerStates:  make(map[*peer.Caller]*callerState),
		linkSessions:  make(map[string]int64),
		sums:          shares.NewSums(),
	}
	a.store = a.metrics.CountCalls(st)
	a.offerUpdates, a.shardAcquired, a.rejoin = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	a.drains = core.NewDrainWatch(drains, a.applyDrains)
	a.metrics.WatchDrains(a.drains)
	a.server = peer.NewServer(a)
	registerWorkerMetrics(a.metrics, a.worker)
	registerSpeedMetrics(a.metrics, a.serverSpeed)
	a.metrics.WatchFleet(a.fleet)
	a.metrics.WatchShares(a.fleet.Shares())
	return a
}

// Run runs the agent until the context ends. It returns an error if it can't listen for links.
func (a *Agent) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", a.settings.Listen.Links)
	if err != nil {
		return errors.Wrap(err, "listen for links")
	}
	return a.Serve(ctx, l)
}

// Serve is Run with the listener for links.
func (a *Agent) Serve(ctx context.Context, l net.Listener) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		if err := a.server.Serve(l); err != nil {
			klog.ErrorS(err, "Serving links failed")
		}
	})
	defer a.server.Stop()
	restored := make(chan storedState, 1)
	wg.Go(func() { restored <- a.restoreNotes(ctx) })
	incarnation := a.startIncarnation(ctx)
	var stored storedState
	select {
	case stored = <-restored:
	case <-time.After(notesTimeout):
		klog.InfoS("Timed out waiting for the notes of earlier incarnations")
	}
	if ctx.Err() != nil {
		return nil
	}
	a.backend = a.newBackendClient(incarnation)
	a.resume(ctx, stored.Server)
	// Links identify this process by the name of its incarnation. Other agents then take a later
	// incarnation for another owner, so its heartbeats don't keep alive the runs that this one
	// has ordered, and these are stopped.
	dialer := peer.NewDialer(a.member, a)
	a.links = core.NewLinkSet(a.settings.Links, a, a.fleet, a.metrics, func(node string, reg core.Registration) core.AgentLink {
		return dialer.Dial(ctx, node, reg.LinkAddr)
	})
	a.demand = core.NewDemandReporter(a.fleet, a.links)
	// From here on other processes can link this agent.
	a.serving.Store(true)
	klog.InfoS("The agent is serving", "name", a.settings.Name, "life", incarnation, "member", a.member)
	wg.Go(func() { a.holdLoop(ctx) })
	wg.Go(func() { a.maintainRegistration(ctx) })
	wg.Go(func() { a.tickLoop(ctx) })
	wg.Go(func() { a.followRegistry(ctx) })
	wg.Go(func() { a.membershipLoop(ctx, stored.Member) })
	<-ctx.Done()
	a.links.Close()
	a.release(nil)
	return nil
}

// followRegistry follows the registry and maintains the links to other agents while this agent owns
// shards. If all of a hundred agents followed the registry, each of its records would be read a
// hundred times.
func (a *Agent) followRegistry(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.shardAcquired:
		}
		owning, cancel := context.WithCancel(ctx)
		a.mu.Lock()
		a.cancelFollowing = cancel
		a.mu.Unlock()
		var wg conc.WaitGroup
		wg.Go(func() { a.links.Maintain(owning) })
		a.links.FollowRegistry(owning, a.store)
		wg.Wait()
		cancel()
	}
}

// signalShard makes followRegistry follow the registry.
func (a *Agent) signalShard() {
	select {
	case a.shardAcquired <- struct{}{}:
	default:
	}
}

// stopFollowing ends the reading of the registry until the next signalShard.
func (a *Agent) stopFollowing() {
	a.mu.Lock()
	cancel := a.cancelFollowing
	a.cancelFollowing = nil
	a.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// apply carries out the effects of the worker's state machine.
func (a *Agent) apply(fx worker.Effects) {
	for i := range fx.Starts {
		go a.start(fx.Starts[i])
	}
	for i := range fx.Stops {
		go a.stop(fx.Stops[i])
	}
	for i := range fx.Events {
		a.sendEvent(&fx.Events[i])
	}
}

// sendEvent sends an event of a run to the owner of its shard, if that is linked.
func (a *Agent) sendEvent(e *worker.Event) {
	if e.State.Reason != "" {
		klog.InfoS("Run", "id", e.State.Run.Task.Job, "step", e.State.Run.Task.Step, "task", e.State.Run.Task.Index, "run", e.State.Run.Number,
			"status", e.State.Status, "end", e.State.End, "reason", e.State.Reason)
	}
	a.mu.Lock()
	c := a.shardCallers[e.Shard]
	a.mu.Unlock()
	if c == nil {
		return
	}
	event := &corepb.Event{Shard: int32(e.Shard), Epoch: e.Epoch, Run: wire.RunStateToWire(&e.State)}
	add := func(f *corepb.FromAgent) { f.Events = append(f.Events, event) }
	if e.State.Status == worker.Running {
		// This event is not urgent: it only affects the reported state of a job and the counts
		// of queued jobs, which may be seconds old.
		c.SendWithNextFrame(add)
		return
	}
	c.Send(add)
}

func (a *Agent) draining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drainStarted
}

// Drain prepares a planned stop of the agent. It releases all shards, starts nothing new, and
// returns when all runs on the backend server have ended and are settled, or when ctx ends.
func (a *Agent) Drain(ctx context.Context) {
	a.mu.Lock()
	a.drainStarted = true
	a.mu.Unlock()
	klog.InfoS("Draining the agent")
	a.leave(ctx)
	for ctx.Err() == nil {
		fx, empty := a.worker.Drain()
		a.apply(fx)
		if empty {
			klog.InfoS("The agent has drained")
			return
		}
		_ = pause.For(ctx, core.TickInterval)
	}
}

func (a *Agent) shard(id int) *shardRunner {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shards[id]
}

// ownedShards returns the shards that are open here.
func (a *Agent) ownedShards() []*shardRunner {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*shardRunner, 0, len(a.shards))
	for _, r := range a.shards {
		out = append(out, r)
	}
	return out
}

// Share returns the hash buckets by which the agents to link are chosen. The buckets of an owner
// are its shards.
func (a *Agent) Share() subset.Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.shards) == 0 {
		return subset.FallbackShare(a.settings.Name)
	}
	return subset.Share{Buckets: slices.Sorted(maps.Keys(a.shards)), Total: a.settings.Shards()}
}

// Required returns the agents that have to be linked besides the chosen ones: those that may have
// runs of a shard that was taken over, and those with ends that only owners can settle.
func (a *Agent) Required() []string {
	out := a.links.AgentsWithOrphans()
	for _, r := range a.ownedShards() {
		out = append(out, r.UnreconciledAgents()...)
	}
	return out
}

// MayHaveRunsAt reports whether an agent may have a run of a shard that is open here, or an end
// that is not settled.
func (a *Agent) MayHaveRunsAt(node string) bool {
	return slices.ContainsFunc(a.ownedShards(), func(r *shardRunner) bool { return r.Shard.MayHaveRunsAt(node) })
}

// Metrics returns the HTTP handler of the agent's metrics.
func (a *Agent) Metrics() http.Handler { return a.metrics.Handler() }
