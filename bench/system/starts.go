package main

import (
	"fmt"

	"github.com/shallotstep/shallotstep/standin/backendserver"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/transport/loadgen"
)

// maxFaults bounds how many faults are spelled out.
const maxFaults = 10

// starts is what the backend servers' own counts say of a run.
type starts struct {
	tasks  int
	failed int
	faults []string
}

// checkStarts holds what callers were told against what was started: no task
// twice on whichever backend server, each task of a complete job, and none of a
// job that is "not run".
func checkStarts(backends []*backendserver.Server, r *loadgen.Report) starts {
	counts := make(map[state.TaskKey]int)
	for _, b := range backends {
		for task, n := range b.AllStarts() {
			counts[task] += n
		}
	}
	return compareStarts(counts, r)
}

func compareStarts(counts map[state.TaskKey]int, r *loadgen.Report) starts {
	var out starts
	for i := range r.Rows {
		row := &r.Rows[i]
		key := state.JobKey{Service: r.Config.Service, ID: r.JobID(i)}
		for index := range row.Tasks {
			n := counts[state.TaskKey{Job: key, Index: index}]
			out.tasks += n
			switch {
			case n > 1:
				out.fault("task %d of job %s was started %d times", index, key.ID, n)
			case n == 0 && row.Settled == state.Complete.String():
				out.fault("task %d of job %s is complete and was never started", index, key.ID)
			case n > 0 && row.Settled == state.NotRun.String():
				out.fault("task %d of job %s is not run (%s) and was started", index, key.ID, row.Reason)
			}
		}
	}
	return out
}

func (s *starts) fault(format string, args ...any) {
	s.failed++
	if len(s.faults) < maxFaults {
		s.faults = append(s.faults, fmt.Sprintf(format, args...))
	}
}
