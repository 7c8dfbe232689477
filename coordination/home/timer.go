package home

import (
	"container/heap"
	"time"
)

// timer wakes a job. Only the one that matches job.wake counts.
type timer struct {
	at time.Time
	j  *job
}

// timers is a heap of timers, the earliest first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, k int) bool { return t[i].at.Before(t[k].at) }
func (t timers) Swap(i, k int)      { t[i], t[k] = t[k], t[i] }

// Push is for container/heap.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop is for container/heap.
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

// due removes and returns a job whose time has come, or nil.
func (t *timers) due(now time.Time) *job {
	for len(*t) > 0 && !(*t)[0].at.After(now) {
		x := heap.Pop(t).(timer)
		if x.at.Equal(x.j.wake) {
			x.j.wake = time.Time{}
			return x.j
		}
	}
	return nil
}
