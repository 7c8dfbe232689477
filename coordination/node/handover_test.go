package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

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

// A caller has its answer, or lost it on the way. The job's home is stopped as
// planned and exits. The caller submits again through another entry, and gets
// the whole stored answer: the home sent it to the next one before it exited.
func TestPlannedStopHandsAnswersOver(t *testing.T) {
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
	for seed := uint64(40); seed < 46; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
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
