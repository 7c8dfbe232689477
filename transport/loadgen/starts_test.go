package loadgen

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

// The starts at the backend servers contradict the answers: a task is started twice,
// a task of a complete job is not started, a task of a job that is "not run" is
// started. Each must be found, and nothing in a run where starts and answers agree.
func TestStartsAreComparedWithAnswers(t *testing.T) {
	is := is.New(t)
	complete, notRun, unknown := state.Complete.String(), state.NotRun.String(), state.Unknown.String()
	r := &Report{Config: Config{Service: "bench-desk", Run: "r"}, Rows: []Row{
		{Tasks: 2, Outcome: complete, Settled: complete},
		{Tasks: 1, Outcome: notRun, Settled: notRun},
		{Tasks: 1, Outcome: unknown, Settled: unknown},
	}}
	task := func(job, index int) TaskKey {
		return TaskKey{Job: state.JobKey{Service: "bench-desk", ID: r.JobID(job)}, Index: index}
	}
	counts := func(change TaskKey, n int) map[state.JobKey]map[TaskKey]int {
		out := make(map[state.JobKey]map[TaskKey]int)
		for _, t := range []TaskKey{task(0, 0), task(0, 1), task(2, 0), change} {
			if out[t.Job] == nil {
				out[t.Job] = make(map[TaskKey]int)
			}
			out[t.Job][t] = 1
		}
		out[change.Job][change] = n
		if n == 0 {
			delete(out[change.Job], change)
		}
		return out
	}
	var got Starts
	got.compare(counts(task(0, 0), 1), r)
	is.Equal(got, Starts{Tasks: 3})
	for _, c := range []struct {
		key  TaskKey
		n    int
		want Starts
	}{
		{task(0, 0), 2, Starts{Doubled: 1}}, {task(0, 1), 0, Starts{Lost: 1}},
		{task(1, 0), 1, Starts{NotRun: 1}}, {task(2, 0), 2, Starts{Doubled: 1}},
	} {
		var got Starts
		got.compare(counts(c.key, c.n), r)
		is.Equal([]int{got.Doubled, got.Lost, got.NotRun}, []int{c.want.Doubled, c.want.Lost, c.want.NotRun})
		is.Equal(got.Failed(), 1)
		is.Equal(len(got.Discrepancies), 1)
	}
}
