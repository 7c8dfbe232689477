package core

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/core/corepb"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/job"
)

const (
	// maxStoredNumber bounds epochs in records, of which run numbers are multiples, and maxStoredRun the
	// numbers of runs. Later ones don't overflow.
	maxStoredNumber = 1 << 52
	maxStoredRun    = math.MaxInt64 / 2
	// maxStoredMS bounds times in records, in milliseconds. Sums of a few don't overflow a time.Duration.
	maxStoredMS = math.MaxInt64 / int64(time.Millisecond) / 4
	// maxStoredFactor bounds the slack factor of a stored policy.
	maxStoredFactor = 1e6
)

// checkRecord returns an error for a record that an owner can't work with. It may come from another writer,
// and an owner that loads it would end, again and again.
func checkRecord(p *corepb.JobRecord) error {
	if p.GetState() < int32(job.Queued) || p.GetState() > int32(job.Cancelled) {
		return errors.Errorf("state %d is none", p.GetState())
	}
	if n := p.GetFirstEpoch(); n < 0 || n > maxStoredNumber {
		return errors.Errorf("first epoch %d is not between 0 and %d", n, int64(maxStoredNumber))
	}
	if err := checkTime("elapsed time", p.GetElapsedMs()); err != nil {
		return err
	}
	if err := checkPolicy(p.GetPolicy()); err != nil {
		return err
	}
	tasks, err := checkSteps(p.GetSpec().GetSteps())
	if err != nil {
		return err
	}
	if job.State(p.GetState()).Final() {
		tasks = state.MaxTasksPerJob
	}
	if n := len(p.GetTasks()); n > tasks {
		return errors.Errorf("%d task records, above %d", n, tasks)
	}
	return checkTasks(p)
}

func checkPolicy(p *corepb.Policy) error {
	if s := p.GetSlack(); !(s >= 0 && s <= maxStoredFactor) { // also if it is no number
		return errors.Errorf("slack %v is not between 0 and %v", s, maxStoredFactor)
	}
	return checkTime("target", p.GetTargetMs())
}

// checkSteps returns the number of tasks.
func checkSteps(steps []*corepb.Step) (int, error) {
	tasks := 0
	for i, s := range steps {
		if n := s.GetCount(); n < 0 || n > state.MaxTasksPerJob {
			return 0, errors.Errorf("step %d has %d tasks", i, n)
		}
		if tasks += int(s.GetCount()); tasks > state.MaxTasksPerJob {
			return 0, errors.Errorf("over %d tasks", state.MaxTasksPerJob)
		}
		if d := (job.Demand{CPUMillis: s.GetCpuMillis(), MemoryMB: s.GetMemoryMb(), GPUs: s.GetGpus()}); !d.InRange() {
			return 0, errors.Errorf("step %d demands %v", i, d)
		}
		if err := checkTime("estimate", s.GetEstimateMs()); err != nil {
			return 0, errors.Wrapf(err, "step %d", i)
		}
		for _, d := range s.GetDependsOn() {
			if d < 0 || int(d) >= i {
				return 0, errors.Errorf("step %d depends on step %d", i, d)
			}
		}
	}
	return tasks, nil
}

// checkTasks checks the figures of the tasks and the numbers of their runs.
func checkTasks(p *corepb.JobRecord) error {
	var runs []int64
	for i, t := range p.GetTasks() {
		if t.GetFailures() < 0 || t.GetWorkUs() < 0 || t.GetWorkUs() > math.MaxInt64/int64(time.Microsecond) {
			return errors.Errorf("task %d has %d failures and %d µs of work", i, t.GetFailures(), t.GetWorkUs())
		}
		runs = append(append(runs, t.GetFailedRuns()...), t.GetClearedRun())
		for _, c := range t.GetCrashes() {
			runs = append(runs, c.GetRun())
		}
	}
	for _, r := range p.GetRepeated() {
		runs = append(runs, r.GetRun())
	}
	for _, n := range runs {
		if n < 0 || n > maxStoredRun {
			return errors.Errorf("run %d is not between 0 and %d", n, int64(maxStoredRun))
		}
	}
	return nil
}

func checkTime(name string, ms int64) error {
	if ms < 0 || ms > maxStoredMS {
		return errors.Errorf("%s of %d ms is not between 0 and %d", name, ms, int64(maxStoredMS))
	}
	return nil
}
