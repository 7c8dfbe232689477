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
func (r *resettingServer) Hold(context.Context, worker.HoldCall, time.Duration) (worker.Holding, error) {
	r.holds.Add(1)
	return worker.Holding{}, errReset
}

// A backend server goes down and up, and while it is down it takes connections and resets
// them. Each call fails at once, and its agent asked again at once: thousands of new
// connections, and a processor that had no time left for its jobs. Within 400 ms there is
// room for some ten calls now.
func TestCallsThatFailAtOnceAreSpaced(t *testing.T) {
	is := is.New(t)
	a := New(coretest.Settings(), coretest.NoStore{}, core.DrainSource{}, nil)
	server := &resettingServer{}
	a.backend = server
	a.worker.Report(bootclock.Now(), worker.Server{Instance: "i", Service: "desk", Capacity: job.Demand{CPUMillis: 1000}}, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	a.holdLoop(ctx)
	is.True(server.holds.Load() > 2)
	is.True(server.holds.Load() < 40)
}
