package owner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

var testBounds = Bounds{
	WaitOut: 3 * time.Second, Takeover: 9 * time.Second, Retention: time.Minute,
	LazyWrite: 700 * time.Millisecond,
}

const testID job.ID = "00000000000000aa"

// fixture is a shard with links to agents that answer their claims.
type fixture struct {
	*Shard
	is      *is.I
	fleet   *Fleet
	now     time.Duration
	orders  []Placed[worker.Order]
	stops   []Placed[job.RunID]
	settled []Placed[Settlement]
}

func newFixture(t *testing.T, records []*job.Record, mayRun []string, agents ...string) *fixture {
	t.Helper()
	f := &fixture{is: is.New(t), fleet: NewFleet(1.5, DefaultParams()), now: time.Hour}
	f.Shard = New(f.now, 1, 3, testBounds, f.fleet, records, mayRun)
	for _, node := range agents {
		f.link(node, 1)
	}
	f.write()
	return f
}

// link makes a link, and answers its claim with the runs.
func (f *fixture) link(node string, session int64, runs ...worker.RunState) {
	f.fleet.Linked(node)
	f.fleet.Update(f.now, node, AgentLoad{
		Service: "desk", Capacity: job.Demand{CPUMillis: 16000, MemoryMB: 65536},
		Free: job.Demand{CPUMillis: 16000, MemoryMB: 65536}, Accepts: true,
	})
	claim, _, fx := f.Linked(f.now, node, session)
	f.take(fx)
	f.take(f.Claimed(f.now, node, worker.Claimed{Claim: claim, Runs: runs}))
}

func (f *fixture) take(fx Effects) {
	f.orders = append(f.orders, fx.Orders...)
	f.stops = append(f.stops, fx.Stops...)
	f.settled = append(f.settled, fx.Settled...)
	for _, r := range fx.Replies {
		r.To(r.Verdict)
	}
}

// write has the store take what is due, and returns it.
func (f *fixture) write() Batch {
	b := f.NextBatch(f.now)
	f.take(f.Written(f.now, b))
	return b
}

func (f *fixture) submit(id job.ID, spec job.Spec) *[]Verdict {
	got := &[]Verdict{}
	p := job.Policy{Queue: "quotes", Service: "desk", MaxAttempts: 2, Slack: 1.6, Target: 60 * time.Millisecond}
	f.take(f.Submit(f.now, id, spec, p, func(v Verdict) { *got = append(*got, v) }))
	return got
}

func (f *fixture) cancel(id job.ID) *[]Verdict {
	got := &[]Verdict{}
	f.take(f.Cancel(f.now, id, func(v Verdict) { *got = append(*got, v) }))
	return got
}

