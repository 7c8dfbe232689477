package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// run is one run of a task as its backend server saw it. Guarded by ledger.mu.
type run struct {
	task   string
	number int64
	server string
	start  time.Duration
	// end is zero while the run is active. how is how it ended; "crashed" with its server.
	end time.Duration
	how string
	// acked is when the end was acknowledged; zero: never. lapsed is set if the lease expired
	// between the end and the acknowledgement, after which the end does not count.
	acked  time.Duration
	lapsed bool
}

// ledger has the runs on all backend servers.
type ledger struct {
	rec *record

	mu   sync.Mutex
	runs map[string][]*run // by task; guarded by mu
}

func newLedger(rec *record) *ledger { return &ledger{rec: rec, runs: make(map[string][]*run)} }

func (l *ledger) started(server, task string, number int64) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &run{task: task, number: number, server: server, start: l.rec.now()}
	l.runs[task] = append(l.runs[task], r)
	l.rec.logf("start %s run %d on %s", task, number, server)
	return r
}

func (l *ledger) ended(r *run, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.end, r.how = l.rec.now(), how
	l.rec.logf("end %s run %d on %s: %s", r.task, r.number, r.server, how)
}

func (l *ledger) acknowledged(r *run, lapsed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.acked, r.lapsed = l.rec.now(), lapsed
	l.rec.logf("ack %s run %d on %s, lease expired since: %v", r.task, r.number, r.server, lapsed)
}

// twice returns the breaches of TWICE. A job that is kept must not be started again after an end
// that was taken note of; of no job may two runs of a task overlap by more than tolerance.
func (l *ledger) twice(kept func(job string) bool, tolerance time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for task, runs := range l.runs {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if overlap := a.until(l.rec.now()) - b.start; overlap > tolerance {
					out = append(out, fmt.Sprintf("TWICE: %s run %d on %s (%d to %d ms, %s) and run %d on %s from %d ms, %d ms at the same time",
						task, a.number, a.server, a.start.Milliseconds(), a.until(l.rec.now()).Milliseconds(), a.how, b.number, b.server, b.start.Milliseconds(),
						(min(a.until(l.rec.now()), b.until(l.rec.now()))-b.start).Milliseconds()))
				}
				if kept(jobOf(task)) && a.how == "done" && a.acked > 0 && !a.lapsed && b.start > a.end {
					out = append(out, fmt.Sprintf("TWICE: %s run %d on %s ended done at %d ms, taken note of at %d ms; run %d on %s started at %d ms",
						task, a.number, a.server, a.end.Milliseconds(), a.acked.Milliseconds(), b.number, b.server, b.start.Milliseconds()))
				}
			}
		}
	}
	slices.Sort(out)
	return out
}

func (r *run) until(now time.Duration) time.Duration {
	if r.end == 0 {
		return now
	}
	return r.end
}

// done reports whether as many tasks of a job have ended done.
func (l *ledger) done(job string, tasks int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for task, runs := range l.runs {
		if jobOf(task) == job && slices.ContainsFunc(runs, func(r *run) bool { return r.how == "done" }) {
			n++
		}
	}
	return n >= tasks
}

// countSince returns the number of runs that were active at some time since then.
func (l *ledger) countSince(since time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, runs := range l.runs {
		for _, r := range runs {
			if r.end == 0 || r.end > since {
				n++
			}
		}
	}
	return n
}

// ran reports whether anything of a job has run since a time.
func (l *ledger) ran(job string, since time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for task, runs := range l.runs {
		if jobOf(task) == job && slices.ContainsFunc(runs, func(r *run) bool { return r.end == 0 || r.end > since }) {
			return true
		}
	}
	return false
}

func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
