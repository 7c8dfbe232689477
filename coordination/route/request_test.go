package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

func (b *bench) request(n int, deadline time.Duration) []coordination.Action {
	job := state.Job{
		Key: state.JobKey{Service: "bench", ID: fmt.Sprint(n)}, Repeatable: true, Tasks: make([]state.Task, 1),
	}
	return b.Submit(b.now, uint64(n), job, job.Digest(), deadline)
}

// Every agent refuses everything, or is gone. Callers are refused at once, and
// the fleet sees at most a tenth more tries than there were requests.
func TestFailingFleetSeesAtMostATenthMore(t *testing.T) {
	const requests = 5000
	for _, fail := range []string{"refused", "failed link"} {
		is := is.New(t)
		b := newBench(agentLoads("a", "b", "c", "d"))
		tries, answers := 0, 0
		for n := range requests {
			b.now = b.now.Add(downFor / 2)
			answers += len(delivered(b.Tick(b.now)))
			acts := b.request(n+1, 0)
			for len(acts) > 0 {
				answers += len(delivered(acts))
				assigns, to := sent[message.Assign](acts)
				tries += len(assigns)
				acts = nil
				for i, m := range assigns {
					if fail == "refused" {
						acts = append(acts, b.Handle(b.now, to[i], message.Report{Key: m.Key, Refused: []int{0}, Reason: state.ReasonBusy})...)
					} else {
						acts = append(acts, b.PeerDown(b.now, to[i])...)
					}
				}
			}
		}
		answers += len(delivered(b.pass(time.Second)))
		t.Logf("%s: %d requests, %d tries", fail, requests, tries)
		is.Equal(answers, requests)
		is.True(tries > requests)          // retries are made
		is.True(tries <= requests*110/100) // and bounded
	}
}

// One agent is a straggler. After the service's p95 a second agent is asked;
// its result is the answer, the straggler gets one Drop, and its late result
// reaches nobody.
func TestHedgeDropsTheLoser(t *testing.T) {
	is := is.New(t)
	b := newBench(agentLoads("a", "b"))
	for n := range hedgeSamples {
		assigns, to := sent[message.Assign](b.request(n+1, 0))
		b.now = b.now.Add(20 * millis)
		b.Handle(b.now, to[0], message.Report{Key: assigns[0].Key, Results: []state.TaskResult{{}}})
	}
	first, slow := sent[message.Assign](b.request(100, time.Second))
	second, fast := sent[message.Assign](b.pass(25 * millis))
	is.Equal(len(second), 1)
	is.True(slow[0] != fast[0])
	acts := b.Handle(b.now, fast[0], message.Report{Key: second[0].Key, Results: []state.TaskResult{{}}})
	drops, to := sent[message.Drop](acts)
	is.Equal(to, slow)
	is.Equal(drops[0].Key, first[0].Key)
	is.Equal(delivered(acts)[0].Answer.Stats.Wasted, 2) // the first Assign and the Drop
	is.Equal(len(b.Handle(b.now, slow[0], message.Report{Key: first[0].Key, Results: []state.TaskResult{{}}})), 0)
}

// A task that failed by itself is not tried elsewhere, and neither is one
// whose deadline a second try would miss.
func TestNoRetryWithoutUse(t *testing.T) {
	is := is.New(t)
	b := newBench(agentLoads("a", "b"))
	for n := range 30 { // fills the budget and teaches 50 ms
		assigns, to := sent[message.Assign](b.request(n+1, 0))
		b.now = b.now.Add(50 * millis)
		b.Handle(b.now, to[0], message.Report{Key: assigns[0].Key, Results: []state.TaskResult{{}}})
	}
	assigns, to := sent[message.Assign](b.request(100, time.Second))
	got := delivered(b.Handle(b.now, to[0], message.Report{Key: assigns[0].Key, Results: []state.TaskResult{{Err: "no such doll"}}}))
	is.Equal(got[0].Answer.Outcome, state.Failed)
	assigns, to = sent[message.Assign](b.request(101, 40*millis))
	got = delivered(b.Handle(b.now, to[0], message.Report{Key: assigns[0].Key, Refused: []int{0}, Reason: state.ReasonBusy, RetryAfter: time.Second}))
	is.Equal(got[0].Answer.Outcome, state.NotRun)
	is.Equal(got[0].Answer.RetryAfter, time.Second)
	assigns, to = sent[message.Assign](b.request(102, time.Second))
	acts := b.Handle(b.now, to[0], message.Report{Key: assigns[0].Key, Refused: []int{0}, Reason: state.ReasonBusy})
	again, _ := sent[message.Assign](acts)
	is.Equal(len(again), 1)
	is.True(again[0].Key != assigns[0].Key)
}