func (f *fixture) event(o Placed[worker.Order], status worker.Status, end job.EndKind) {
	f.take(f.Event(f.now, o.Node, worker.Event{
		Shard: f.ID, Epoch: f.Epoch, State: worker.RunState{Run: o.What.Run, Status: status, End: end},
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

// All hosts lose power right after a job was accepted. The client was told that
// it is stored, so it must be in the store before it is told so, and no task
// may start for a job that the client was not told of.
func TestAcceptedMeansRecorded(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	got := f.submit(testID, steps(1))
	f.is.Equal(len(*got), 0)
	f.is.Equal(len(f.orders), 0)
	f.is.Equal(f.Lookup(testID).Outcome, Absent)
	b := f.write()
	f.is.Equal(b.Writes[0].ID, testID)
	f.is.Equal((*got)[0].Outcome, OK)
	f.is.Equal(len(f.orders), 1)
}

// A job waits for its record while an agent's link is made anew, at which all
// tasks without a run are placed. Started then, a task would run for a job that
// may yet be refused.
func TestNothingStartsBeforeItsJobIsRecorded(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(1))
	f.LinkLost(f.now, "a", 1)
	f.link("a", 2)
	f.is.Equal(len(f.orders), 0)
	f.write()
	f.is.Equal(len(f.orders), 1)
}

// The store takes nothing. The client is told at once that the job does not
// run, and it does not, also not when the store is back.
func TestRejectedRecordRefusesTheJobForGood(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	got := f.submit(testID, steps(1))
	f.take(f.Rejected(f.now, f.NextBatch(f.now), "busy"))
	f.is.Equal((*got)[0].Outcome, Refused)
	next := f.submit("00000000000000bb", steps(1))
	f.is.Equal((*next)[0].Reason, ReasonStore) // refused at once while the store rejects
	f.write()
	f.is.Equal(len(f.orders), 0)
	f.is.Equal(f.Lookup(testID).Outcome, Absent)
}

// A client sends the same job again seconds after it was accepted.
func TestSameIDIsOneJob(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	first := f.submit(testID, steps(2))
	second := f.submit(testID, steps(2))
	f.write()
	third := f.submit(testID, steps(2))
	f.is.Equal(len(*first), 1)
	f.is.Equal(len(*second), 1)
	f.is.Equal((*third)[0].Outcome, OK)
	f.is.Equal(len(f.orders), 2)
}

// The last task has ended, and the owner is lost before it has written that
// down. Nobody may have been told so: the end is settled with the agent, and
// the job shown as completed, only by the record.
func TestEndCountsOnceItIsRecorded(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(1))
	f.write()
	f.event(f.orders[0], worker.Running, 0)
	f.is.Equal(f.Lookup(testID).State, job.Active)
	f.event(f.orders[0], worker.Ended, job.Done)
	f.is.Equal(len(f.settled), 0)
	f.is.Equal(f.Lookup(testID).State, job.Active)
	f.write()
	f.is.Equal(len(f.settled), 1)
	f.is.Equal(f.Lookup(testID).State, job.Completed)
}

func TestStepWaitsForTheStepsItDependsOn(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(2, 1))
	f.write()
	f.is.Equal(len(f.orders), 2)
	f.event(f.orders[0], worker.Ended, job.Done)
	f.is.Equal(len(f.orders), 2)
	f.event(f.orders[1], worker.Ended, job.Done)
	f.is.Equal(f.orders[2].What.Run.Task.Step, 1)
}

func TestJobFailsAfterItsLastAttempt(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	f.event(f.orders[0], worker.Ended, job.FailedRun)
	f.is.Equal(len(f.orders), 2)
	f.is.True(f.orders[1].Node != f.orders[0].Node) // another agent, if there is one
	f.is.True(f.orders[1].What.Run.Number > f.orders[0].What.Run.Number)
	f.event(f.orders[1], worker.Ended, job.FailedRun)
	f.is.Equal(len(f.orders), 2)
	f.write()
	f.is.Equal(f.Lookup(testID).State, job.Failed)
	f.is.Equal(len(f.settled), 2)
}

// Runs that never started or lost their lease are not the task's fault.
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

// The owner is lost while a task runs. Its successor finds the run at the agent
// and goes on with it: a second run beside it would double the task.
func TestTakeoverFindsTheRun(t *testing.T) {
	rec := job.NewRecord(testID, steps(1), job.Policy{Queue: "quotes", Service: "desk", MaxAttempts: 2, Slack: 1.6}, 2)
	f := newFixture(t, []*job.Record{rec}, []string{"a", "b"})
	f.link("a", 1)
	f.is.Equal(len(f.orders), 0) // b may have it
	run := job.RunID{Task: job.TaskID{Job: testID}, Number: 1}
	f.link("b", 1, worker.RunState{Run: run, Status: worker.Running})
	f.is.Equal(len(f.orders), 1) // the order is repeated, not a new run
	f.is.Equal(f.orders[0].What.Run, run)
	f.event(f.orders[0], worker.Ended, job.Done)
	f.write()
	f.is.Equal(f.Lookup(testID).State, job.Completed)
}

// The owner and an agent are lost together. The agent may be cut off and still
// at work for the old owner, so its tasks wait until that is over for certain,
// and their new runs have higher numbers than any that the old owner gave.
func TestTakeoverWaitsForAnAgentItCannotReach(t *testing.T) {
	rec := job.NewRecord(testID, steps(1), job.Policy{Queue: "quotes", Service: "desk", MaxAttempts: 2, Slack: 1.6}, 2)
	f := newFixture(t, []*job.Record{rec}, []string{"a", "gone"})
	f.link("a", 1)
	f.write()
	f.now += testBounds.Takeover - time.Millisecond
	f.take(f.Tick(f.now))
	f.is.Equal(len(f.orders), 0)
	f.now += time.Millisecond
	f.take(f.Tick(f.now))
	f.is.Equal(len(f.orders), 1)
	f.is.True(f.orders[0].What.Run.Number > runsPerEpoch)
	f.is.Equal(f.write().Agents, []string{"a"}) // the next owner need not wait for it
}

// An agent's link is lost with a run behind it, and stays lost. The run is
// waited out before the task starts elsewhere. When the agent is back after
// all, with the task ended there, that end must never be acknowledged.
func TestLostLinkIsWaitedOut(t *testing.T) {
	f := newFixture(t, nil, nil, "a", "b")
	f.submit(testID, steps(1))
	f.write()
	first := f.orders[0]
	f.LinkLost(f.now, first.Node, 1)
	f.fleet.Lost(first.Node)
	f.now += testBounds.WaitOut - time.Millisecond
	f.take(f.Tick(f.now))
	f.is.Equal(len(f.orders), 1)
	f.now += time.Millisecond
	f.take(f.Tick(f.now))
	f.is.Equal(len(f.orders), 2)
	f.is.True(f.orders[1].Node != first.Node)
	f.link(first.Node, 2, worker.RunState{Run: first.What.Run, Status: worker.Ended, End: job.Done})
	f.is.True(f.settled[0].What.Void)
	f.event(f.orders[1], worker.Ended, job.Done)
	f.write()
	f.is.Equal(f.Lookup(testID).State, job.Completed)
}

// A link is made anew and the agent does not know an order: it was lost on the
// way. The task is ordered again.
func TestOrderLostWithItsLinkIsRepeated(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(1))
	f.write()
	f.LinkLost(f.now, "a", 1)
	f.link("a", 2)
	f.is.Equal(len(f.orders), 2)
	f.is.True(f.orders[1].What.Run.Number > f.orders[0].What.Run.Number)
}

