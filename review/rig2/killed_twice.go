package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// killGap is the time between the kills of an entry and of an agent.
	killGap = 550 * time.Millisecond
	// poweredOff is how long a killed process stays down.
	poweredOff = 3500 * time.Millisecond
	killRounds = 7
	// patience is how long the client of a best-effort job waits in all.
	patience = 8 * time.Second
)

// killedTwice kills an entry, and half a second later an agent, while a best-effort job runs that the
// entry has accepted. Its client sees the channel break and sends the job again, 1.3 s later.
func killedTwice(r *record, trouble bool) error {
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
		wg.Go(func() { c.submitAgain(d, job) })
		time.Sleep(800 * time.Millisecond)
		if trouble {
			d.entries[0].kill()
			time.Sleep(killGap)
			agent := d.agents[round%len(d.agents)]
			agent.kill()
			wg.Go(func() {
				time.Sleep(poweredOff)
				d.entries[0].restart()
				agent.restart()
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

// submitAgain hands a best-effort job in at the first entry, and at the second one if the first one
// doesn't answer.
func (c *client) submitAgain(d *deployment, job jobBody) {
	path, began := "/survey/"+newID(), sinceStart()
	a := c.call(http.MethodPost, d.entries[0], path, job, patience)
	if a.status == 0 || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
		time.Sleep(retransmit)
		c.call(http.MethodPost, d.entries[1], path, job, patience-(sinceStart()-began))
	}
}
