package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// crashedFor is how long an executor is down after its crash.
	crashedFor = 1500 * time.Millisecond
	// suspectJobs is the number of jobs that run when it crashes.
	suspectJobs = 320
	// suspectMillis is what the task of each job demands, in thousandths of a core, and suspectWork how
	// long it runs.
	suspectMillis = 250
	suspectWork   = 8 * time.Second
)

// suspects crashes one executor while recorded jobs run, and checks that the others are carried out.
func suspects(r *record, trouble bool) error {
	d, err := newDeployment(r, 2, 8)
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
	var mu sync.Mutex
	var accepted []string
	var wg sync.WaitGroup
	for i := range suspectJobs {
		wg.Go(func() {
			path := "/survey/" + newID()
			if a := c.call(http.MethodPost, d.entries[i%2], path, tasks(1, suspectMillis, suspectWork, suspectWork, false), 4*time.Second); a.status/100 == 2 {
				mu.Lock()
				accepted = append(accepted, path)
				mu.Unlock()
			}
		})
		time.Sleep(8 * time.Millisecond)
	}
	wg.Wait()
	r.add("%d jobs accepted", len(accepted))
	time.Sleep(time.Second)
	if trouble {
		d.executors[0].crash(d.executors[0].name, crashedFor)
	}
	time.Sleep(finish)
	from := sinceStart()
	time.Sleep(idlePeriod)
	until := sinceStart()
	total := len(d.executors) * serverCores / suspectMillis
	use := d.history.runsBetween(from, until)
	for i, path := range accepted {
		a := c.call(http.MethodGet, d.entries[i%2], path, nil, 1500*time.Millisecond)
		id := strings.Split(path, "/")[2]
		if a.state == "completed" || d.history.ranBetween(id, from, until) {
			continue
		}
		if 2*use < total && use+2 <= total {
			r.violation("LOST: job %s is %q and has had nothing running from %v to %v; %d tasks of the size of which %d fit were running; its runs: %s", path, a.state, from.Round(time.Millisecond), until.Round(time.Millisecond), use, total, d.history.summary(id))
		}
	}
	return nil
}
