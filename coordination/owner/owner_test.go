package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

var testBounds = Bounds{
	LostLinkTimeout: 3 * time.Second, TakeoverTimeout: 9 * time.Second, Retention: time.Minute,
	MaxWriteDelay: 700 * time.Millisecond,
}

const testID job.ID = "00000000000000aa"

// fixture is a shard with links to agents that answer its claims. It collects the shard's
// effects.
type fixture struct {
	*Shard
	is      *is.I
	fleet   *Fleet
	now     time.Duration
	orders  []Addressed[worker.Order]
	stops   []Addressed[job.RunID]
	settled []Addressed[Settlement]
}

func newFixture(t *testing.T, records []*job.Record, mayRun []string, agents ...string) *fixture {
	t.Helper()
	f := &fixture{is: is.New(t), fleet: NewFleet(1.5, DefaultParams(), 1), now: time.Hour}
	f.Shard = New(f.now, 1, 3, testBounds, f.fleet, records, mayRun, nil)
	for _, node := range agents {
		f.link(node, 1)
	}
	f.write()
	return f
}

// link connects an agent and answers the claim with the given runs.
func (f *fixture) link(node string, session int64, runs ...worker.RunState) {
	f.fleet.Linked(node)
	f.fleet.Update(f.now, node, AgentLoad{
		Service: "desk", Capacity: job.Demand{CPUMillis: 16000, MemoryMB: 65536},
		Free: job.Demand{CPUMillis: 16000, MemoryMB: 65536}, Accepts: true,
	})
	claim, _, fx := f.Linked(f.now, node, session)
	f.collect(fx)
	f.collect(f.Claimed(f.now, node, worker.Claimed{Claim: claim, Runs: runs}))
}

// collect records effects of the shard and delivers its replies.
func (f *fixture) collect(fx Effects) {
	f.orders = append(f.orders, fx.Orders...)
	f.stops = append(f.stops, fx.Stops...)
	f.settled = append(f.settled, fx.Settled...)
	for _, r := range fx.Replies {
		r.To(r.Response)
	}
}

// write writes the pending records to the store and returns them.
func (f *fixture) write() Batch {
	b := f.NextBatch(f.now)
	f.collect(f.Written(f.now, b))
	return b
}

func (f *fixture) submit(id job.ID, spec job.Spec) *[]Response {
	got := &[]Response{}
	p := job.Policy{Queue: "quotes", Service: "desk", MaxAttempts: 2, Slack: 1.6, Target: 60 * time.Millisecond}
	f.collect(f.Submit(f.now, id, spec, p, func(v Response) { *got = append(*got, v) }))
	return got
}

func (f *fixture) cancel(id job.ID) *[]Response {
	got := &[]Response{}
	f.collect(f.Cancel(f.now, id, func(v Response) { *got = append(*got, v) }))
	return got
}

func (f *fixture) event(o Addressed[worker.Order], status worker.Status, end job.EndKind) {
	f.collect(f.Event(f.now, o.Node, worker.Event{
		Shard: f.ID, Epoch: f.Epoch, State: worker.RunState{Run: o.Value.Run, Status: status, End: end},
	}))
}

func steps(counts ...int) job.Spec {
	s := job.Spec{Payload: "p"}
	for i, n := range counts {
		st := job.Step{Count: n, Demand: job.Demand{CPUMillis: 1600, MemoryMB: 64}, Estimate: 200 * time.Millisecond}
		if i > 0 {
			st.DependsOn = []int{i - 1}
		}
		s.Steps = append(s.Steps, st)
	}
	return s
}

// All hosts lose power right after a job was accepted. Acceptance promises the client that the
// job is stored, so the record must be written before the answer, and no task may start before
// the answer.
func TestAcceptedMeansRecorded(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	got := f.submit(testID, steps(1))
	f.is.Equal(len(*got), 0)
	f.is.Equal(len(f.orders), 0)
	f.is.Equal(f.KnownState(testID).Outcome, Absent)
	b := f.write()
	f.is.Equal(b.Writes[0].ID, testID)
	f.is.Equal((*got)[0].Outcome, OK)
	f.is.Equal(len(f.orders), 1)
}

// A job waits for its record while an agent reconnects, which places all tasks that have no
// run. A task that started then would run for a job that may still be refused.
func TestNothingStartsBeforeItsJobIsRecorded(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(1))
	f.LinkLost(f.now, "a", 1)
	f.link("a", 2)
	f.is.Equal(len(f.orders), 0)
	f.write()
	f.is.Equal(len(f.orders), 1)
}

