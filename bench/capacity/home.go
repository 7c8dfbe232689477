package main

import (
	"runtime"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

const (
	// homeJobs leave stored answers below the limit on them, which would give up
	// the oldest results.
	homeJobs = 500
	// mostTicks bounds the ticks that a job may take.
	mostTicks = 200
)

// measureHome runs jobs at their home, the witness and the agents being played
// by the harness, with room at each agent. Messages under load, and how many of
// them are wasted, are bench/placement's.
func measureHome(t *table) {
	var costs [2]cost
	var heaps [2]float64
	for i, n := range []int{small, large} {
		h := newHomeBench()
		keys := keysOf(homeJobs, "home", h.d.isHome)
		jobs := make([]state.Job, homeJobs)
		digests := make([]state.Digest, homeJobs)
		for j, key := range keys {
			jobs[j] = jobOf(key, n)
			digests[j] = jobs[j].Digest()
		}
		before := heap()
		costs[i] = measure(homeJobs, func(j int) { h.run(jobs[j], digests[j], j) })
		heaps[i] = (heap() - before) / homeJobs
		runtime.KeepAlive(jobs)
		h.traffic.on = true
		for j, key := range keysOf(few, "counted", h.d.isHome) {
			job := jobOf(key, n)
			h.run(job, job.Digest(), homeJobs+j)
		}
		t.add(jobName("messages sent and received", n), float64(h.traffic.messages)/few, "")
		t.add(jobName("bytes sent and received", n), float64(h.traffic.bytes)/few, "B")
		t.addCost(jobName("home", n), costs[i])
		t.add(jobName("kept of a finished job", n), heaps[i], "B")
	}
	perTask := costs[1].minus(costs[0]).over(large - small)
	t.addCost("home, slope per task", perTask)
	t.add("kept, slope per task", (heaps[1]-heaps[0])/(large-small), "B")
}

func jobName(what string, n int) string {
	if n == small {
		return what + ", job of 10"
	}
	return what + ", job of 100"
}

// homeBench plays everybody around one home.
type homeBench struct {
	d        *daemon
	traffic  traffic
	seqs     map[state.NodeID]uint64
	loads    map[state.NodeID]state.AgentLoad
	answered bool
}

func newHomeBench() *homeBench {
	h := &homeBench{d: fullAgent(), seqs: make(map[state.NodeID]uint64), loads: make(map[state.NodeID]state.AgentLoad)}
	for _, m := range members() {
		h.loads[m.ID] = loadOf(m, 1)
	}
	return h
}

// run takes one job from submission to answer.
func (h *homeBench) run(job state.Job, digest state.Digest, i int) {
	h.answered = false
	h.d.now = h.d.now.Add(100 * time.Millisecond)
	h.d.caughtUp()
	if h.traffic.on {
		h.traffic.count(message.Submit{Job: job, Digest: digest, Attempt: attemptOf(i), Deadline: deadline})
	}
	h.play(h.d.submit(job, digest, i))
	for range mostTicks {
		if h.answered {
			return
		}
		h.d.now = h.d.now.Add(coordination.TickInterval)
		h.play(h.d.Tick(h.d.now))
	}
	panic("the job has no answer")
}

func (h *homeBench) play(acts []coordination.Action) {
	for len(acts) > 0 {
		send, ok := acts[0].(coordination.Send)
		acts = acts[1:]
		if !ok {
			continue
		}
		if _, news := send.Msg.(message.LoadNews); news {
			continue
		}
		h.traffic.count(send.Msg)
		switch m := send.Msg.(type) {
		case message.ClaimAsk:
			acts = append(acts, h.reply(send.To, message.ClaimReply{Key: m.Key, Token: m.Token, Epoch: m.Epoch, Granted: true})...)
		case message.Assign:
			acts = append(acts, h.reply(send.To, h.report(send.To, m))...)
		case message.Answer:
			if m.Outcome != state.Complete {
				panic("a job came to " + m.Outcome.String() + " " + string(m.Reason))
			}
			h.answered = true
		}
	}
}

func (h *homeBench) reply(from state.NodeID, msg message.Message) []coordination.Action {
	h.traffic.count(msg)
	return h.d.Handle(h.d.now, from, msg)
}

func (h *homeBench) report(from state.NodeID, m message.Assign) message.Report {
	load := h.loads[from]
	h.seqs[from]++
	load.Seq += h.seqs[from]
	r := message.Report{Key: m.Key, Load: load, Credit: min(m.Backlog, slots)}
	for _, index := range m.Indexes {
		r.Results = append(r.Results, resultOf(index))
	}
	return r
}
