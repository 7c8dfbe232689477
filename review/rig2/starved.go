package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	// serverCores is the capacity of an executor, in thousandths of a core.
	serverCores = 16000
	// idlePeriod is for how long a job may have nothing running although there is capacity for it.
	idlePeriod = 3 * time.Second
	// smallCores is what a task of a small job demands, in thousandths of a core.
	smallCores = 1000
)

// starved hands in a job whose task fits on an empty executor only, while each executor runs one small
// long task, and then small jobs.
func starved(r *record, trouble bool) error {
	d, err := newDeployment(r, 2, 3)
	if err != nil {
		return err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return err
	}
	c := newClient(r)
	time.Sleep(6 * time.Second)
	for range 16 {
		c.submitUntilAccepted(d, newID())
	}
	time.Sleep(contact)
	submit := func(i int, job jobBody) (string, bool) {
		path := "/batch/" + newID()
		return path, c.call(http.MethodPost, d.entries[i%2], path, job, 4*time.Second).status/100 == 2
	}
	// One step with a task for each executor.
	long := tasks(3, smallCores, 80*time.Second, 80*time.Second, false)
	long.Steps[0].MaxPerServer = 1
	submit(0, long)
	time.Sleep(2 * time.Second)
	if trouble {
		_, ok := submit(1, tasks(1, serverCores, time.Second, time.Second, false))
		r.add("the large job is accepted: %t", ok)
	}
	time.Sleep(2 * time.Second)
	var accepted []string
	for i := range 160 {
		if path, ok := submit(i, tasks(2, smallCores, 200*time.Millisecond, 200*time.Millisecond, false)); ok {
			accepted = append(accepted, path)
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.add("%d small jobs accepted", len(accepted))
	time.Sleep(finish)
	from := sinceStart()
	time.Sleep(idlePeriod)
	until := sinceStart()
	use := d.history.runsBetween(from, until)
	for i, path := range accepted {
		a := c.call(http.MethodGet, d.entries[i%2], path, nil, 1500*time.Millisecond)
		id := strings.Split(path, "/")[2]
		if a.state == "completed" || d.history.ranBetween(id, from, until) {
			continue
		}
		if 2*use < len(d.executors)*serverCores/smallCores && use+2 <= len(d.executors)*serverCores/smallCores {
			r.violation("LOST: job %s, accepted over %v before, is %q and has had nothing running for %v; %d of %d cores are in use", path, finish, a.state, idlePeriod, use, len(d.executors)*serverCores/smallCores)
		}
	}
	return nil
}

// ranBetween reports whether a run of a job was active at any time of a period.
func (h *history) ranBetween(job string, from, until time.Duration) bool {
	for _, e := range h.of(job) {
		if e.start < until && (e.end == 0 || e.end > from) {
			return true
		}
	}
	return false
}

// runsBetween returns how many runs were active at any time of a period.
func (h *history) runsBetween(from, until time.Duration) int {
	n := 0
	for _, e := range h.all() {
		if e.start < until && (e.end == 0 || e.end > from) {
			n++
		}
	}
	return n
}
