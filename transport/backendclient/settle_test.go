package backendclient

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

func TestBarIsBelievedOnlyWhileEndedTasksAreRemembered(t *testing.T) {
	// The agent is paused between the start and the ask, for longer than the
	// backend server remembers what it ran. It has run the task, forgotten it,
	// and bars the ID as one that never came. The caller must hear "unknown".
	is := is.New(t)
	barred := wire.TaskState{BackendID: "b", State: wire.TaskBarred}
	fresh := &try{backend: state.Backend{ID: "b"}, begun: time.Now()}
	res, verdict, _ := fresh.settle(barred)
	is.Equal(verdict, askSettled)
	is.Equal(res.Verdict, NotStarted)

	paused := &try{backend: state.Backend{ID: "b"}, begun: time.Now().Add(-barWindow)}
	_, verdict, _ = paused.settle(barred)
	is.Equal(verdict, askHopeless)
}
