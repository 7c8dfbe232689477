package loadgen

import (
	"container/heap"
	"time"
)

// idealResponse returns a lower bound of the job's response time on an otherwise
// idle system: the larger of its longest task, which is its critical path, and its
// work divided by the free slots, plus the round trips that every job needs.
func (j *plannedJob) idealResponse(size systemSize) time.Duration {
	return max(j.longestRunTime(), j.work()/time.Duration(max(1, size.free))) + minRoundTrips*size.roundTrip
}

// freeTimes is a min-heap of the times at which slots become free.
type freeTimes []time.Duration

func (f freeTimes) Len() int           { return len(f) }
func (f freeTimes) Less(i, k int) bool { return f[i] < f[k] }
func (f freeTimes) Swap(i, k int)      { f[i], f[k] = f[k], f[i] }

// Push implements heap.Interface.
func (f *freeTimes) Push(x any) { *f = append(*f, x.(time.Duration)) }

// Pop implements heap.Interface.
func (f *freeTimes) Pop() any {
	last := len(*f) - 1
	x := (*f)[last]
	*f = (*f)[:last]
	return x
}

// packedResponses returns the response time of each job if a single FIFO queue
// assigned every task to the first free slot of the whole system without delay.
// This part of a response time is queueing that no dispatcher that serves in order
// of arrival can avoid at this load. jobs are in the order of arrival.
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
