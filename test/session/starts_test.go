package session

import (
	"fmt"

	"github.com/shallotstep/shallotstep/state"
)

// starts returns how often each task of a job was started, by index.
func (s *system) starts(id string) map[int]int {
	out := make(map[int]int)
	for _, b := range s.backends {
		for task, n := range b.AllStarts() {
			if task.Job.Service == service && task.Job.ID == id {
				out[task.Index] += n
			}
		}
	}
	return out
}

// started returns how many tasks of a job were started, each counted as often
// as it was.
func (s *system) started(id string) int {
	sum := 0
	for _, n := range s.starts(id) {
		sum += n
	}
	return sum
}

func (s *system) awaitStarted(id string, n int) {
	s.t.Helper()
	await(s.t, fmt.Sprintf("start of %d tasks of %s", n, id), func() bool { return s.started(id) >= n })
}

// noDouble fails when a task of any job was started twice.
func (s *system) noDouble() {
	s.t.Helper()
	all := make(map[state.TaskKey]int)
	for _, b := range s.backends {
		for task, n := range b.AllStarts() {
			all[task] += n
		}
	}
	for task, n := range all {
		if n > 1 {
			s.t.Errorf("task %d of %s was started %d times", task.Index, task.Job.ID, n)
		}
	}
}

// onceEach fails unless each of a job's tasks was started exactly once.
func (s *system) onceEach(id string, tasks int) {
	s.t.Helper()
	starts := s.starts(id)
	if len(starts) != tasks {
		s.t.Errorf("%s: %d of %d tasks were started", id, len(starts), tasks)
	}
	s.noDouble()
}

// idle waits until no backend server runs anything.
func (s *system) idle() {
	s.t.Helper()
	await(s.t, "idle backend servers", func() bool {
		for _, b := range s.backends {
			if b.Running() > 0 {
				return false
			}
		}
		return true
	})
}

// running returns how many tasks run at all backend servers.
func (s *system) running() int {
	n := 0
	for _, b := range s.backends {
		n += b.Running()
	}
	return n
}
