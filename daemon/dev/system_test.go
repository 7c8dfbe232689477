package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/platform/standin"
	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/httpclient"
)

// waitTimeout bounds every wait. The tests don't check how long anything takes.
const waitTimeout = 60 * time.Second

// testSystem is a whole system under test with a client of its first entry.
type testSystem struct {
	t  *testing.T
	is *is.I
	*System
	client *httpclient.Client
}

func newTestSystem(t *testing.T) *testSystem {
	t.Helper()
	l, err := loopback()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	s, err := Start(ctx, Options{HTTP: l, Software: "test"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Kill)
	d := &testSystem{t: t, is: is.New(t), System: s}
	d.client = d.newClient(s.Addr())
	// An owner that has just taken over a shard knows no agents yet and refuses
	// jobs. Submit requests whose ids cover every shard until all are served.
	for i := range 16 {
		_, f := d.client.SubmitWithRetry(d.ctx(), d.request(fmt.Sprint("warm-up-", i), 0, true, ""), 100)
		if f != nil {
			t.Fatal(f)
		}
	}
	return d
}

func (d *testSystem) newClient(addr string) *httpclient.Client {
	c, err := httpclient.New(httpclient.Options{Addr: addr})
	d.is.NoErr(err)
	return c
}

// job returns a job with the given number of tasks, which run for ms milliseconds
// each and return their index. extraFields are appended to the fields of each payload.
func (d *testSystem) job(id string, tasks, ms int, extraFields string) api.Submission {
	d.t.Helper()
	var list []string
	for i := range tasks {
		list = append(list, fmt.Sprintf(`{"payload":{"work_ms":%d,"echo":%d%s},"expected_ms":%d,"cores":1,"memory_mb":64}`, ms, i, extraFields, max(ms, 1)))
	}
	body := fmt.Sprintf(`{"service":"bench-desk","kind":"job","id":%q,"deadline_ms":60000,"tasks":[%s]}`, id, strings.Join(list, ","))
	return d.decode(body)
}

// request returns a request that runs for ms milliseconds and returns "done". extraFields
// are appended to the fields of its payload.
func (d *testSystem) request(id string, ms int, repeatable bool, extraFields string) api.Submission {
	d.t.Helper()
	return d.decode(fmt.Sprintf(`{"service":"bench-desk","kind":"request","id":%q,"deadline_ms":60000,"repeatable":%v,
		"task":{"payload":{"work_ms":%d,"echo":"done"%s},"expected_ms":%d,"cores":1,"memory_mb":64}}`, id, repeatable, ms, extraFields, max(ms, 1)))
}

func (d *testSystem) decode(body string) api.Submission {
	d.t.Helper()
	s, p := api.DecodeFile("", []byte(body))
	if p != nil {
		d.t.Fatal(p)
	}
	return s
}

func (d *testSystem) ctx() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	d.t.Cleanup(cancel)
	return ctx
}

// result is the answer to a submission, or its failure.
type result struct {
	answer  api.Answer
	failure *httpclient.Failure
}

// submitAsync submits in the background and returns a channel that receives the result.
func (d *testSystem) submitAsync(c *httpclient.Client, s api.Submission) <-chan result {
	out := make(chan result, 1)
	go func() {
		a, f := c.Submit(d.ctx(), s)
		out <- result{a, f}
	}()
	return out
}

// checkComplete checks that the result is complete, with each task's index as its result.
func (d *testSystem) checkComplete(r result, tasks int) {
	d.t.Helper()
	if r.failure != nil {
		d.t.Fatal(r.failure)
	}
	d.is.Equal(len(r.answer.Results), tasks)
	for i, raw := range r.answer.Results {
		d.is.Equal(string(raw), fmt.Sprint(i))
	}
}

// checkStartedOnce checks that the given number of a job's tasks were started exactly
// once each, and that the ledger has recorded no faults.
func (d *testSystem) checkStartedOnce(id string, tasks int) {
	d.t.Helper()
	started := d.Ledger().StartsByTask("bench-desk/" + id + ".")
	d.is.Equal(len(started), tasks)
	for task, n := range started {
		if n != 1 {
			d.t.Errorf("%s was started %d times", task, n)
		}
	}
	for _, f := range d.Ledger().Faults() {
		d.t.Error(f)
	}
}

func (d *testSystem) await(what string, ok func() bool) {
	d.t.Helper()
	for end := time.Now().Add(waitTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			d.t.Fatalf("not in %v: %s", waitTimeout, what)
		}
	}
}

