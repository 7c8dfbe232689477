package main

import (
	"strings"
	"sync"
	"time"
)

// leastOverlap is the least time for which two runs count as running at the same time.
const leastOverlap = 2 * time.Millisecond

// history has all runs that the executors have started.
type history struct {
	record *record

	mu   sync.Mutex
	runs []*runEntry // guarded by mu
}

// runEntry is one run of a task. Guarded by history.mu.
type runEntry struct {
	task, executor string
	number         int64
	start, end     time.Duration
	how            string
	ackedAt        time.Duration
	// lapsed is set if the lease of the executor has lapsed between the end and its
	// acknowledgement.
	lapsed bool
}

func newHistory(r *record) *history { return &history{record: r} }

func (h *history) started(task string, number int64, executor string) *runEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := &runEntry{task: task, number: number, executor: executor, start: sinceStart()}
	h.runs = append(h.runs, e)
	h.record.add("start %s run %d at %s", task, number, executor)
	return e
}

func (e *runEntry) ended(h *history, how string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.end, e.how = sinceStart(), how
	h.record.add("end %s run %d at %s: %s", e.task, e.number, e.executor, how)
}

func (e *runEntry) acked(h *history) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e.ackedAt == 0 {
		e.ackedAt = sinceStart()
		h.record.add("acked %s run %d at %s: %s", e.task, e.number, e.executor, e.how)
	}
}

func (e *runEntry) lapsedAfter(h *history) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.lapsed = true
}

// all returns copies of all runs.
func (h *history) all() []runEntry {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]runEntry, len(h.runs))
	for i, r := range h.runs {
		out[i] = *r
	}
	return out
}

// of returns the runs of a job.
func (h *history) of(job string) []runEntry {
	var out []runEntry
	for _, r := range h.all() {
		if strings.HasPrefix(r.task, job+".") {
			out = append(out, r)
		}
	}
	return out
}

// overlapping returns pairs of runs of one task that ran at the same time for at least least.
func (h *history) overlapping(least time.Duration) [][2]runEntry {
	byTask := make(map[string][]runEntry)
	var out [][2]runEntry
	now := sinceStart()
	for _, r := range h.all() {
		if r.end == 0 {
			r.end = now
		}
		for _, other := range byTask[r.task] {
			if min(r.end, other.end)-max(r.start, other.start) >= least {
				out = append(out, [2]runEntry{other, r})
			}
		}
		byTask[r.task] = append(byTask[r.task], r)
	}
	return out
}