// The store rejects writes. The client is told at once that the job does not run, and the job
// must not run later either, when the store accepts writes again.
func TestRejectedRecordRefusesTheJobForGood(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	got := f.submit(testID, steps(1))
	f.collect(f.Rejected(f.now, f.NextBatch(f.now), "busy"))
	f.is.Equal((*got)[0].Outcome, Refused)
	next := f.submit("00000000000000bb", steps(1))
	f.is.Equal((*next)[0].Reason, ReasonStoreUnavailable) // refused at once while the store rejects
	f.write()
	f.is.Equal(len(f.orders), 0)
	f.is.Equal(f.KnownState(testID).Outcome, Absent)
}

// A client submits the same job again after it was accepted. The tasks must start only once.
func TestSameIDIsOneJob(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	first := f.submit(testID, steps(2))
	second := f.submit(testID, steps(2))
	f.write()
	third := f.submit(testID, steps(2))
	f.is.Equal(len(*third), 0)
	f.write()
	f.is.Equal(len(*first), 1)
	f.is.Equal(len(*second), 1)
	f.is.Equal((*third)[0].Outcome, OK)
	f.is.Equal(len(f.orders), 2)
}

// The last task has ended, and the owner is lost before it has recorded that. Until the record
// is written, the end is not settled with the agent and the job is not reported as completed.
func TestEndCountsOnceItIsRecorded(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(1))
	f.write()
	f.event(f.orders[0], worker.Running, 0)
	f.is.Equal(f.KnownState(testID).State, job.Active)
	f.event(f.orders[0], worker.Ended, job.Done)
	f.is.Equal(len(f.settled), 0)
	f.is.Equal(f.KnownState(testID).State, job.Active)
	f.write()
	f.is.Equal(len(f.settled), 1)
	f.is.Equal(f.KnownState(testID).State, job.Completed)
}

func TestStepWaitsForTheStepsItDependsOn(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(2, 1))
	f.write()
	f.is.Equal(len(f.orders), 2)
	f.event(f.orders[0], worker.Ended, job.Done)
	f.is.Equal(len(f.orders), 2)
	f.event(f.orders[1], worker.Ended, job.Done)
	f.is.Equal(f.orders[2].Value.Run.Task.Step, 1)
}

func TestJobFailsAfterItsLastAttempt(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	f.event(f.orders[0], worker.Ended, job.FailedRun)
	f.is.Equal(len(f.orders), 2)
	f.is.True(f.orders[1].Node != f.orders[0].Node) // another agent is preferred
	f.is.True(f.orders[1].Value.Run.Number > f.orders[0].Value.Run.Number)
	f.event(f.orders[1], worker.Ended, job.FailedRun)
	f.is.Equal(len(f.orders), 2)
	f.write()
	f.is.Equal(f.KnownState(testID).State, job.Failed)
	f.is.Equal(len(f.settled), 2)
}

// Runs that never started or lost their lease do not count as attempts of the task.
func TestOnlyFailedRunsAreAttempts(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	for i := range 5 {
		f.event(f.orders[i], worker.Ended, job.Lapsed)
	}
	f.is.Equal(len(f.orders), 6)
}

func TestCancelIsAnsweredOnceRecorded(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(1))
	f.write()
	got := f.cancel(testID)
	f.is.Equal(len(*got), 0)
	f.is.Equal(len(f.stops), 1) // the run is stopped at once
	f.write()
	f.is.Equal((*got)[0].State, job.Cancelled)
	f.event(f.orders[0], worker.Ended, job.Stopped)
	f.is.Equal(len(f.orders), 1)
}

// The owner is lost while a task runs. Its successor finds the run at the agent and adopts it:
// a second run beside it would run the task twice.
func TestTakeoverAdoptsTheRun(t *testing.T) {
	rec := job.NewRecord(testID, steps(1), job.Policy{Queue: "quotes", Service: "desk", MaxAttempts: 2, Slack: 1.6}, 2)
	f := newFixture(t, []*job.Record{rec}, []string{"a", "b"})
	f.link("a", 1)
	f.is.Equal(len(f.orders), 0) // the run may be at b
	run := job.RunID{Task: job.TaskID{Job: testID}, Number: 1}
	f.link("b", 1, worker.RunState{Run: run, Status: worker.Running})
	f.is.Equal(len(f.orders), 1) // the order is repeated, and no new run is started
	f.is.Equal(f.orders[0].Value.Run, run)
	f.event(f.orders[0], worker.Ended, job.Done)
	f.write()
	f.is.Equal(f.KnownState(testID).State, job.Completed)
}

