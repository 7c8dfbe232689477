package main

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// The plays of this file try faults that the open issues list.

// killedPair kills an entry and an agent at once. The agent starts again before the client of the
// entry sends its jobs again.
func killedPair(r *record, trouble bool) error {
	d, err := newDeployment(r, 2, 7)
	if err != nil {
		return err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return err
	}
	c := newClient(r)
	time.Sleep(contact)
	job := tasks(7, 1000, 3*time.Second, 3*time.Second, true)
	job.Steps[0].MaxPerServer = 1
	for round := range killRounds {
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() { c.submitAgain(d, job) })
		}
		time.Sleep(800 * time.Millisecond)
		if trouble {
			agent := d.agents[round%len(d.agents)]
			d.entries[0].kill()
			agent.kill()
			wg.Go(func() {
				down := 820*time.Millisecond + time.Duration(round)*20*time.Millisecond
				time.Sleep(down)
				agent.restart()
				time.Sleep(poweredOff - down)
				d.entries[0].restart()
			})
		}
		wg.Wait()
		if err := d.entries[0].awaitReady(); err != nil {
			return err
		}
		time.Sleep(contact + time.Second)
	}
	for _, pair := range d.history.overlapping(leastOverlap) {
		a, b := pair[0], pair[1]
		r.violation("TWICE: %s ran at %s from %v to %v (%s) and at %s from %v to %v (%s)", a.task, a.executor, a.start, a.end, a.how, b.executor, b.start, b.end, b.how)
	}
	return nil
}

// lowEstimates hands in recorded jobs whose estimates are a fifth of what their tasks take, which is
// reported as a violation if a job has nothing running for idlePeriod.
func lowEstimates(r *record, trouble bool) error {
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
	estimate, work := 1500*time.Millisecond, 1500*time.Millisecond
	if os.Getenv("LONG") != "" {
		estimate, work = 8*time.Second, 8*time.Second
	}
	if trouble {
		estimate /= 5
	}
	paths := make([]string, 0, 4)
	for i := range 4 {
		path := "/batch/" + newID()
		if c.call(http.MethodPost, d.entries[i%2], path, tasks(12, smallCores, work, estimate, false), 4*time.Second).status/100 == 2 {
			paths = append(paths, path)
		}
	}
	time.Sleep(finish)
	for range 20 {
		from := sinceStart()
		time.Sleep(idlePeriod)
		open := 0
		for i, path := range paths {
			if c.call(http.MethodGet, d.entries[i%2], path, nil, 1500*time.Millisecond).state == "completed" {
				continue
			}
			open++
			if !d.history.ranBetween(strings.Split(path, "/")[2], from, sinceStart()) {
				r.violation("LOST: job %s has had nothing running for %v", path, idlePeriod)
			}
		}
		how := make(map[string]int)
		for _, e := range d.history.all() {
			how[e.how]++
		}
		r.add("%d jobs not completed, ends %v", open, how)
	}
	return nil
}

// overflowingCounts hands in a job whose counts exceed the range of an integer when they are added.
func overflowingCounts(r *record, trouble bool) error {
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
	job := tasks(1, smallCores, time.Second, time.Second, false)
	if trouble {
		for _, count := range []int{1<<63 - 1, 1<<63 - 1} {
			s := job.Steps[0]
			s.Count = count
			job.Steps = append(job.Steps, s)
		}
	}
	for _, prefix := range []string{"/batch/", "/survey/"} {
		job.BestEffort = prefix == "/survey/"
		c.call(http.MethodPost, d.entries[0], prefix+newID(), job, 8*time.Second)
		time.Sleep(time.Second)
	}
	for _, p := range append(d.entries, d.agents...) {
		if !p.running() {
			r.violation("%s has ended by itself", p.name)
		}
	}
	return nil
}

// pendingCounts reads the number of waiting jobs while two of three agents are killed and start again.
func pendingCounts(r *record, trouble bool) error {
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
	submit := func(i int, job jobBody) string {
		path := "/batch/" + newID()
		c.call(http.MethodPost, d.entries[i%2], path, job, 4*time.Second)
		return strings.Split(path, "/")[2]
	}
	for i := range 6 {
		submit(i, tasks(8, smallCores, 60*time.Second, 60*time.Second, false))
	}
	time.Sleep(time.Second)
	var waiting []string
	for i := range 20 {
		waiting = append(waiting, submit(i, tasks(1, smallCores, 200*time.Millisecond, 200*time.Millisecond, false)))
	}
	time.Sleep(8 * time.Second)
	if trouble {
		for _, p := range d.agents[:2] {
			p.kill()
		}
		time.AfterFunc(1500*time.Millisecond, func() {
			for _, p := range d.agents[:2] {
				p.restart()
			}
		})
	}
	for until := sinceStart() + 15*time.Second; sinceStart() < until; time.Sleep(15 * time.Millisecond) {
		for _, entry := range d.entries {
			a := c.call(http.MethodGet, entry, "/batch/", nil, 1500*time.Millisecond)
			var body struct {
				PendingCount *int `json:"pending_count"`
			}
			if a.status != http.StatusOK || json.Unmarshal([]byte(a.text), &body) != nil || body.PendingCount == nil {
				continue
			}
			begun := 0
			for _, id := range waiting {
				if len(d.history.of(id)) > 0 {
					begun++
				}
			}
			if left := len(waiting) - begun; 2**body.PendingCount < left {
				r.violation("MIXED: %s gives pending_count %d while %d jobs haven't begun", entry.name, *body.PendingCount, left)
			}
		}
	}
	return nil
}
