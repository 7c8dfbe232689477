package agent

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/daemon/core"
	"github.com/shallotstep/shallotstep/daemon/coretest"
	"github.com/shallotstep/shallotstep/state/job"
	"github.com/shallotstep/shallotstep/transport/bootclock"
)

// resettingServer is a backend server that resets each connection at once.
type resettingServer struct{ holds, stops atomic.Int64 }

var errReset = errors.New("connection reset by peer")

func (r *resettingServer) Start(context.Context, worker.StartCall) (worker.StartOutcome, string) {
	return worker.StartUnknown, "reset"
}
func (r *resettingServer) Stop(context.Context, worker.StopCall) bool {
	r.stops.Add(1)
	return false
}
func (r *resettingServer) Hold(context.Context, worker.HoldCall, time.Duration) (worker.HoldResult, error) {
	r.holds.Add(1)
	return worker.HoldResult{}, errReset
}

// A backend server that is down accepts connections and resets them, so each call fails at once.
// Without a backoff, the agent opened thousands of new connections and left no processor time for
// its jobs. With the backoff, about ten calls fit into 400 ms.
func TestCallsThatFailAtOnceAreSpaced(t *testing.T) {
	is := is.New(t)
	a := New(coretest.Settings(), coretest.RejectingStore{}, core.DrainSource{}, nil)
	server := &resettingServer{}
	a.backend = server
	a.worker.Report(bootclock.Now(), worker.Server{Instance: job.Instance{ID: "i"}, Service: "desk", Capacity: job.Demand{CPUMillis: 1000}}, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	a.holdLoop(ctx)
	is.True(server.holds.Load() > 2)
	is.True(server.holds.Load() < 40)
}
