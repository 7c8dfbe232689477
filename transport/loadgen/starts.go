package loadgen

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/standin"
	"github.com/shallotstep/shallotstep/state"
)

// Backend is a client of a stand-in backend server.
type Backend interface {
	// Starts returns the number of starts of each task whose job's id has the
	// prefix.
	Starts(ctx context.Context, prefix string) (map[TaskKey]int, error)
	// SetFaults replaces the faults that the stand-in injects.
	SetFaults(ctx context.Context, f standin.Faults) error
}

// TaskKey identifies a task at backend servers: its job, the index of its step in
// the job and its index within the step.
type TaskKey struct {
	Job         state.JobKey
	Step, Index int
}

// maxDiscrepancies is the maximum number of discrepancies that a report lists.
const maxDiscrepancies = 10

// countTimeout is the timeout of the request for the starts at one backend server.
const countTimeout = 30 * time.Second

// Starts is the result of comparing the task starts that the backend servers
// counted with the answers to the callers.
type Starts struct {
	// Counted is true if there are backend servers and all have returned their
	// counts.
	Counted bool `json:"counted"`
	// Tasks is the number of starts of tasks of the run's jobs, Backends the
	// number of starts at each backend server.
	Tasks    int   `json:"tasks"`
	Backends []int `json:"backends"`
	// Doubled is the number of tasks that were started more than once, Lost the
	// number of tasks of complete jobs that were never started, and NotRun the
	// number of started tasks of jobs that are "not run". All three must be 0.
	Doubled int `json:"doubled"`
	Lost    int `json:"lost"`
	NotRun  int `json:"started_though_not_run"`
	// Discrepancies describes some of these tasks. Failure is the error that
	// prevented the counts from being read.
	Discrepancies []string `json:"faults"`
	Failure       string   `json:"failure,omitempty"`
}

// Failed returns the number of tasks whose starts don't agree with the answers.
func (s *Starts) Failed() int { return s.Doubled + s.Lost + s.NotRun }

// checkReachable returns an error if a backend server does not return its starts.
// It is called before the run, so that the load is not generated in vain.
func checkReachable(ctx context.Context, backends []Backend) error {
	for i, b := range backends {
		if _, err := b.Starts(ctx, placeholderRun); err != nil {
			return errors.Wrapf(err, "backend server %d", i+1)
		}
	}
	return nil
}

// countStarts gets the starts from all backend servers and compares them with the
// answers to the callers.
func countStarts(ctx context.Context, backends []Backend, p *Plan, reports []*Report) Starts {
	out := Starts{Discrepancies: []string{}, Backends: []int{}}
	counts := make(map[state.JobKey]map[TaskKey]int)
	for i, b := range backends {
		callCtx, cancel := context.WithTimeout(ctx, countTimeout)
		backendCounts, err := b.Starts(callCtx, p.Loads[0].Run+"-")
		cancel()
		if err != nil {
			out.Failure = fmt.Sprintf("backend server %d: %v", i+1, err)
			return out
		}
		total := 0
		for task, n := range backendCounts {
			if counts[task.Job] == nil {
				counts[task.Job] = make(map[TaskKey]int)
			}
			counts[task.Job][task] += n
			total += n
		}
		out.Backends = append(out.Backends, total)
	}
	out.Counted = len(backends) > 0
	if out.Counted {
		for _, r := range reports {
			out.compare(counts, r)
		}
	}
	return out
}

// compare checks every job of a load: no task may have been started more than once
// on all backend servers together, every task of a complete job must have been
// started, and no task of a job that is "not run".
func (s *Starts) compare(counts map[state.JobKey]map[TaskKey]int, r *Report) {
	for i := range r.Rows {
		row := &r.Rows[i]
		key := state.JobKey{Service: r.Config.Service, ID: r.JobID(i)}
		for task, n := range counts[key] {
			s.Tasks += n
			if n > 1 {
				s.Doubled++
				s.addDiscrepancy("task %d of step %d of job %s was started %d times", task.Index, task.Step, key.ID, n)
			}
		}
		started := len(counts[key])
		switch {
		case row.Settled == state.Complete.String() && started < row.Tasks:
			s.Lost += row.Tasks - started
			s.addDiscrepancy("job %s is complete, and %d of its %d tasks were started", key.ID, started, row.Tasks)
		case row.Settled == state.NotRun.String() && started > 0:
			s.NotRun += started
			s.addDiscrepancy("job %s is not run (%s), and %d of its tasks were started", key.ID, row.Reason, started)
		}
	}
}

// addDiscrepancy adds a discrepancy unless there are maxDiscrepancies already.
func (s *Starts) addDiscrepancy(format string, args ...any) {
	if len(s.Discrepancies) < maxDiscrepancies {
		s.Discrepancies = append(s.Discrepancies, fmt.Sprintf(format, args...))
	}
}
