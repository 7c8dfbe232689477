package main

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// retransmit is how long after a missing answer a best-effort job is sent again.
	retransmit = 1300 * time.Millisecond
	// frozenFor is how long an entry is frozen, and freezePeriod the time between two freezes.
	frozenFor    = 2500 * time.Millisecond
	freezePeriod = 7 * time.Second
	freezes      = 13
	// leastOverlap is the least time for which two runs count as running at the same time.
	leastOverlap = 2 * time.Millisecond
)

// frozenEntry freezes one entry again and again while clients have best-effort jobs there. A client
// that gets no answer within its time limit sends its job again, to another entry, 1.3 s later.
func frozenEntry(r *record, trouble bool) error {
	d, err := newDeployment(r, 2, 3)
	if err != nil {
		return err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return err
	}
	time.Sleep(contact)
	c := newClient(r)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(16 * time.Millisecond):
				wg.Go(func() { c.submitBestEffort(d) })
			}
		}
	})
	for range freezes {
		time.Sleep(freezePeriod - frozenFor + time.Duration(rand.IntN(200))*time.Millisecond)
		if trouble {
			d.entries[0].signal(syscall.SIGSTOP)
		}
		time.Sleep(frozenFor)
		if trouble {
			d.entries[0].signal(syscall.SIGCONT)
		}
	}
	close(stop)
	wg.Wait()
	for _, pair := range d.history.overlapping(leastOverlap) {
		a, b := pair[0], pair[1]
		r.violation("TWICE: %s ran at %s from %v to %v (%s) and at %s from %v to %v (%s)", a.task, a.executor, a.start, a.end, a.how, b.executor, b.start, b.end, b.how)
	}
	return nil
}

// submitBestEffort hands a best-effort job in at the first entry, and again at the second one if the
// first one doesn't answer.
func (c *client) submitBestEffort(d *deployment) {
	const limit, estimate = 4000 * time.Millisecond, 3500 * time.Millisecond
	work := time.Duration(2500+rand.IntN(1200)) * time.Millisecond
	if rand.IntN(3) == 0 {
		work = work * 9 / 4
	}
	id, job := newID(), tasks(1, 100, work, estimate, true)
	a := c.call(http.MethodPost, d.entries[0], "/survey/"+id, job, limit)
	if a.status == 0 || a.status == http.StatusBadGateway || a.status == http.StatusGatewayTimeout {
		time.Sleep(retransmit)
		c.call(http.MethodPost, d.entries[1], "/survey/"+id, job, limit)
	}
}
