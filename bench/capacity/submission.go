package main

import (
	"runtime"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

const submissions = 1500

// measureSubmission runs jobs through an entry: body, decision, answer and its
// document. The HTTP server, the callers' connections and the links are not in
// it; bench/link has the links.
func measureSubmission(t *table) {
	var costs [2]cost
	var heaps [2]float64
	for i, n := range []int{small, large} {
		e := &entryBench{d: newEntry()}
		e.d.join(members())
		e.d.declareAll()
		e.d.hear(members(), 1)
		bodies := make([][]byte, submissions)
		results := make([]state.TaskResult, n)
		for j := range results {
			results[j] = resultOf(j)
		}
		for j, key := range keysOf(submissions, "body", func(uint32) bool { return true }) {
			s := api.Submission{Kind: api.KindJob, Job: jobOf(key, n), Deadline: deadline}
			bodies[j] = s.Body()
		}
		costs[i] = measure(submissions, func(j int) { e.run(uint64(j), bodies[j], results) })
		heaps[i] = e.inFlight(bodies)
		t.addCost(jobName("entry", n), costs[i])
		t.add(jobName("held of a job in flight, beside its body", n), heaps[i], "B")
		t.add(jobName("body", n), float64(len(bodies[0])), "B")
	}
	t.addCost("entry, slope per task", costs[1].minus(costs[0]).over(large-small))
	t.add("held, slope per task", (heaps[1]-heaps[0])/(large-small), "B")
}

type entryBench struct {
	d         *daemon
	delivered int
}

func (e *entryBench) run(ticket uint64, body []byte, results []state.TaskResult) {
	for _, act := range e.submit(ticket, body) {
		send, ok := act.(coordination.Send)
		if !ok {
			continue
		}
		m := send.Msg.(message.Submit)
		answer := message.Answer{Key: m.Job.Key, Attempt: m.Attempt, Outcome: state.Complete, Epoch: m.Epoch, Results: results}
		e.deliver(e.d.Handle(e.d.now, send.To, answer), len(results))
	}
	if e.delivered != int(ticket)+1 {
		panic("a submission has no answer")
	}
}

func (e *entryBench) submit(ticket uint64, body []byte) []coordination.Action {
	e.d.now = e.d.now.Add(10 * time.Millisecond)
	job, wait, problem := api.DecodeJob(serviceOfJobs, "", body)
	if problem != nil {
		panic(problem.String())
	}
	job.Operator = operatorName(oneService)
	return e.d.entry.Submit(e.d.now, ticket, job, job.Digest(), wait)
}

func (e *entryBench) deliver(acts []coordination.Action, tasks int) {
	for _, act := range acts {
		d, ok := act.(coordination.Deliver)
		if !ok {
			continue
		}
		doc, err := api.AnswerOf(d.Answer, tasks)
		if err != nil {
			panic(err)
		}
		if _, err := doc.Encode(); err != nil {
			panic(err)
		}
		e.delivered++
	}
}

// inFlight returns what the entry holds of a job that waits for its answer.
func (e *entryBench) inFlight(bodies [][]byte) float64 {
	const held = 30 // below the adaptive limit, in jobs of the larger size
	before := heap()
	for i := range held {
		e.submit(uint64(submissions+i), bodies[i])
	}
	kept := (heap() - before) / held
	runtime.KeepAlive(e)
	return kept
}
