package route

import (
	"strconv"
	"testing"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// BenchmarkJob is the entry's share of one job: Submit, Answer and Deliver.
func BenchmarkJob(b *testing.B) {
	r := newBench(nil)
	job := state.Job{Key: quote, Tasks: make([]state.Task, 10)}
	results := make([]state.TaskResult, len(job.Tasks))
	for n := 0; b.Loop(); n++ {
		job.Key.ID = strconv.Itoa(n)
		subs, _ := sent[message.Submit](r.Submit(r.now, uint64(n), job, state.Digest{}, 0))
		r.Handle(r.now, "h", message.Answer{Key: job.Key, Attempt: subs[0].Attempt, Outcome: state.Complete, Results: results})
	}
}
