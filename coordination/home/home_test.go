package home

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// grantAll grants each claim through the next Verdict.
type grantAll struct{}

func (grantAll) Claim(_ time.Time, key state.JobKey, _ state.Digest, attempt message.Attempt, _ state.Epoch, _ message.Fence) []coordination.Action {
	return []coordination.Action{coordination.Granted{Key: key, Attempt: attempt}}
}

// fixedView always shows the same loads.
type fixedView []state.AgentLoad

func (v fixedView) Candidates(string) []state.AgentLoad { return v }

// bench drives one home by hand.
type bench struct {
	h    *Home
	now  time.Time
	sent []coordination.Send
}

func newBench(view View, change func(*Options)) *bench {
	o := Options{Self: "home", Claims: grantAll{}, View: view, Seed: 1}
	if change != nil {
		change(&o)
	}
	return &bench{h: New(o), now: time.Unix(1000, 0)}
}

func agents(free ...int) fixedView {
	var v fixedView
	for i, f := range free {
		v = append(v, state.AgentLoad{
			ID: state.NodeID(fmt.Sprintf("a%d", i)), Seq: 1, Services: []string{"s"},
			Slots: 8, Free: f, Cores: 16, MemoryMB: 64000,
		})
	}
	return v
}

func (b *bench) do(actions []coordination.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case coordination.Send:
			b.sent = append(b.sent, a)
		default:
			b.do(b.h.Verdict(b.now, a))
		}
	}
}

func (b *bench) submit(id string, tasks int, deadline time.Duration, attempt message.Attempt) {
	j := state.Job{Key: state.JobKey{Service: "s", ID: id}, Operator: "op"}
	for i := range tasks {
		j.Tasks = append(j.Tasks, state.Task{Payload: fmt.Appendf(nil, "%d", i), Cores: 1, MemoryMB: 100})
	}
	b.do(b.h.Handle(b.now, "entry", message.Submit{Job: j, Digest: j.Digest(), Attempt: attempt, Deadline: deadline}))
}

func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(coordination.TickInterval)
		b.do(b.h.Tick(b.now))
	}
}

// take removes and returns the sent messages of one type.
func take[M message.Message](b *bench) (to []state.NodeID, out []M) {
	var rest []coordination.Send
	for _, s := range b.sent {
		if m, ok := s.Msg.(M); ok {
			to = append(to, s.To)
			out = append(out, m)
			continue
		}
		rest = append(rest, s)
	}
	b.sent = rest
	return to, out
}

func (b *bench) report(from state.NodeID, r message.Report) { b.do(b.h.Handle(b.now, from, r)) }

// succeed reports every task of an Assign as done.
func (b *bench) succeed(from state.NodeID, a message.Assign) {
	r := message.Report{Key: a.Key}
	for _, i := range a.Indexes {
		r.Results = append(r.Results, state.TaskResult{Index: i, Payload: fmt.Appendf(nil, "r%d", i), Ran: time.Millisecond})
	}
	b.report(from, r)
}

func (b *bench) refuse(from state.NodeID, a message.Assign, why state.Reason) {
	b.report(from, message.Report{Key: a.Key, Refused: a.Indexes, Tries: a.Tries, Reason: why, RetryAfter: 20 * time.Millisecond})
}

func only(t *testing.T, b *bench) message.Answer {
	t.Helper()
	_, answers := take[message.Answer](b)
	if len(answers) != 1 {
		t.Fatalf("got %d answers, want one: %+v", len(answers), answers)
	}
	return answers[0]
}

func TestWholeAnswerInTaskOrder(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(8, 8, 8), nil)
	b.submit("j", 10, 0, "1")
	to, assigns := take[message.Assign](b)
	is.True(len(assigns) >= 2)
	for i := len(assigns) - 1; i >= 0; i-- {
		_, early := take[message.Answer](b)
		is.Equal(len(early), 0) // never partial
		b.succeed(to[i], assigns[i])
		b.succeed(to[i], assigns[i]) // a repeated report changes nothing
	}
	a := only(t, b)
	is.Equal(a.Outcome, state.Complete)
	is.Equal(len(a.Results), 10)
	for i, r := range a.Results {
		is.Equal(r.Index, i)
	}
	is.True(b.h.Idle())
}

