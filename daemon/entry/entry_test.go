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

// fakeAgent takes links, and notes what it is told.
type fakeAgent struct {
	server *peer.Server
	addr   string
	// silent agents answer no claim.
	silent bool

	mu     sync.Mutex
	orders []*corepb.Order // guarded by mu
	stops  []*corepb.Stop  // guarded by mu
	// books answer claims as an agent does; nil: each claim is granted. Guarded by mu.
	books *worker.Worker
	// links counts the links that were made, and broken is set to end the next one on
	// which a frame comes. Guarded by mu.
	links  int
	broken bool
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
	broken := a.broken
	a.broken = false
	a.mu.Unlock()
	if broken {
		return errors.New("broken")
	}
	c.Send(func(out *corepb.FromAgent) {
		for _, p := range f.GetClaims() {
			if !a.silent {
				out.Claimed = append(out.Claimed, a.answer(c, p))
			}
		}
	})
	return nil
}

// answer is that to a claim.
func (a *fakeAgent) answer(c *peer.Caller, p *corepb.Claim) *corepb.Claimed {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.books == nil {
		return &corepb.Claimed{Shard: p.GetShard(), Epoch: p.GetEpoch(), Session: p.GetSession()}
	}
	claim := worker.Claim{Shard: int(p.GetShard()), Epoch: p.GetEpoch(), Session: p.GetSession(), Owner: c.Node}
	answer := a.books.Claim(bootclock.Now(), claim)
	return wire.ClaimedToWire(&answer)
}

// keepBooks has claims answered as an agent does.
func (a *fakeAgent) keepBooks() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.books = worker.New(worker.Bounds{Lease: time.Second, OwnerTimeout: core.OwnerSilenceTimeout, ReconnectTimeout: core.RelinkTimeout, AdoptionTimeout: core.AdoptionTimeout, Shards: coretest.Shards})
}

// breakLink ends the link on which the next frame comes.
func (a *fakeAgent) breakLink() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.broken = true
}

// linked counts the links that were made.
func (a *fakeAgent) linked() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.links
}

func (a *fakeAgent) BeforeSend(_ *peer.Caller, f *corepb.FromAgent) {
	f.Load = &corepb.Load{Service: "desk", CapacityCpu: 1000, FreeCpu: 1000, Accepts: true}
}

func (a *fakeAgent) ordered() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.orders)
}

func (a *fakeAgent) stopped() int {
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

// notOwner answers questions about shards.
var notOwner = owner.Response{Outcome: owner.NotOwner, Reason: owner.ReasonOwnerChanged}

func (a *fakeAgent) Submit(_ int, _ job.ID, _ job.Spec, _ job.Policy, reply func(owner.Response)) {
	reply(notOwner)
}
func (a *fakeAgent) Lookup(int, job.ID) owner.Response { return notOwner }
func (a *fakeAgent) Cancel(_ int, _ job.ID, reply func(owner.Response)) {
	reply(notOwner)
}
func (a *fakeAgent) Await(int, job.ID, func(owner.Response)) {}

func (a *fakeAgent) Pending(string) owner.Response { return owner.Response{} }

// newTestEntry returns an entry with a link to each agent, all up.
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

func effortSpec() *job.Spec {
	return &job.Spec{BestEffort: true, Steps: []job.Step{{Count: 1, Demand: job.Demand{CPUMillis: 100}}}}
}

// The client of a best-effort job leaves, or its time limit passes. Its run is
// stopped, since nobody waits for the result, and since the client may send the
// job again to another entry, which knows nothing of this run. The answer leaves
// the fate open.
func TestClientThatLeavesHasItsRunsStopped(t *testing.T) {
	is := is.New(t)
	a := startFakeAgent(t)
	e := newTestEntry(t, a)
	ctx, leave := context.WithCancel(context.Background())
	got := make(chan owner.Response)
	policy := &job.Policy{Service: "desk"}
	go func() {
		var v owner.Response
		for {
			v = e.Submit(ctx, testJob, effortSpec(), policy)
			if v.Reason != owner.ReasonNoWorker {
				break
			}
			time.Sleep(time.Millisecond)
		}
		got <- v
	}()
	coretest.Await(t, func() bool { return a.ordered() == 1 })
	leave()
	is.Equal((<-got).Outcome, owner.Unknown)
	coretest.Await(t, func() bool { return a.stopped() == 1 })
}

// No agent has answered the entry's claim yet. Nothing was ordered, so the
// refusal is true.
func TestNoAgentRefusesABestEffortJob(t *testing.T) {
	is := is.New(t)
	a := startFakeAgent(t)
	a.silent = true
	e := newTestEntry(t, a)
	v := e.Submit(context.Background(), testJob, effortSpec(), &job.Policy{Service: "desk"})
	is.Equal(v.Outcome, owner.Refused)
	is.Equal(a.ordered(), 0)
}

// No owner is known for a recorded job: nothing was sent, so it never runs.
func TestNoOwnerRefusesTheJob(t *testing.T) {
	is := is.New(t)
	e := newTestEntry(t)
	v := e.Submit(context.Background(), testJob, &job.Spec{}, &job.Policy{})
	is.Equal(v.Outcome, owner.Refused)
}

// An older configuration comes after a newer one, from a store whose history
// was dropped and read anew: it must not come into force again.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	e := New(coretest.Settings(), coretest.RejectingStore{}, store.Partition{}, decodeVersion, core.DrainSource{})
	for _, v := range []string{"3", "5", "4"} {
		e.applyConfig(store.Record{Value: []byte(v)})
	}
	is.Equal(e.Table().Version, int64(5))
}

// decodeVersion reads a version from one digit.
func decodeVersion(r store.Record) (*routing.Table, error) {
	return &routing.Table{Version: int64(r.Value[0] - '0')}, nil
}
