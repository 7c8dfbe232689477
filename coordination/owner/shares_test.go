package owner

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/shares"
	"github.com/shallotstep/shallotstep/state/job"
)

// newContendedFixture returns a shard with one agent, where just a few cores are free, and whose
// queue "quotes" asks for more than the capacity, as do others together with it.
func newContendedFixture(t *testing.T) *bestEffortFixture {
	p := DefaultParams()
	p.Shares = &shares.Params{Floor: 0.5, Domain: "north"}
	f := &fixture{is: is.New(t), fleet: NewFleet(1, p, 1), now: time.Hour}
	f.Shard = NewPrivate(f.now, 99, testBounds, f.fleet)
	f.link("a", 1)
	e := &bestEffortFixture{fixture: f, responses: make(map[job.ID]*Response)}
	e.fleet.Shares().Update(e.now, "a", []shares.Demand{{Queue: "trades", Queues: 1, Asked: 14}})
	for i := range 150 {
		e.now += 5 * time.Millisecond
		e.setLoad(3, 0)
		e.submitTasks(job.ID(fmt.Sprint("before", i)), 1, 2*time.Second)
	}
	return e
}

// A queue that is over its share must be refused at once and be told when to come back, even if its
// job would still be in time: otherwise its work fills the servers before the prediction refuses it.
func TestJobOverItsShareIsRefusedAtOnce(t *testing.T) {
	e := newContendedFixture(t)
	refused := 0
	for _, v := range e.responses {
		if v.Outcome == Refused {
			refused++
			e.is.Equal(v.Reason, ReasonOverShare)
			e.is.True(v.RetryAfter > 0)
		}
	}
	e.is.True(refused > 0)
	stats := e.fleet.Shares().Stats()
	e.is.Equal(stats[0], shares.QueueStats{Queue: "quotes", Asked: 150, Granted: int64(150 - refused), Refused: int64(refused)})
}

// A link that is lost takes its agent's capacity and what was heard there along. News that stayed
// would count against the capacity of the other agents.
func TestLostLinkTakesItsDemandAlong(t *testing.T) {
	e := newContendedFixture(t)
	e.fleet.LinkLost("a")
	e.fleet.Linked("a")
	e.setLoad(16, 0)
	e.now += 100 * time.Millisecond
	e.is.True(e.submitTasks("after", 1, 2*time.Second).Reason != ReasonOverShare)
}

// A link is lost while a job asks for capacity: both need the lock of the fleet and that of the
// shares. Taken in opposite orders, they would block the process for good.
func TestLostLinkWhileAJobAsks(t *testing.T) {
	e := newContendedFixture(t)
	e.now += time.Second
	e.setLoad(3, 0)
	lost := make(chan struct{})
	ask := func(service string) []shares.Agent {
		agents := e.fleet.serviceCapacity(service)
		go func() {
			e.fleet.LinkLost("a")
			close(lost)
		}()
		for len(e.fleet.serviceCapacity(service)) > 0 {
			runtime.Gosched()
		}
		return agents
	}
	go e.fleet.Shares().Ask(e.now, shares.Job{Service: "desk", Queue: "quotes", Work: time.Second}, ask)
	select {
	case <-lost:
	case <-time.After(10 * time.Second):
		t.Fatal("deadlock")
	}
}

// Cores of slow servers do less of the estimated work: counted in full, they would be given away
// twice, and those of fast servers would stay idle.
func TestSharesCountCoresByTheirSpeed(t *testing.T) {
	e := newContendedFixture(t)
	e.fleet.agents["a"].speed = 0.5
	agents := e.fleet.serviceCapacity("desk")
	e.is.Equal(len(agents), 1)
	e.is.Equal(agents[0].Cores, 8.0)
	e.is.Equal(agents[0].Free, 1.5)
}
