package home

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

const slotRun = 100 * time.Millisecond

// oneSlot is a home before a single slot, whose agent offers it anew after each
// task. Each task runs for slotRun.
type oneSlot struct {
	*bench
	// starts are the ids of the jobs whose tasks started, in order.
	starts []string
	// answers maps the ids of answered jobs to the outcome.
	answers map[string]state.Outcome
}

func newOneSlot() *oneSlot {
	return &oneSlot{bench: newBench(agents(1), nil), answers: map[string]state.Outcome{}}
}

func (s *oneSlot) offer(operator, id string, tasks int, expected, deadline time.Duration) {
	j := state.Job{Key: state.JobKey{Service: "s", ID: id}, Operator: operator}
	for range tasks {
		j.Tasks = append(j.Tasks, state.Task{Cores: 1, MemoryMB: 100, Expected: expected})
	}
	s.do(s.h.Handle(s.now, "entry", message.Submit{Job: j, Digest: j.Digest(), Attempt: "1", Deadline: deadline}))
}

// turn runs the task that has the slot, and offers the slot again.
func (s *oneSlot) turn(t *testing.T) {
	t.Helper()
	_, assigns := take[message.Assign](s.bench)
	running := withTasks(assigns)
	if len(running) != 1 || len(running[0].Indexes) != 1 {
		t.Fatalf("the slot was given %d assignments", len(running))
	}
	a := running[0]
	s.starts = append(s.starts, a.Key.ID)
	s.pass(slotRun)
	r := message.Report{Key: a.Key, Credit: 1}
	r.Results = []state.TaskResult{{Index: a.Indexes[0], Ran: slotRun}}
	s.report("a0", r)
	_, answers := take[message.Answer](s.bench)
	for _, m := range answers {
		s.answers[m.Key.ID] = m.Outcome
	}
}

func (s *oneSlot) done(id string) bool {
	_, ok := s.answers[id]
	return ok
}

// started returns the place of a job's nth start among all, or -1.
func (s *oneSlot) started(id string, n int) int {
	for i, x := range s.starts {
		if x == id {
			if n--; n == 0 {
				return i
			}
		}
	}
	return -1
}

// A caller submits a job of twenty tasks. From then on its operator submits
// small jobs without end, two for each that the slot can run, so that there is
// always less work waiting than the large job's. Small ones go first for the
// large job's window, two seconds of work; no later one may go before it.
func TestLargeJobIsNotStarvedBySmallOnes(t *testing.T) {
	is := is.New(t)
	const tasks, window = 20, 20 * slotRun
	s := newOneSlot()
	s.offer("op", "small", 1, slotRun, 0)
	s.offer("op", "large", tasks, slotRun, 0)
	inWindow := 0
	for n := 0; !s.done("large"); n++ {
		if n > 10*tasks {
			t.Fatal("the large job is still not answered")
		}
		for k := range 2 {
			id := fmt.Sprintf("early-%d-%d", n, k)
			if time.Duration(n)*slotRun > window {
				id = fmt.Sprintf("late-%d-%d", n, k)
			} else {
				inWindow++
			}
			s.offer("op", id, 1, slotRun, 0)
		}
		s.turn(t)
	}
	is.Equal(s.answers["large"], state.Complete)
	last := s.started("large", tasks)
	for _, id := range s.starts[:last] {
		is.True(id[:4] != "late")
	}
	is.True(last <= inWindow+tasks)          // no wait beyond the bound
	is.True(s.started("large", 1) > tasks/2) // and small ones do go first
}

// One operator floods the home with small jobs. Another submits one job with more
// work than any of them. It waits for its turn, not for the flood: every second
// start is its own.
func TestFloodDelaysNoOtherOperator(t *testing.T) {
	is := is.New(t)
	s := newOneSlot()
	for n := range 200 {
		s.offer("flood", fmt.Sprint("f", n), 1, slotRun/10, 0)
	}
	s.offer("other", "steady", 10, 10*slotRun, 0)
	for n := 0; !s.done("steady"); n++ {
		s.offer("flood", fmt.Sprint("more", n), 1, slotRun/10, 0)
		s.turn(t)
		is.True(n < 30)
	}
	is.True(s.started("steady", 10) <= 2*10)
}

// Of two jobs of the same work the one whose caller waits less long goes first,
// though it came later.
func TestNearerDeadlineGoesFirst(t *testing.T) {
	is := is.New(t)
	s := newOneSlot()
	s.offer("op", "first", 1, slotRun, 0)
	s.offer("op", "far", 30, slotRun, time.Minute)
	s.offer("op", "near", 30, slotRun, 8*time.Second)
	for range 32 {
		s.turn(t)
	}
	is.Equal(s.answers["near"], state.Complete)
	is.Equal(s.started("far", 1), 31)
}

// Declarations are too short by three, and half of the tasks have none. What is
// expected follows the results: the declared are corrected, the others taken for
// the mean. One absurd declaration spoils the rest by no more than a bound.
func TestExpectedWorkFollowsResults(t *testing.T) {
	is := is.New(t)
	var r runTimes
	declared, silent := state.Task{Expected: 100 * time.Millisecond}, state.Task{}
	is.Equal(r.expect(&declared), declared.Expected)
	is.Equal(r.expect(&silent), assumedRun)
	for range 100 {
		r.add(&declared, 300*time.Millisecond)
		r.add(&silent, 700*time.Millisecond)
	}
	is.Equal(r.expect(&declared).Round(time.Millisecond), 300*time.Millisecond)
	is.Equal(r.expect(&silent).Round(100*time.Millisecond), 500*time.Millisecond)
	silly := state.Task{Expected: time.Nanosecond}
	for range 1000 {
		r.add(&silly, time.Second)
	}
	is.Equal(r.expect(&declared), 10*declared.Expected)
}
