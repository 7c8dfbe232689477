package main

import (
	"container/heap"
	"time"
)

// hops is what no placement can avoid: entry to home, claim to witness and
// back, home to agent, agent to home, home to entry.
const hops = 6 * oneWay

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
// in order of arrival to the first free slot of the fleet, with no time lost
// but the unavoidable hops.
func packed(c *config, jobs []plannedJob) []time.Duration {
	free := make(freeTimes, c.agents*slots)
	out := make([]time.Duration, len(jobs))
	for i := range jobs {
		var end time.Duration
		for k := range jobs[i].tasks {
			start := max(jobs[i].at, free[0])
			free[0] = start + jobs[i].tasks[k].ran
			end = max(end, free[0])
			heap.Fix(&free, 0)
		}
		out[i] = end - jobs[i].at + hops
	}
	return out
}