// A desk clerk submits again while the job runs, and once more after it ended.
// Both get the whole answer, and each task is placed once: the second
// submission joins, the third is answered from what is stored. Another content
// under the same id is refused and disturbs nothing.
func TestResubmission(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(8), nil)
	b.submit("j", 2, 0, "1")
	to, assigns := take[message.Assign](b)
	b.submit("j", 2, 0, "2")
	b.submit("j", 3, 0, "3")
	conflict := only(t, b)
	is.Equal(conflict.Outcome, state.NotRun)
	is.Equal(conflict.Reason, state.ReasonIDConflict)
	for i := range assigns {
		b.succeed(to[i], assigns[i])
	}
	_, answers := take[message.Answer](b)
	is.Equal(len(answers), 2)
	is.Equal(answers[1].Attempt, message.Attempt("2"))
	is.Equal(len(answers[1].Results), 2)
	b.submit("j", 2, 0, "4")
	is.Equal(only(t, b).Outcome, state.Complete)
	_, more := take[message.Assign](b)
	is.Equal(len(more), 0)
}

// An agent refuses a task, which then goes to it again and is refused again.
// The first refusal arrives a second time, late. Taken for the second placement's
// it would move a task that may be running, and so start it twice.
func TestRepeatedRefusalMovesNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(1), nil)
	b.submit("j", 1, 0, "1")
	_, first := take[message.Assign](b)
	b.refuse("a0", first[0], state.ReasonBusy)
	b.report("a0", message.Report{Key: first[0].Key, Credit: 1})
	_, second := take[message.Assign](b)
	second = withTasks(second)
	is.Equal(len(second), 1)
	is.True(second[0].Tries[0] > first[0].Tries[0])
	b.refuse("a0", first[0], state.ReasonBusy)
	b.report("a0", message.Report{Key: first[0].Key, Credit: 1})
	_, third := take[message.Assign](b)
	is.Equal(len(withTasks(third)), 0)
	is.Equal(b.h.Stats().Assigned, 1)
}

func withTasks(in []message.Assign) (out []message.Assign) {
	for _, a := range in {
		if len(a.Tasks) > 0 {
			out = append(out, a)
		}
	}
	return out
}

// One task of a job fails while others run at two agents. The caller gets
// "failed" at once, with nothing of the other results, and each agent that
// still holds tasks is told once to give them up.
func TestTaskFailureFailsTheJobAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(2, 2, 2), nil)
	b.submit("j", 6, 0, "1")
	to, assigns := take[message.Assign](b)
	b.report(to[0], message.Report{Key: assigns[0].Key, Results: []state.TaskResult{{Index: assigns[0].Indexes[0], Err: "no glaze"}}})
	a := only(t, b)
	is.Equal(a.Outcome, state.Failed)
	is.Equal(a.Reason, state.ReasonTaskFailed)
	is.Equal(a.Detail, "no glaze")
	is.Equal(len(a.Results), 0)
	b.pass(coordination.TickInterval) // Drops go out with the tick
	dropped, _ := take[message.Drop](b)
	seen := map[state.NodeID]bool{}
	for _, id := range dropped {
		is.True(!seen[id])
		seen[id] = true
	}
	is.True(len(dropped) >= 2)
}

// The deadline passes while a task is with an agent that has said nothing. It
// may have started or not, so the home asks. Only the agent's "ruled out" makes
// the answer "not run"; "it runs" makes it "failed"; silence makes it "unknown".
func TestDeadlineSaysNotRunOnlyWhenCertain(t *testing.T) {
	for name, c := range map[string]struct {
		say  func(message.Drop) message.Report
		want state.Outcome
	}{
		"ruled out": {func(d message.Drop) message.Report {
			return message.Report{Key: d.Key, Refused: d.Indexes, Tries: d.Tries, Reason: state.ReasonBusy}
		}, state.NotRun},
		"runs":   {func(d message.Drop) message.Report { return message.Report{Key: d.Key, Running: d.Indexes} }, state.Failed},
		"silent": {nil, state.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(agents(8), nil)
			b.submit("j", 1, 50*time.Millisecond, "1")
			b.pass(60 * time.Millisecond)
			_, drops := take[message.Drop](b)
			is.True(len(drops) >= 1)
			_, early := take[message.Answer](b)
			is.Equal(len(early), 0)
			if c.say != nil {
				b.report("a0", c.say(drops[0]))
			}
			b.pass(time.Second)
			a := only(t, b)
			is.Equal(a.Outcome, c.want)
			is.Equal(a.Reason, state.ReasonDeadline)
		})
	}
}

