package admit

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// A full agent refuses a task that its home sends elsewhere at once. When a slot
// comes free, an offer would be a message for nothing, and the slot would be kept
// for a home that has no task. A task refused before waits for just that offer.
func TestOnlyATaskRefusedBeforeDrawsAnOffer(t *testing.T) {
	for try, want := range map[uint32]int{0: 0, message.KeepFrom: 1} {
		is := is.New(t)
		b := newBench(Options{QueueLimit: 1}, backend(1))
		b.handle(assign("runs", 0, 1, 0))
		b.handle(assign("waits", 0, 1, 0))
		b.handle(assign("refused", try, 1, 0))
		is.Equal(len(b.refusedFor(state.ReasonBusy)), 1)
		for range 2 { // the queue goes first
			b.finish(b.starts[len(b.starts)-1].Task, "")
		}
		credit := 0
		for _, r := range b.reports {
			credit += r.Credit
		}
		is.Equal(credit, want)
	}
}
