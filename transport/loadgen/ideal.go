package loadgen

import (
	"container/heap"
	"time"
)

// ideal returns the larger of the job's longest task, which is its critical
// path, and its work spread over the free slots; and the round trips, which no
// job can do without. It leaves out every other job of the run.
func (j *plannedJob) idealResponse(size systemSize) time.Duration {
	return max(j.longestRunTime(), j.work()/time.Duration(max(1, size.free))) + minRoundTrips*size.roundTrip
}

// freeTimes is a heap of when slots get free.
type freeTimes []time.Duration

func (f freeTimes) Len() int           { return len(f) }
func (f freeTimes) Less(i, k int) bool { return f[i] < f[k] }
func (f freeTimes) Swap(i, k int)      { f[i], f[k] = f[k], f[i] }

// Push is for container/heap.
func (f *freeTimes) Push(x any) { *f = append(*f, x.(time.Duration)) }

// Pop is for container/heap.
func (f *freeTimes) Pop() any {
	last := len(*f) - 1
	x := (*f)[last]
	*f = (*f)[:last]
	return x
}

// packed returns each job's response if one all-knowing queue handed every task
// in order of arrival to the first free slot of the whole system in no time.
// It shows which part of a response no dispatcher that serves in order of
// arrival can save at this load.
func packedResponses(jobs []plannedJob, slots int) []time.Duration {
	free := make(freeTimes, max(1, slots))
	out := make([]time.Duration, len(jobs))
	for i := range jobs {
		j := &jobs[i]
		end := j.due
		for k := range j.tasks {
			free[0] = max(j.due, free[0]) + j.tasks[k].runTime
			end = max(end, free[0])
			heap.Fix(&free, 0)
		}
		out[i] = end - j.due
	}
	return out
}