// A job is refused as not run because every agent drains. The caller comes
// back with the same id after a while: the claim is still ours, so the job runs.
func TestRefusedJobRunsWhenItsCallerComesBack(t *testing.T) {
	is := is.New(t)
	view := agents(8)
	b := newBench(view, nil)
	b.submit("j", 1, 0, "1")
	_, assigns := take[message.Assign](b)
	b.report("a0", message.Report{Key: assigns[0].Key, Refused: []int{0}, Tries: assigns[0].Tries,
		Reason: state.ReasonDraining, RetryAfter: time.Second})
	b.pass(300 * time.Millisecond)
	a := only(t, b)
	is.Equal(a.Outcome, state.NotRun)
	is.Equal(a.Reason, state.ReasonDraining)
	is.True(a.RetryAfter > 0)
	b.pass(time.Second)
	b.submit("j", 1, 0, "2")
	to, again := take[message.Assign](b)
	is.Equal(len(again), 1)
	is.True(again[0].Tries[0] > assigns[0].Tries[0])
	b.succeed(to[0], again[0])
	is.Equal(only(t, b).Outcome, state.Complete)
}

// Two callers wait for a job that is refused as not run. Afterwards a copy of
// the second one's submission arrives, late. Its caller has been told that the
// job did not run, so the copy gets the same answer and starts nothing.
func TestLateCopyOfARefusedSubmissionStartsNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(0), nil)
	b.submit("j", 1, 50*time.Millisecond, "1")
	b.submit("j", 1, 50*time.Millisecond, "2")
	b.pass(100 * time.Millisecond)
	_, answers := take[message.Answer](b)
	is.Equal(len(answers), 2)
	is.Equal(answers[1].Outcome, state.NotRun)
	b.submit("j", 1, 0, "2")
	is.Equal(only(t, b).Outcome, state.NotRun)
	is.True(b.h.Idle())
	b.submit("j", 1, 0, "3")
	is.True(!b.h.Idle()) // a new attempt does run
}

// An agent dies, and with the log out of service nobody evicts it: its load
// stays in the view and looks idle. The link to it is known to be broken, so it
// gets no task, only a probe now and then, until it speaks.
func TestAgentBehindABrokenLinkGetsNoTasks(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(100, 100), nil)
	b.do(b.h.PeerDown(b.now, "a0"))
	probes := 0
	for i := range 20 {
		b.submit(fmt.Sprint("j", i), 1, 0, "1")
		to, assigns := take[message.Assign](b)
		for k := range to {
			is.True(to[k] == "a1" || len(assigns[k].Tasks) == 0)
			if to[k] == "a0" {
				probes++
			}
		}
		b.pass(50 * time.Millisecond)
	}
	is.True(probes >= 2 && probes <= 4)
	b.report("a0", message.Report{Key: state.JobKey{Service: "s", ID: "j0"}, Credit: 1})
	for i := range 20 {
		b.submit(fmt.Sprint("k", i), 1, 0, "1")
	}
	to, _ := take[message.Assign](b)
	is.True(slices.Contains(to, "a0"))
}

