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
	Starts(ctx context.Context, prefix string) (map[state.TaskKey]int, error)
	SetFaults(ctx context.Context, f standin.Faults) error
}

// maxFaults bounds how many faults a report spells out.
const maxFaults = 10

// countLimit bounds how long one backend server is asked for its counts.
const countLimit = 30 * time.Second

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
	Faults  []string `json:"faults"`
	Failure string   `json:"failure,omitempty"`
}

// Failed is how many tasks were not as they should be.
func (s *Starts) Failed() int { return s.Doubled + s.Lost + s.NotRun }

// reachable finds out before the run that a backend server can't be asked.
func reachable(ctx context.Context, backends []Backend) error {
	for i, b := range backends {
		if _, err := b.Starts(ctx, unnamedRun); err != nil {
			return errors.Wrapf(err, "backend server %d", i+1)
		}
	}
	return nil
}

// countStarts holds what callers were told against what was started.
func countStarts(ctx context.Context, backends []Backend, p *Plan, reports []*Report) Starts {
	out := Starts{Faults: []string{}, Backends: []int{}}
	counts := make(map[state.TaskKey]int)
	for i, b := range backends {
		limited, cancel := context.WithTimeout(ctx, countLimit)
		own, err := b.Starts(limited, p.Loads[0].Run+"-")
		cancel()
		if err != nil {
			out.Failure = fmt.Sprintf("backend server %d: %v", i+1, err)
			return out
		}
		total := 0
		for task, n := range own {
			counts[task] += n
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

// compare looks at every task of a load: none started twice on whichever backend
// server, each of a complete job started, none of a job that is "not run".
func (s *Starts) compare(counts map[state.TaskKey]int, r *Report) {
	for i := range r.Rows {
		row := &r.Rows[i]
		key := state.JobKey{Service: r.Config.Service, ID: r.JobID(i)}
		for index := range row.Tasks {
			n := counts[state.TaskKey{Job: key, Index: index}]
			s.Tasks += n
			switch {
			case n > 1:
				s.Doubled++
				s.fault("task %d of job %s was started %d times", index, key.ID, n)
			case n == 0 && row.Settled == state.Complete.String():
				s.Lost++
				s.fault("task %d of job %s is complete and was never started", index, key.ID)
			case n > 0 && row.Settled == state.NotRun.String():
				s.NotRun++
				s.fault("task %d of job %s is not run (%s) and was started", index, key.ID, row.Reason)
			}
		}
	}
}

func (s *Starts) fault(format string, args ...any) {
	if len(s.Faults) < maxFaults {
		s.Faults = append(s.Faults, fmt.Sprintf(format, args...))
	}
}
