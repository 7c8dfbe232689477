package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// newShedFixture returns a shard with shedding on, past its start, with two agents, the second of
// which is full.
func newShedFixture(t *testing.T) *bestEffortFixture {
	e := newBestEffortFixture(t)
	e.fleet.params.Shedding = true
	e.link("b", 1)
	e.now += startPeriod
	e.setServer("b", true)
	e.setLoad(4, 0)
	return e
}

// setServer reports that the server of an agent is full, and whether it accepts work at all.
func (e *bestEffortFixture) setServer(node string, accepts bool) {
	e.fleet.Update(e.now, node, AgentLoad{
		Service: "desk", Capacity: job.Demand{CPUMillis: 16000, MemoryMB: 65536}, Accepts: accepts, Placers: 1, Turnover: 40 * time.Millisecond,
	})
	e.collect(e.AgentsUpdated(e.now))
}

// returnOrder makes the agent of an order report that its run ended.
func (e *bestEffortFixture) returnOrder(o Addressed[worker.Order], end job.EndKind, reason string) {
	e.collect(e.Event(e.now, o.Node, worker.Event{Shard: e.ID, Epoch: e.Epoch, State: worker.RunState{
		Run: o.Value.Run, Status: worker.Ended, End: end, Reason: reason,
	}}))
}

// Guards against jobs that wait in vain behind others once half of the servers are gone, and against
// giving up the ones that can still be in time.
func TestJobsThatCannotBeInTimeAreGivenUpAtOnce(t *testing.T) {
	e := newShedFixture(t)
	e.setLoad(0, 0)
	responses := make([]*Response, 0, 40)
	for i := range 40 {
		responses = append(responses, e.submitTasks(job.ID([]byte{'a' + byte(i/26), 'a' + byte(i%26)}), 1, 1500*time.Millisecond))
	}
	e.now += 10 * time.Millisecond
	e.setServer("b", false)
	refused, open := 0, 0
	for _, r := range responses {
		switch r.Outcome {
		case Refused:
			refused++
			e.is.True(r.RetryAfter > 0)
		case Unknown:
			open++
		}
	}
	e.is.True(refused > 0)
	e.is.True(open >= 16) // 16 cores start that many within the slack of 120 ms
}

// Guards against "not run" for work that may have run: an order that came back before it was started
// doesn't count, but one whose start was never answered does.
func TestOnlyWorkThatNeverRanIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		end     job.EndKind
		reason  string
		refused bool
	}{
		{job.NeverRan, worker.ReasonNoRoom, true},
		{job.NeverRan, worker.ReasonBarred, false},
		{job.Lapsed, "not_listed", false},
	} {
		e := newShedFixture(t)
		got := e.submitTasks("job", 1, 1500*time.Millisecond)
		e.is.Equal(e.orderCount("job"), 1)
		first := e.orders[len(e.orders)-1]
		e.setLoad(0, 0)
		e.setServer("b", false)
		e.returnOrder(first, c.end, c.reason)
		e.is.Equal(e.orderCount("job"), 1)
		e.now += 600 * time.Millisecond // the answer is of use until 660 ms, and the run takes 100 ms
		e.collect(e.Tick(e.now))
		e.is.Equal(got.Outcome == Refused, c.refused)
	}
}

// Guards against a count of open orders that an end reported twice brings below the truth.
func TestOrderIsClosedOnce(t *testing.T) {
	e := newShedFixture(t)
	e.submitTasks("job", 2, 1500*time.Millisecond)
	e.is.Equal(e.orderCount("job"), 2)
	first := e.orders[len(e.orders)-1]
	e.setLoad(0, 0)
	for range 3 {
		e.returnOrder(first, job.NeverRan, worker.ReasonNoRoom)
	}
	e.is.Equal(e.jobs["job"].ordersOpen, 1)
	e.link(first.Node, 2, worker.RunState{Run: first.Value.Run, Status: worker.Ended, End: job.NeverRan, Reason: worker.ReasonNoRoom})
	e.is.Equal(e.jobs["job"].ordersOpen-e.orderCount("job")+2, 1) // new orders are open beside it
}

