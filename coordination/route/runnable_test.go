package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// rareView has candidates of the usual size, and workers beyond them.
type rareView struct {
	fakeView
	rare    fakeView
	unknown bool
}

func (v *rareView) CandidatesFor(_ string, t *state.Task) (out []state.AgentLoad) {
	for _, l := range append(v.fakeView, v.rare...) {
		if l.Fits(t) {
			out = append(out, l)
		}
	}
	return out
}

func (v *rareView) AllKnown() bool { return !v.unknown }

func (b *bench) requestAccelerator(ticket uint64) []coordination.Action {
	job := state.Job{Key: quote, Repeatable: true, Tasks: []state.Task{{Accelerators: 1}}}
	return b.Submit(b.now, ticket, job, job.Digest(), time.Second)
}

// A repeatable request needs an accelerator. The one agent with one is not among
// the few that this entry works with. It goes there, and isn't called never
// runnable; and it is, at once, when that agent has left, and not any more when
// one comes.
func TestRareWorkerIsFound(t *testing.T) {
	is := is.New(t)
	v := &rareView{fakeView: agentLoads("a", "b"), rare: agentLoads("c")}
	v.rare[0].Accelerators = 1
	b := newBench(v)
	for range 2 {
		_, to := sent[message.Assign](b.requestAccelerator(1))
		is.Equal(to, []state.NodeID{"c"})
		rare := v.rare
		v.rare = nil
		got := delivered(b.requestAccelerator(2))
		is.Equal(got[0].Answer.Outcome, state.NotRun)
		is.Equal(got[0].Answer.Reason, state.ReasonNeverRunnable)
		v.rare = rare
	}
}

// The entry has no news yet of some agent. It may be the one with the
// accelerator: the caller is told to come back, not "never".
func TestNeverIsNotSaidWithoutNewsOfAll(t *testing.T) {
	is := is.New(t)
	b := newBench(&rareView{fakeView: agentLoads("a", "b"), unknown: true})
	got := delivered(b.requestAccelerator(1))
	is.Equal(got[0].Answer.Reason, state.ReasonNoBackend)
	is.True(got[0].Answer.RetryAfter > 0)
}

// Two thirds of a service's backend servers are held to be failing by their own
// agents. That many at once are no sign of bad workers, but of bad tasks: none is
// left out, and the agents are told to take tasks all the same. With one of six
// failing, that one is left out.
func TestEntryLeavesOutOnlyAPart(t *testing.T) {
	is := is.New(t)
	v := agentLoads("a", "b", "c", "d", "e", "f")
	v[0].Ejected = true
	asked := func() (to map[state.NodeID]int, override int) {
		b := newBench(v)
		to = make(map[state.NodeID]int)
		for n := range 100 {
			assigns, ids := sent[message.Assign](b.request(n+1, 0))
			to[ids[0]]++
			if assigns[0].Override {
				override++
			}
		}
		return to, override
	}
	to, override := asked()
	is.Equal(len(to), 5)
	is.Equal(to["a"], 0)
	is.Equal(override, 0)
	for i := range 4 {
		v[i].Ejected = true
	}
	to, override = asked()
	is.Equal(len(to), 6)
	is.Equal(override, 100)
}
