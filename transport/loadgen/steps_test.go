package loadgen

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/protocol/standin"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/httpclient"
)

// fakeSystem has one agent, which comes back as another incarnation a while
// after it was drained, and one stand-in that notes its faults.
type fakeSystem struct {
	begin    time.Time
	returns  time.Duration
	counts   map[state.TaskKey]int
	deaf     bool
	mu       sync.Mutex
	drained  time.Time // guarded by mu
	faultLog []string  // guarded by mu
}

func (s *fakeSystem) Status(context.Context) (api.Status, *httpclient.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := state.NodeID("agent-1@a")
	if !s.drained.IsZero() {
		if time.Since(s.drained) < s.returns {
			return api.Status{}, nil
		}
		id = "agent-1@b"
	}
	return api.Status{Roster: []api.Member{{ID: "agent-10@x"}, {ID: id}}}, nil
}

func (s *fakeSystem) Drain(_ context.Context, node state.NodeID) (api.Drained, *httpclient.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = time.Now()
	return api.Drained{Node: node}, nil
}

func (s *fakeSystem) Starts(context.Context, string) (map[state.TaskKey]int, error) {
	if s.deaf && time.Since(s.begin) > time.Second {
		return nil, errors.New("gone")
	}
	return s.counts, nil
}

func (s *fakeSystem) SetFaults(_ context.Context, f standin.Faults) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	word := "healthy"
	if f.FailAll {
		word = "fail_all"
	}
	s.faultLog = append(s.faultLog, time.Since(s.begin).String()+" "+word)
	return nil
}

func measurePlan(t *testing.T, p *Plan, s *fakeSystem, entry Caller) *Measurement {
	t.Helper()
	var m *Measurement
	synctest.Test(t, func(t *testing.T) {
		s.begin = time.Now()
		var err error
		m, err = Measure(context.Background(), p, Target{Entries: [][]Caller{{entry}}, Operator: s, Backends: []Backend{s}})
		if err != nil {
			t.Fatal(err)
		}
	})
	return m
}

func testPlan(t *testing.T, steps ...Step) *Plan {
	return &Plan{Loads: []Config{testConfig(t)}, Steps: steps, Backends: []string{"http://b"}}
}

// A wave cancels what waits at its moment, and neither what has been answered
// nor what comes later. The fake entry says "cancelled" and answers all the
// same, so that each job of the wave shows as one failed check.
func TestWaveCancelsWhatIsInFlight(t *testing.T) {
	is := is.New(t)
	at := 2 * time.Second
	p := testPlan(t, Step{At: Duration(at), CancelInFlight: true})
	m := measurePlan(t, p, &fakeSystem{}, &fakeEntry{})
	want := 0
	for _, row := range m.Loads[0].Rows {
		if row.Due.D() < at && row.Due.D()+row.Response.D() > at {
			want++
		}
	}
	is.True(want > 0)
	is.Equal(m.Loads[0].Cancellations, Cancellations{Sent: want, Cancelled: want})
	is.Equal(m.Loads[0].check(CheckCancel).Failed, want)
}

// A step that isn't carried out makes the run something else than its plan: it
// must not pass. Here one agent never comes back and another isn't there.
func TestStepsThatFailFailTheRun(t *testing.T) {
	is := is.New(t)
	drain := func(name string) Step { return Step{At: Duration(time.Second), Drain: name} }
	fault := Step{At: Duration(time.Second), Fault: FaultFailAll, Backend: 1, For: Duration(2 * time.Second)}
	for _, c := range []struct {
		step   Step
		system *fakeSystem
		passes bool
	}{
		{drain("agent-1"), &fakeSystem{returns: 3 * time.Second}, true},
		{drain("agent-1"), &fakeSystem{returns: time.Hour}, false},
		{drain("agent"), &fakeSystem{}, false},
		{fault, &fakeSystem{}, true},
	} {
		p := testPlan(t, c.step)
		// Nothing arrives that the counts would have to agree with.
		p.Loads[0].Phases = []Phase{{For: p.Loads[0].Length, Rate: 0}}
		m := measurePlan(t, p, c.system, &fakeEntry{})
		is.Equal(m.Passed, c.passes)
		is.Equal(m.Steps[0].Failure == "", c.passes)
		if c.step.Fault != "" {
			is.Equal(c.system.faultLog, []string{"1s fail_all", "3s healthy"})
		}
	}
}

// The counts of the backend servers decide on lost tasks, and counts that can't
// be read decide nothing: such a run has not passed.
func TestLostTasksAndMissingCountsFailTheRun(t *testing.T) {
	is := is.New(t)
	m := measurePlan(t, testPlan(t), &fakeSystem{}, &fakeEntry{})
	is.True(!m.Passed)
	is.Equal(m.Starts.Lost, m.Loads[0].Tasks) // all complete, none started
	m = measurePlan(t, testPlan(t), &fakeSystem{deaf: true}, &fakeEntry{})
	is.True(!m.Passed && !m.Starts.Counted)
	is.Equal(m.Starts.Failure, "backend server 1: gone")
}