func (d *testSystem) awaitStarts(id string, tasks int) {
	d.t.Helper()
	d.await(id+" runs", func() bool { return len(d.Ledger().StartsByTask("bench-desk/"+id+".")) == tasks })
}

func (d *testSystem) startSecondEntry() *Entry {
	d.t.Helper()
	l, err := loopback()
	d.is.NoErr(err)
	e, err := d.StartEntry("entry-2", l)
	d.is.NoErr(err)
	d.await("the second entry is ready", d.ready)
	return e
}

// A job is submitted again at another entry while it runs and after it has ended.
// Every submission must get the complete answer, and each task must run once. A
// different job under the same id must be refused and must not run.
func TestResubmissionsJoin(t *testing.T) {
	d := newTestSystem(t)
	other := d.newClient(d.startSecondEntry().Addr())
	s := d.job("join", 30, 300, "")
	first := d.submitAsync(d.client, s)
	d.awaitStarts("join", 30)
	second := d.submitAsync(other, s)
	d.checkComplete(<-first, 30)
	d.checkComplete(<-second, 30)
	d.checkComplete(<-d.submitAsync(other, s), 30)
	d.checkStartedOnce("join", 30)
	r := <-d.submitAsync(other, d.job("join", 2, 1, ""))
	d.is.Equal(r.failure.Problem.Reason, state.ReasonIDConflict)
	d.is.Equal(r.failure.Outcome, state.NotRun)
	d.checkStartedOnce("join", 30)
}

// A job is submitted without waiting and queried until its results are available. A
// query for an unknown id must answer unknown and not "not run", because a submission
// may still be in flight.
func TestAcceptThenQuery(t *testing.T) {
	d := newTestSystem(t)
	a, f := d.client.Accept(d.ctx(), d.job("later", 3, 400, ""))
	d.is.True(f == nil)
	d.is.Equal(state.Outcome(a.Outcome), state.Pending)
	key := state.JobKey{Service: "bench-desk", ID: "later"}
	a, f = d.client.Query(d.ctx(), key)
	d.is.True(f == nil)
	d.is.Equal(state.Outcome(a.Outcome), state.Pending)
	d.await("the job is complete", func() bool {
		a, f = d.client.Query(d.ctx(), key)
		return f == nil && state.Outcome(a.Outcome) == state.Complete
	})
	d.checkComplete(result{a, f}, 3)
	_, f = d.client.Query(d.ctx(), state.JobKey{Service: "bench-desk", ID: "nobody"})
	d.is.Equal(f.Problem.Reason, state.ReasonUnknownJob)
	d.is.Equal(f.Outcome, state.Unknown)
}

// Guards against losing an accepted job when all agents are killed and restarted. A
// repeatable request must complete. The tasks of a job that isn't repeatable must not
// start twice.
func TestAcceptedJobSurvivesAgentRestarts(t *testing.T) {
	d := newTestSystem(t)
	again := d.request("again", 700, true, "")
	for _, s := range []api.Submission{d.job("power", 6, 700, ""), again} {
		_, f := d.client.Accept(d.ctx(), s)
		d.is.True(f == nil)
	}
	for _, a := range d.Agents() {
		a.Kill()
	}
	for _, a := range d.Agents() {
		a.Start()
	}
	a, f := d.client.SubmitWithRetry(d.ctx(), again, 100)
	d.is.True(f == nil) // complete, although a run may have been cut off
	d.is.Equal(string(a.Results[0]), `"done"`)
	a, f = d.client.SubmitWithRetry(d.ctx(), d.job("power", 6, 700, ""), 100)
	d.checkCompleteOrCutOff(result{a, f}, "power", 6)
}

// checkCompleteOrCutOff checks the result of a job that isn't repeatable after its agents
// were lost: it is complete, or has failed because a task was cut off, and no task
// was started twice.
func (d *testSystem) checkCompleteOrCutOff(r result, id string, tasks int) {
	d.t.Helper()
	if r.failure == nil {
		d.checkComplete(r, tasks)
	} else {
		d.is.Equal(r.failure.Problem.Reason, state.ReasonCutOff)
	}
	d.checkStartedOnce(id, len(d.Ledger().StartsByTask("bench-desk/"+id+".")))
}

