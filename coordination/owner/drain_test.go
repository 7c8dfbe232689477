package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// inDomain tells the load of an agent in a failure domain.
func (f *fixture) inDomain(node, domain string) {
	demand := job.Demand{CPUMillis: 16000, MemoryMB: 65536}
	f.fleet.Update(f.now, node, AgentLoad{Service: "desk", Domain: domain, Capacity: demand, Free: demand, Accepts: true})
}

func drained(position int64, domains ...string) drains.State {
	return drains.State{Position: position, Domains: domains}
}

// Guards against work that is placed in a domain before its agents say that it is drained,
// and against one that stays unused after.
func TestNothingIsPlacedInADrainedDomain(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.inDomain("a", "jeonju")
	f.inDomain("b", "iksan")
	f.fleet.SetDrained(drained(1, "iksan"))
	f.submit(testID, steps(6))
	f.write()
	f.is.Equal(len(f.orders), 6)
	for _, o := range f.orders {
		f.is.Equal(o.Node, "a")
	}
	f.inDomain("b", "iksan") // news from before it has heard
	f.submit("00000000000000ab", steps(3))
	f.write()
	for _, o := range f.orders {
		f.is.Equal(o.Node, "a")
	}
	f.fleet.SetDrained(drained(2))
	f.submit("00000000000000ac", steps(4))
	f.write()
	f.is.True(slices.ContainsFunc(f.orders, func(o Addressed[worker.Order]) bool { return o.Node == "b" }))
}

// Guards against a task that is lost, or counted as a failed attempt, when its order comes
// back from a domain that was drained while it was on its way.
func TestOrderThatADrainReturnsGoesElsewhere(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.inDomain("a", "jeonju")
	f.inDomain("b", "iksan")
	f.submit(testID, steps(1))
	f.write()
	first := f.orders[0]
	f.fleet.SetDrained(drained(1, map[string]string{"a": "jeonju", "b": "iksan"}[first.Node]))
	f.take(f.Event(f.now, first.Node, worker.Event{Shard: f.ID, Epoch: f.Epoch, State: worker.RunState{
		Run: first.Value.Run, Status: worker.Ended, End: job.NeverRan, Reason: worker.ReasonDomainDrained,
	}}))
	f.is.Equal(len(f.orders), 2)
	f.is.True(f.orders[1].Node != first.Node)
}

// Guards against a recorded job that is given up because all its domains are drained: it
// waits its time, and runs when one is back.
func TestRecordedJobWaitsOutADrain(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.inDomain("a", "jeonju")
	f.submit(testID, steps(1, 1))
	f.write()
	f.fleet.SetDrained(drained(1, "jeonju"))
	f.event(f.orders[0], worker.Ended, job.Done)
	f.write()
	f.now += 20 * time.Second
	f.take(f.Tick(f.now))
	f.is.Equal(len(f.orders), 1)
	f.fleet.SetDrained(drained(2))
	f.inDomain("a", "jeonju")
	f.take(f.Tick(f.now))
	f.is.Equal(len(f.orders), 2)
}

// Guards against a refusal that blames the servers, or a wait, where the drain is the cause.
func TestRefusalNamesTheDrain(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.inDomain("a", "jeonju")
	f.inDomain("b", "iksan")
	f.fleet.SetDrained(drained(1, "iksan", "jeonju"))
	got := f.submit(testID, steps(1))
	f.is.Equal((*got)[0].Outcome, Refused)
	f.is.Equal((*got)[0].Reason, ReasonDomainDrained)
	f.fleet.SetDrained(drained(2))
	spec := steps(1)
	spec.Steps[0].Label = "none has it"
	got = f.submit(testID, spec)
	f.is.Equal((*got)[0].Reason, ReasonNoWorker)
}