// The owner and an agent are lost together. The agent may only be cut off and still run tasks
// for the old owner, so its tasks wait until those runs are over for certain. Their new runs
// have higher numbers than any that the old owner assigned.
func TestTakeoverWaitsForAnAgentItCannotReach(t *testing.T) {
	rec := job.NewRecord(testID, steps(1), job.Policy{Queue: "quotes", Service: "desk", MaxAttempts: 2, Slack: 1.6}, 2)
	f := newFixture(t, []*job.Record{rec}, []string{"a", "gone"})
	f.link("a", 1)
	f.write()
	f.now += testBounds.TakeoverTimeout - time.Millisecond
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.orders), 0)
	f.now += time.Millisecond
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.orders), 0)                // the record of the restart is written first
	f.is.Equal(f.write().Agents, []string{"a"}) // the next owner does not have to wait for the lost agent
	f.is.Equal(len(f.orders), 1)
	f.is.True(f.orders[0].Value.Run.Number > runsPerEpoch)
}

// An agent's link is lost while a run is active there, and stays lost. The task starts
// elsewhere only after Bounds.LostLinkTimeout, when the run has stopped for certain. If the agent
// reconnects later and reports the end of the first run, that end must never be acknowledged.
func TestLostLinkIsWaitedOut(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	first := f.orders[0]
	f.LinkLost(f.now, first.Node, 1)
	f.fleet.LinkLost(first.Node)
	f.now += testBounds.LostLinkTimeout - time.Millisecond
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.orders), 1)
	f.now += time.Millisecond
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.orders), 1) // the record of the restart is written first
	f.write()
	f.is.Equal(len(f.orders), 2)
	f.is.True(f.orders[1].Node != first.Node)
	f.link(first.Node, 2, worker.RunState{Run: first.Value.Run, Status: worker.Ended, End: job.Done})
	f.is.True(f.settled[0].Value.Void)
	f.event(f.orders[1], worker.Ended, job.Done)
	f.write()
	f.is.Equal(f.KnownState(testID).State, job.Completed)
}

// An agent reconnects and does not know an order: it was lost on the way. The task is ordered
// again.
func TestOrderLostWithItsLinkIsRepeated(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(1))
	f.write()
	f.LinkLost(f.now, "a", 1)
	f.link("a", 2)
	f.is.Equal(len(f.orders), 2)
	f.is.True(f.orders[1].Value.Run.Number > f.orders[0].Value.Run.Number)
}

// Orders go only to agents that are recorded in the store. The next owner would not ask other
// agents for runs and would start their tasks a second time.
func TestNoOrderBeforeTheAgentIsRecorded(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.submit(testID, steps(1))
	f.link("a", 1)
	b := f.NextBatch(f.now)
	f.is.Equal(b.Agents, []string{"a"})
	early := f.submit("00000000000000cc", steps(1))
	f.is.Equal((*early)[0].Reason, ReasonNoWorker) // it answered the claim but is not recorded yet
	f.is.Equal(len(f.orders), 0)
	f.collect(f.Written(f.now, b))
	f.is.Equal(len(f.orders), 0) // the job was refused because no agent was available
	f.submit("00000000000000bb", steps(1))
	f.write()
	f.is.Equal(len(f.orders), 1)
}

// Another owner has taken over. Waiting callers are told that the outcome is unknown; a retry
// gets the answer from the new owner.
func TestFencedOwnerAnswersUnknown(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	got := f.submit(testID, steps(1))
	f.collect(f.Close())
	f.is.Equal((*got)[0].Outcome, Unknown)
	f.is.Equal(f.KnownState(testID).Outcome, NotOwner)
}

// The client of a best-effort job disconnects, and the runs of the job are stopped. When the
// job is submitted again, a task starts only after its stopped run has ended.
func TestAbandonedJobStartsAgainAfterItsRunsHaveEnded(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.Shard = NewPrivate(f.now, 20, testBounds, f.fleet)
	f.link("a", 1)
	spec := steps(1)
	spec.BestEffort = true
	f.submit(testID, spec)
	f.is.Equal(len(f.orders), 1) // nothing is recorded
	f.collect(f.Abandon(f.now, testID))
	f.is.Equal(len(f.stops), 1)
	got := f.submit(testID, spec)
	f.is.Equal(len(f.orders), 1)
	f.event(f.orders[0], worker.Ended, job.Stopped)
	f.is.Equal(len(f.orders), 2)
	f.event(f.orders[1], worker.Ended, job.Done)
	f.is.Equal((*got)[0].State, job.Completed)
}

