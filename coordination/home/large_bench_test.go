package home

import (
	"strconv"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// BenchmarkLargeJob is a job of 1,000 tasks from submission to answer at one home
// with 32 candidates of 8 slots. The first tasks are sent to free slots, the rest
// go by offers as results come. Without the claim, the links and the admission.
func BenchmarkLargeJob(b *testing.B) {
	free := make([]int, 32)
	for i := range free {
		free[i] = 8
	}
	t := newBench(agents(free...), nil)
	j := state.Job{Operator: "op", Tasks: make([]state.Task, state.MaxTasksPerJob)}
	for i := range j.Tasks {
		j.Tasks[i] = state.Task{Cores: 1, MemoryMB: 100, Expected: runFor}
	}
	n := 0
	b.ReportAllocs()
	for b.Loop() {
		j.Key = state.JobKey{Service: "s", ID: strconv.Itoa(n)}
		t.do(t.h.Handle(t.now, "entry", message.Submit{Job: j, Attempt: "1", Deadline: time.Minute}))
		if !t.runAll() {
			b.Fatal("job not complete")
		}
		n++
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n*state.MaxTasksPerJob), "ns/start")
}

// runFor is a task's run time in the benchmark.
const runFor = 500 * time.Millisecond

// runAll reports each task as done, with an offer, until nothing is sent any more.
// It reports whether the last thing sent was a complete answer.
func (b *bench) runAll() bool {
	for {
		to, assigns := take[message.Assign](b)
		if len(assigns) == 0 {
			_, answers := take[message.Answer](b)
			return len(answers) == 1 && answers[0].Outcome == state.Complete
		}
		b.now = b.now.Add(runFor)
		for i, a := range assigns {
			load := b.h.shard("s").pools["s"].agents[to[i]].load
			load.Seq++
			r := message.Report{Key: a.Key, Load: load, Credit: len(a.Indexes)}
			for _, index := range a.Indexes {
				r.Results = append(r.Results, state.TaskResult{Index: index, Ran: runFor})
			}
			b.report(to[i], r)
		}
	}
}
