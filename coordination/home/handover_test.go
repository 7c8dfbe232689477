package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// leaver returns a home whose jobs' next home is "next", with n answered jobs.
func leaver(n int) *bench {
	b := newBench(agents(100), func(o *Options) { o.HomeOf = func(state.JobKey) state.NodeID { return "next" } })
	for i := range n {
		b.submit(fmt.Sprint("j", i), 1, 0, "1")
		to, assigns := take[message.Assign](b)
		b.succeed(to[0], assigns[0])
		b.pass(10 * time.Millisecond)
	}
	take[message.Answer](b)
	return b
}

// The new home has room for some of the answers only. It keeps the newest within
// its bound, in whatever order they come, and knows of the others that they ran.
func TestTakenAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	b := leaver(50)
	b.h.Leave(b.now)
	b.do(b.h.Tick(b.now))
	to, sent := take[message.HandOver](b)
	is.Equal(to, []state.NodeID{"next"}) // small answers share a message
	is.Equal(sent[0].Answers[0].Answer.Key.ID, "j49")
	const bound = 60 * answerOverhead
	next := newBench(agents(100), func(o *Options) { o.Self, o.StoredBytes = "next", bound })
	var reply message.HandOverReply
	for i := range sent[0].Answers {
		s := &sent[0].Answers[i]
		is.True(next.h.TakeOver(next.now, s))
		is.True(next.h.TakeOver(next.now, s)) // a repeated message changes nothing
		reply.Settled = append(reply.Settled, s.Answer.Key)
	}
	is.True(next.h.Stats().StoredBytes <= bound)
	next.submit("j49", 1, 0, "2")
	is.Equal(only(t, next).Outcome, state.Complete)
	next.submit("j0", 1, 0, "2")
	is.Equal(only(t, next).Outcome, state.Unknown)
	is.Equal(next.h.Stats().Running, 0)
	b.h.Handle(b.now, "other", reply) // it isn't for another to acknowledge
	b.pass(20 * time.Millisecond)
	is.True(!b.h.HandedOver())
	b.h.Handle(b.now, "next", reply)
	b.pass(time.Second)
	is.True(b.h.HandedOver())
	_, again := take[message.HandOver](b)
	is.Equal(len(again), 0)
	next.now = b.now
	next.pass(DefaultRetention)
	is.Equal(next.h.Stats(), Stats{})
}

// A job is refused as not run, and its home leaves. Either of the two homes may
// be asked by the caller who comes back. Both say "not run" and neither runs it,
// because neither can know that the other one doesn't.
func TestNotRunStaysNotRunOnceTheHomeLeaves(t *testing.T) {
	is := is.New(t)
	b := leaver(0)
	j := state.Job{Key: state.JobKey{Service: "s", ID: "big"}, Tasks: []state.Task{{Cores: 1000}}}
	b.do(b.h.Handle(b.now, "entry", message.Submit{Job: j, Digest: j.Digest(), Attempt: "1"}))
	is.Equal(only(t, b).Reason, state.ReasonNeverRunnable)
	b.h.Leave(b.now)
	b.do(b.h.Tick(b.now))
	_, sent := take[message.HandOver](b)
	next := newBench(agents(100), func(o *Options) { o.Self = "next" })
	is.True(next.h.TakeOver(next.now, &sent[0].Answers[0]))
	for _, h := range []*bench{b, next} {
		h.do(h.h.Handle(h.now, "entry", message.Submit{Job: j, Digest: j.Digest(), Attempt: "2"}))
		a := only(t, h)
		is.Equal(a.Outcome, state.NotRun)
		is.Equal(a.Reason, state.ReasonHomeLost)
		is.Equal(a.RetryAfter, time.Duration(0)) // coming back doesn't help
		is.True(h.h.Idle())
	}
}

// A resubmission waits for its claim's verdict at the new home when the answer
// comes. The home must not say that it is settled: the verdict will be that
// another holds the claim, and the answer would be lost.
func TestAnswerComesWhileTheClaimIsAsked(t *testing.T) {
	is := is.New(t)
	b := leaver(1)
	b.h.Leave(b.now)
	b.do(b.h.Tick(b.now))
	_, sent := take[message.HandOver](b)
	s := &sent[0].Answers[0]
	next := newBench(agents(100), func(o *Options) { o.Self = "next" })
	j := state.Job{Key: s.Answer.Key, Tasks: make([]state.Task, 1)}
	verdicts := next.h.Handle(next.now, "entry", message.Submit{Job: j, Digest: s.Digest, Attempt: "1"})
	is.Equal(len(verdicts), 1)
	is.True(!next.h.TakeOver(next.now, s))
}

// An entry hears nothing of a long job and asks again with the same attempt. The
// home says that it is at work; the first to ask and others that join hear only
// the answer.
func TestProbeGetsASignOfLife(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(8), nil)
	b.submit("j", 1, 0, "1")
	b.submit("j", 1, 0, "2")
	_, early := take[message.Answer](b)
	is.Equal(len(early), 0)
	b.submit("j", 1, 0, "1")
	a := only(t, b)
	is.Equal(a.Outcome, state.Pending)
	is.Equal(a.Attempt, message.Attempt("1"))
	to, assigns := take[message.Assign](b)
	is.Equal(len(assigns), 1)
	b.succeed(to[0], assigns[0])
	_, answers := take[message.Answer](b)
	is.Equal(len(answers), 2)
}