// A backlog of a hundred tasks drains at two a second when a job with ten
// seconds to wait arrives. It is told at once that this can't be done and when
// to come back, and nothing of it starts; one with a minute to wait may wait.
func TestHopelessJobIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(1), nil)
	b.submit("flood", 100, 0, "1")
	to, assigns := take[message.Assign](b)
	for range 6 {
		b.pass(500 * time.Millisecond)
		b.succeed(to[0], withTasks(assigns)[0])
		b.report("a0", message.Report{Key: assigns[0].Key, Credit: 1})
		_, assigns = take[message.Assign](b)
	}
	b.submit("hopeless", 1, 10*time.Second, "1")
	a := only(t, b)
	is.Equal(a.Outcome, state.NotRun)
	is.Equal(a.Reason, state.ReasonDeadlineUnreachable)
	is.True(a.RetryAfter > 5*time.Second)
	b.submit("patient", 1, 2*time.Minute, "1")
	_, answers := take[message.Answer](b)
	is.Equal(len(answers), 0)
}

// Of forty known agents a home uses few for small jobs and more for a large one,
// and one further down when only its worker holds the task.
func TestWidthGrowsWithTheWork(t *testing.T) {
	is := is.New(t)
	free := make([]int, 40)
	for i := range free {
		free[i] = 8
	}
	view := agents(free...)
	view[39].Accelerators = 1
	b := newBench(view, nil)
	used := map[state.NodeID]bool{}
	for i := range 30 {
		b.submit(fmt.Sprint("j", i), 1, 0, "1")
	}
	to, _ := take[message.Assign](b)
	for _, id := range to {
		used[id] = true
	}
	is.True(len(used) <= DefaultNarrow)
	b.submit("large", 200, 0, "1")
	to, _ = take[message.Assign](b)
	for _, id := range to {
		used[id] = true
	}
	is.True(len(used) > 2*DefaultNarrow)
	j := state.Job{Key: state.JobKey{Service: "s", ID: "rare"}, Tasks: []state.Task{{Accelerators: 1}}}
	b.do(b.h.Handle(b.now, "entry", message.Submit{Job: j, Digest: j.Digest(), Attempt: "1"}))
	_, answers := take[message.Answer](b)
	is.Equal(len(answers), 0) // not called never runnable
}

// A cancellation meets a job of which a task is done, some run and some wait at
// their agents. Nobody is told that it is cancelled before each agent has said what
// it started: a task that waits there could start after that. Then whoever waits is
// told, and how many were started.
// A job whose claim is undecided waits for the verdict, and then has not run.
func TestCancel(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(8, 8), nil)
	b.submit("j", 16, 0, "1")
	to, assigns := take[message.Assign](b)
	first := assigns[0].Indexes[0]
	b.report(to[0], message.Report{Key: assigns[0].Key, Results: []state.TaskResult{{Index: first}}})
	b.do(b.h.Handle(b.now, "entry", message.Cancel{Key: assigns[0].Key, Attempt: "c"}))
	b.pass(coordination.TickInterval)
	dropped, drops := take[message.Drop](b)
	is.Equal(len(dropped), 2)
	b.report(dropped[0], message.Report{Key: drops[0].Key, Running: drops[0].Indexes})
	_, early := take[message.Answer](b)
	is.Equal(len(early), 0) // the other agent may start its tasks yet
	b.report(dropped[1], message.Report{
		Key: drops[1].Key, Running: drops[1].Indexes[:2], Refused: drops[1].Indexes[2:], Tries: drops[1].Tries[2:],
	})
	_, answers := take[message.Answer](b)
	is.Equal(len(answers), 2) // the submitter and the canceller
	is.Equal(answers[0].Outcome, state.Failed)
	is.Equal(answers[0].Reason, state.ReasonCancelled)
	is.Equal(answers[0].Stats.Started, 1+len(drops[0].Indexes)+2)

	j := state.Job{Key: state.JobKey{Service: "s", ID: "claiming"}, Tasks: make([]state.Task, 1)}
	acts := b.h.Handle(b.now, "entry", message.Submit{Job: j, Digest: j.Digest(), Attempt: "1"})
	b.do(b.h.Handle(b.now, "entry", message.Cancel{Key: j.Key, Attempt: "c"}))
	_, early = take[message.Answer](b)
	is.Equal(len(early), 0)
	b.do(acts)
	_, answers = take[message.Answer](b)
	is.Equal(len(answers), 2)
	is.Equal(answers[0].Outcome, state.NotRun)
	_, assigns = take[message.Assign](b)
	is.Equal(len(assigns), 0)
}

