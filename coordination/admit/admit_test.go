package admit

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

const home = state.NodeID("h")

type bench struct {
	m       *Machine
	now     time.Time
	starts  []coordination.StartTask
	stops   []coordination.Control
	reports []message.Report
}

func newBench(o Options, b state.Backend) *bench {
	o.Self = state.Member{ID: "a"}
	t := &bench{m: New(o), now: time.Unix(1000, 0)}
	t.do(t.m.Announce(t.now, b))
	return t
}

func backend(slots int) state.Backend {
	return state.Backend{ID: "b", Services: []string{"s"}, Slots: slots, Connections: 64, Cores: 16, MemoryMB: 1000, TTL: time.Hour}
}

func (b *bench) do(actions []coordination.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case coordination.StartTask:
			b.starts = append(b.starts, a)
		case coordination.Control:
			b.stops = append(b.stops, a)
		case coordination.Send:
			b.reports = append(b.reports, a.Msg.(message.Report))
		}
	}
}

func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(coordination.TickInterval)
		b.do(b.m.Tick(b.now))
	}
}

func key(id string) state.JobKey { return state.JobKey{Service: "s", ID: id} }

func assign(id string, try uint32, memory int64, indexes ...int) message.Assign {
	a := message.Assign{Key: key(id), Operator: "op", Indexes: indexes}
	for range indexes {
		a.Tasks = append(a.Tasks, state.Task{Cores: 1, MemoryMB: memory})
		a.Tries = append(a.Tries, try)
	}
	return a
}

func (b *bench) handle(m message.Message) { b.do(b.m.Handle(b.now, home, m)) }

func (b *bench) finish(t state.TaskKey, err string) {
	b.do(b.m.Finished(b.now, t, state.TaskResult{Err: err, Ran: time.Millisecond}))
}

// refusedFor returns the refused indexes that were reported for a reason.
func (b *bench) refusedFor(why state.Reason) (out []int) {
	for _, r := range b.reports {
		if r.Reason == why {
			out = append(out, r.Refused...)
		}
	}
	return out
}

// The same Assign arrives three times: twice at once and once after the task
// has ended. The task starts once; the last copy gets the kept result again.
func TestRepeatedAssignStartsOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{}, backend(8))
	b.handle(assign("j", 0, 10, 0))
	b.handle(assign("j", 0, 10, 0))
	is.Equal(len(b.starts), 1)
	is.Equal(b.reports[0].Running, []int{0})
	b.finish(b.starts[0].Task, "")
	b.pass(10 * time.Millisecond)
	b.reports = nil
	b.handle(assign("j", 0, 10, 0))
	is.Equal(len(b.starts), 1)
	is.Equal(len(b.reports[0].Results), 1)
}

// A home asks about a task whose Assign is still on its way, is told "ruled
// out", and tells its caller "not run". When the Assign arrives after all the
// task must not start; a new placement, with a higher try, may.
func TestQueryBarsWhatItHasNotSeen(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{}, backend(8))
	b.handle(message.TaskQuery{Key: key("j"), Indexes: []int{3}, Tries: []uint32{1}})
	is.Equal(b.reports[0].Refused, []int{3})
	is.Equal(b.reports[0].Tries, []uint32{1})
	b.handle(assign("j", 1, 10, 3))
	is.Equal(len(b.starts), 0)
	b.handle(assign("j", 2, 10, 3))
	is.Equal(len(b.starts), 1)
}

// A home drops a job of which one task runs, one waits and one was never seen.
// The first is stopped and named as running, the other two are ruled out.
func TestDropSettles(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{}, backend(1))
	b.handle(assign("j", 0, 10, 0, 1))
	b.handle(message.Drop{Key: key("j"), Indexes: []int{0, 1, 2}, Tries: []uint32{0, 0, 0}})
	is.Equal(len(b.stops), 1)
	r := b.reports[len(b.reports)-1]
	is.Equal(r.Running, []int{0})
	is.Equal(r.Refused, []int{1, 2})
	b.finish(b.starts[0].Task, "stopped")
	b.handle(assign("j", 0, 10, 1, 2))
	is.Equal(len(b.starts), 1)
}

// Tasks declare 100 MB and use 300. Workers start whatever they are given, so
// believing the declaration would run the worker out of memory. After the
// first usage reports, the first of them of a task that has ended, no more are started than fit at the learned size.
func TestLearnedMemoryIsNeverOvercommitted(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{}, backend(8))
	b.handle(assign("j", 0, 100, 0))
	ended := b.starts[0].Task
	b.finish(ended, "")
	b.handle(assign("j", 0, 100, 9))
	b.do(b.m.Usage(b.now, []state.Usage{{Task: ended, MemoryMB: 300, Cores: 1}}))
	b.do(b.m.Usage(b.now, []state.Usage{{Task: b.starts[1].Task, MemoryMB: 300, Cores: 1}}))
	b.starts = b.starts[1:]
	b.handle(assign("j", 0, 100, 1, 2, 3, 4, 5))
	is.Equal(len(b.starts), 3) // 900 of 1000 MB
	is.Equal(len(b.refusedFor(state.ReasonBusy)), 1)
	b.finish(b.starts[0].Task, "")
	is.Equal(len(b.starts), 4)
}

