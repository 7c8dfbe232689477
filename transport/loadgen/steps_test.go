package loadgen

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/standin"
)

// fakeBackend has one stand-in that notes its faults, or doesn't take them.
type fakeBackend struct {
	begin         time.Time
	counts        map[TaskKey]int
	countsFail    bool
	rejectsFaults bool
	mu            sync.Mutex
	faultLog      []string // guarded by mu
}

func (s *fakeBackend) Starts(context.Context, string) (map[TaskKey]int, error) {
	if s.countsFail && time.Since(s.begin) > time.Second {
		return nil, errors.New("gone")
	}
	return s.counts, nil
}

func (s *fakeBackend) SetFaults(_ context.Context, f standin.Faults) error {
	if s.rejectsFaults {
		return errors.New("takes no faults")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	word := "healthy"
	if f.FailAll {
		word = "fail_all"
	}
	s.faultLog = append(s.faultLog, time.Since(s.begin).String()+" "+word)
	return nil
}

func measurePlan(t *testing.T, p *Plan, s *fakeBackend, entry Caller) *Measurement {
	t.Helper()
	var m *Measurement
	synctest.Test(t, func(t *testing.T) {
		s.begin = time.Now()
		var err error
		m, err = Measure(context.Background(), p, Target{Entries: [][]Caller{{entry}}, Backends: []Backend{s}})
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
func TestCancelInFlightStepCancelsWaitingJobs(t *testing.T) {
	is := is.New(t)
	at := 2 * time.Second
	p := testPlan(t, Step{At: Duration(at), CancelInFlight: true})
	m := measurePlan(t, p, &fakeBackend{}, &fakeEntry{})
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
// must not pass.
func TestStepsThatFailFailTheRun(t *testing.T) {
	is := is.New(t)
	fault := Step{At: Duration(time.Second), Fault: FaultFailAll, Backend: 1, For: Duration(2 * time.Second)}
	for _, rejects := range []bool{false, true} {
		p := testPlan(t, fault)
		// Nothing arrives that the counts would have to agree with.
		p.Loads[0].Phases = []Phase{{For: p.Loads[0].Length, Rate: 0}}
		s := &fakeBackend{rejectsFaults: rejects}
		m := measurePlan(t, p, s, &fakeEntry{})
		is.Equal(m.Passed, !rejects)
		is.Equal(m.Steps[0].Failure == "", !rejects)
		if !rejects {
			is.Equal(s.faultLog, []string{"1s fail_all", "3s healthy"})
		}
	}
}

// The counts of the backend servers decide on lost tasks, and counts that can't
// be read decide nothing: such a run has not passed.
func TestLostTasksAndMissingCountsFailTheRun(t *testing.T) {
	is := is.New(t)
	m := measurePlan(t, testPlan(t), &fakeBackend{}, &fakeEntry{})
	is.True(!m.Passed)
	is.Equal(m.Starts.Lost, m.Loads[0].Tasks) // all complete, none started
	m = measurePlan(t, testPlan(t), &fakeBackend{countsFail: true}, &fakeEntry{})
	is.True(!m.Passed && !m.Starts.Counted)
	is.Equal(m.Starts.Failure, "backend server 1: gone")
}
