// Package agent is the process beside a backend server: the only one that calls it, and the
// owner of some shards of the recorded jobs.
package agent

import (
	"context"
	"maps"
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

	"github.com/shallotstep/shallotstep/coordination/owner"
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

// Executor is the backend server beside an agent.
type BackendClient interface {
	Start(ctx context.Context, c worker.StartCall) (worker.StartOutcome, string)
	Stop(ctx context.Context, c worker.StopCall) bool
	Hold(ctx context.Context, c worker.HoldCall, wait time.Duration) (worker.Holding, error)
}

// Agent is the process beside one backend server.
type Agent struct {
	settings *settings.Settings
	store    store.Store
	metrics  *core.CoreMetrics
	// newExecutor returns a client for this life of the agent.
	newBackendClient func(fence int64) BackendClient
	member           string
	started          time.Duration

	worker  *worker.Worker
	fleet   *owner.Fleet
	links   *core.LinkSet
	backend BackendClient
	server  *peer.Server
	// confirmed is the boot time in ns of the last join that succeeded.
	joinedAt core.AtomicDuration
	// enrolled is set once this life has a number; no call goes to the backend
	// server before.
	serving atomic.Bool
	// reachUntil is until when jobs wait for the links of an owner's first one.
	linkWaitUntil core.AtomicDuration
	// drains is what is known of drained failure domains.
	drains *core.DrainWatch
	// looking is set while the agent looks for drains in the store, and lookedAt is when it
	// began to last.
	readingDrains atomic.Bool
	drainsReadAt  core.AtomicDuration
	// placers is the number of callers that place work here.
	placers atomic.Int32
	// orders counts the orders that came from all of them.
	orders atomic.Int64
	// placed has whose orders this agent has taken.
	recentPlacers *recentPlacers
	// unclaimed is set while links came up whose agents were not claimed.
	claimsPending atomic.Bool
	// marked is set once it is written down that owners of recorded jobs claim here,
	// and orphaned while ends wait for them.
	markerStored, hasOrphans atomic.Bool
	// registered is what the registry has of this agent; nil: nothing is known of it.
	registered atomic.Pointer[core.Registration]
	// offerNews is signalled when what the registry says of this agent may have changed.
	offerUpdates chan struct{}
	// owns is closed with the first shard: before it there is nothing to link others for.
	firstShard     chan struct{}
	firstShardOnce sync.Once
	// marking is held while that is being written.
	markerMu sync.Mutex

	mu sync.Mutex
	// All fields below are guarded by mu.

	shards  map[int]*shardRunner
	opening map[int]bool
	// callers has the link of each shard's owner, for news of its runs.
	shardCallers map[int]*peer.Caller
	// all has what each caller was told.
	callerStates map[*peer.Caller]*callerState
	linkSessions map[string]int64
	drainStarted bool
	// ownedAt is when shards were last owned here, or opened.
	ownedAt time.Duration
	// epochs are those under which shards were opened.
	epochs epochs
}

// New returns an agent that does nothing yet.
func New(s *settings.Settings, st store.Store, drains core.DrainSource, newBackendClient func(fence int64) BackendClient) *Agent {
	a := &Agent{
		settings: s, store: st, newBackendClient: newBackendClient, metrics: core.NewCoreMetrics(),
		member: core.MemberName(s.Name, xid.New().String()), started: bootclock.Now(),
		worker:        worker.New(worker.Bounds{Lease: s.Bounds.Lease, OwnerSilence: core.OwnerSilence, Relink: core.Relink, Adoption: core.Adoption, Shards: s.Shards()}),
		recentPlacers: newRecentPlacers(),
		fleet:         owner.NewFleet(s.Bounds.RemoteFactor, owner.DefaultParams()),
		shards:        make(map[int]*shardRunner),
		opening:       make(map[int]bool),
		shardCallers:  make(map[int]*peer.Caller),
		callerStates:  make(map[*peer.Caller]*callerState),
		linkSessions:  make(map[string]int64),
	}
	a.offerUpdates, a.firstShard = make(chan struct{}, 1), make(chan struct{})
	a.drains = core.NewDrainWatch(drains, a.drainsChanged)
	a.metrics.WatchDrains(a.drains)
	a.server = peer.NewServer(a)
	registerWorkerMetrics(a.metrics, a.worker)
	a.metrics.WatchFleet(a.fleet)
	return a
}

// Run serves until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", a.settings.Listen.Links)
	if err != nil {
		return errors.Wrap(err, "links")
	}
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() {
		if err := a.server.Serve(l); err != nil {
			klog.ErrorS(err, "The links are not served any more")
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
		klog.InfoS("The notes of earlier lives are not there yet")
	}
	if ctx.Err() != nil {
		return nil
	}
	a.backend = a.newBackendClient(incarnation)
	a.resume(ctx, stored.Server)
	// The name is that of this life: an agent takes the signs of life of a later one for
	// another owner's, and stops what this one left.
	dialer := peer.NewDialer(a.member, a)
	a.links = core.NewLinkSet(a.settings.Links, a, a.fleet, a.metrics, func(node string, reg core.Registration) core.AgentLink {
		return dialer.Dial(ctx, node, reg.Links)
	})
	// From here on frames of others are taken in.
	a.serving.Store(true)
	klog.InfoS("The agent serves", "name", a.settings.Name, "life", incarnation, "member", a.member)
	wg.Go(func() { a.holdLoop(ctx) })
	wg.Go(func() { a.maintainRegistration(ctx) })
	wg.Go(func() { a.tickLoop(ctx) })
	// Only owners link others, and there are as many of them as shards at most. Read by
	// each of a hundred agents, each record of the registry is read a hundred times.
	wg.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-a.firstShard:
		}
		wg.Go(func() { a.links.Maintain(ctx) })
		a.links.Follow(ctx, a.store)
	})
	wg.Go(func() { a.membershipLoop(ctx, stored.Member) })
	<-ctx.Done()
	a.links.Close()
	a.release(nil)
	return nil
}

