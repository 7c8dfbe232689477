package entry

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	wire "github.com/shallotstep/shallotstep/protocol/core"
	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/state/routing"
	"github.com/shallotstep/shallotstep/state/store"
	"github.com/shallotstep/shallotstep/transport/bootclock"
	"github.com/shallotstep/shallotstep/transport/peer"
)

// fakeAgent accepts links and records the orders and stops that it receives.
type fakeAgent struct {
	server *peer.Server
	addr   string
	// silent is set if the agent answers no claims.
	silent bool

	mu     sync.Mutex
	orders []*corepb.Order // guarded by mu
	stops  []*corepb.Stop  // guarded by mu
	// worker answers claims as in an agent. If it is nil, each claim is granted. Guarded
	// by mu.
	worker *worker.Worker
	// links counts the links that were established. breakNext is set to end the next link
	// on which a frame arrives. Guarded by mu.
	links     int
	breakNext bool
	// pending has the pending jobs of each shard that is open here. Guarded by mu.
	pending map[int]int
	// asks counts the questions for pending jobs, of which the first unnamed ones are answered without
	// naming shards, as by an earlier version. Guarded by mu.
	asks, unnamed int
}

func startFakeAgent(t *testing.T) *fakeAgent {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := &fakeAgent{addr: l.Addr().String()}
	a.server = peer.NewServer(a)
	served := make(chan struct{})
	go func() {
		defer close(served)
		if err := a.server.Serve(l); err != nil {
			t.Log(err)
		}
	}()
	t.Cleanup(func() {
		a.server.Stop()
		<-served
	})
	return a
}

func (a *fakeAgent) Ready() bool { return true }

func (a *fakeAgent) Frame(c *peer.Caller, f *corepb.ToAgent) error {
	a.mu.Lock()
	a.orders = append(a.orders, f.GetOrders()...)
	a.stops = append(a.stops, f.GetStops()...)
	broken := a.breakNext
	a.breakNext = false
	a.mu.Unlock()
	if broken {
		return errors.New("broken")
	}
	c.Send(func(out *corepb.FromAgent) {
		for _, p := range f.GetClaims() {
			if !a.silent {
				out.Claimed = append(out.Claimed, a.answerClaim(c, p))
			}
		}
	})
	return nil
}

// answerClaim returns the answer to a claim.
func (a *fakeAgent) answerClaim(c *peer.Caller, p *corepb.Claim) *corepb.Claimed {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.worker == nil {
		return &corepb.Claimed{Shard: p.GetShard(), Epoch: p.GetEpoch(), Session: p.GetSession()}
	}
	claim := worker.Claim{Shard: int(p.GetShard()), Epoch: p.GetEpoch(), Session: p.GetSession(), Owner: c.Node}
	answer := a.worker.Claim(bootclock.Now(), claim)
	return wire.ClaimedToWire(&answer)
}

// useWorker makes the agent answer claims by a worker.Worker, as a real agent does.
func (a *fakeAgent) useWorker() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.worker = worker.New(worker.Bounds{Lease: time.Second, OwnerTimeout: core.OwnerTimeout, ReconnectTimeout: core.ReconnectTimeout, AdoptionTimeout: core.AdoptionTimeout, Shards: coretest.Shards})
}

// breakLink ends the link on which the next frame arrives.
func (a *fakeAgent) breakLink() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.breakNext = true
}

// linkCount returns the number of links that were established.
func (a *fakeAgent) linkCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.links
}

func (a *fakeAgent) BeforeSend(_ *peer.Caller, f *corepb.FromAgent) {
	f.Load = &corepb.Load{Service: "desk", CapacityCpu: 1000, FreeCpu: 1000, Accepts: true}
}

func (a *fakeAgent) orderCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.orders)
}

func (a *fakeAgent) stopCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.stops)
}

func (a *fakeAgent) CallerDown(*peer.Caller) {}
func (a *fakeAgent) CallerUp(*peer.Caller) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.links++
}

// notOwner is the response to requests for shards, of which the agent owns none.
var notOwner = owner.Response{Outcome: owner.NotOwner, Reason: owner.ReasonOwnerChanged}

func (a *fakeAgent) Submit(_ int, _ job.ID, _ job.Spec, _ job.Policy, reply func(owner.Response)) {
	reply(notOwner)
}
func (a *fakeAgent) Lookup(_ int, _ job.ID, reply func(owner.Response)) { reply(notOwner) }
func (a *fakeAgent) Cancel(_ int, _ job.ID, reply func(owner.Response)) {
	reply(notOwner)
}
func (a *fakeAgent) Await(int, job.ID, func(owner.Response)) {}

func (a *fakeAgent) Pending(_ string, shards []int) owner.Response {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asks++
	var v owner.Response
	if a.asks <= a.unnamed {
		v.Count = 50
		return v
	}
	for _, id := range shards {
		if n, open := a.pending[id]; open {
			v.Count += n
			v.Counted = append(v.Counted, id)
		}
	}
	return v
}

