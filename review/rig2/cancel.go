package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// cancelBound is how long after the ack of its cancelling a job's tasks may start, and stopBound how
	// much longer they may run.
	cancelBound = 3 * time.Second
	stopBound   = 50 * time.Millisecond
)

// cancelBestEffort cancels best-effort jobs, on other channels, while their clients wait for the end.
func cancelBestEffort(r *record, trouble bool) error {
	d, err := newDeployment(r, 2, 2)
	if err != nil {
		return err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	submitter, canceller := newClient(r), newClient(r)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { cancelOne(r, d, submitter, canceller, i, trouble) })
	}
	wg.Wait()
	return nil
}

func cancelOne(r *record, d *deployment, submitter, canceller *client, i int, trouble bool) {
	id := newID()
	var wg sync.WaitGroup
	// The second step has to start later than cancelBound after the cancelling, if it isn't kept from that.
	job := tasks(2, 500, 5*time.Second, 5*time.Second, true)
	second := job.Steps[0]
	second.DependsOn = []int{0}
	job.Steps = append(job.Steps, second)
	wg.Go(func() {
		submitter.call(http.MethodPost, d.entries[i%2], "/survey/"+id, job, 14*time.Second)
	})
	time.Sleep(500 * time.Millisecond)
	var acked time.Duration
	if trouble {
		a := canceller.call(http.MethodDelete, d.entries[i%2], "/survey/"+id, nil, 1500*time.Millisecond)
		if a.status/100 == 2 || a.status == http.StatusGone {
			acked = sinceStart()
		}
	}
	wg.Wait()
	if acked == 0 {
		return
	}
	for _, run := range d.history.of(id) {
		if run.start > acked+cancelBound {
			r.violation("UNASKED: %s started %v after the ack of the job's cancelling", run.task, run.start-acked)
		}
		if run.end > acked+cancelBound+stopBound {
			r.violation("UNASKED: %s ran until %v after the ack of the job's cancelling", run.task, run.end-acked)
		}
	}
}
