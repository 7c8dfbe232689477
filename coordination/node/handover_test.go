package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// exits drains an agent and ends it as soon as it is done.
func (w *world) exits(h *host) {
	w.t.Helper()
	w.execute(h, h.agent.Drain(w.now))
	if !w.finish(h) {
		w.t.Fatalf("seed %d: the planned stop of %s did not end", w.seed, h.id)
	}
	// Links to it break, and some time passes before anybody asks.
	for _, other := range w.hosts {
		if !other.dead {
			w.execute(other, other.node.PeerDown(w.now, h.id))
		}
	}
	w.run(10 * time.Second)
}

// answered returns what the caller was told.
func (w *world) answered(ticket uint64) message.Answer {
	w.t.Helper()
	if w.tickets[ticket].answer == nil {
		w.t.Fatalf("seed %d: ticket %d has no answer", w.seed, ticket)
	}
	return *w.tickets[ticket].answer
}

// idsOf returns ids of jobs that have the same home as the first.
func idsOf(w *world, e *host, n int) (home *host, ids []string) {
	home, _ = homeOf(w, e, "job-0")
	for i := 0; len(ids) < n; i++ {
		id := fmt.Sprintf("job-%d", i)
		if h, _ := homeOf(w, e, id); h == home {
			ids = append(ids, id)
		}
	}
	return home, ids
}

// A caller has its answer, or lost it on the way. The job's home is stopped as
// planned and exits. The caller submits again through another entry, and gets
// the whole stored answer: the home sent it to the next one before it exited.
func TestPlannedStopHandsAnswersOver(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, _ := settled(t, 31)
	home, _ := homeOf(w, entries[0], "intake")
	first := w.submit(entries[0], "intake", 20, 20*time.Second)
	w.run(10 * time.Second)
	is.Equal(w.answered(first).Outcome, state.Complete)
	w.exits(home)
	again := w.submit(entries[1], "intake", 20, 20*time.Second)
	w.run(10 * time.Second)
	w.check()
	is.Equal(w.answered(again).Outcome, state.Complete)
	is.Equal(w.answered(again).Results, w.answered(first).Results)
	is.Equal(len(w.starts), 20)
}

// As before, but messages are lost, come twice and come late. What counts is
// asked and sent again, so each of many jobs has its answer at its new home, and
// no task starts a second time.
func TestHandOverOnABadNetwork(t *testing.T) {
	t.Parallel()
	for seed := uint64(40); seed < 40+badNetworkSeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w, entries, _ := settled(t, seed)
			home, _ := homeOf(w, entries[0], "job-0")
			var first []uint64
			for i := range 40 {
				first = append(first, w.submit(entries[0], fmt.Sprintf("job-%d", i), 3, 20*time.Second))
			}
			w.run(15 * time.Second)
			w.loss, w.repeat, w.lateMax = 0.2, 0.2, 300*time.Millisecond
			w.exits(home)
			w.loss, w.repeat, w.lateMax = 0, 0, 0
			w.run(time.Second)
			for i := range first {
				again := w.submit(entries[1], fmt.Sprintf("job-%d", i), 3, 20*time.Second)
				w.run(5 * time.Second)
				is.Equal(w.answered(again).Outcome, state.Complete)
				is.Equal(w.answered(again).Results, w.answered(first[i]).Results)
			}
			w.check()
			is.Equal(len(w.starts), 3*len(first))
		})
	}
}

// Two homes stop one after the other. The second has the answer from the first
// and hands it on, although the claim names the first.
func TestTwoStopsInARow(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, _ := settled(t, 32)
	first := w.submit(entries[0], "intake", 20, 20*time.Second)
	w.run(10 * time.Second)
	for range 2 {
		home, _ := homeOf(w, entries[0], "intake")
		w.exits(home)
	}
	again := w.submit(entries[1], "intake", 20, 20*time.Second)
	w.run(10 * time.Second)
	w.check()
	is.Equal(w.answered(again).Outcome, state.Complete)
	is.Equal(w.answered(again).Results, w.answered(first).Results)
	is.Equal(len(w.starts), 20)
}

// Every host is replaced, one after the other, while callers submit jobs and
// submit old ones again at any moment of it. Nothing is lost on the network, so
// each of them gets the whole answer, and each task starts once. With the first
// seeds a caller comes just after a join, before the newcomer has the answers.
func TestReplacingTheFleet(t *testing.T) {
	t.Parallel()
	seeds := []uint64{1017, 1022, 1046, 1000, 1001, 1002, 1003, 1004, 1005, 1006, 1007, 1008}[:fleetSeeds]
	if testing.Short() {
		seeds = seeds[:min(3, len(seeds))]
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			replaceFleet(t, seed)
		})
	}
}