// The agent that runs a best-effort job is lost for good, and no other agent is linked. Tasks
// may have run, so the job must not be refused: a refusal promises that it never runs.
func TestLostAgentDoesNotCauseARefusal(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.Shard = NewPrivate(f.now, 20, testBounds, f.fleet)
	f.link("a", 1)
	spec := steps(1)
	spec.BestEffort = true
	got := f.submit(testID, spec)
	f.LinkLost(f.now, "a", 1)
	f.fleet.LinkLost("a")
	f.now += testBounds.LostLinkTimeout
	f.collect(f.Tick(f.now))
	f.is.Equal(len(*got), 0)
	f.link("b", 1)
	f.collect(f.Tick(f.now))
	f.is.Equal(len(f.orders), 2)
	f.event(f.orders[1], worker.Ended, job.Done)
	f.is.Equal((*got)[0].State, job.Completed)
}

// A client omits the estimated run time. The job must not be treated as if it took no time: it
// would count as late before it starts and be refused beside idle workers.
func TestJobWithoutAnEstimateIsAccepted(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	spec := steps(1)
	spec.Steps[0].Estimate = 0
	got := f.submit(testID, spec)
	f.write()
	f.is.Equal((*got)[0].Outcome, OK)
}

// More work waits than the workers can finish in time. A job that would be late is refused at
// once, since accepting it would delay the jobs behind it as well.
func TestJobThatWouldBeLateIsRefused(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.fleet.Update(f.now, "a", AgentLoad{
		Service: "desk", Capacity: job.Demand{CPUMillis: 16000, MemoryMB: 65536}, Accepts: true, Backlog: 16 * time.Second,
		Ahead: [len(worker.SlackBuckets)]time.Duration{0, 0, 0, 16 * time.Second, 16 * time.Second, 16 * time.Second},
	})
	got := f.submit(testID, steps(1))
	f.is.Equal((*got)[0].Reason, ReasonOverload)
	f.is.True((*got)[0].RetryAfter > 0)
}

// submitNonRepeatable submits a job whose tasks may not be repeated, and writes its record.
func (f *fixture) submitNonRepeatable(id job.ID, n int) {
	p := job.Policy{Queue: "quotes", Service: "desk", MaxAttempts: 1, AtMostOnce: true, Slack: 1, Target: time.Second}
	f.collect(f.Submit(f.now, id, steps(n), p, func(Response) {}))
	f.write()
}

func (f *fixture) await(id job.ID) *[]Response {
	got := &[]Response{}
	f.collect(f.Await(f.now, id, func(v Response) { *got = append(*got, v) }))
	return got
}

// A worker is full and ends a task every 20 ms. A job with the lowest priority of a usual scale
// may wait that long and still meet its objective, so it is accepted. Jobs of lower urgency are
// refused first, but the wait that they are accepted with stays above four tenths of the most
// urgent job's.
func TestLeastUrgentJobsAreAccepted(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.fleet.Update(f.now, "a", AgentLoad{
		Service: "desk", Capacity: job.Demand{CPUMillis: 16000, MemoryMB: 65536}, Accepts: true, Turnover: 20 * time.Millisecond,
	})
	spec := job.Spec{BestEffort: true, Steps: []job.Step{{Count: 1, Demand: job.Demand{CPUMillis: 1000}, Estimate: 200 * time.Millisecond}}}
	objective := f.objective(&spec, &job.Policy{Slack: 1.6, Target: 60 * time.Millisecond})
	urgent := f.waitLimit(objective, 200*time.Millisecond, 0)
	f.is.True(f.waitLimit(objective, 200*time.Millisecond, 1) < urgent)
	for _, priority := range []int{4, 50, 1000} {
		f.is.True(float64(f.waitLimit(objective, 200*time.Millisecond, priority)) > 0.4*float64(urgent))
		p := job.Policy{Queue: "quotes", Service: "desk", Slack: 1.6, Target: 60 * time.Millisecond, Priority: priority}
		a := f.admitLocked(f.now, &spec, &p)
		f.is.Equal(a.reason, "")
		f.is.True(!a.late)
	}
}

