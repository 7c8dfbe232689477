package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// fakeRoster is a roster of one pair that tests move by hand.
type fakeRoster struct {
	home, witness state.NodeID
	epoch         state.Epoch
	dead          map[state.NodeID]bool
}

func (f *fakeRoster) Pair(string, state.JobKey) (state.NodeID, state.NodeID, state.Epoch, bool) {
	return f.home, f.witness, f.epoch, f.home != ""
}

func (f *fakeRoster) Alive(id state.NodeID) bool { return !f.dead[id] }

type fakeView []state.AgentLoad

func (v fakeView) Candidates(string) []state.AgentLoad { return v }

func agentLoads(ids ...state.NodeID) fakeView {
	var v fakeView
	for _, id := range ids {
		v = append(v, state.AgentLoad{ID: id, Slots: 8, Free: 8, Cores: 16, MemoryMB: 64 << 10})
	}
	return v
}

var (
	start  = time.Unix(1_000_000, 0)
	quote  = state.JobKey{Service: "bench", ID: "quote-1"}
	millis = time.Millisecond
)

type bench struct {
	*Router
	roster *fakeRoster
	now    time.Time
}

func newBench(v View) *bench {
	roster := &fakeRoster{home: "h", witness: "w", epoch: 7, dead: map[state.NodeID]bool{}}
	return &bench{New(Options{Self: "e1", Roster: roster, View: v, Seed: 1}), roster, start}
}

func (b *bench) submit(ticket uint64, repeatable bool, deadline time.Duration) []coordination.Action {
	job := state.Job{Key: quote, Operator: "haneul", Repeatable: repeatable, Tasks: []state.Task{{Payload: []byte("1")}}}
	return b.Submit(b.now, ticket, job, job.Digest(), deadline)
}

// pass ticks through d and returns all actions.
func (b *bench) pass(d time.Duration) []coordination.Action {
	var acts []coordination.Action
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(coordination.TickInterval)
		acts = append(acts, b.Tick(b.now)...)
	}
	return acts
}

func sent[M message.Message](acts []coordination.Action) (msgs []M, to []state.NodeID) {
	for _, a := range acts {
		if s, ok := a.(coordination.Send); ok {
			if m, ok := s.Msg.(M); ok {
				msgs, to = append(msgs, m), append(to, s.To)
			}
		}
	}
	return msgs, to
}

func delivered(acts []coordination.Action) (out []coordination.Deliver) {
	for _, a := range acts {
		if d, ok := a.(coordination.Deliver); ok {
			out = append(out, d)
		}
	}
	return out
}

func TestJobIsAnsweredOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	subs, to := sent[message.Submit](b.submit(1, false, time.Second))
	is.Equal(to, []state.NodeID{"h"})
	is.Equal(subs[0].Epoch, state.Epoch(7))
	answer := message.Answer{Key: quote, Attempt: subs[0].Attempt, Outcome: state.Complete, Results: make([]state.TaskResult, 1)}
	got := delivered(b.Handle(b.now, "h", answer))
	is.Equal(len(got), 1)
	is.Equal(got[0].Answer.Outcome, state.Complete)
	is.Equal(len(b.Handle(b.now, "h", answer)), 0) // repeated
	is.True(b.Idle())
}

func TestShortAnswerIsNeverComplete(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	subs, _ := sent[message.Submit](b.submit(1, false, time.Second))
	got := delivered(b.Handle(b.now, "h", message.Answer{Key: quote, Attempt: subs[0].Attempt, Outcome: state.Complete}))
	is.Equal(got[0].Answer.Outcome, state.Failed)
}

// The desk clerk submits again while the first submission is under way. Both
// callers get the one answer, and the home hears of the job once.
func TestResubmissionSharesTheFlight(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	subs, _ := sent[message.Submit](b.submit(1, false, time.Second))
	again, _ := sent[message.Submit](b.submit(2, false, time.Second))
	is.Equal(len(again), 0)
	b.Abandon(b.now, 1)
	got := delivered(b.Handle(b.now, "h", message.Answer{Key: quote, Attempt: subs[0].Attempt, Outcome: state.Failed}))
	is.Equal(len(got), 1)
	is.Equal(got[0].Ticket, uint64(2))
}