// barring rules attempts out for jobs that it has no record of.
type barring struct {
	grantAll
	holder state.NodeID
}

func (b barring) Handle(_ time.Time, from state.NodeID, msg message.Message) []coordination.Action {
	m := msg.(message.Bar)
	r := message.BarReply{Key: m.Key, Attempt: m.Attempt, Barred: b.holder == "", Reason: state.ReasonHomeLost, Holder: b.holder}
	return []coordination.Action{coordination.Send{To: from, Msg: r}}
}

// A new submission reaches a home that is leaving. Its caller hears "not run"
// only if the guard has ruled the attempt out: an earlier home may have run the
// job, and "not run" would have the caller do it all again under another id.
func TestDrainingHomeSaysNotRunOnlyWhenRuledOut(t *testing.T) {
	is := is.New(t)
	for holder, want := range map[state.NodeID]state.Outcome{"": state.NotRun, "earlier": state.Unknown} {
		b := newBench(agents(8), func(o *Options) { o.Claims = barring{holder: holder} })
		b.submit("running", 1, 0, "1")
		to, assigns := take[message.Assign](b)
		b.do(b.h.Drain(b.now))
		b.submit("new", 1, 0, "1")
		a := only(t, b)
		is.Equal(a.Outcome, want)
		is.Equal(a.Holder, holder)
		b.submit("running", 1, 0, "2") // joins as before
		b.succeed(to[0], assigns[0])
		_, answers := take[message.Answer](b)
		is.Equal(len(answers), 2)
		is.True(b.h.Idle())
	}
}

// An agent's report is lost. The home asks the same agent again, never another
// one, because the tasks may be running there.
func TestSilentAgentIsAskedAgain(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(8, 8), nil)
	b.submit("j", 1, 0, "1")
	to, first := take[message.Assign](b)
	b.pass(10 * time.Second)
	again, repeats := take[message.Assign](b)
	is.True(len(repeats) >= 2)
	for i := range again {
		is.Equal(again[i], to[0])
		is.Equal(repeats[i].Tries, first[0].Tries)
	}
	b.pass(time.Hour)
	_, repeats = take[message.Assign](b)
	is.True(len(repeats) < maxAsks) // bounded
}

// An agent is evicted. A job with a task there fails, one whose task it had
// refused goes on elsewhere.
func TestEvictedAgent(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(8, 0), nil)
	b.submit("lost", 1, 0, "1")
	b.submit("moved", 1, 0, "1")
	_, assigns := take[message.Assign](b)
	b.refuse("a0", assigns[1], state.ReasonNoBackend)
	b.do(b.h.PeerGone(b.now, "a0"))
	a := only(t, b)
	is.Equal(a.Key.ID, "lost")
	is.Equal(a.Outcome, state.Failed)
	is.Equal(a.Reason, state.ReasonAgentLost)
	b.report("a1", message.Report{Key: a.Key, Load: state.AgentLoad{ID: "a1", Seq: 2, Slots: 8, Free: 1, Services: []string{"s"}}})
	to, _ := take[message.Assign](b)
	is.Equal(to[len(to)-1], state.NodeID("a1"))
}

func TestNeverRunnableAndNoBackend(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(8), nil)
	j := state.Job{Key: state.JobKey{Service: "s", ID: "big"}, Tasks: []state.Task{{MemoryMB: 1 << 20}}}
	b.do(b.h.Handle(b.now, "entry", message.Submit{Job: j, Digest: j.Digest(), Attempt: "1"}))
	a := only(t, b)
	is.Equal(a.Outcome, state.NotRun)
	is.Equal(a.Reason, state.ReasonNeverRunnable)
	b = newBench(agents(), nil)
	b.submit("j", 1, 0, "1")
	b.pass(150 * time.Millisecond)
	a = only(t, b)
	is.Equal(a.Outcome, state.NotRun)
	is.Equal(a.Reason, state.ReasonNoBackend)
	is.True(a.RetryAfter > 0)
}