// A task that needs most of the worker waits behind small ones that keep
// coming. After headPatience nothing passes it any more, so it gets its turn.
func TestLargeTaskIsNotStarved(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{QueueLimit: 4}, backend(8))
	b.handle(assign("small", 0, 100, 0, 1))
	b.handle(assign("large", 0, 900, 0))
	b.handle(assign("more", 0, 100, 0))
	is.Equal(len(b.starts), 3)
	b.pass(headPatience + 10*time.Millisecond)
	b.handle(assign("more", 0, 100, 1))
	is.Equal(len(b.starts), 3)
	for _, s := range slices.Clone(b.starts) {
		b.finish(s.Task, "")
	}
	is.Equal(b.starts[3].Task.Job.ID, "large")
}

// A planned leave or a lapsed announcement refuses what waits at once and
// starts nothing more, whatever the homes still believe; what runs ends.
func TestLeavingRefusesAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		leave func(*bench)
		want  state.Reason
	}{
		"withdrawn": {func(b *bench) { b.do(b.m.Withdraw(b.now, "b")) }, state.ReasonNoBackend},
		"draining":  {func(b *bench) { b.do(b.m.Drain(b.now)) }, state.ReasonDraining},
		"lapsed":    {func(b *bench) { b.pass(2 * time.Hour) }, state.ReasonLeaseLapsed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(Options{Retention: 10 * time.Hour}, backend(1))
			b.handle(assign("j", 0, 10, 0, 1))
			c.leave(b)
			is.Equal(b.refusedFor(c.want), []int{1})
			b.handle(assign("j", 0, 10, 2))
			is.Equal(b.refusedFor(c.want), []int{1, 2})
			b.finish(b.starts[0].Task, "")
			b.pass(coordination.TickInterval)
			is.Equal(len(b.starts), 1)
			is.Equal(len(b.reports[len(b.reports)-1].Results), 1)
			is.Equal(b.m.Load().Free, 0)
		})
	}
}

// The agent's process is paused for longer than its lease with a task waiting.
// Meanwhile its home may have been told that the agent is gone. On waking it
// starts nothing until the backend server has renewed its announcement.
func TestPauseBeyondTheLeaseStartsNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{}, backend(1))
	b.handle(assign("j", 0, 10, 0, 1))
	b.now = b.now.Add(DefaultLeaseTTL + time.Second)
	b.finish(b.starts[0].Task, "")
	is.Equal(len(b.starts), 1)
	is.Equal(b.refusedFor(state.ReasonLeaseLapsed), []int{1})
	b.do(b.m.Announce(b.now, backend(1)))
	b.handle(assign("j", 1, 10, 1))
	is.Equal(len(b.starts), 2)
}

// A home is evicted with one task running here and one waiting. Nobody is left
// to take the answer: the waiting one doesn't start, the running one ends.
func TestTasksOfAnEvictedHome(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{}, backend(1))
	b.handle(assign("j", 0, 10, 0, 1))
	b.do(b.m.PeerGone(b.now, home))
	b.finish(b.starts[0].Task, "")
	is.Equal(len(b.starts), 1)
	b.pass(coordination.TickInterval)
	is.True(b.m.Idle())
}

// A restarted backend server announces another id. The tasks that ran under
// the old one have started and are lost: they fail, and don't start again.
func TestRestartedBackendFailsItsTasks(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{}, backend(2))
	b.handle(assign("j", 0, 10, 0))
	other := backend(2)
	other.ID = "b2"
	b.do(b.m.Announce(b.now, other))
	is.True(b.reports[0].Results[0].Err != "")
	b.handle(assign("j", 0, 10, 0))
	is.Equal(len(b.starts), 1)
}

// A broken worker fails all it starts at once, and so always looks idle. After
// a few failures from different jobs it is ejected; after a pause one task
// probes it, and a success brings it back. One job of bad tasks doesn't eject.
func TestEjectionAndProbe(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{}, backend(8))
	for i := range 20 {
		b.handle(assign("bad tasks", 0, 10, i))
		b.finish(b.starts[len(b.starts)-1].Task, "bad")
	}
	is.True(!b.m.Load().Ejected)
	for i := range 2 {
		b.handle(assign(fmt.Sprint("j", i), 0, 10, 0))
		b.finish(b.starts[len(b.starts)-1].Task, "bad")
	}
	is.True(b.m.Load().Ejected)
	n := len(b.starts)
	b.handle(assign("k", 0, 10, 0))
	is.Equal(len(b.starts), n)
	is.Equal(b.refusedFor(state.ReasonEjected), []int{0})
	b.pass(probePauseFirst + 10*time.Millisecond)
	is.Equal(b.m.Load().Free, 1)
	b.handle(assign("l", 0, 10, 0, 1))
	is.Equal(len(b.starts), n+1) // one probe, the other refused
	b.finish(b.starts[n].Task, "")
	is.Equal(b.m.Load().Free, 8)
}

