package loadgen

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/shallotstep/shallotstep/protocol/standin"
	"github.com/shallotstep/shallotstep/transport/pause"
)

// healLimit bounds the call that ends a fault, also when the run was stopped.
const clearFaultTimeout = 10 * time.Second

// StepResult is what came of a step.
type StepResult struct {
	Step Step `json:"step"`
	// Detail tells what was done, Failure why it wasn't; a run with a failure
	// hasn't been what its plan says.
	Detail  string `json:"detail,omitempty"`
	Failure string `json:"failure,omitempty"`
}

// steps carries out the steps of a plan. Each result is written by its own
// event and read when all have ended.
type stepRunner struct {
	target      Target
	loads       []*loadRun
	stepResults []StepResult
}

func newStepRunner(p *Plan, t Target, loads []*loadRun) *stepRunner {
	s := &stepRunner{target: t, loads: loads}
	for _, step := range p.Steps {
		s.stepResults = append(s.stepResults, StepResult{Step: step, Failure: "not reached"})
	}
	return s
}

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

// cancelInFlight cancels all jobs that wait for their answers at once and
// returns how many that were. One that is cancelled anyway is left alone.
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

// fault makes a stand-in fail for a while. It is healed also when the run was
// stopped meanwhile.
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