// apply carries out what the worker's machine asks for.
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

// tell passes news of a run to its owner.
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
		// Nobody waits for this news: it changes what a job's state and the
		// counts of queued jobs show, and those may be seconds old.
		c.SendQuietly(add)
		return
	}
	c.Send(add)
}

func (a *Agent) draining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drainStarted
}

// Drain ends the agent as planned: it hands its shards on, starts nothing new,
// and waits until what runs beside it has ended and was recorded.
func (a *Agent) Drain(ctx context.Context) {
	a.mu.Lock()
	a.drainStarted = true
	a.mu.Unlock()
	klog.InfoS("The agent drains")
	a.leave(ctx)
	for ctx.Err() == nil {
		fx, empty := a.worker.Drain()
		a.apply(fx)
		if empty {
			klog.InfoS("The agent has drained")
			return
		}
		_ = pause.For(ctx, core.TickEvery)
	}
}

func (a *Agent) shard(id int) *shardRunner {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shards[id]
}

// owned returns the shards that are open here.
func (a *Agent) ownedShards() []*shardRunner {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]*shardRunner, 0, len(a.shards))
	for _, r := range a.shards {
		out = append(out, r)
	}
	return out
}

// Share implements linkUser: an owner's buckets are its shards.
func (a *Agent) Share() subset.Share {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.shards) == 0 {
		return subset.FallbackShare(a.settings.Name)
	}
	return subset.Share{Buckets: slices.Sorted(maps.Keys(a.shards)), Total: a.settings.Shards()}
}

// Required implements linkUser: a takeover has to reach every agent that may have runs of
// the shard, and ends that only owners can settle wait for one.
func (a *Agent) Required() []string {
	out := a.links.WithOrphans()
	for _, r := range a.ownedShards() {
		out = append(out, r.UnreconciledAgents()...)
	}
	return out
}

// Occupied implements linkUser.
func (a *Agent) Occupied(node string) bool {
	return slices.ContainsFunc(a.ownedShards(), func(r *shardRunner) bool { return r.Shard.MayHaveRunsAt(node) })
}

// Metrics serves the agent's metrics.
func (a *Agent) Metrics() http.Handler { return a.metrics.Handler() }