func replaceFleet(t *testing.T, seed uint64) {
	is := is.New(t)
	w, entries, agents := settled(t, seed)
	n := 0
	traffic := func() {
		for range 20 {
			w.submit(entries[n%2], fmt.Sprintf("job-%d", n), 3, 30*time.Second)
			n++
			w.submit(entries[w.rng.IntN(2)], fmt.Sprintf("job-%d", w.rng.IntN(n)), 3, 30*time.Second)
			w.run(100 * time.Millisecond)
		}
	}
	for i, old := range agents {
		traffic()
		w.execute(old, old.agent.Drain(w.now))
		traffic()
		is.True(w.finish(old))
		for _, h := range w.hosts {
			w.execute(h, h.node.PeerDown(w.now, old.id))
		}
		traffic()
		w.addAgent(fmt.Sprintf("agent-%d", 10+i), []string{"jeonju", "iksan", "gunsan", "jeonju", "iksan"}[i], 4)
		traffic()
	}
	for i := range n {
		w.submit(entries[i%2], fmt.Sprintf("job-%d", i), 3, 30*time.Second)
		w.run(10 * time.Millisecond)
	}
	w.quiet(40 * time.Second)
	w.check()
	is.Equal(w.outcomes(), map[string]int{"complete": len(w.tickets)})
	is.Equal(len(w.starts), 3*n)
}

// deaf is an agent that loses some of the messages sent to it.
type deaf struct {
	*Agent
	loses func(message.Message) bool
}

func (d *deaf) Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action {
	if d.loses(msg) {
		return nil
	}
	return d.Agent.Handle(now, from, msg)
}

// The answer reaches the new home before the claims do: all pages of its pulls
// are lost for a second. It must not refuse the answer then, because it can't
// know yet whose the claim is; it gets it once more when it can.
func TestAnswerArrivesBeforeTheClaim(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, agents := settled(t, 33)
	home, ids := idsOf(w, entries[0], 12)
	for _, id := range ids {
		w.submit(entries[0], id, 2, 20*time.Second)
	}
	w.run(5 * time.Second)
	var early, all int
	until := w.now.Add(time.Second)
	for _, a := range agents {
		a.node = &deaf{a.agent, func(m message.Message) bool {
			if _, ok := m.(message.HandOver); ok {
				all++
				if w.now.Before(until) {
					early++
				}
			}
			_, page := m.(message.PullReply)
			return page && w.now.Before(until)
		}}
	}
	w.exits(home)
	for _, id := range ids {
		again := w.submit(entries[1], id, 2, 20*time.Second)
		w.run(time.Second)
		is.Equal(w.answered(again).Outcome, state.Complete)
	}
	w.check()
	is.True(early > 0 && all > early)
	is.Equal(len(w.starts), 2*len(ids))
}

// Nothing that is handed over arrives for two seconds: the agent doesn't exit
// before its answers are acknowledged. Nothing ever arrives: the planned stop ends
// all the same, and the caller hears that its job may have run.
func TestStopWaitsForAcknowledgements(t *testing.T) {
	t.Parallel()
	for lost, want := range map[time.Duration]state.Outcome{2 * time.Second: state.Complete, time.Hour: state.Unknown} {
		t.Run(lost.String(), func(t *testing.T) {
			is := is.New(t)
			w, entries, agents := settled(t, 34)
			home, _ := homeOf(w, entries[0], "intake")
			w.submit(entries[0], "intake", 5, 20*time.Second)
			w.run(5 * time.Second)
			until := w.now.Add(lost)
			for _, a := range agents {
				a.node = &deaf{a.agent, func(m message.Message) bool {
					_, given := m.(message.HandOver)
					return given && w.now.Before(until)
				}}
			}
			home.agent.linger = time.Nanosecond // it waits for its answers alone
			w.exits(home)
			again := w.submit(entries[1], "intake", 5, 20*time.Second)
			w.run(5 * time.Second)
			w.check()
			is.Equal(w.answered(again).Outcome, want)
			is.Equal(len(w.starts), 5)
		})
	}
}

