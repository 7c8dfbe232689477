package loadgen

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/standin"
	"github.com/shallotstep/shallotstep/state"
)

// Backend is a stand-in backend server as a measurement sees it.
type Backend interface {
	// Starts returns how often each task was started whose job's id begins so.
	Starts(ctx context.Context, prefix string) (map[TaskKey]int, error)
	SetFaults(ctx context.Context, f standin.Faults) error
}

// TaskName is a task as backend servers know it.
type TaskKey struct {
	Job         state.JobKey
	Step, Index int
}

// maxFaults bounds how many faults a report spells out.
const maxDiscrepancies = 10

// countLimit bounds how long one backend server is asked for its counts.
const countTimeout = 30 * time.Second

// Starts is what the backend servers' own counts say of a run.
type Starts struct {
	// Counted says that there were backend servers to ask and all have answered.
	Counted bool `json:"counted"`
	// Tasks is how many starts there were, Backends how many at each.
	Tasks    int   `json:"tasks"`
	Backends []int `json:"backends"`
	// Doubled are tasks that were started more than once; Lost were never
	// started, and their job is complete; NotRun were started, and their job is
	// "not run". All three are expected to be 0.
	Doubled int `json:"doubled"`
	Lost    int `json:"lost"`
	NotRun  int `json:"started_though_not_run"`
	// Faults spells some of them out; Failure is why nothing was counted.
	Discrepancies []string `json:"faults"`
	Failure       string   `json:"failure,omitempty"`
}

// Failed is how many tasks were not as they should be.
func (s *Starts) Failed() int { return s.Doubled + s.Lost + s.NotRun }

// reachable finds out before the run that a backend server can't be asked.
func checkReachable(ctx context.Context, backends []Backend) error {
	for i, b := range backends {
		if _, err := b.Starts(ctx, placeholderRun); err != nil {
			return errors.Wrapf(err, "backend server %d", i+1)
		}
	}
	return nil
}

// countStarts holds what callers were told against what was started.
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

// compare looks at every job of a load: none of its tasks started twice on
// whichever backend server, each of a complete job started, none of a job that
// is "not run".
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

func (s *Starts) addDiscrepancy(format string, args ...any) {
	if len(s.Discrepancies) < maxDiscrepancies {
		s.Discrepancies = append(s.Discrepancies, fmt.Sprintf(format, args...))
	}
}