// A run of a task that may not be repeated is cut off: its backend server is lost, an agent
// reconnects without it, or its agent never returns. The job fails with that reason, and none
// of its tasks is started again.
func TestCutOffTaskThatMayNotBeRepeatedFailsItsJob(t *testing.T) {
	for name, cutOff := range map[string]func(*fixture){
		"server": func(f *fixture) { f.event(f.orders[0], worker.Ended, job.Lapsed) },
		"order":  func(f *fixture) { f.link("a", 2) },
		"agent": func(f *fixture) {
			f.LinkLost(f.now, "a", 1)
			f.now += testBounds.LostLinkTimeout + time.Second
			f.collect(f.Tick(f.now))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil, nil, "a")
			f.submitNonRepeatable(testID, 1)
			f.event(f.orders[0], worker.Running, 0)
			got := f.await(testID)
			cutOff(f)
			f.write()
			f.is.Equal(len(*got), 1)
			f.is.Equal((*got)[0].State, job.Failed)
			f.is.Equal((*got)[0].Failure, FailureLost)
			f.link("b", 1)
			f.collect(f.Tick(f.now))
			f.is.Equal(len(f.orders), 1)
		})
	}
}

// An owner takes over, and an agent that its predecessor had sent orders to does not return.
// Whether the task ran there is unknown, so it is not started again. A job whose agents have
// all answered goes on.
func TestTakeoverWithoutAnAgentRepeatsNothing(t *testing.T) {
	for _, answers := range []bool{true, false} {
		p := job.Policy{Queue: "quotes", Service: "desk", MaxAttempts: 1, AtMostOnce: true, Slack: 1}
		f := newFixture(t, []*job.Record{job.NewRecord(testID, steps(1), p, 2)}, []string{"a"}, "b")
		got := f.await(testID)
		if answers {
			f.link("a", 1)
		}
		f.now += testBounds.TakeoverTimeout + time.Second
		f.collect(f.Tick(f.now))
		f.write()
		f.is.Equal(len(f.orders) == 1, answers)
		f.is.Equal(len(*got) == 0, answers)
	}
}

// A caller waits for the end of its job. It is answered once the end is recorded, with the
// results in the order of the tasks. An owner that takes over later gives the same answer.
func TestResultsSurviveATakeover(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(2))
	f.write()
	got := f.await(testID)
	for i, o := range f.orders {
		f.collect(f.Event(f.now, o.Node, worker.Event{Shard: f.ID, Epoch: f.Epoch, State: worker.RunState{
			Run: o.Value.Run, Status: worker.Ended, End: job.Done, Result: []string{"eye", "wig"}[i],
		}}))
	}
	f.is.Equal(len(*got), 0) // not recorded yet
	b := f.write()
	f.is.Equal(len(*got), 1)
	next := newFixture(t, []*job.Record{b.Writes[0].Record}, nil, "a")
	for _, v := range []Response{(*got)[0], (*next.await(testID))[0]} {
		f.is.Equal(v.State, job.Completed)
		f.is.Equal([]string{v.Tasks[0].Result, v.Tasks[1].Result}, []string{"eye", "wig"})
	}
}

// A different job is submitted under an ID that is in use. It is refused, also after the first
// job has ended and another owner has taken over, and the first job's answer stays.
func TestIDOfAnotherJobIsRefused(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	first, second := steps(1), steps(1)
	first.Digest, second.Digest = "one", "two"
	f.submit(testID, first)
	f.write()
	f.is.Equal((*f.submit(testID, second))[0].Reason, ReasonIDConflict)
	f.event(f.orders[0], worker.Ended, job.Done)
	b := f.write()
	next := newFixture(t, []*job.Record{b.Writes[0].Record}, nil, "a")
	f.is.Equal((*next.submit(testID, second))[0].Reason, ReasonIDConflict)
	again := next.submit(testID, first)
	next.write()
	f.is.Equal((*again)[0].State, job.Completed)
}

// Most deployments submit only best-effort jobs, which need no owner. An owner links the agents
// only if something of its shard may be there: an earlier owner's runs, or a job that has not
// ended.
func TestOwnerWithoutJobsLinksNoAgent(t *testing.T) {
	is := is.New(t)
	fleet := NewFleet(1, DefaultParams(), 1)
	is.True(!New(time.Hour, 1, 3, testBounds, fleet, nil, nil, nil).MayHaveRuns())
	is.True(New(time.Hour, 1, 3, testBounds, fleet, nil, []string{"a"}, nil).MayHaveRuns())
	spec := steps(1)
	record := job.NewRecord(testID, spec, job.Policy{Queue: "quotes", Service: "desk"}, 1)
	is.True(New(time.Hour, 1, 3, testBounds, fleet, []*job.Record{record}, nil, nil).MayHaveRuns())
	record.State = job.Completed
	is.True(!New(time.Hour, 1, 3, testBounds, fleet, []*job.Record{record}, nil, nil).MayHaveRuns())
}