// One job is complete and one was cancelled while it ran when their homes stop,
// and a new agent joins afterwards, which makes it the home of some. Whoever
// asks, cancels or submits again hears what became of the job, wherever its
// answer was handed.
func TestAnswersFollowTheirHome(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, _ := settled(t, 35)
	entry := entries[1].node.(*Entry)
	home, ids := idsOf(w, entries[0], 24)
	for i, id := range ids {
		w.submit(entries[0], id, 4, 20*time.Second)
		w.run(80 * time.Millisecond)
		if i%2 == 1 {
			w.execute(entries[0], entries[0].node.(*Entry).Cancel(w.now, 1<<30+uint64(i), state.JobKey{Service: "bench-desk", ID: id}))
		}
	}
	w.run(10 * time.Second)
	started := len(w.starts)
	w.exits(home)
	newcomer := w.addAgent("agent-9", "gunsan", 4)
	w.run(20 * time.Second)
	moved := 0
	for i, id := range ids {
		want := state.Complete
		if i%2 == 1 {
			want = state.Failed
		}
		if h, _ := homeOf(w, entries[1], id); h == newcomer {
			moved++
		}
		key := state.JobKey{Service: "bench-desk", ID: id}
		job := w.tickets[uint64(i+1)].job
		get, cancel := uint64(1<<31+i), uint64(1<<32+i)
		w.tickets[get] = &ticket{job: job, begun: w.now}
		w.tickets[cancel] = &ticket{job: job, begun: w.now}
		w.execute(entries[1], entry.Query(w.now, get, key))
		w.run(time.Second)
		w.execute(entries[1], entry.Cancel(w.now, cancel, key))
		w.run(time.Second)
		again := w.submit(entries[1], id, 4, 20*time.Second)
		w.run(time.Second)
		for _, tk := range []uint64{get, cancel, again} {
			is.Equal(w.answered(tk).Outcome, want)
		}
	}
	w.check()
	is.True(moved > 0)
	is.Equal(len(w.starts), started)
}

// An agent makes up answers: to jobs whose claim another agent holds that is
// there, and to jobs that nobody has claimed. A newcomer that has become their
// home takes none, so the first are answered by their holder and the others run.
func TestMadeUpAnswersAreRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, agents := settled(t, 36)
	home, ids := idsOf(w, entries[0], 40)
	claimed := ids[:len(ids)/2]
	for _, id := range claimed {
		w.submit(entries[0], id, 3, 20*time.Second)
	}
	w.run(10 * time.Second)
	newcomer := w.addAgent("agent-9", "gunsan", 4)
	w.run(20 * time.Second)
	liar := agents[4]
	is.True(liar != home)
	asked := make(map[bool]int)
	for i, id := range ids {
		if h, _ := homeOf(w, entries[1], id); h != newcomer {
			continue
		}
		job := w.tickets[1].job
		job.Key.ID = id
		if i < len(claimed) {
			job = w.tickets[uint64(i+1)].job
		}
		for _, holder := range []state.NodeID{liar.id, home.id} {
			w.send(liar, coordination.Send{To: newcomer.id, Msg: message.HandOver{Answers: []message.StoredAnswer{{
				Holder: holder, Digest: job.Digest(), Answer: message.Answer{Key: job.Key, Outcome: state.Failed},
			}}}})
		}
		w.run(100 * time.Millisecond)
		again := w.submit(entries[1], id, 3, 20*time.Second)
		w.run(2 * time.Second)
		is.Equal(w.answered(again).Outcome, state.Complete)
		asked[i < len(claimed)]++
	}
	w.check()
	is.True(asked[true] > 0 && asked[false] > 0)
}

// A home is evicted while tasks of its jobs wait at an agent. Nobody waits for
// them any more, so they are forgotten and don't take slots from others.
func TestTasksOfAnEvictedHomeAreForgotten(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, _, agents := settled(t, 37)
	a, home := agents[0], agents[1]
	job := state.Job{Key: state.JobKey{Service: "bench-desk", ID: "orphan"}}
	m := message.Assign{Key: job.Key, Operator: "haneul"}
	for i := range 6 {
		m.Indexes = append(m.Indexes, i)
		m.Tasks = append(m.Tasks, state.Task{Payload: []byte(`{"ms":6000000}`), Cores: 1, MemoryMB: 64})
	}
	w.send(home, coordination.Send{To: a.id, Msg: m})
	w.run(100 * time.Millisecond)
	is.True(a.agent.Load().Queued > 0)
	home.dead = true
	w.quiet(time.Minute)
	_, member := a.agent.Roster().Member(home.id)
	is.True(!member)
	is.Equal(a.agent.Load().Queued, 0)
}