// A wave of stored answers exceeds the memory for them. The oldest lose their
// results, but never the knowledge that the job has run.
func TestStoredAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(100), func(o *Options) { o.StoredBytes = 60 * answerOverhead })
	for i := range 50 {
		b.submit(fmt.Sprint("j", i), 1, 0, "1")
		to, assigns := take[message.Assign](b)
		b.succeed(to[0], assigns[0])
	}
	take[message.Answer](b)
	b.submit("j0", 1, 0, "2")
	is.Equal(only(t, b).Outcome, state.Unknown)
	_, assigns := take[message.Assign](b)
	is.Equal(len(assigns), 0)
	b.submit("j49", 1, 0, "2")
	is.Equal(only(t, b).Outcome, state.Complete)
	b.pass(DefaultRetention + time.Minute)
	is.Equal(b.h.Stats(), Stats{})
}

// An agent is the home of jobs of fifty services, each of which stores less than
// the bound for answers. Together they must stay within it as well: the bound is
// the agent's memory, which the services share.
func TestStoredAnswersOfAllServicesAreBounded(t *testing.T) {
	is := is.New(t)
	const bound = 60 * answerOverhead
	b := newBench(agents(1000), func(o *Options) { o.StoredBytes = bound })
	for i := range 50 {
		for n := range 4 {
			key := state.JobKey{Service: fmt.Sprint("s", i), ID: fmt.Sprint("j", n)}
			j := state.Job{Key: key, Operator: "op", Tasks: []state.Task{{Cores: 1}, {Cores: 1}}}
			b.do(b.h.Handle(b.now, "entry", message.Submit{Job: j, Digest: j.Digest(), Attempt: "1"}))
			to, assigns := take[message.Assign](b)
			for k := range assigns {
				b.succeed(to[k], assigns[k])
			}
		}
	}
	b.pass(coordination.TickInterval)
	// Each service keeps its newest answer and of the others that they ran.
	atLeast := 50 * (3*answerOverhead + answerSize(&message.Answer{Results: make([]state.TaskResult, 2)}) + 4)
	is.True(b.h.Stats().StoredBytes <= atLeast)
	b.pass(DefaultRetention + time.Minute)
	is.Equal(b.h.Stats(), Stats{})
	is.Equal(b.h.stored.Load(), int64(0))
}

// BenchmarkJob is a job of six tasks from submission to answer at one home with
// 32 candidates, without the claim, the links and the admission.
func BenchmarkJob(b *testing.B) {
	free := make([]int, 32)
	for i := range free {
		free[i] = 1 << 30
	}
	t := newBench(agents(free...), nil)
	n := 0
	for b.Loop() {
		t.submit(fmt.Sprint("j", n), 6, time.Second, "1")
		to, assigns := take[message.Assign](t)
		for i := range assigns {
			t.succeed(to[i], assigns[i])
		}
		t.sent = t.sent[:0]
		n++
	}
}

// denying refuses each claim with one verdict.
type denying struct{ coordination.Denied }

func (d denying) Claim(_ time.Time, key state.JobKey, _ state.Digest, attempt message.Attempt, _ state.Epoch, _ message.Fence) []coordination.Action {
	d.Key, d.Attempt = key, attempt
	return []coordination.Action{d.Denied}
}

// The guard finds the id recorded with other content, and can't tell whether this
// content ran as well. The home used to call that "not run" by itself; the caller
// would then have run the job again under a new id.
func TestConflictIsNotRunOnlyByTheGuardsWord(t *testing.T) {
	for _, outcome := range []state.Outcome{state.Unknown, state.NotRun} {
		is := is.New(t)
		v := coordination.Denied{Outcome: outcome, Reason: state.ReasonIDConflict, Holder: "other"}
		b := newBench(agents(8), func(o *Options) { o.Claims = denying{v} })
		b.submit("j", 1, 0, "1")
		a := only(t, b)
		is.Equal(a.Outcome, outcome)
		is.Equal(a.Reason, state.ReasonIDConflict)
	}
}
