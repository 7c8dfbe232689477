package backendserver

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/backendclient/wire"
)

// hour keeps tasks from ending by themselves during a test.
const hour = float64(time.Hour / time.Millisecond)

func request(id string, leaseMS int64) wire.StartRequest {
	return wire.StartRequest{
		Service: "bench-desk", Job: "j", TaskID: id, LeaseMS: leaseMS,
		Payload: []byte(`{"work_ms":3600000,"memory_mb":900}`), MemoryMB: 64,
	}
}

func newServer(t *testing.T) *Server {
	t.Helper()
	s := New(Options{})
	t.Cleanup(s.Kill)
	return s
}

func TestLeaseHoldsWhileItIsRenewedAndNoLonger(t *testing.T) {
	// An agent renews until it is paused. The renewal that it sends on waking
	// comes after the lapse. It must not revive the task: its home may have
	// been told by then that the task is lost.
	is := is.New(t)
	s := newServer(t)
	t0 := time.Now()
	r, _ := s.begin(request("a", int64(hour)), t0)
	reply := s.renew(wire.LeaseRequest{TaskIDs: []string{"a", "b"}, LeaseMS: 2 * int64(hour)}, t0.Add(30*time.Minute))
	is.Equal(reply.NotRunning, []string{"b"})

	reply = s.renew(wire.LeaseRequest{TaskIDs: []string{"a"}, LeaseMS: int64(hour)}, t0.Add(3*time.Hour))
	is.Equal(reply.NotRunning, []string{"a"})
	_, ended := s.step(r, t0.Add(3*time.Hour))
	is.True(ended)
	is.Equal(r.outcome.Problem.Reason, wire.ReasonLeaseLapsed) // not a success, although its work was done
}

func TestBarHoldsAgainstALateStartAndLeavesARunningTaskAlone(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	now := time.Now()
	is.Equal(s.control("late", wire.VerbBar, now).State, wire.TaskBarred)
	r, cause := s.begin(request("late", int64(hour)), now)
	is.True(r == nil)
	is.Equal(cause, wire.CauseBarred)

	r, _ = s.begin(request("here", int64(hour)), now)
	is.Equal(s.control("here", wire.VerbBar, now).State, wire.TaskRunning)
	is.True(!r.stopped)
	is.Equal(s.control("here", coordination.VerbStop, now).State, wire.TaskRunning)
	is.True(r.stopped)
}

func TestOverloadIsStartedAndSeen(t *testing.T) {
	// An agent with a fault gives more than fits, and one task twice. The
	// stand-in starts it all, as the users' workers do, and the ledger tells.
	is := is.New(t)
	s := newServer(t)
	for _, id := range []string{"a", "b", "c"} {
		s.begin(request(id, int64(hour)), time.Now())
	}
	is.Equal(s.PeakConcurrent(), 3)
	is.Equal(s.PeakMemoryMB(), int64(2700)) // what is used, not the 64 declared
	task := state.TaskKey{Job: state.JobKey{Service: "bench-desk", ID: "j"}}
	is.Equal(s.Starts(task), 3)
	is.Equal(s.Doubles(), []state.TaskKey{task})
}

func TestFrozenServerHoldsItsTongue(t *testing.T) {
	// The process is paused past a task's lease. On waking it must look at
	// the lease before it counts the work as done.
	is := is.New(t)
	s := newServer(t)
	s.SetFaults(Faults{Freeze: true})
	req := request("a", 1)
	req.Payload = []byte(`{"work_ms":1}`)
	r, _ := s.begin(req, time.Now().Add(-time.Minute))
	select {
	case <-r.done:
		t.Fatal("a frozen server ended a task")
	default:
	}
	s.SetFaults(Faults{})
	<-r.done
	is.Equal(r.outcome.Problem.Reason, wire.ReasonLeaseLapsed)
}

func TestThrottleLastsOnce(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	t0 := time.Now()
	r, _ := s.begin(request("a", int64(hour)), t0)
	s.control("a", coordination.VerbThrottle, t0)
	s.control("a", coordination.VerbThrottle, t0) // repeated after a lost reply
	is.Equal(r.ends, t0.Add(2*time.Hour))
	t1 := t0.Add(time.Hour)
	s.control("a", coordination.VerbRelease, t1)
	s.control("a", coordination.VerbRelease, t1)
	is.Equal(r.ends, t1.Add(30*time.Minute))
}

func TestEndedTasksAreForgottenInTime(t *testing.T) {
	is := is.New(t)
	s := newServer(t)
	t0 := time.Now()
	s.control("a", wire.VerbBar, t0)
	s.begin(request("b", int64(hour)), t0.Add(rememberFor))
	is.True(s.tasks["a"] != nil)
	s.begin(request("c", int64(hour)), t0.Add(rememberFor+time.Second))
	is.True(s.tasks["a"] == nil)
	is.True(s.tasks["b"] != nil)
}
