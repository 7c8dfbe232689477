package route

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// Handlers submit the same few ids, answers come in twice, links go up and
// down and callers leave, all at once. Each ticket that was not abandoned gets
// one answer.
func TestConcurrentUse(t *testing.T) {
	is := is.New(t)
	const handlers, each = 8, 400
	b := newBench(agentLoads("a", "c"))
	var answers [handlers * each]atomic.Int32
	left := func(ticket int) bool { return ticket%each%5 == 0 }
	var carry func(acts []coordination.Action)
	carry = func(acts []coordination.Action) {
		for _, d := range delivered(acts) {
			answers[d.Ticket].Add(1)
		}
		subs, _ := sent[message.Submit](acts)
		for _, m := range subs {
			a := message.Answer{Key: m.Job.Key, Attempt: m.Attempt, Outcome: state.Failed}
			carry(b.Handle(start, "h", a))
			carry(b.Handle(start, "h", a))
		}
		assigns, to := sent[message.Assign](acts)
		for i, m := range assigns {
			carry(b.Handle(start, to[i], message.Report{Key: m.Key, Results: []state.TaskResult{{}}}))
		}
	}
	var wg conc.WaitGroup
	for h := range handlers {
		wg.Go(func() {
			for n := range each {
				ticket := uint64(h*each + n)
				job := state.Job{Key: state.JobKey{ID: fmt.Sprint(n % 7)}, Repeatable: n%3 == 0, Tasks: make([]state.Task, 1)}
				acts := b.Submit(start, ticket, job, job.Digest(), time.Second)
				if left(int(ticket)) {
					b.Abandon(start, ticket)
				}
				carry(acts)
				carry(b.PeerDown(start, "h"))
				carry(b.PeerUp(start, "h"))
				carry(b.Tick(start))
			}
		})
	}
	wg.Wait()
	carry(b.Drain(start))
	is.True(b.Idle())
	for ticket := range answers {
		n := answers[ticket].Load()
		is.True(n == 1 || n == 0 && left(ticket))
	}
	// The refusal waits for the witness, whether the id is known, or settleFor.
	carry(b.submit(1<<40, false, 0))
	refused := delivered(b.Tick(start.Add(settleFor)))
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Answer.Reason, state.ReasonDraining)
}
