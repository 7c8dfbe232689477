package backendclient_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/sourcegraph/conc"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/standin/backendserver"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient"
)

func key(index int) state.TaskKey {
	return state.TaskKey{Job: state.JobKey{Service: "bench-desk", ID: "j1"}, Index: index}
}

func task(payload string) state.Task {
	return state.Task{Payload: []byte(payload), Cores: 1, MemoryMB: 64}
}

func startBackend(t *testing.T, opts backendserver.Options) *backendserver.Server {
	t.Helper()
	opts.Services = []string{"bench-desk"}
	s := backendserver.New(opts)
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Kill)
	return s
}

func newClient(t *testing.T, opts backendclient.Options) *backendclient.Client {
	t.Helper()
	c := backendclient.New(opts)
	t.Cleanup(c.Close)
	return c
}

func TestRunReportsHowTheTaskEnded(t *testing.T) {
	is := is.New(t)
	s := startBackend(t, backendserver.Options{Token: "secret"})
	reg := prometheus.NewRegistry()
	c := newClient(t, backendclient.Options{Token: "secret", Registerer: reg})

	good := c.Run(t.Context(), s.Backend(), key(0), task(`{"work_ms":1,"echo":{"quote":"<12>"}}`), time.Minute)
	is.Equal(good.Verdict, backendclient.Ran)
	is.Equal(string(good.Task.Payload), `{"quote":"<12>"}`)
	is.True(good.Task.Ran > 0)

	bad := c.Run(t.Context(), s.Backend(), key(1), task(`{"fail":"out of glue"}`), 0)
	is.Equal(bad.Verdict, backendclient.Ran)
	is.Equal(bad.Task, state.TaskResult{Index: 1, Err: "out of glue", Ran: bad.Task.Ran})
	is.Equal(bad.Reason, state.ReasonTaskFailed)

	s.SetFaults(backendserver.Faults{Refuse: true})
	refused := c.Run(t.Context(), s.Backend(), key(2), task(`1`), 0)
	is.Equal(refused.Verdict, backendclient.NotStarted)
	is.Equal(refused.Reason, state.ReasonBusy)
	is.Equal(s.TotalStarts(), 2)

	n, err := testutil.GatherAndCount(reg, "shallotstep_backend_runs_total")
	is.NoErr(err)
	is.Equal(n, 3) // one series for each verdict and reason
}

func TestNothingListensMeansNotStarted(t *testing.T) {
	// The backend server has died and its agent does not know yet. The
	// connection is refused before a byte is sent, so the home may place the
	// task elsewhere at once: the caller sees no failure.
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	url := "http://" + ln.Addr().String()
	is.NoErr(ln.Close())

	c := newClient(t, backendclient.Options{})
	res := c.Run(t.Context(), state.Backend{ID: "b", URL: url, Connections: 4}, key(0), task(`1`), 0)
	is.Equal(res.Verdict, backendclient.NotStarted)
	is.Equal(res.Reason, state.ReasonNoBackend)
}

func TestStopGetsThroughWhenTasksHoldEveryConnection(t *testing.T) {
	// The caller cancels while the backend server is full: as many tasks run
	// as it has connections for. The stop must not queue behind the very
	// tasks that it is meant to end, or the cancellation takes a whole run.
	is := is.New(t)
	const connections = 4
	s := startBackend(t, backendserver.Options{Connections: connections})
	c := newClient(t, backendclient.Options{})
	var wg conc.WaitGroup
	results := make([]backendclient.Result, connections)
	for i := range results {
		wg.Go(func() { results[i] = c.Run(t.Context(), s.Backend(), key(i), task(`{"work_ms":600000}`), 0) })
	}
	waitFor(t, func() bool { return s.Running() == connections/2 })
	for stopped := 0; stopped < connections; {
		for i := range results {
			err := c.Control(t.Context(), s.Backend(), key(i), coordination.VerbStop)
			if err == backendclient.ErrNotRunning {
				stopped++
			}
		}
		if stopped < connections {
			stopped = 0
		}
	}
	wg.Wait()
	for _, res := range results {
		// Half of them had no connection yet when they were stopped.
		is.Equal(res.Reason, state.ReasonCancelled)
		is.True(res.Verdict != backendclient.Unknown)
	}
	is.True(s.PeakConcurrent() <= connections) // the announced limit holds
}

func TestUnrenewedLeaseEndsTheTask(t *testing.T) {
	// The agent is paused and renews nothing. Its backend server stops the
	// task when the lease lapses, and the agent, awake again, reports the task
	// as lost to the lease, not as a success.
	is := is.New(t)
	s := startBackend(t, backendserver.Options{})
	c := newClient(t, backendclient.Options{Lease: 20 * time.Millisecond})
	res := c.Run(t.Context(), s.Backend(), key(0), task(`{"work_ms":600000}`), 0)
	is.Equal(res.Verdict, backendclient.Ran)
	is.Equal(res.Reason, state.ReasonLeaseLapsed)
}

func TestRenewLeasesNamesWhatDoesNotRun(t *testing.T) {
	is := is.New(t)
	s := startBackend(t, backendserver.Options{})
	c := newClient(t, backendclient.Options{})
	none, err := c.RenewLeases(t.Context(), s.Backend())
	is.NoErr(err)
	is.Equal(len(none), 0)

	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	wg.Go(func() { c.Run(ctx, s.Backend(), key(0), task(`{"work_ms":600000}`), 0) })
	waitFor(t, func() bool { return s.Running() == 1 })
	lapsed, err := c.RenewLeases(t.Context(), s.Backend())
	is.NoErr(err)
	is.Equal(len(lapsed), 0)
	cancel()
	wg.Wait()
}

func TestUsageGoesOnWhereItEnded(t *testing.T) {
	is := is.New(t)
	s := startBackend(t, backendserver.Options{})
	c := newClient(t, backendclient.Options{})
	for i := range 3 {
		c.Run(t.Context(), s.Backend(), key(i), task(fmt.Sprintf(`{"memory_mb":%d}`, 100+i)), 0)
	}
	lines, next, err := c.Usage(t.Context(), s.Backend(), 1)
	is.NoErr(err)
	is.Equal(next, uint64(3))
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Task, key(1))
	is.Equal(lines[0].MemoryMB, int64(101)) // what it used, not the 64 declared
	is.True(lines[0].Done)

	s.SetFaults(backendserver.Faults{UsageLag: time.Hour})
	lines, next, err = c.Usage(t.Context(), s.Backend(), 0)
	is.NoErr(err)
	is.Equal(len(lines), 0)
	is.Equal(next, uint64(0))
}

// waitFor waits for a condition that other goroutines bring about.
func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for !cond() {
		select {
		case <-t.Context().Done():
			t.Fatal("the condition never came")
		case <-time.After(time.Millisecond):
		}
	}
}
