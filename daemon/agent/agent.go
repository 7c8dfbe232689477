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
type Executor interface {
	Start(ctx context.Context, c worker.StartCall) (worker.StartOutcome, string)
	Stop(ctx context.Context, c worker.StopCall) bool
	Hold(ctx context.Context, c worker.HoldCall, wait time.Duration) (worker.HoldResult, error)
}

// Agent is the process beside one backend server.
type Agent struct {
	settings *settings.Settings
	store    store.Store
	metrics  *core.Metrics
	// newExecutor returns a client for this life of the agent.
	newExecutor func(fence int64) Executor
	member      string
	started     time.Duration

	worker   *worker.Worker
	fleet    *owner.Fleet
	links    *core.LinkSet
	executor Executor
	server   *peer.Server
	// confirmed is the boot time in ns of the last join that succeeded.
	confirmed core.AtomicDuration
	// enrolled is set once this life has a number; no call goes to the backend
	// server before.
	enrolled atomic.Bool
	// reachUntil is until when jobs wait for the links of an owner's first one.
	reachUntil core.AtomicDuration
	// drains is what is known of drained failure domains.
	drains *core.DrainWatch
	// looking is set while the agent looks for drains in the store, and lookedAt is when it
	// began to last.
	looking  atomic.Bool
	lookedAt core.AtomicDuration
	// placers is the number of callers that place work here.
	placers atomic.Int32
	// orders counts the orders that came from all of them.
	orders atomic.Int64
	// placed has whose orders this agent has taken.
	placed *placersLog
	// unclaimed is set while links came up whose agents were not claimed.
	unclaimed atomic.Bool
	// marked is set once it is written down that owners of recorded jobs claim here,
	// and orphaned while ends wait for them.
	marked, orphaned atomic.Bool
	// registered is what the registry has of this agent; nil: nothing is known of it.
	registered atomic.Pointer[core.Registration]
	// offerNews is signalled when what the registry says of this agent may have changed.
	offerNews chan struct{}
	// owns is closed with the first shard: before it there is nothing to link others for.
	owns     chan struct{}
	ownsOnce sync.Once
	// marking is held while that is being written.
	marking sync.Mutex

	mu sync.Mutex
	// All fields below are guarded by mu.

	shards  map[int]*shardRunner
	opening map[int]bool
	// callers has the link of each shard's owner, for news of its runs.
	callers map[int]*peer.Caller
	// all has what each caller was told.
	all   map[*peer.Caller]*news
	up    map[string]int64
	drain bool
	// ownedAt is when shards were last owned here, or opened.
	ownedAt time.Duration
	// epochs are those under which shards were opened.
	epochs epochs
}

// New returns an agent that does nothing yet.
func New(s *settings.Settings, st store.Store, drains core.DrainSource, newExecutor func(fence int64) Executor) *Agent {
	a := &Agent{
		settings: s, store: st, newExecutor: newExecutor, metrics: core.NewMetrics(),
		member: core.MemberName(s.Name, xid.New().String()), started: bootclock.Now(),
		worker:  worker.New(worker.Bounds{Lease: s.Bounds.Lease, OwnerTimeout: core.OwnerSilenceTimeout, ReconnectTimeout: core.RelinkTimeout, AdoptionTimeout: core.AdoptionTimeout, Shards: s.Shards()}),
		placed:  newPlacersLog(),
		fleet:   owner.NewFleet(s.Bounds.RemoteFactor, owner.DefaultParams()),
		shards:  make(map[int]*shardRunner),
		opening: make(map[int]bool),
		callers: make(map[int]*peer.Caller),
		all:     make(map[*peer.Caller]*news),
		up:      make(map[string]int64),
	}
	a.offerNews, a.owns = make(chan struct{}, 1), make(chan struct{})
	a.drains = core.NewDrainWatch(drains, a.drainsChanged)
	a.metrics.WatchDrains(a.drains)
	a.server = peer.NewServer(a)
	watchWorker(a.metrics, a.worker)
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
	noted := make(chan earlier, 1)
	wg.Go(func() { noted <- a.takeNotes(ctx) })
	life := a.enrol(ctx)
	var before earlier
	select {
	case before = <-noted:
	case <-time.After(notesWait):
		klog.InfoS("The notes of earlier lives are not there yet")
	}
	if ctx.Err() != nil {
		return nil
	}
	a.executor = a.newExecutor(life)
	a.resume(ctx, before.Server)
	// The name is that of this life: an agent takes the signs of life of a later one for
	// another owner's, and stops what this one left.
	dialer := peer.NewDialer(a.member, a)
	a.links = core.NewLinkSet(a.settings.Links, a, a.fleet, a.metrics, func(node string, reg core.Registration) core.AgentLink {
		return dialer.Dial(ctx, node, reg.LinkAddr)
	})
	// From here on frames of others are taken in.
	a.enrolled.Store(true)
	klog.InfoS("The agent serves", "name", a.settings.Name, "life", life, "member", a.member)
	wg.Go(func() { a.holdLoop(ctx) })
	wg.Go(func() { a.keepRegistered(ctx) })
	wg.Go(func() { a.tickLoop(ctx) })
	// Only owners link others, and there are as many of them as shards at most. Read by
	// each of a hundred agents, each record of the registry is read a hundred times.
	wg.Go(func() {
		select {
		case <-ctx.Done():
			return
		case <-a.owns:
		}
		wg.Go(func() { a.links.Maintain(ctx) })
		a.links.FollowRegistry(ctx, a.store)
	})
	wg.Go(func() { a.memberLoop(ctx, before.Member) })
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
		a.tell(&fx.Events[i])
	}
}

// tell passes news of a run to its owner.
func (a *Agent) tell(e *worker.Event) {
	if e.State.Reason != "" {
		klog.InfoS("Run", "id", e.State.Run.Task.Job, "step", e.State.Run.Task.Step, "task", e.State.Run.Task.Index, "run", e.State.Run.Number,
			"status", e.State.Status, "end", e.State.End, "reason", e.State.Reason)
	}
	a.mu.Lock()
	c := a.callers[e.Shard]
	a.mu.Unlock()
	if c == nil {
		return
	}
	event := &corepb.Event{Shard: int32(e.Shard), Epoch: e.Epoch, Run: wire.RunStateToWire(&e.State)}
	add := func(f *corepb.FromAgent) { f.Events = append(f.Events, event) }
	if e.State.Status == worker.Running {
		// Nobody waits for this news: it changes what a job's state and the
		// counts of queued jobs show, and those may be seconds old.
		c.SendWithNextFrame(add)
		return
	}
	c.Send(add)
}

func (a *Agent) draining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.drain
}

// Drain ends the agent as planned: it hands its shards on, starts nothing new,
// and waits until what runs beside it has ended and was recorded.
func (a *Agent) Drain(ctx context.Context) {
	a.mu.Lock()
	a.drain = true
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
		_ = pause.For(ctx, core.TickInterval)
	}
}

func (a *Agent) shard(id int) *shardRunner {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shards[id]
}

// owned returns the shards that are open here.
func (a *Agent) owned() []*shardRunner {
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
	out := a.links.AgentsWithOrphans()
	for _, r := range a.owned() {
		out = append(out, r.UnreconciledAgents()...)
	}
	return out
}

// MayHaveRunsAt implements linkUser.
func (a *Agent) MayHaveRunsAt(node string) bool {
	return slices.ContainsFunc(a.owned(), func(r *shardRunner) bool { return r.Shard.MayHaveRunsAt(node) })
}

// Metrics serves the agent's metrics.
func (a *Agent) Metrics() http.Handler { return a.metrics.Handler() }