func TestQueryAndCancelAreRelayed(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	q, _ := sent[message.Submit](b.Query(b.now, 1, quote))
	is.True(q[0].Query)
	got := delivered(b.Handle(b.now, "h", message.Answer{Key: quote, Attempt: q[0].Attempt, Outcome: state.Pending}))
	is.Equal(got[0].Answer.Outcome, state.Pending)
	c, _ := sent[message.Cancel](b.Cancel(b.now, 2, quote))
	got = delivered(b.Handle(b.now, "h", message.Answer{Key: quote, Attempt: c[0].Attempt, Outcome: state.Failed, Reason: state.ReasonCancelled}))
	is.Equal(got[0].Ticket, uint64(2))
}

// The home never answers, its link is fine. The caller gets its answer when
// its time has passed, as Unknown, and nothing is asked after that. A share
// without a pair may have had one that ran the id, also if this entry, which has
// just started, never heard of one, and nobody is there to ask: Unknown at once.
func TestDeadline(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	b.submit(1, false, 300*millis)
	is.Equal(len(delivered(b.pass(295*millis))), 0)
	acts := b.pass(10 * millis)
	is.Equal(delivered(acts)[0].Answer.Outcome, state.Unknown)
	is.Equal(delivered(acts)[0].Answer.Reason, state.ReasonDeadline)
	is.Equal(len(b.pass(20*time.Second)), 0)

	for _, epoch := range []state.Epoch{0, 7} {
		b = newBench(nil)
		b.roster.home, b.roster.epoch = "", epoch
		got := delivered(b.submit(1, false, 300*millis))
		is.Equal(got[0].Answer.Outcome, state.Unknown)
		is.Equal(got[0].Answer.Reason, state.ReasonNoPair)
		is.True(got[0].Answer.RetryAfter > 0)
	}
}

func TestRepeatableGoesToTheLessLoadedAgent(t *testing.T) {
	is := is.New(t)
	v := agentLoads("a", "b")
	v[0].Free = 0
	b := newBench(v)
	assigns, to := sent[message.Assign](b.submit(1, true, time.Second))
	is.Equal(to, []state.NodeID{"b"})
	got := delivered(b.Handle(b.now, "b", message.Report{Key: assigns[0].Key, Results: []state.TaskResult{{}}}))
	is.Equal(got[0].Answer.Outcome, state.Complete)
	is.Equal(got[0].Answer.Key, quote)
	is.Equal(got[0].Answer.Stats.Wasted, 0)
}

// The caller of one entry was told "not run", and another entry's submission of
// the id is refused with the pair's fence. If it came since, and its caller waits,
// it is made anew with the fence. If it is the older one, or its caller has gone
// away, nothing may be made anew: "not run" was said of it too.
func TestFencedSubmissionIsMadeAnewForACallerThatWaits(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration // of the fence, when the refusal comes
		gone bool
		anew bool
	}{
		{age: 30 * millis, anew: true},
		{age: 30 * millis, gone: true},
		{age: 10 * millis},
	} {
		is := is.New(t)
		b := newBench(nil)
		subs, _ := sent[message.Submit](b.submit(1, false, 5*time.Second))
		if c.gone {
			b.Abandon(b.now, 1)
		}
		b.pass(20 * millis)
		barred := message.Answer{
			Key: quote, Attempt: subs[0].Attempt, Outcome: state.NotRun, Reason: state.ReasonBarred,
			Epoch: subs[0].Epoch, Fence: message.Fence{Witness: 3, Age: c.age},
		}
		acts := b.Handle(b.now, "h", barred)
		again, _ := sent[message.Submit](acts)
		is.Equal(len(again) > 0, c.anew)
		if !c.anew {
			is.True(c.gone || delivered(acts)[0].Answer.Outcome == state.NotRun)
			continue
		}
		is.Equal(again[0].Fence, message.Fence{Witness: 3})
		is.True(again[0].Attempt != subs[0].Attempt)
		// The same fence once more is no reason to go on and on.
		barred.Attempt = again[0].Attempt
		more, _ := sent[message.Submit](b.Handle(b.now, "h", barred))
		is.Equal(len(more), 0)
	}
}
