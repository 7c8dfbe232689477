package home

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// changingView shows loads that a test changes, and says whether all are known.
type changingView struct {
	loads   []state.AgentLoad
	unknown bool
}

func (v *changingView) Candidates(string) []state.AgentLoad { return v.loads }
func (v *changingView) AllKnown() bool                      { return !v.unknown }

const largeMB = 200_000

// oneLarge has two workers of the usual size and one that is large and busy.
func oneLarge() *changingView {
	v := agents(8, 8, 0)
	v[2].MemoryMB = 2 * largeMB
	return &changingView{loads: v}
}

func (b *bench) submitLarge(id string) {
	j := state.Job{Key: state.JobKey{Service: "s", ID: id}, Operator: "op", Tasks: []state.Task{{MemoryMB: largeMB}}}
	b.do(b.h.Handle(b.now, "entry", message.Submit{Job: j, Digest: j.Digest(), Attempt: "1"}))
}

// A job waits for the one worker that is large enough, and the worker leaves. The
// others take tasks all the time, so nothing else ends the wait: the job has no
// deadline. It is refused within a moment. When a large worker comes, the job is
// welcome.
func TestOnlyLargeWorkerLeavesAndComes(t *testing.T) {
	is := is.New(t)
	v := oneLarge()
	b := newBench(v, nil)
	b.submitLarge("j")
	b.pass(5 * time.Second)
	_, early := take[message.Answer](b)
	is.Equal(len(early), 0)
	all := v.loads
	v.loads = all[:2]
	b.pass(time.Second)
	a := only(t, b)
	is.Equal(a.Outcome, state.NotRun)
	is.Equal(a.Reason, state.ReasonNeverRunnable)
	b.submitLarge("k")
	is.Equal(only(t, b).Reason, state.ReasonNeverRunnable) // at once
	all[2].Free, all[2].Seq = 8, 9
	v.loads = all
	b.submitLarge("k2")
	to, _ := take[message.Assign](b)
	is.Equal(to[len(to)-1], state.NodeID("a2"))
}

// The large worker is away for a moment, as when its backend server restarts.
// What waits for it goes on waiting, and runs.
func TestLargeWorkerBlinks(t *testing.T) {
	is := is.New(t)
	v := oneLarge()
	b := newBench(v, nil)
	b.submitLarge("j")
	all := v.loads
	for range 5 {
		b.pass(time.Second)
		v.loads = all[:2]
		b.pass(stuckGrace / 2)
		v.loads = all
	}
	_, answers := take[message.Answer](b)
	is.Equal(len(answers), 0)
	all[2].Free, all[2].Seq = 8, 9
	take[message.Assign](b)
	b.pass(time.Second)
	to, _ := take[message.Assign](b)
	is.Equal(to[0], state.NodeID("a2"))
}

// The home has just started, or an agent has been silent and isn't evicted yet:
// its worker may be the large one. "Never" can't be said, so the caller is told
// to come back.
func TestNeverIsNotSaidWithoutNewsOfAll(t *testing.T) {
	is := is.New(t)
	v := oneLarge()
	v.loads, v.unknown = v.loads[:2], true
	b := newBench(v, nil)
	b.submitLarge("j")
	b.pass(time.Second)
	a := only(t, b)
	is.Equal(a.Outcome, state.NotRun)
	is.Equal(a.Reason, state.ReasonNoBackend)
	is.True(a.RetryAfter > 0)
}
