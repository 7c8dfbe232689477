package loadgen

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

// Callers are told one thing and the backend servers started another: a task
// twice on two of them, none for a complete job, one for a job that is "not
// run". Each must be found, and nothing in a run where all agrees.
func TestStartsAreHeldAgainstAnswers(t *testing.T) {
	is := is.New(t)
	complete, notRun, unknown := state.Complete.String(), state.NotRun.String(), state.Unknown.String()
	r := &Report{Config: Config{Service: "bench-desk", Run: "r"}, Rows: []Row{
		{Tasks: 2, Outcome: complete, Settled: complete},
		{Tasks: 1, Outcome: notRun, Settled: notRun},
		{Tasks: 1, Outcome: unknown, Settled: unknown},
	}}
	task := func(job, index int) state.TaskKey {
		return state.TaskKey{Job: state.JobKey{Service: "bench-desk", ID: r.JobID(job)}, Index: index}
	}
	right := func() map[state.TaskKey]int {
		return map[state.TaskKey]int{task(0, 0): 1, task(0, 1): 1, task(2, 0): 1}
	}
	var got Starts
	got.compare(right(), r)
	is.Equal(got, Starts{Tasks: 3})
	for _, c := range []struct {
		key  state.TaskKey
		n    int
		want Starts
	}{
		{task(0, 0), 2, Starts{Doubled: 1}}, {task(0, 1), 0, Starts{Lost: 1}},
		{task(1, 0), 1, Starts{NotRun: 1}}, {task(2, 0), 2, Starts{Doubled: 1}},
	} {
		counts := right()
		counts[c.key] = c.n
		var got Starts
		got.compare(counts, r)
		is.Equal([]int{got.Doubled, got.Lost, got.NotRun}, []int{c.want.Doubled, c.want.Lost, c.want.NotRun})
		is.Equal(got.Failed(), 1)
		is.Equal(len(got.Faults), 1)
	}
}
