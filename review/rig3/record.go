package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// record notes what was sent, answered and run, with the time since the start.
type record struct {
	began time.Time

	mu     sync.Mutex
	file   *os.File
	starts map[string]int
	total  int
	// ran has when a run of a job last started or ended, and running how many are in progress.
	ran     map[string]time.Time
	running map[string]int
	// active has the servers on which runs of a task are in progress, and ends the tasks that have ended done.
	active map[string][]string
	ends   map[string]*doneEnd
	// failures counts the runs of a task that ended failed.
	failures map[string]int
	// faults has a line for each run that broke a rule.
	faults []string
}

// doneEnd is an end of a task that is done.
type doneEnd struct {
	noted, startedLater bool
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, starts: map[string]int{}, active: map[string][]string{}, ends: map[string]*doneEnd{}, ran: map[string]time.Time{}, running: map[string]int{}, failures: map[string]int{}}, nil
}

func (r *record) since() time.Duration { return time.Since(r.began).Round(time.Millisecond) }

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) //nolint:errcheck // the record is complete or the disk is full
}

// say writes a line, and prints it too.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) started(server, task string, run int64, spec string) {
	r.add("server %s: %s run %d starts, spec of %d bytes", server, task, run, len(spec))
	r.mu.Lock()
	defer r.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	r.starts[id]++
	r.ran[id] = time.Now()
	r.running[id]++
	r.starts[task]++
	r.total++
	if on := r.active[task]; len(on) > 0 {
		r.faults = append(r.faults, fmt.Sprintf("%s starts on %s while it runs on %v", task, server, on))
	}
	r.active[task] = append(r.active[task], server)
	if e := r.ends[task]; e != nil {
		e.startedLater = true
		if e.noted {
			r.faults = append(r.faults, fmt.Sprintf("%s starts on %s after its end was taken note of", task, server))
		}
	}
}

// over takes note that a run is over.
func (r *record) over(server, task, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, _, _ := strings.Cut(task, ".")
	r.ran[id] = time.Now()
	r.running[id]--
	if i := slices.Index(r.active[task], server); i >= 0 {
		r.active[task] = slices.Delete(r.active[task], i, i+1)
	}
	switch how {
	case "done":
		r.ends[task] = &doneEnd{}
	case "failed":
		r.failures[task]++
	}
}

// noted takes note that the end of a run is acknowledged, while the lease of its server has not lapsed since.
func (r *record) noted(server, task, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.ends[task]; e != nil && how == "done" {
		e.noted = true
		if e.startedLater {
			r.faults = append(r.faults, fmt.Sprintf("%s: an end on %s is taken note of after the task was started again", task, server))
		}
	}
}

// broken returns the runs that broke a rule.
func (r *record) broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.faults)
}

// startsOf returns how many runs of a job or a task have started.
func (r *record) startsOf(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[name]
}

// runs returns how many runs have started.
func (r *record) runs() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// ranSince reports whether a run of a job was in progress at any time from a time on.
func (r *record) ranSince(id string, from time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[id] > 0 || r.ran[id].After(from)
}

// failuresOf returns how many runs of a task have ended failed.
func (r *record) failuresOf(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures[task]
}
