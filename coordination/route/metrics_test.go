package route

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

// An alert on the growth of a reason's counter must see its first count, so
// every reason is there at zero before anything was tried again.
func TestRetryReasonsAreThereFromTheStart(t *testing.T) {
	is := is.New(t)
	counts := allReasons(map[state.Reason]uint64{state.ReasonBusy: 3})
	is.Equal(len(counts), len(state.Reasons())+1) // and "hedge"
	is.Equal(counts[state.ReasonBusy], uint64(3))
	is.Equal(counts[state.ReasonNoReply], uint64(0))
}
