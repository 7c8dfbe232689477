package session

import (
	"fmt"
	"time"

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

// underWay is a job whose tasks run while its caller waits.
type underWay struct {
	id, body string
	answered <-chan reply
}

// begin submits jobs with a home until of one all tasks are started; started is
// how many of its tasks that needs. The processes of a busy machine may be silent
// for so long that an entry gives a living home up before it has started
// anything, or everything. It says so, and waiting for the starts would then never
// end. Such an answer has to be true: unknown, or not run with nothing started.
func (s *system) begin(c *client, prefix string, home *process, tasks, started int, work time.Duration) underWay {
	s.t.Helper()
	end := time.Now().Add(hang)
	for i := 0; time.Now().Before(end); i++ {
		id := s.jobAt(fmt.Sprintf("%s-%d", prefix, i), home)
		j := underWay{id: id, body: job(id, tasks, work)}
		answered := c.later(j.body)
		j.answered = answered
		if s.startedBeforeAnswer(id, started, answered) {
			return j
		}
	}
	s.t.Fatalf("no end to waiting: a job %s with %d tasks started", prefix, started)
	return underWay{}
}

// startedBeforeAnswer waits until n tasks of a job are started or its caller is
// answered.
func (s *system) startedBeforeAnswer(id string, n int, answered chan reply) bool {
	s.t.Helper()
	var early *reply
	await(s.t, fmt.Sprintf("start of %d tasks of %s", n, id), func() bool {
		if s.started(id) >= n {
			return true
		}
		select {
		case r := <-answered:
			early = &r
		default:
		}
		return early != nil
	})
	if early == nil {
		return true
	}
	a := oneOf(s.t, *early, "not_run", "unknown")
	s.t.Logf("%s was given up early: %s", id, *early)
	if ran := s.started(id); a.Outcome == "not_run" && ran > 0 {
		s.t.Errorf("%s was answered not_run, and %d tasks were started", id, ran)
	}
	return false
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
