package home

import "slices"

// turns holds jobs with a backlog. Operators take turns, each operator's jobs
// go in the order they came.
type turns struct {
	operators []operatorJobs
	size      int
}

type operatorJobs struct {
	operator string
	jobs     []*job
}

func (t *turns) len() int { return t.size }

func (t *turns) push(j *job) {
	t.size++
	for i := range t.operators {
		if t.operators[i].operator == j.operator {
			t.operators[i].jobs = append(t.operators[i].jobs, j)
			return
		}
	}
	t.operators = append(t.operators, operatorJobs{j.operator, []*job{j}})
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
