package core

import (
	"testing"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state/job"
)

// The newest runs of repeated tasks must reach the next owner. Without them it would let the ends of
// earlier runs be acknowledged.
func TestRepeatedTasksSurviveTheStore(t *testing.T) {
	is := is.New(t)
	for _, state := range []job.State{job.Active, job.Completed} {
		r := job.NewRecord("00000000000000aa", job.Spec{Steps: []job.Step{{Count: 2}}}, job.Policy{}, 1)
		r.State = state
		r.Repeated = []job.RunID{{Task: job.TaskID{Job: r.ID, Index: 1}, Number: 1025}}
		b, err := EncodeRecord(r)
		is.NoErr(err)
		got, err := DecodeRecord(r.ID, b)
		is.NoErr(err)
		is.Equal(got.Repeated, r.Repeated)
		is.Equal(got.NewestRun(r.Repeated[0].Task), int64(1025))
		is.Equal(got.NewestRun(job.TaskID{Job: r.ID}), int64(0))
	}
}

// Guards against an owner that counts the failed runs of an earlier one again.
func TestFailedRunsSurviveTheStore(t *testing.T) {
	is := is.New(t)
	r := job.NewRecord("00000000000000aa", job.Spec{Steps: []job.Step{{Count: 2}}}, job.Policy{}, 1)
	r.Tasks[1] = job.TaskRecord{Failures: 2, FailedRuns: []int64{1, 1025}}
	b, err := EncodeRecord(r)
	is.NoErr(err)
	got, err := DecodeRecord(r.ID, b)
	is.NoErr(err)
	is.Equal(got.Tasks, r.Tasks)
}
