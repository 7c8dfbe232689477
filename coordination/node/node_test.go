package node

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/examples"
	"github.com/shallotstep/shallotstep/state"
)

// settled returns a world with agents in three failure domains, two entries
// and the example declaration in force.
func settled(t *testing.T, seed uint64) (w *world, entries, agents []*host) {
	t.Helper()
	return settledWith(t, seed, 4)
}

func settledWith(t *testing.T, seed uint64, slots int) (w *world, entries, agents []*host) {
	t.Helper()
	w = newWorld(t, seed)
	for i, domain := range []string{"jeonju", "iksan", "gunsan", "jeonju", "iksan"} {
		agents = append(agents, w.addAgent(fmt.Sprintf("agent-%d", i), domain, slots))
	}
	for i := range 2 {
		entries = append(entries, w.addEntry(fmt.Sprintf("entry-%d", i)))
	}
	w.run(time.Second)
	w.execute(entries[0], entries[0].node.(*Entry).Apply(w.now, 1<<40, examples.HaneulOperator, 0, examples.HaneulDeclaration))
	w.run(5 * time.Second)
	for _, e := range entries {
		if !e.node.(*Entry).Ready() || len(e.node.Roster().Members()) != len(agents) {
			t.Fatalf("seed %d: the world did not settle", seed)

		}
	}
	return w, entries, agents
}

// homeOf returns the home and the witness of a job.
func homeOf(w *world, e *host, id string) (home, witness *host) {
	h, wit, _, _ := e.node.(*Entry).Pair("bench-desk", state.JobKey{Service: "bench-desk", ID: id})
	return w.byID[h], w.byID[wit]
}

// The caller resubmits through the other entry while the first submission is
// under way. Both get the whole answer, and each task starts once: the second
// joins the running job at its home.
func TestResubmissionThroughAnotherEntryJoins(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, _ := settled(t, 1)
	first := w.submit(entries[0], "intake", 40, 20*time.Second)
	w.run(150 * time.Millisecond)
	second := w.submit(entries[1], "intake", 40, 20*time.Second)
	w.run(10 * time.Second)
	w.check()
	is.Equal(w.tickets[first].answer.Outcome, state.Complete)
	is.Equal(w.tickets[second].answer.Outcome, state.Complete)
	is.Equal(len(w.starts), 40)
}

// The caller of a job waits 300 ms, submits again and waits longer: through another
// entry, then through the same one. The work still runs, so the second submission
// gets the whole answer, and the first one hears of its deadline from its entry.
func TestResubmissionThatWaitsLongerGetsTheAnswer(t *testing.T) {
	t.Parallel()
	for other := range 2 {
		t.Run(fmt.Sprint(other), func(t *testing.T) {
			is := is.New(t)
			w, entries, _ := settled(t, 61)
			w.work = 600
			first := w.submit(entries[0], "intake", 4, 300*time.Millisecond)
			w.run(100 * time.Millisecond)
			second := w.submit(entries[other], "intake", 4, 20*time.Second)
			w.run(10 * time.Second)
			w.check()
			is.Equal(w.tickets[first].answer.Reason, state.ReasonDeadline)
			is.True(w.tickets[first].heard.Sub(w.tickets[first].deadline) <= hearBound)
			is.Equal(w.tickets[second].answer.Outcome, state.Complete)
			is.Equal(len(w.starts), 4)
		})
	}
}

// A job runs when its caller submits it again through an entry that lets nothing
// in any more. Saying "not run" there would be false, so the entry asks the
// witness before it refuses: the resubmission joins, and only an id that nobody
// knows is refused as not run.
func TestRefusalOfARunningJobJoinsIt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, _ := settled(t, 6)
	first := w.submit(entries[0], "intake", 40, 20*time.Second)
	w.run(150 * time.Millisecond)
	w.execute(entries[1], entries[1].node.(*Entry).Drain(w.now))
	again := w.submit(entries[1], "intake", 40, 20*time.Second)
	fresh := w.submit(entries[1], "other", 3, 20*time.Second)
	w.run(10 * time.Second)
	w.check()
	is.Equal(w.tickets[first].answer.Outcome, state.Complete)
	is.Equal(w.tickets[again].answer.Outcome, state.Complete)
	is.Equal(w.tickets[fresh].answer.Outcome, state.NotRun)
	is.Equal(w.tickets[fresh].answer.Reason, state.ReasonDraining)
	is.Equal(len(w.starts), 40)
}

// The home dies while its job runs. The caller is told that the job may have
// run, and a resubmission after the eviction is told the same: the witness has
// the claim, so nothing is started again.
func TestHomeDiesWhileItsJobRuns(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, _ := settled(t, 2)
	home, _ := homeOf(w, entries[0], "intake")
	first := w.submit(entries[0], "intake", 40, 60*time.Second)
	w.run(100 * time.Millisecond)
	home.dead = true
	w.execute(entries[0], entries[0].node.PeerDown(w.now, home.id))
	w.quiet(60 * time.Second)
	started := len(w.starts)
	second := w.submit(entries[1], "intake", 40, 20*time.Second)
	w.quiet(30 * time.Second)
	w.check()
	is.True(started > 0)
	is.Equal(len(w.starts), started)
	is.Equal(w.tickets[first].answer.Outcome, state.Unknown)
	is.Equal(w.tickets[second].answer.Outcome, state.Unknown)
}

