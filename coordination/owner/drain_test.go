package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/coordination/drains"
	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// setDomain reports the load of an idle agent in a failure domain.
func (f *fixture) setDomain(node, domain string) {
	demand := job.Demand{CPUMillis: 16000, MemoryMB: 65536}
	f.fleet.Update(f.now, node, AgentLoad{Service: "desk", Domain: domain, Capacity: demand, Free: demand, Accepts: true})
}

func drainedState(position int64, domains ...string) drains.State {
	return drains.State{Position: position, Domains: domains}
}

// Work must not be placed in a drained domain, even before its agents report the drain. The
// domain must be used again once the drain has ended.
func TestNothingIsPlacedInADrainedDomain(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.setDomain("a", "jeonju")
	f.setDomain("b", "iksan")
	f.fleet.SetDrained(drainedState(1, "iksan"))
	f.submit(testID, steps(6))
	f.write()
	f.is.Equal(len(f.orders), 6)
	for _, o := range f.orders {
		f.is.Equal(o.Node, "a")
	}
	f.setDomain("b", "iksan") // a report from before the agent knows of the drain
	f.submit("00000000000000ab", steps(3))
	f.write()
	for _, o := range f.orders {
		f.is.Equal(o.Node, "a")
	}
	f.fleet.SetDrained(drainedState(2))
	f.submit("00000000000000ac", steps(4))
	f.write()
	f.is.True(slices.ContainsFunc(f.orders, func(o Addressed[worker.Order]) bool { return o.Node == "b" }))
}

// A failure domain is drained while an order is on its way there, and the order is returned.
// Its task must be neither lost nor counted as a failed attempt.
func TestOrderThatADrainReturnsGoesElsewhere(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.setDomain("a", "jeonju")
	f.setDomain("b", "iksan")
	f.submit(testID, steps(1))
	f.write()
	first := f.orders[0]
	f.fleet.SetDrained(drainedState(1, map[string]string{"a": "jeonju", "b": "iksan"}[first.Node]))
	f.collect(f.Event(f.now, first.Node, worker.Event{Shard: f.ID, Epoch: f.Epoch, State: worker.RunState{
		Run: first.Value.Run, Status: worker.Ended, End: job.NeverRan, Reason: worker.ReasonDomainDrained,
	}}))
	f.is.Equal(len(f.orders), 2)
	f.is.True(f.orders[1].Node != first.Node)
}

// A recorded job must not be given up because all its domains are drained. It waits and runs
// when one of them is available again.
func TestRecordedJobWaitsOutADrain(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.setDomain("a", "jeonju")
	f.submit(testID, steps(1, 1))
	f.write()
	f.fleet.SetDrained(drainedState(1, "jeonju"))
	f.event(f.orders[0], worker.Ended, job.Done)
	f.write()
	f.now += 20 * time.Second
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.orders), 1)
	f.fleet.SetDrained(drainedState(2))
	f.setDomain("a", "jeonju")
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.orders), 2)
}

// When a drain is the reason for a refusal, the refusal must say so instead of reporting
// missing workers or a wait.
func TestRefusalNamesTheDrain(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.setDomain("a", "jeonju")
	f.setDomain("b", "iksan")
	f.fleet.SetDrained(drainedState(1, "iksan", "jeonju"))
	got := f.submit(testID, steps(1))
	f.is.Equal((*got)[0].Outcome, Refused)
	f.is.Equal((*got)[0].Reason, ReasonDomainDrained)
	f.fleet.SetDrained(drainedState(2))
	spec := steps(1)
	spec.Steps[0].Label = "none has it"
	got = f.submit(testID, spec)
	f.is.Equal((*got)[0].Reason, ReasonNoWorker)
}
