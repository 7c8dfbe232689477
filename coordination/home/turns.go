package home

import (
	"slices"
	"sort"
)

// turns holds jobs with a backlog. Operators take turns, each operator's jobs
// go by their order times, the earliest first; see pool.orderTime.
type turns struct {
	operators []operatorJobs
	size      int
}

type operatorJobs struct {
	operator string
	jobs     []*job
}

func (t *turns) len() int { return t.size }

// push adds a job whose order time is set.
func (t *turns) push(j *job) {
	t.size++
	for i := range t.operators {
		if t.operators[i].operator == j.operator {
			t.operators[i].insert(j)
			return
		}
	}
	t.operators = append(t.operators, operatorJobs{j.operator, []*job{j}})
}

// insert puts a job behind those of the same time, so that equal ones go in
// order of arrival.
func (o *operatorJobs) insert(j *job) {
	i := sort.Search(len(o.jobs), func(i int) bool { return o.jobs[i].orderAt.After(j.orderAt) })
	o.jobs = slices.Insert(o.jobs, i, j)
}

// moved puts a job where its order time says after that changed. The operator keeps
// its turn.
func (t *turns) moved(j *job) {
	for i := range t.operators {
		o := &t.operators[i]
		if k := slices.Index(o.jobs, j); k >= 0 {
			o.jobs = slices.Delete(o.jobs, k, k+1)
			o.insert(j)
			return
		}
	}
}

// first returns the job whose turn it is.
func (t *turns) first() *job { return t.operators[0].jobs[0] }

func (t *turns) remove(j *job) {
	for i := range t.operators {
		o := &t.operators[i]
		for k, x := range o.jobs {
			if x != j {
				continue
			}
			t.size--
			o.jobs = append(o.jobs[:k], o.jobs[k+1:]...)
			if len(o.jobs) == 0 {
				t.operators = append(t.operators[:i], t.operators[i+1:]...)
			}
			return
		}
	}
}

// inTurn calls f with jobs in fair order until it returns false: the first job
// of each operator, then the second of each, and so on.
func (t *turns) inTurn(f func(*job) bool) {
	for k := 0; ; k++ {
		more := false
		for i := range t.operators {
			if k >= len(t.operators[i].jobs) {
				continue
			}
			more = true
			if !f(t.operators[i].jobs[k]) {
				return
			}
		}
		if !more {
			return
		}
	}
}

// rotate ends the first operator's turn.
func (t *turns) rotate(operator string) {
	for i := range t.operators {
		if t.operators[i].operator == operator {
			o := t.operators[i]
			t.operators = append(slices.Delete(t.operators, i, i+1), o)
			return
		}
	}
}