// One agent and the entry at which the caller waits are killed while a job runs. The
// test is repeated with each agent, so the job's owner is killed once. A resubmission
// under the same id at another entry must get the complete answer, or a failure because
// a task was cut off with its agent. No task may run twice.
func TestOwnerAndEntryKilled(t *testing.T) {
	for i := range domains {
		d := newTestSystem(t)
		second := d.startSecondEntry()
		other := d.newClient(second.Addr())
		s := d.job("owner", 8, 900, "")
		waiting := d.submitAsync(other, s)
		d.awaitStarts("owner", 8)
		d.Agents()[i].Kill()
		second.Kill()
		r := <-waiting
		d.is.Equal(r.failure.Outcome, state.Unknown) // the entry was killed
		d.Agents()[i].Start()
		a, f := d.client.SubmitWithRetry(d.ctx(), s, 100)
		d.checkCompleteOrCutOff(result{a, f}, "owner", 8)
	}
}

// A caller disconnects while its job runs. The job must keep running, and a later
// submission must get its answer.
func TestCallerDisconnects(t *testing.T) {
	d := newTestSystem(t)
	s := d.job("gone", 4, 500, "")
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = d.client.Submit(ctx, s) // cancelled below
	}()
	d.awaitStarts("gone", 4)
	cancel()
	d.checkComplete(<-d.submitAsync(d.client, s), 4)
	d.checkStartedOnce("gone", 4)
}

// A running job is cancelled. The cancellation must be answered as done, the caller that
// waits must be told, and no further task of the job may start.
func TestCancel(t *testing.T) {
	d := newTestSystem(t)
	waiting := d.submitAsync(d.client, d.job("stop", 60, 3000, ""))
	d.await("it runs", func() bool { return len(d.Ledger().StartsByTask("bench-desk/stop.")) > 0 })
	key := state.JobKey{Service: "bench-desk", ID: "stop"}
	a, f := d.client.Cancel(d.ctx(), key)
	d.is.True(f == nil)
	d.is.Equal(a.Reason, state.ReasonCancelled)
	r := <-waiting
	d.is.Equal(r.failure.Problem.Reason, state.ReasonCancelled)
	d.is.Equal(r.failure.Outcome, state.Failed)
	d.checkComplete(<-d.submitAsync(d.client, d.job("after", 24, 1, "")), 24)
	started := len(d.Ledger().StartsByTask("bench-desk/stop."))
	d.is.True(started < 60) // queued tasks never ran
}

// A task fails. A repeatable one must be started three times before its job fails; one
// that isn't repeatable must be started only once.
func TestFailures(t *testing.T) {
	d := newTestSystem(t)
	r := <-d.submitAsync(d.client, d.request("once", 10, false, `,"fail":true`))
	d.is.Equal(r.failure.Problem.Reason, state.ReasonTaskFailed)
	d.is.Equal(r.failure.Outcome, state.Failed)
	d.checkStartedOnce("once", 1)
	r = <-d.submitAsync(d.client, d.request("thrice", 10, true, `,"fail":true`))
	d.is.Equal(r.failure.Problem.Reason, state.ReasonTaskFailed)
	d.is.Equal(d.Ledger().Starts("bench-desk/thrice"), 3)
}

// A backend server dies with its running tasks. A job that isn't repeatable must fail,
// because the lost tasks may have run. A repeatable request submitted afterwards must run
// at another backend server.
func TestBackendServerLost(t *testing.T) {
	d := newTestSystem(t)
	lost := d.BackendServers()[0]
	before := lost.Starts()
	waiting := d.submitAsync(d.client, d.job("never", 24, 2500, ""))
	d.await("the backend server has work", func() bool { return lost.Starts() > before })
	lost.Close()
	r := <-waiting
	d.is.Equal(r.failure.Problem.Reason, state.ReasonCutOff)
	d.is.Equal(r.failure.Outcome, state.Failed)
	d.checkStartedOnce("never", len(d.Ledger().StartsByTask("bench-desk/never.")))
	r = <-d.submitAsync(d.client, d.request("elsewhere", 50, true, ""))
	d.is.True(r.failure == nil)
}

// The store is unavailable. A running job must be answered. A new job can't be recorded,
// so it must be refused as not run and must not run. It must be accepted once the store
// is available again.
func TestStoreOutOfService(t *testing.T) {
	d := newTestSystem(t)
	running := d.submitAsync(d.client, d.job("runs", 4, 800, ""))
	d.awaitStarts("runs", 4)
	d.Store().SetFault("", standin.Unavailable)
	var r result
	d.await("new jobs are refused", func() bool {
		r = <-d.submitAsync(d.client, d.request("refused", 1, true, ""))
		return r.failure != nil && r.failure.Problem != nil && r.failure.Problem.Reason == state.ReasonStoreUnavailable
	})
	d.is.Equal(r.failure.Outcome, state.NotRun)
	d.is.Equal(d.Ledger().Starts("bench-desk/refused"), 0)
	d.Store().SetFault("", standin.NoFault)
	d.checkComplete(<-running, 4)
	a, f := d.client.SubmitWithRetry(d.ctx(), d.request("refused", 1, true, ""), 100)
	d.is.True(f == nil)
	d.is.Equal(string(a.Results[0]), `"done"`)
}