// asked returns how often the agent was asked for pending jobs.
func (a *fakeAgent) asked() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asks
}

// open opens a shard with some pending jobs.
func (a *fakeAgent) open(shard, pending int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pending == nil {
		a.pending = make(map[int]int)
	}
	a.pending[shard] = pending
}

// newTestEntry returns an entry with a link to each agent. All links are up.
func newTestEntry(t *testing.T, agents ...*fakeAgent) *Entry {
	t.Helper()
	e := New(coretest.Settings(), coretest.RejectingStore{}, store.Partition{Topic: "config"}, nil, core.DrainSource{})
	t.Cleanup(e.links.Close)
	e.links.Open()
	for _, a := range agents {
		e.links.Apply(store.Record{Key: a.addr, Value: []byte(`{"links":"` + a.addr + `"}`)})
	}
	for _, a := range agents {
		coretest.Await(t, func() bool { return e.links.Get(a.addr).Up() })
	}
	return e
}

const testJob job.ID = "00000000000000aa"

func bestEffortSpec() *job.Spec {
	return &job.Spec{BestEffort: true, Steps: []job.Step{{Count: 1, Demand: job.Demand{CPUMillis: 100}}}}
}

// The client of a best-effort job disconnects, or its time limit passes. The run must be
// stopped: no client waits for the result, and the client may resubmit the job to another
// entry, which doesn't know of this run. The outcome of the job is unknown.
func TestClientThatLeavesHasItsRunsStopped(t *testing.T) {
	is := is.New(t)
	a := startFakeAgent(t)
	e := newTestEntry(t, a)
	ctx, disconnect := context.WithCancel(context.Background())
	got := make(chan owner.Response)
	policy := &job.Policy{Service: "desk"}
	go func() {
		var v owner.Response
		for {
			v = e.Submit(ctx, testJob, bestEffortSpec(), policy)
			if v.Reason != owner.ReasonNoWorker {
				break
			}
			time.Sleep(time.Millisecond)
		}
		got <- v
	}()
	coretest.Await(t, func() bool { return a.orderCount() == 1 })
	disconnect()
	is.Equal((<-got).Outcome, owner.Unknown)
	coretest.Await(t, func() bool { return a.stopCount() == 1 })
}

// No agent has answered the entry's claim yet. Nothing was ordered, so the job certainly never
// runs and is refused.
func TestBestEffortJobIsRefusedWithoutAgents(t *testing.T) {
	is := is.New(t)
	a := startFakeAgent(t)
	a.silent = true
	e := newTestEntry(t, a)
	v := e.Submit(context.Background(), testJob, bestEffortSpec(), &job.Policy{Service: "desk"})
	is.Equal(v.Outcome, owner.Refused)
	is.Equal(a.orderCount(), 0)
}

// No owner is known for a recorded job. No request was sent, so the job certainly never runs
// and is refused.
func TestJobIsRefusedWithoutOwner(t *testing.T) {
	is := is.New(t)
	e := newTestEntry(t)
	v := e.Submit(context.Background(), testJob, &job.Spec{}, &job.Policy{})
	is.Equal(v.Outcome, owner.Refused)
}

// Guards against a refusal by an owner that another one, which may have accepted the job, has replaced.
func TestRefusalAfterALostRequestIsNoRefusal(t *testing.T) {
	is := is.New(t)
	a := startFakeAgent(t)
	e := newTestEntry(t, a)
	responses := []owner.Response{{Outcome: owner.Unknown}, {Outcome: owner.Refused, Reason: owner.ReasonOverload}}
	got := make(chan owner.Response)
	go func() {
		got <- e.callOwner(t.Context(), 1, time.Minute, func(context.Context, corepb.CoreClient) (*corepb.Verdict, error) {
			v := responses[0]
			responses = responses[1:]
			return wire.ResponseToWire(v), nil
		})
	}()
	owned := &corepb.FromAgent{OwnedValid: true, Owned: []*corepb.Ownership{{Shard: 1, Epoch: 1}}}
	var v owner.Response
	coretest.Await(t, func() bool {
		e.owners.update(a.addr, owned)
		select {
		case v = <-got:
			return true
		default:
			return false
		}
	})
	is.Equal(v.Outcome, owner.Unknown)
	is.Equal(v.Reason, owner.ReasonOwnerLost)
}

// Guards against putting an older configuration into force after a newer one. It arrives when
// the store's log is trimmed and the reader starts over.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	e := New(coretest.Settings(), coretest.RejectingStore{}, store.Partition{}, decodeVersion, core.DrainSource{})
	for _, v := range []string{"3", "5", "4"} {
		e.applyStoredConfig(store.Record{Value: []byte(v)})
	}
	is.Equal(e.Table().Version, int64(5))
}

// decodeVersion returns a configuration whose version is the digit in the record.
func decodeVersion(r store.Record) (*routing.Table, error) {
	return &routing.Table{Version: int64(r.Value[0] - '0')}, nil
}
