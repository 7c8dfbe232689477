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

// fakeBackend is a stand-in backend server that records the faults it is set to. If
// rejectsFaults is set, it returns an error instead. If countsFail is set, its
// counts cannot be read after the first second.
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

// The step must cancel the jobs that are waiting at its time, and neither those that
// have been answered nor those that are due later. The fake entry answers
// "cancelled" and still completes the job, so that each cancelled job is counted as
// one failed check.
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

// A run with a step that could not be carried out does not correspond to its plan and
// must not pass.
func TestStepsThatFailFailTheRun(t *testing.T) {
	is := is.New(t)
	fault := Step{At: Duration(time.Second), Fault: FaultFailAll, Backend: 1, For: Duration(2 * time.Second)}
	for _, rejects := range []bool{false, true} {
		p := testPlan(t, fault)
		// No jobs arrive. The fake stand-in counts no starts, so completed jobs would
		// fail the run as well.
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

// A run must not pass if tasks of complete jobs were not started at any backend
// server, nor if the counts of a backend server can't be read.
func TestLostTasksAndMissingCountsFailTheRun(t *testing.T) {
	is := is.New(t)
	m := measurePlan(t, testPlan(t), &fakeBackend{}, &fakeEntry{})
	is.True(!m.Passed)
	is.Equal(m.Starts.Lost, m.Loads[0].Tasks) // all complete, none started
	m = measurePlan(t, testPlan(t), &fakeBackend{countsFail: true}, &fakeEntry{})
	is.True(!m.Passed && !m.Starts.Counted)
	is.Equal(m.Starts.Failure, "backend server 1: gone")
}