// Guards against a client that comes back when it was told to and is refused behind new ones.
func TestReturningClientGoesFirst(t *testing.T) {
	e := newShedFixture(t)
	e.setLoad(0, 0)
	e.setServer("b", false)
	e.setLoad(0, 3200*time.Millisecond)
	got := e.submitTasks("back", 1, 1500*time.Millisecond)
	e.is.Equal(got.Outcome, Refused)
	e.now += got.RetryAfter
	e.setLoad(0, time.Second) // 62 ms, and 40 until a core is free: within the slack, beyond the limit for new jobs
	e.is.Equal(e.submitTasks("new", 1, 1500*time.Millisecond).Outcome, Refused)
	e.is.Equal(e.submitTasks("back", 1, 1500*time.Millisecond).Outcome, Unknown)
}

// Guards against shedding of recorded jobs, which are carried out however late they are.
func TestRecordedJobsAreNotShed(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.fleet.params.Shedding = true
	f.now += startPeriod
	f.collect(f.Tick(f.now))
	f.fleet.Update(f.now, "a", AgentLoad{Service: "desk", Capacity: job.Demand{CPUMillis: 16000, MemoryMB: 65536}, Accepts: true, Turnover: 30 * time.Millisecond})
	f.fleet.Update(f.now, "b", AgentLoad{Service: "desk", Capacity: job.Demand{CPUMillis: 16000, MemoryMB: 65536}, Accepts: true, Turnover: 30 * time.Millisecond})
	spec := job.Spec{Steps: []job.Step{{Count: 4, Demand: job.Demand{CPUMillis: 1000}, Estimate: 100 * time.Millisecond}}}
	var accepted []job.ID
	for i := range 20 {
		id := job.ID([]byte{'a' + byte(i)})
		f.submit(id, spec)
		f.write()
		if f.jobs[id] != nil {
			accepted = append(accepted, id)
		}
	}
	f.is.True(len(accepted) > 2)
	f.is.True(f.HasWaitingTasks())
	f.fleet.LinkLost("b")
	f.fleet.Update(f.now, "a", AgentLoad{Service: "desk", Capacity: job.Demand{CPUMillis: 500, MemoryMB: 65536}, Accepts: true, Turnover: time.Second})
	for range 40 {
		f.now += 10 * time.Millisecond
		f.collect(f.Tick(f.now))
	}
	f.is.True(f.capacityShortLocked(f.now, "desk"))
	for _, id := range accepted {
		f.is.True(f.jobs[id] != nil)
	}
}

// Guards against an owner that has just started, knows the first of its agents only, and gives up
// what it accepted a moment ago.
func TestOwnerThatStartsGivesNothingUp(t *testing.T) {
	e := newBestEffortFixture(t)
	e.fleet.params.Shedding = true
	e.now = e.openedAt + startPeriod/2
	e.setLoad(0, 0)
	responses := make([]*Response, 0, 10)
	for i := range 10 {
		responses = append(responses, e.submitTasks(job.ID([]byte{'a' + byte(i)}), 1, 1500*time.Millisecond))
	}
	accepted := 0
	for _, r := range responses {
		if r.Outcome == Unknown {
			accepted++
		}
	}
	e.is.True(accepted > 2)
	e.fleet.LinkLost("a")
	e.now += 10 * time.Millisecond
	e.collect(e.Tick(e.now))
	for _, r := range responses {
		if r.Outcome == Unknown {
			accepted--
		}
	}
	e.is.Equal(accepted, 0)
}

// Guards against giving up or postponing work that the fastest server still serves in time.
func TestFastServerCountsBeforeWorkIsShed(t *testing.T) {
	is := is.New(t)
	f := newSpeedFleet(1, 1, 2)
	f.params.Shedding = true
	f.now += startPeriod
	full := func(agent int, speed float64, accepts bool) {
		l := speedLoad(speed, 0)
		l.Accepts, l.Turnover = accepts, 40*time.Millisecond
		f.report(agent, l)
	}
	full(0, 1, true)
	full(1, 1, true)
	full(2, 2, true)
	f.s.AgentsUpdated(f.now)
	_, responses := f.submit("job", 1, 100*time.Millisecond)
	is.True(f.s.HasWaitingTasks())
	f.now += 140 * time.Millisecond // it is due after 220 ms, and takes 50 ms on the fastest server
	full(0, 1, false)
	f.s.AgentsUpdated(f.now)
	f.s.Tick(f.now)
	is.True(f.s.capacityShortLocked(f.now, "desk"))
	is.Equal(len(*responses), 0)
	is.True(!f.s.jobs["job"].postponed)
	f.now += 35 * time.Millisecond
	f.s.Tick(f.now)
	is.True(f.s.jobs["job"].postponed)
}

