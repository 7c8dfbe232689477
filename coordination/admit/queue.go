package admit

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// headPatience is how long the first task in the queue may be passed by
// smaller ones. After that nothing else starts until it fits, or a task that
// needs much of the worker would wait for ever among small ones.
const headPatience = 300 * time.Millisecond

// fairQueue holds accepted tasks that wait for room. Operators take turns, each
// operator's tasks go in the order they came.
type fairQueue struct {
	operators []operatorQueue // in turn
	size      int
	blocked   bool
}

type operatorQueue struct {
	operator string
	tasks    []*entry
}

// verdict is what to do with a waiting task.
type verdict uint8

const (
	leave verdict = iota
	take
	shed
)

func (q *fairQueue) len() int { return q.size }

// blocksNew reports whether a newcomer has to queue though it would fit.
func (q *fairQueue) blocksNew() bool { return q.blocked }

func (q *fairQueue) push(e *entry) {
	q.size++
	for i := range q.operators {
		if q.operators[i].operator == e.job.operator {
			q.operators[i].tasks = append(q.operators[i].tasks, e)
			return
		}
	}
	q.operators = append(q.operators, operatorQueue{e.job.operator, []*entry{e}})
}

// next removes and returns the first task in fair order that judge doesn't
// leave, or nil. Its operator goes to the end of the turn.
func (q *fairQueue) next(now time.Time, judge func(*entry) verdict) *entry {
	q.blocked = false
	for i := range q.operators {
		for k, e := range q.operators[i].tasks {
			if judge(e) == leave {
				if now.Sub(e.queuedAt) > headPatience {
					q.blocked = true
					return nil
				}
				continue
			}
			q.takeOut(i, k)
			return e
		}
	}
	return nil
}

func (q *fairQueue) takeOut(i, k int) {
	o := q.operators[i]
	o.tasks = slices.Delete(o.tasks, k, k+1)
	q.operators = slices.Delete(q.operators, i, i+1)
	if len(o.tasks) > 0 {
		q.operators = append(q.operators, o)
	}
	q.size--
}

func (q *fairQueue) pop() *entry {
	if q.size == 0 {
		return nil
	}
	e := q.operators[0].tasks[0]
	q.takeOut(0, 0)
	return e
}

func (q *fairQueue) remove(e *entry) {
	for i := range q.operators {
		if k := slices.Index(q.operators[i].tasks, e); k >= 0 {
			q.takeOut(i, k)
			return
		}
	}
}

// ofHome returns the waiting tasks of one home.
func (q *fairQueue) ofHome(id state.NodeID) (out []*entry) {
	for i := range q.operators {
		for _, e := range q.operators[i].tasks {
			if e.job.home == id {
				out = append(out, e)
			}
		}
	}
	return out
}