// Orders go only to agents that the store names: the next owner would not ask
// another one for runs, and would start its tasks twice.
func TestNoOrderBeforeTheAgentIsNamed(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.submit(testID, steps(1))
	f.link("a", 1)
	b := f.NextBatch(f.now)
	f.is.Equal(b.Agents, []string{"a"})
	early := f.submit("00000000000000cc", steps(1))
	f.is.Equal((*early)[0].Reason, ReasonNoWorker) // it answered the claim, but is not named yet
	f.is.Equal(len(f.orders), 0)
	f.take(f.Written(f.now, b))
	f.is.Equal(len(f.orders), 0) // the job was refused: no agent was there
	f.submit("00000000000000bb", steps(1))
	f.write()
	f.is.Equal(len(f.orders), 1)
}

// Another owner has taken over. Whoever waits is told that the fate is open;
// its next try finds the truth at the new owner.
func TestFencedOwnerLeavesItsAnswersOpen(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	got := f.submit(testID, steps(1))
	f.take(f.Close())
	f.is.Equal((*got)[0].Outcome, Unknown)
	f.is.Equal(f.Lookup(testID).Outcome, NotOwner)
}

// The client of a best-effort job has left. Its runs are stopped; when the job
// is sent again, a task starts only after its stopped run has ended.
func TestAbandonedJobStartsAgainAfterItsRunsHaveEnded(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.Shard = NewPrivate(f.now, 20, testBounds, f.fleet)
	f.link("a", 1)
	spec := steps(1)
	spec.BestEffort = true
	f.submit(testID, spec)
	f.is.Equal(len(f.orders), 1) // nothing is recorded
	f.take(f.Abandon(f.now, testID))
	f.is.Equal(len(f.stops), 1)
	got := f.submit(testID, spec)
	f.is.Equal(len(f.orders), 1)
	f.event(f.orders[0], worker.Ended, job.Stopped)
	f.is.Equal(len(f.orders), 2)
	f.event(f.orders[1], worker.Ended, job.Done)
	f.is.Equal((*got)[0].State, job.Completed)
}

