package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	leaveRounds = 8
	// answerTime is how long the executors take for each call.
	answerTime = 10 * time.Millisecond
	// awayFor is how long nothing is at the address of an executor that has left. It is longer than
	// addr_reuse_s.
	awayFor = 2200 * time.Millisecond
	// storeDownAfter is how long after the executor begins to drain the store goes down, and storeDownFor
	// for how long.
	storeDownAfter = time.Second
	storeDownFor   = 4500 * time.Millisecond
	// shortJobs is the number of short jobs that are handed in at a time.
	shortJobs = 140
)

// leftExecutor has one executor leave as planned, again and again, while recorded jobs run and the store is
// down for some seconds. Another one comes at its address and runs short recorded jobs.
func leftExecutor(r *record, trouble bool) error {
	d, err := newDeployment(r, 2, 7)
	if err != nil {
		return err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return err
	}
	for _, e := range d.executors {
		e.mu.Lock()
		e.answerDelay = answerTime
		e.mu.Unlock()
	}
	c := newClient(r)
	time.Sleep(6 * time.Second)
	for range 16 {
		c.submitUntilAccepted(d, newID())
	}
	// The first step ends a little before the executor has drained.
	twoSteps := tasks(14, 300, drainTime-250*time.Millisecond, drainTime, false)
	second := twoSteps.Steps[0]
	second.Count, second.DependsOn = 1, []int{0}
	twoSteps.Steps = append(twoSteps.Steps, second)
	for range leaveRounds {
		c.submitBatch(d, 14, twoSteps)
		if trouble {
			time.AfterFunc(storeDownAfter, func() { d.setStoreDown(true) })
			time.AfterFunc(storeDownAfter+storeDownFor, func() { d.setStoreDown(false) })
			d.executors[0].leave(awayFor)
		} else {
			time.Sleep(drainTime)
		}
		time.Sleep(storeDownAfter + storeDownFor - drainTime + time.Second)
		for range 2 {
			c.submitBatch(d, shortJobs, tasks(1, 300, 100*time.Millisecond, 100*time.Millisecond, false))
			time.Sleep(800 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	d.history.checkAfterDone(r)
	return nil
}

// setStoreDown makes the store answer all calls with status 503, or serve them again.
func (d *deployment) setStoreDown(down bool) {
	mode := storeServes
	if down {
		mode = storeBusy
	}
	for _, p := range append(append([]*process{}, d.agents...), d.entries...) {
		d.store.setMode(p.name, mode, 1)
	}
}

// submitBatch hands in equal recorded jobs and waits until they are accepted.
func (c *client) submitBatch(d *deployment, count int, job jobBody) {
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			c.call(http.MethodPost, d.entries[i%2], "/survey/"+newID(), job, 1500*time.Millisecond)
		})
	}
	wg.Wait()
}

// checkAfterDone checks that no task was started after a run of it had ended done, if that end was
// taken note of and the lease didn't lapse between the two.
func (h *history) checkAfterDone(r *record) {
	done := make(map[string][]runEntry)
	for _, e := range h.all() {
		if e.how == "done" && e.ackedAt > 0 && !e.lapsed {
			done[e.task] = append(done[e.task], e)
		}
	}
	for _, e := range h.all() {
		for _, o := range done[e.task] {
			if e.start > o.end {
				r.violation("TWICE: run %d of %s ended done at %s at %v and was taken note of at %v; run %d was started at %s at %v", o.number, o.task, o.executor, o.end, o.ackedAt, e.number, e.executor, e.start)
			}
		}
	}
}
