package home

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// A caller submits with a deadline of 100 ms, and again through another entry with
// one of 10 s while its tasks run. At the first deadline the job goes on, because
// somebody waits for it; both hear the whole answer of the home. Without the
// second submission it ends at the first deadline.
func TestResubmissionWithALongerDeadlineKeepsTheJob(t *testing.T) {
	for name, c := range map[string]struct {
		again time.Duration
		want  state.Outcome
	}{
		"longer":  {10 * time.Second, state.Complete},
		"no end":  {0, state.Complete},
		"shorter": {50 * time.Millisecond, state.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(agents(8), nil)
			b.submit("j", 2, 100*time.Millisecond, "1")
			to, assigns := take[message.Assign](b)
			b.pass(20 * time.Millisecond)
			b.submit("j", 2, c.again, "2")
			b.pass(100 * time.Millisecond)
			_, drops := take[message.Drop](b)
			if c.want == state.Failed {
				b.report(to[0], message.Report{Key: assigns[0].Key, Running: drops[0].Indexes})
			} else {
				is.Equal(len(drops), 0)
				b.succeed(to[0], assigns[0])
			}
			_, answers := take[message.Answer](b)
			var got []state.Outcome
			for _, a := range answers {
				got = append(got, a.Outcome)
			}
			is.Equal(got[len(got)-1], c.want)
		})
	}
}

// A task that was started with the first deadline is ended by it at its backend
// server, though the job works on until a later one. Its failure is the deadline's
// doing, not the task's.
func TestTaskEndedByTheDeadlineItWasGiven(t *testing.T) {
	is := is.New(t)
	b := newBench(agents(8), nil)
	b.submit("j", 1, 100*time.Millisecond, "1")
	to, assigns := take[message.Assign](b)
	b.submit("j", 1, 10*time.Second, "2")
	b.pass(100 * time.Millisecond)
	b.report(to[0], message.Report{Key: assigns[0].Key, Results: []state.TaskResult{{Err: "deadline"}}})
	_, answers := take[message.Answer](b)
	is.Equal(len(answers), 2)
	is.Equal(answers[0].Reason, state.ReasonDeadline)
}