// The agent that runs a best-effort job is lost for good, and no other is there.
// Tasks may have run, so the answer must never be a refusal, which would say
// that the job never runs.
func TestLostAgentNeverTurnsIntoARefusal(t *testing.T) {
	f := newFixture(t, nil, nil)
	f.Shard = NewPrivate(f.now, 20, testBounds, f.fleet)
	f.link("a", 1)
	spec := steps(1)
	spec.BestEffort = true
	got := f.submit(testID, spec)
	f.LinkLost(f.now, "a", 1)
	f.fleet.Lost("a")
	f.now += testBounds.WaitOut
	f.take(f.Tick(f.now))
	f.is.Equal(len(*got), 0)
	f.link("b", 1)
	f.take(f.Tick(f.now))
	f.is.Equal(len(f.orders), 2)
	f.event(f.orders[1], worker.Ended, job.Done)
	f.is.Equal((*got)[0].State, job.Completed)
}

// A client leaves out how long its tasks take. Taken as nothing, the job would be
// late before it starts, and be refused beside idle workers.
func TestJobWithoutAnEstimateIsAccepted(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	spec := steps(1)
	spec.Steps[0].Estimate = 0
	got := f.submit(testID, spec)
	f.write()
	f.is.Equal((*got)[0].Outcome, OK)
}

// More work waits than the workers can do in time. A job that would be late is
// refused at once; taken in, it would make the ones behind it late as well.
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

// submitOnce has a job accepted whose tasks may not be repeated.
func (f *fixture) submitOnce(id job.ID, n int) {
	p := job.Policy{Queue: "quotes", Service: "desk", MaxAttempts: 1, Once: true, Slack: 1, Target: time.Second}
	f.take(f.Submit(f.now, id, steps(n), p, func(Verdict) {}))
	f.write()
}

func (f *fixture) await(id job.ID) *[]Verdict {
	got := &[]Verdict{}
	f.take(f.Await(id, func(v Verdict) { *got = append(*got, v) }))
	return got
}

// A worker is full and ends a task in 20 ms. A job of the lowest priority that a scale
// has may wait that long and be in time, so it is accepted. One that is far less
// urgent than that is the first to be refused, and still gets four tenths of the wait.
func TestLeastUrgentJobsAreNotShutOut(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.fleet.Update(f.now, "a", AgentLoad{
		Service: "desk", Capacity: job.Demand{CPUMillis: 16000, MemoryMB: 65536}, Accepts: true, Turnover: 20 * time.Millisecond,
	})
	spec := job.Spec{BestEffort: true, Steps: []job.Step{{Count: 1, Demand: job.Demand{CPUMillis: 1000}, Estimate: 200 * time.Millisecond}}}
	objective := f.objective(&spec, &job.Policy{Slack: 1.6, Target: 60 * time.Millisecond})
	urgent := f.longestWait(objective, 200*time.Millisecond, 0)
	f.is.True(f.longestWait(objective, 200*time.Millisecond, 1) < urgent)
	for _, priority := range []int{4, 50, 1000} {
		f.is.True(float64(f.longestWait(objective, 200*time.Millisecond, priority)) > 0.4*float64(urgent))
		p := job.Policy{Queue: "quotes", Service: "desk", Slack: 1.6, Target: 60 * time.Millisecond, Priority: priority}
		a := f.admitLocked(f.now, &spec, &p)
		f.is.Equal(a.reason, "")
		f.is.True(!a.yields)
	}
}

// A task that may not be repeated is cut off: with its backend server, with a
// link whose agent then has nothing of it, or with an agent that is never seen
// again. Its job fails, for that reason, and nothing of it is started again.
func TestCutOffTaskThatMayNotBeRepeatedFailsItsJob(t *testing.T) {
	for name, cutOff := range map[string]func(*fixture){
		"server": func(f *fixture) { f.event(f.orders[0], worker.Ended, job.Lapsed) },
		"order":  func(f *fixture) { f.link("a", 2) },
		"agent": func(f *fixture) {
			f.LinkLost(f.now, "a", 1)
			f.now += testBounds.WaitOut + time.Second
			f.take(f.Tick(f.now))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, nil, nil, "a")
			f.submitOnce(testID, 1)
			f.event(f.orders[0], worker.Running, 0)
			got := f.await(testID)
			cutOff(f)
			f.write()
			f.is.Equal(len(*got), 1)
			f.is.Equal((*got)[0].State, job.Failed)
			f.is.Equal((*got)[0].Failure, FailureLost)
			f.link("b", 1)
			f.take(f.Tick(f.now))
			f.is.Equal(len(f.orders), 1)
		})
	}
}

