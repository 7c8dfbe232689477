package route

import "time"

// timer is when something wants to be looked at. It is void when the due time
// of what it is of has moved since.
type timer[T any] struct {
	at time.Time
	of T
}

// timers is a heap for container/heap, the earliest first.
type timers[T any] []timer[T]

func (t timers[T]) Len() int           { return len(t) }
func (t timers[T]) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers[T]) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

func (t *timers[T]) Push(x any) { *t = append(*t, x.(timer[T])) }

func (t *timers[T]) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer[T]{}
	*t = old[:len(old)-1]
	return last
}