// A task that is larger than every backend server and a job over the quota must be
// refused with the reason before anything starts.
func TestRefusals(t *testing.T) {
	d := newTestSystem(t)
	big := d.decode(`{"service":"bench-desk","kind":"request","id":"big","task":{"payload":1,"memory_mb":900000}}`)
	r := <-d.submitAsync(d.client, big)
	d.is.Equal(r.failure.Problem.Reason, state.ReasonNeverRunnable)
	// The job takes the quota of a hundred seconds. Later jobs are refused for that
	// long, or until the operator has a larger quota.
	_, f := d.client.Apply(d.ctx(), "haneul", 1, declarationWithQuota(1))
	d.is.True(f == nil)
	d.checkComplete(<-d.submitAsync(d.client, d.job("all", 100, 1, "")), 100)
	r = <-d.submitAsync(d.client, d.job("more", 1, 1, ""))
	d.is.Equal(r.failure.Problem.Reason, state.ReasonQuota)
	d.is.Equal(r.failure.Outcome, state.NotRun)
	d.is.True(r.failure.RetryAfter() > 0)
	_, f = d.client.Apply(d.ctx(), "haneul", 2, declarationWithQuota(1000))
	d.is.True(f == nil)
	a, f := d.client.SubmitWithRetry(d.ctx(), d.job("more", 1, 1, ""), 5) // retries after the time in the refusal
	d.checkComplete(result{a, f}, 1)
}

// declarationWithQuota returns a declaration of operator haneul with a quota of
// perSecond tasks per second.
func declarationWithQuota(perSecond int) []byte {
	return fmt.Appendf(nil, `{"operator":"haneul","quota":{"tasks_in_flight":1000,"tasks_per_second":%d},
		"services":[{"name":"bench-desk","region":"jeonbuk","deadline_ms":20000}]}`, perSecond)
}

