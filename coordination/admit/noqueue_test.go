package admit

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

// A home sends a task too many to an agent without a queue: it hears "busy" at
// once and places the task elsewhere.
func TestAgentWithoutQueueRefusesWhatFindsNoSlot(t *testing.T) {
	is := is.New(t)
	b := newBench(Options{QueueLimit: -1}, backend(1))
	b.handle(assign("j", 0, 10, 0, 1))
	is.Equal(len(b.starts), 1)
	is.Equal(b.refusedFor(state.ReasonBusy), []int{1})
}
