package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	// turnedAwayFor is how long the store turns a machine away.
	turnedAwayFor = 4500 * time.Millisecond
	// secondAfter is how long after the first machine the second one is turned away.
	secondAfter = 2300 * time.Millisecond
	// contact is after how long without disruption machines are in touch.
	contact = 3 * time.Second
	// visible is how long after its ack a job has to be known everywhere.
	visible = 3 * time.Second
	// finish is how long after the end of the traffic jobs are asked for.
	finish = 14 * time.Second
	// jobsWhileAway is the number of jobs that are handed in while one machine is turned away.
	jobsWhileAway = 48
)

// staleOwner has the store turn the two machines with agents away one after the other. In between
// the second one takes over the jobs of the first one and accepts new ones.
func staleOwner(r *record, trouble bool) error {
	d, err := newDeployment(r, 4, 2)
	if err != nil {
		return err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return err
	}
	c := newClient(r)
	first, second := d.agents[0], d.agents[1]
	// Both agents offer to own jobs within 5 s of their start.
	time.Sleep(6 * time.Second)
	for range 32 {
		c.submitUntilAccepted(d, newID())
	}
	time.Sleep(3 * time.Second)
	if trouble {
		d.store.setTurnedAway(first.name, true)
		time.AfterFunc(turnedAwayFor, func() { d.store.setTurnedAway(first.name, false) })
		time.AfterFunc(secondAfter, func() { d.store.setTurnedAway(second.name, true) })
		time.AfterFunc(secondAfter+turnedAwayFor, func() { d.store.setTurnedAway(second.name, false) })
	}
	// The membership of the first agent expires within 1.3 s, and the second one takes over.
	time.Sleep(1700 * time.Millisecond)
	var accepted []string
	for i := range jobsWhileAway {
		id, path, work := newID(), "/quote/", 60*time.Millisecond
		if i%3 == 0 {
			path, work = "/survey/", 8*time.Second
		}
		if a := c.call(http.MethodPost, d.entries[i%len(d.entries)], path+id, tasks(1, 500, work, work, false), 300*time.Millisecond); a.status/100 == 2 {
			accepted = append(accepted, path+id)
		}
	}
	r.add("%d of %d jobs accepted", len(accepted), jobsWhileAway)
	time.Sleep(secondAfter + turnedAwayFor - 1700*time.Millisecond + contact + visible)
	unknown := make(map[string]bool)
	for i, id := range accepted {
		if a := c.call(http.MethodGet, d.entries[i%len(d.entries)], id, nil, 1500*time.Millisecond); a.status == http.StatusGone {
			unknown[id] = true
		}
	}
	time.Sleep(finish)
	for i, id := range accepted {
		a := c.call(http.MethodGet, d.entries[(i+1)%len(d.entries)], id, nil, 1500*time.Millisecond)
		if a.status == http.StatusGone {
			r.violation("LOST: job %s was accepted; it is answered with 410 at the end (earlier too: %t), runs: %s", id, unknown[id], d.history.summary(strings.Split(id, "/")[2]))
		} else if a.state != "completed" {
			r.violation("LOST: job %s was accepted and is %q at the end, runs: %s", id, a.String(), d.history.summary(strings.Split(id, "/")[2]))
		}
	}
	return nil
}

// submitUntilAccepted hands a job in until it is accepted, at most a few times.
func (c *client) submitUntilAccepted(d *deployment, id string) {
	for i := range 10 {
		a := c.call(http.MethodPost, d.entries[i%len(d.entries)], "/quote/"+id, oneTask(60*time.Millisecond, 60*time.Millisecond, false), 1500*time.Millisecond)
		if a.status/100 == 2 {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// summary tells how the runs of a job ended.
func (h *history) summary(id string) string {
	var out []string
	for _, r := range h.of(id) {
		out = append(out, r.how)
	}
	return strings.Join(out, ",")
}
