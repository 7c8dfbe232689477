package loadgen

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/shallotstep/shallotstep/protocol/standin"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// clearFaultTimeout is the timeout of the call that clears a fault. The call is
// made even if the run was stopped, so it needs a timeout of its own.
const clearFaultTimeout = 10 * time.Second

// StepResult is the result of a step.
type StepResult struct {
	Step Step `json:"step"`
	// Detail describes what was done, Failure why the step failed. A measurement
	// with a failed step does not correspond to its plan and has not passed.
	Detail  string `json:"detail,omitempty"`
	Failure string `json:"failure,omitempty"`
}

// stepRunner carries out the steps of a plan.
type stepRunner struct {
	target Target
	loads  []*loadRun
	// stepResults has the result of each step. It needs no lock: each element is
	// written only by the event of its step, and read after all events have ended.
	stepResults []StepResult
}

func newStepRunner(p *Plan, t Target, loads []*loadRun) *stepRunner {
	s := &stepRunner{target: t, loads: loads}
	for _, step := range p.Steps {
		s.stepResults = append(s.stepResults, StepResult{Step: step, Failure: "not reached"})
	}
	return s
}

// events returns one event for each step.
func (s *stepRunner) events() []event {
	var out []event
	for i := range s.stepResults {
		r := &s.stepResults[i]
		out = append(out, event{r.Step.At.D(), func(ctx context.Context, begin time.Time) {
			r.Failure = ""
			s.execute(ctx, begin, r)
		}})
	}
	return out
}

func (s *stepRunner) results() []StepResult { return s.stepResults }

func (s *stepRunner) execute(ctx context.Context, begin time.Time, r *StepResult) {
	switch {
	case r.Step.CancelInFlight:
		r.Detail = fmt.Sprintf("%d jobs cancelled", s.cancelInFlight(ctx, begin, r.Step.At.D()))
	default:
		s.injectFault(ctx, r)
	}
}

// cancelInFlight concurrently cancels all jobs that are waiting for their answers
// and returns their number. It skips jobs with a planned cancellation and those
// that an earlier step has cancelled.
func (s *stepRunner) cancelInFlight(ctx context.Context, begin time.Time, due time.Duration) int {
	var wg conc.WaitGroup
	n := 0
	for _, l := range s.loads {
		for i := range l.records {
			r := &l.records[i]
			if r.cancelAt > 0 || !r.awaitingAnswer.Load() || !r.cancelledByStep.CompareAndSwap(false, true) {
				continue
			}
			n++
			wg.Go(func() { r.cancellation.do(ctx, begin, due, l.cancelCall(i)) })
		}
	}
	wg.Wait()
	return n
}

// injectFault injects a fault at a stand-in for the duration of the step. The fault
// is cleared even if the run is stopped in the meantime.
func (s *stepRunner) injectFault(ctx context.Context, r *StepResult) {
	b := s.target.Backends[r.Step.Backend-1]
	if err := b.SetFaults(ctx, standinFaults[r.Step.Fault]); err != nil {
		r.Failure = err.Error()
		return
	}
	_ = pause.For(ctx, r.Step.For.D())
	clearCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), clearFaultTimeout)
	defer cancel()
	if err := b.SetFaults(clearCtx, standin.Faults{}); err != nil {
		r.Failure = "the fault stays: " + err.Error()
		return
	}
	r.Detail = fmt.Sprintf("backend server %d: %s for %v", r.Step.Backend, r.Step.Fault, r.Step.For.D())
}
