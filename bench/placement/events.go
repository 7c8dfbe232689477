package main

import "time"

// event is something that happens at a time. Events at one time happen in the
// order they were made.
type event struct {
	at time.Duration
	n  uint64
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].n < e[k].n
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }

// Push is for container/heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop is for container/heap.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}