// declarationWithPriority returns a declaration of operator haneul with the given priority.
func declarationWithPriority(priority int) []byte {
	b, err := json.Marshal(map[string]any{
		"operator": "haneul", "priority": priority,
		"quota": map[string]int{"tasks_in_flight": 10, "tasks_per_second": 10},
		"services": []map[string]any{{
			"name": "bench-desk", "region": "jeonbuk", "max_tasks": 2, "deadline_ms": 20000,
			"task_defaults": map[string]any{"cores": 1, "memory_mb": 512, "expected_ms": 300},
		}},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// Two operators concurrently replace the same version at two entries. In each round
// exactly one must succeed, and its file must be in force at both entries.
func TestRaceOfOperators(t *testing.T) {
	d := newTestSystem(t)
	e := d.startSecondEntry()
	clients := []*httpclient.Client{d.client, d.newClient(e.Addr())}
	for base := state.Version(1); base < 6; base++ {
		won := make(chan int, len(clients))
		for i, c := range clients {
			go func() {
				_, f := c.Apply(d.ctx(), "haneul", base, declarationWithPriority(int(base)*2+i+1))
				switch {
				case f == nil:
					won <- i
				case f.Problem != nil && f.Problem.Reason == state.ReasonLostRace:
					won <- -1
				default:
					d.t.Error(f)
					won <- -1
				}
			}()
		}
		a, b := <-won, <-won
		d.is.True((a < 0) != (b < 0)) // exactly one
		for _, c := range clients {
			d.await("the winner's file is in force", func() bool {
				doc, f := c.Declaration(d.ctx(), "haneul")
				return f == nil && doc.Version == base+1 && strings.Contains(string(doc.Raw), fmt.Sprintf(`"priority":%d`, int(base)*2+max(a, b)+1))
			})
		}
	}
	h, f := d.client.History(d.ctx(), "haneul")
	d.is.True(f == nil)
	for i, e := range h.Entries {
		d.is.Equal([]state.Version{e.Base, e.Version}, []state.Version{state.Version(i), state.Version(i + 1)})
	}
}

// The store carries out an apply while its responses are lost. The apply must take effect
// exactly once, and a retry against the same base must succeed without a new version.
func TestLostAnswersToAnApply(t *testing.T) {
	d := newTestSystem(t)
	d.Store().SetFault("entry", standin.DropResponses)
	go func() {
		time.Sleep(300 * time.Millisecond)
		d.Store().SetFault("entry", standin.NoFault)
	}()
	_, f := d.client.ApplyAndConfirm(d.ctx(), "haneul", 1, declarationWithPriority(7))
	if f != nil && f.Outcome == state.NotRun && f.Problem.Reason != state.ReasonLostRace {
		_, f = d.client.ApplyAndConfirm(d.ctx(), "haneul", 1, declarationWithPriority(7)) // the first apply was not carried out
	}
	d.is.True(f == nil)
	again, f := d.client.Apply(d.ctx(), "haneul", 1, declarationWithPriority(7))
	d.is.True(f == nil)
	d.is.Equal(again.Version, state.Version(2))
	h, f := d.client.History(d.ctx(), "haneul")
	d.is.True(f == nil)
	d.is.Equal(len(h.Entries), 2)
}

// A service must keep its first operator and its region, even after the operator's file
// no longer names it. Jobs are identified by service and id, so another operator's jobs
// would get the answers of the earlier ones.
func TestServicesKeepTheirOwnerAndRegion(t *testing.T) {
	d := newTestSystem(t)
	file := func(operator, region, service string) []byte {
		return fmt.Appendf(nil, `{"operator":%q,"quota":{"tasks_in_flight":10,"tasks_per_second":10},"services":[{"name":%q,"region":%q}]}`, operator, service, region)
	}
	_, f := d.client.Apply(d.ctx(), "haneul", 1, file("haneul", "jeonbuk", "other"))
	d.is.True(f == nil)
	_, f = d.client.Apply(d.ctx(), "gridlog", 0, file("gridlog", "kigali", "bench-desk"))
	d.is.Equal(f.Problem.Reason, state.ReasonServiceOwned)
	_, f = d.client.Apply(d.ctx(), "haneul", 2, file("haneul", "kigali", "bench-desk"))
	d.is.Equal(f.Problem.Reason, state.ReasonRegionFixed)
	r := <-d.submitAsync(d.client, d.request("x", 1, true, ""))
	d.is.Equal(r.failure.Problem.Reason, state.ReasonUnknownService)
	d.is.Equal(r.failure.Outcome, state.Unknown) // another entry may have a newer declaration
	_, f = d.client.Apply(d.ctx(), "haneul", 2, file("haneul", "jeonbuk", "bench-desk"))
	d.is.True(f == nil)
}

// The system is shut down gracefully while a job runs. The job must get its complete
// answer.
func TestGracefulStopCompletesRunningJob(t *testing.T) {
	d := newTestSystem(t)
	waiting := d.submitAsync(d.client, d.job("last", 24, 600, ""))
	d.awaitStarts("last", 24)
	d.Stop(d.ctx())
	d.checkComplete(<-waiting, 24)
	conn, err := net.Dial("tcp", d.Addr())
	if err == nil {
		conn.Close()
	}
	d.is.True(err != nil) // the listener is closed
}

// A declaration that restricts a service to racks must be refused. Tasks aren't placed by
// rack, so they would run where the operator has ruled it out.
func TestPlacementByRackIsRefused(t *testing.T) {
	d := newTestSystem(t)
	_, f := d.client.Apply(d.ctx(), "haneul", 1, []byte(`{"operator":"haneul","quota":{"tasks_in_flight":1,"tasks_per_second":1},
		"services":[{"name":"bench-desk","region":"jeonbuk","placement":{"racks":["jeonju/r1"]}}]}`))
	d.is.Equal(f.Problem.Reason, state.ReasonMalformed)
	d.is.Equal(f.Outcome, state.NotRun)
}

// All tasks of a service that is declared for one failure domain must run there.
func TestPlacementByDomain(t *testing.T) {
	d := newTestSystem(t)
	_, f := d.client.Apply(d.ctx(), "haneul", 1, []byte(`{"operator":"haneul","quota":{"tasks_in_flight":1000,"tasks_per_second":1000},
		"services":[{"name":"bench-desk","region":"jeonbuk","placement":{"domains":["iksan"]}}]}`))
	d.is.True(f == nil)
	before := make([]int, len(domains))
	for i, b := range d.BackendServers() {
		before[i] = b.Starts()
	}
	d.checkComplete(<-d.submitAsync(d.client, d.job("there", 20, 5, "")), 20)
	for i, b := range d.BackendServers() {
		d.is.Equal(b.Starts() > before[i], domains[i] == "iksan")
	}
}
