package main

import (
	"strconv"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
)

func (s *sim) startTask(i int, a coordination.StartTask) {
	nd := s.nodes[i]
	job, _ := strconv.Atoi(a.Task.Job.ID)
	t := &s.jobs[job].tasks[a.Task.Index]
	s.began[a.Task]++
	if p := &s.jobs[job]; p.begun == 0 {
		p.begun = s.now
	}
	if s.began[a.Task] > 1 {
		panic("task started twice: " + a.Task.Job.ID)
	}
	s.placed[placed{i, a.Task}].useful = true
	s.use(nd, t.memoryMB)
	if nd.usedMB > memoryMB {
		s.res.overcommits++
		s.res.lastOvercommit = s.now
	}
	ran, fault := t.ran, ""
	switch {
	case s.c.scenario == "straggler" && i == 0:
		ran *= slowBy
	case s.c.scenario == "broken" && i == 0:
		ran, fault = failsAfter, "worker is broken"
	}
	r := &run{task: t, fault: fault, begun: s.now, ends: s.now + ran}
	nd.runs[a.Task] = r
	s.awaitEnd(i, a.Task, r)
}

// use adds to the memory in use at a node and counts the time beyond its size.
func (s *sim) use(nd *node, memory int64) {
	before := nd.usedMB > memoryMB
	nd.usedMB += memory
	switch after := nd.usedMB > memoryMB; {
	case after && !before:
		nd.beyondSince = s.now
	case before && !after:
		s.res.beyond += s.now - nd.beyondSince
	}
}

// awaitEnd ends a task at its time, which a throttle may move.
func (s *sim) awaitEnd(i int, key state.TaskKey, r *run) {
	s.after(r.ends-s.now, func() {
		if !r.over && s.now >= r.ends {
			s.end(i, key, r)
		}
	})
}

func (s *sim) end(i int, key state.TaskKey, r *run) {
	nd := s.nodes[i]
	r.over = true
	delete(nd.runs, key)
	s.use(nd, -r.task.memoryMB)
	s.act(i, nd.admit.Finished(s.time(), key, state.TaskResult{Index: key.Index, Err: r.fault, Ran: s.now - r.begun}))
}

// control has the backend server do something with a running task.
func (s *sim) control(i int, c coordination.Control) {
	if c.Cause == coordination.CauseMemory {
		s.res.controls[c.Verb]++
	}
	r := s.nodes[i].runs[c.Task]
	if r == nil {
		return
	}
	switch c.Verb {
	case coordination.VerbStop:
		r.fault = "stopped"
		r.ends = s.now
	case coordination.VerbThrottle:
		r.ends += throttledBy*(r.ends-s.now) - (r.ends - s.now)
	case coordination.VerbRelease:
		r.ends -= (r.ends - s.now) - (r.ends-s.now)/throttledBy
	default:
		return
	}
	s.awaitEnd(i, c.Task, r)
}

// usage has the backend servers report what their tasks use, with a lag.
func (s *sim) usage() {
	for i, nd := range s.nodes {
		var u []state.Usage
		for key, r := range nd.runs {
			u = append(u, state.Usage{Task: key, Cores: 1, MemoryMB: r.task.memoryMB, Ran: s.now - r.begun})
		}
		if len(u) > 0 {
			sortUsage(u)
			s.after(usageLag, func() { s.act(i, nd.admit.Usage(s.time(), u)) })
		}
	}
	s.after(usageEvery, s.usage)
}