// Guards against a run number that is used twice: a late report of the run that never ran would end
// the new one at the owner while a server carries it out.
func TestRunNumbersGoOnAfterAJobIsGivenUp(t *testing.T) {
	e := newShedFixture(t)
	got := e.submitTasks("job", 1, 1500*time.Millisecond)
	first := e.orders[len(e.orders)-1]
	e.setLoad(0, 0)
	e.setServer("b", false)
	e.returnOrder(first, job.NeverRan, worker.ReasonNoRoom)
	e.now += 600 * time.Millisecond
	e.collect(e.Tick(e.now))
	e.is.Equal(got.Outcome, Refused)
	e.setLoad(4, 0)
	e.submitTasks("job", 1, 1500*time.Millisecond)
	e.is.Equal(e.orderCount("job"), 2)
	e.is.True(e.orders[len(e.orders)-1].Value.Run.Number > first.Value.Run.Number)
	e.returnOrder(first, job.NeverRan, worker.ReasonNoRoom)
	e.is.Equal(e.jobs["job"].ordersOpen, 1)
}

// Guards against a frame that costs a walk over all waiting jobs, for as long as the first one can
// neither be in time nor be postponed.
func TestJobThatCannotBePostponedIsDecidedOnOnce(t *testing.T) {
	e := newShedFixture(t)
	e.setLoad(1, 0)
	e.submitTasks("job", 2, 1500*time.Millisecond)
	e.setLoad(0, 0)
	e.is.True(e.orderCount("job") == 1 && e.HasWaitingTasks())
	e.now += 550 * time.Millisecond // the answer is of use until 660 ms, and the run takes 100 ms
	e.setServer("b", false)
	frame := func() int64 {
		before := e.fleet.AgentsExamined()
		e.collect(e.AgentsUpdated(e.now))
		return e.fleet.AgentsExamined() - before
	}
	frame()
	e.is.Equal(frame(), int64(2)) // the pass that places waiting tasks
}

// Guards against the loss of one service's servers that sheds work of another, and against one that
// isn't seen because other services have many more.
func TestCapacityIsShortForItsServiceOnly(t *testing.T) {
	e := newShedFixture(t)
	set := func(node, service string, cores int64, accepts bool) {
		e.fleet.Update(e.now, node, AgentLoad{Service: service, Capacity: job.Demand{CPUMillis: cores * 1000, MemoryMB: 65536}, Accepts: accepts, Placers: 1})
	}
	report := func(node, service string, cores int64, accepts bool) {
		set(node, service, cores, accepts)
		e.collect(e.AgentsUpdated(e.now))
	}
	for _, node := range []string{"c", "d", "e", "f"} {
		e.link(node, 1) // as an agent of "desk"
	}
	set("c", "large", 600, true)
	set("d", "large", 600, true)
	set("e", "small", 4, true)
	report("f", "small", 4, true)
	report("f", "small", 4, false)
	e.is.True(e.capacityShortLocked(e.now, "small"))
	e.is.True(!e.capacityShortLocked(e.now, "large"))
	report("d", "large", 600, false)
	e.is.True(e.capacityShortLocked(e.now, "large"))
	e.is.True(!e.capacityShortLocked(e.now, "desk"))
	e.now += 2 * time.Minute
	e.fleet.LinkLost("e")
	e.collect(e.Tick(e.now))
	e.now += 2 * time.Minute
	e.collect(e.Tick(e.now))
	e.is.True(e.shed.capacity["small"] == nil) // services that are gone aren't remembered
}