// The home stands still before it sees the submission, is evicted, and goes on.
// By then the caller was told "not run" and has submitted again; the late
// submission at the old home must start nothing, because its attempt is bound to
// an epoch that the witness has left.
func TestHomePausedThroughItsEviction(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, _ := settled(t, 3)
	home, _ := homeOf(w, entries[0], "intake")
	home.paused = w.now.Add(90 * time.Second)
	first := w.submit(entries[0], "intake", 10, 10*time.Second)
	w.quiet(60 * time.Second)
	second := w.submit(entries[1], "intake", 10, 20*time.Second)
	w.run(90 * time.Second)
	w.check()
	is.Equal(w.tickets[first].answer.Outcome, state.NotRun)
	is.Equal(w.tickets[second].answer.Outcome, state.Complete)
	is.Equal(len(w.starts), 10)
}

// An agent stops as planned while its job runs and others are being submitted.
// No job fails: it finishes what it has, and its shares move to others.
func TestPlannedStopOfAnAgentCutsOffNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, _ := settled(t, 5)
	home, _ := homeOf(w, entries[0], "job-0")
	for i := range 30 {
		w.submit(entries[i%2], fmt.Sprintf("job-%d", i), 5, 30*time.Second)
		w.run(20 * time.Millisecond)
		if i == 5 {
			w.execute(home, home.agent.Drain(w.now))
		}
	}
	for range 1000 {
		if home.agent.Done(w.now) {
			home.dead = true
			break
		}
		w.run(10 * time.Millisecond)
	}
	is.True(home.dead) // the planned stop came to its end
	w.quiet(30 * time.Second)
	w.check()
	is.Equal(w.outcomes(), map[string]int{"complete": 30})
}

// Kills, pauses, cuts, outages of the log, loss, repetition and delay come at
// random while callers submit and submit again. Whatever they are told has to
// be true, and everybody has to be told something once the faults are over.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	seeds := randomSeeds
	if testing.Short() {
		seeds = min(seeds, 8)
	}
	var told tally
	t.Run("seeds", func(t *testing.T) {
		for seed := uint64(100); seed < 100+uint64(seeds); seed++ {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				told.add(randomFaults(t, seed))
			})
		}
	})
	t.Logf("over %d seeds the callers were told: %v", seeds, told.n)
	is.New(t).True(told.n["complete"] > seeds*20)
}

// tally sums what the callers of several worlds were told.
type tally struct {
	mu sync.Mutex
	// n is guarded by mu.
	n map[string]int
}

func (s *tally) add(told map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.n == nil {
		s.n = make(map[string]int)
	}
	for k, n := range told {
		s.n[k] += n
	}
}

// randomFaults runs the world of one seed and returns what its callers were told.
func randomFaults(t *testing.T, seed uint64) map[string]int {
	w, entries, agents := settled(t, seed)
	w.loss, w.repeat, w.lateMax = 0.01, 0.02, 300*time.Millisecond
	for round := range 12 {
		randomFault(w, agents)
		for i := range 6 {
			id := fmt.Sprintf("job-%d-%d", round, i)
			w.submit(entries[w.rng.IntN(2)], id, 1+w.rng.IntN(8), 8*time.Second)
			w.run(time.Duration(w.rng.IntN(400)) * time.Millisecond)
			if w.rng.IntN(3) == 0 {
				again := w.tickets[w.last].job
				w.submit(entries[w.rng.IntN(2)], again.Key.ID, len(again.Tasks), 8*time.Second)
			}
		}
		w.run(time.Duration(w.rng.IntN(8)) * time.Second)
	}
	heal(w)
	w.quiet(2 * time.Minute)
	w.check()
	return w.outcomes()
}

func randomFault(w *world, agents []*host) {
	a := agents[w.rng.IntN(len(agents))]
	switch w.rng.IntN(8) {
	case 0:
		dead := 0
		for _, b := range agents {
			if b.dead {
				dead++
			}
		}
		a.dead = a.dead || dead == 0
	case 1, 2:
		a.paused = w.now.Add(time.Duration(w.rng.IntN(40)) * time.Second)
	case 3:
		a.side = 1
	case 4:
		for _, b := range agents {
			b.side = 0
		}
	case 5:
		w.logOut = !w.logOut
	case 6:
		a.noLog = !a.noLog
	}
}

func heal(w *world) {
	w.logOut = false
	w.loss, w.repeat, w.lateMax = 0, 0, 0
	for _, h := range w.hosts {
		h.side, h.noLog, h.paused = 0, false, time.Time{}
	}
}

// Agents are told an operator's priority with its tasks, as it is declared: 60.
func TestAgentsHearTheDeclaredPriority(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, _ := settled(t, 9)
	w.priorities = make(map[int]int)
	w.submit(entries[0], "job", 4, 30*time.Second)
	w.run(5 * time.Second)
	is.True(w.priorities[60] > 0)
	is.Equal(len(w.priorities), 1)
}

// A service may run in two of the three failure domains only, though backend
// servers announce it in all of them. No task reaches the third.
func TestPlacementIsTheDeclarations(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	w, entries, agents := settled(t, 7)
	narrow := strings.Replace(string(examples.HaneulDeclaration), `["jeonju", "iksan", "gunsan"]`, `["jeonju", "iksan"]`, 1)
	base, _ := entries[0].node.(*Entry).Declarations().Operator(examples.HaneulOperator)
	w.execute(entries[0], entries[0].node.(*Entry).Apply(w.now, 1<<41, examples.HaneulOperator, base.Version, []byte(narrow)))
	w.run(time.Second)
	w.placedAt = make(map[state.NodeID]int)
	for i := range 10 {
		w.submit(entries[i%2], fmt.Sprintf("job-%d", i), 12, 30*time.Second)
	}
	w.run(20 * time.Second)
	w.check()
	is.Equal(w.outcomes(), map[string]int{"complete": 10})
	is.Equal(w.placedAt[agents[2].id], 0)
	is.Equal(len(w.placedAt), 4)
}
