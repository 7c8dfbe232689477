package node

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

// The home is paused, and its caller submits through one entry and soon after
// through the other, whose link to the home breaks. That one has its attempt
// barred and says "not run". The first entry's attempt lies in the home's socket:
// when the home goes on, the job must not run, for that caller may have it run
// elsewhere. The first caller hears the same.
func TestNotRunThroughOneEntryHoldsForTheOther(t *testing.T) {
	is := is.New(t)
	w, entries, _ := settled(t, 3)
	home, _ := homeOf(w, entries[0], "intake")
	home.paused = w.now.Add(800 * time.Millisecond)
	w.submit(entries[0], "intake", 7, 15*time.Second)
	w.run(100 * time.Millisecond)
	second := w.submit(entries[1], "intake", 7, 15*time.Second)
	w.execute(entries[1], entries[1].node.PeerDown(w.now, home.id))
	w.run(30 * time.Second)
	w.check()
	notRun := w.tickets[second].answer.Outcome == state.NotRun
	is.True(!notRun || len(w.starts) == 0) // told "not run", and it ran
}