// An owner takes over and an agent that its predecessor had sent orders to stays
// away. Whether the task ran there nobody knows, so it is not started again; a
// job whose agents have all answered goes on.
func TestTakeoverWithoutAnAgentRepeatsNothing(t *testing.T) {
	for _, answers := range []bool{true, false} {
		p := job.Policy{Queue: "quotes", Service: "desk", MaxAttempts: 1, Once: true, Slack: 1}
		f := newFixture(t, []*job.Record{job.NewRecord(testID, steps(1), p, 2)}, []string{"a"}, "b")
		got := f.await(testID)
		if answers {
			f.link("a", 1)
		}
		f.now += testBounds.Takeover + time.Second
		f.take(f.Tick(f.now))
		f.write()
		f.is.Equal(len(f.orders) == 1, answers)
		f.is.Equal(len(*got) == 0, answers)
	}
}

// A caller waits for the end of its job. It is told once the end is recorded,
// with the results in the order of the tasks, and an owner that has taken over
// since tells the same.
func TestResultsOutliveTheirOwner(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	f.submit(testID, steps(2))
	f.write()
	got := f.await(testID)
	for i, o := range f.orders {
		f.take(f.Event(f.now, o.Node, worker.Event{Shard: f.ID, Epoch: f.Epoch, State: worker.RunState{
			Run: o.What.Run, Status: worker.Ended, End: job.Done, Result: []string{"eye", "wig"}[i],
		}}))
	}
	f.is.Equal(len(*got), 0) // not recorded yet
	b := f.write()
	f.is.Equal(len(*got), 1)
	next := newFixture(t, []*job.Record{b.Writes[0].Record}, nil, "a")
	for _, v := range []Verdict{(*got)[0], (*next.await(testID))[0]} {
		f.is.Equal(v.State, job.Completed)
		f.is.Equal([]string{v.Tasks[0].Result, v.Tasks[1].Result}, []string{"eye", "wig"})
	}
}

// The same id comes in for another job. It is refused, also when the first one
// has ended and another owner has taken over, and the first one's answer stays.
func TestIDOfAnotherJobIsRefused(t *testing.T) {
	f := newFixture(t, nil, nil, "a")
	first, second := steps(1), steps(1)
	first.Digest, second.Digest = "one", "two"
	f.submit(testID, first)
	f.write()
	f.is.Equal((*f.submit(testID, second))[0].Reason, ReasonConflict)
	f.event(f.orders[0], worker.Ended, job.Done)
	b := f.write()
	next := newFixture(t, []*job.Record{b.Writes[0].Record}, nil, "a")
	f.is.Equal((*next.submit(testID, second))[0].Reason, ReasonConflict)
	f.is.Equal((*next.submit(testID, first))[0].State, job.Completed)
}

// Most deployments submit best-effort jobs only, which need no owner. An owner links the
// agents when anything of its shard may be there: an earlier owner's runs, or a job.
func TestOwnerWithoutJobsConcernsNoAgent(t *testing.T) {
	is := is.New(t)
	fleet := NewFleet(1, DefaultParams())
	is.True(!New(time.Hour, 1, 3, testBounds, fleet, nil, nil).Concerns())
	is.True(New(time.Hour, 1, 3, testBounds, fleet, nil, []string{"a"}).Concerns())
	spec := steps(1)
	record := job.NewRecord(testID, spec, job.Policy{Queue: "quotes", Service: "desk"}, 1)
	is.True(New(time.Hour, 1, 3, testBounds, fleet, []*job.Record{record}, nil).Concerns())
	record.State = job.Completed
	is.True(!New(time.Hour, 1, 3, testBounds, fleet, []*job.Record{record}, nil).Concerns())
}