// A backend server refuses every task though it says it has slots. One job waits,
// and its home sends the refused tasks again each time that slots look free:
// two messages a try, without end. The agent has to take itself out after a few.
func TestRefusingBackendIsEjectedByOneJob(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{}, backend(8))
	for i := range ejectAfter {
		is.True(!b.m.Load().Ejected)
		b.handle(assign("j", 0, 10, i))
		b.do(b.m.NotStarted(b.now, b.starts[len(b.starts)-1].Task, state.ReasonBusy))
	}
	is.True(b.m.Load().Ejected)
	n := len(b.starts)
	b.handle(assign("j", 0, 10, ejectAfter))
	is.Equal(len(b.starts), n)
	b.pass(probePauseFirst + 10*time.Millisecond)
	is.Equal(b.m.Load().Free, 1) // a probe
}

// Two operators' homes wait for the one slot. Offers alternate between them,
// travel with results where they can, and lapse when nothing comes of them.
func TestOffersTakeTurns(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{QueueLimit: 1}, backend(1))
	b.handle(assign("j", 0, 10, 0))
	for _, h := range []state.NodeID{"h1", "h2"} {
		b.do(b.m.Handle(b.now, h, message.Assign{Key: key(string(h)), Operator: string(h), Backlog: 5}))
	}
	var offered []string
	task := b.starts[0].Task
	for i := range 4 {
		b.reports = nil
		b.finish(task, "")
		for _, r := range b.reports {
			if r.Credit > 0 {
				offered = append(offered, r.Key.ID)
			}
		}
		h := state.NodeID(offered[len(offered)-1])
		b.do(b.m.Handle(b.now, h, assign(string(h), 0, 10, i)))
		task = b.starts[len(b.starts)-1].Task
		b.now = b.now.Add(time.Second)
	}
	is.True(offered[0] != offered[1])
}

// One operator floods three homes with jobs, another waits at one home for the
// single slot. Offers alternate between the operators, not between the homes.
func TestOffersAreFairBetweenOperators(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{}, backend(2))
	b.handle(assign("j", 0, 10, 0, 1))
	wait := func(h state.NodeID, operator string) {
		b.do(b.m.Handle(b.now, h, message.Assign{Key: key(string(h)), Operator: operator, Backlog: 9}))
	}
	wait("f1", "flood")
	wait("f2", "flood")
	wait("f3", "flood")
	wait("q1", "quiet")
	for range 2 {
		b.finish(b.starts[0].Task, "")
		b.starts = b.starts[1:]
	}
	offered := map[string]int{}
	for _, r := range b.reports {
		if r.Credit > 0 {
			offered[r.Key.ID] += r.Credit
		}
	}
	is.Equal(offered, map[string]int{"f1": 1, "q1": 1})
	b.reports = nil
	b.pass(DefaultCreditTTL + coordination.TickInterval) // nothing came of them
	is.Equal(b.m.Load().Free, 0)                         // the next homes have them
	is.True(len(b.reports) > 0)
}

// Two operators wait for eight slots, one with three times the priority of the
// other. Offers go to them by priority, the lower one isn't left without.
func TestOffersFollowPriority(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{}, backend(8))
	b.handle(assign("j", 0, 10, 0, 1, 2, 3, 4, 5, 6, 7))
	for operator, priority := range map[string]int{"high": 75, "low": 25} {
		b.do(b.m.Handle(b.now, state.NodeID(operator), message.Assign{Key: key(operator), Operator: operator, Backlog: 9, Priority: priority}))
	}
	for _, s := range slices.Clone(b.starts) {
		b.finish(s.Task, "")
	}
	offered := map[string]int{}
	for _, r := range b.reports {
		offered[r.Key.ID] += r.Credit
	}
	is.Equal(offered["high"], 6)
	is.Equal(offered["low"], 2)
}

func TestResultsInOneTickTravelTogether(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{}, backend(8))
	b.handle(assign("j", 0, 10, 0, 1, 2, 3))
	for _, s := range b.starts {
		b.finish(s.Task, "")
	}
	b.pass(coordination.TickInterval)
	is.Equal(len(b.reports), 2) // the first at once, the others with the tick
	is.Equal(len(b.reports[1].Results), 3)
	is.True(b.m.Idle())
}

func TestResultsAndJobsAreForgottenInTime(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{ResultBytes: 3 * resultOverhead, Retention: time.Minute}, backend(8))
	for i := range 10 {
		b.handle(assign("j", 0, 10, i))
		b.finish(b.starts[i].Task, "")
	}
	is.True(b.m.kept.bytes <= 3*resultOverhead)
	is.True(len(b.m.jobs[key("j")].entries) <= 3)
	b.reports = nil
	b.handle(assign("j", 7, 10, 0)) // its result is gone, but not that it ran
	is.Equal(len(b.starts), 10)
	for _, r := range b.reports[len(b.reports)-1].Results {
		is.True(r.Index != 0 || r.Err != "")
	}
	b.pass(2 * time.Minute)
	is.Equal(len(b.m.jobs), 0)
}
