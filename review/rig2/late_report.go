package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// greyFor is how long an executor leaves a share of its calls unanswered.
	greyFor   = 5 * time.Second
	greyShare = 0.4
	// cutFor is how long the reports of the first lifetime are held up before it crashes.
	cutFor = 4500 * time.Millisecond
)

// lateReport has reports of an executor's earlier lifetime, which a cut has held up, arrive while the
// present lifetime runs tasks and leaves a share of its calls unanswered.
func lateReport(r *record, trouble bool) error {
	d, err := newDeployment(r, 2, 10)
	if err != nil {
		return err
	}
	defer d.end()
	if err := d.startAll(); err != nil {
		return err
	}
	// ONLY=report and ONLY=grey play one of the two disruptions alone.
	only := os.Getenv("ONLY")
	c := newClient(r)
	time.Sleep(6 * time.Second)
	for range 16 {
		c.submitUntilAccepted(d, newID())
	}
	e := d.executors[0]
	for range 4 {
		var held []heldReport
		if trouble {
			held = e.cutOffAndRestart(cutFor)
		}
		time.Sleep(2 * time.Second)
		var wg sync.WaitGroup
		for i := range 80 {
			wg.Go(func() {
				c.call(http.MethodPost, d.entries[i%2], "/survey/"+newID(), tasks(1, 1000, 6*time.Second, 6*time.Second, false), 1500*time.Millisecond)
			})
		}
		wg.Wait()
		time.Sleep(time.Second)
		if trouble && only != "report" {
			e.setGrey(greyShare)
		}
		if only == "grey" {
			held = nil
		}
		for _, report := range held {
			time.Sleep(100 * time.Millisecond)
			r.add("a held-up report of %s arrives, acknowledged: %t", report.id, e.send(report.id, report.body))
		}
		time.Sleep(greyFor)
		e.setGrey(0)
		time.Sleep(8 * time.Second)
	}
	for _, pair := range d.history.overlapping(leastOverlap) {
		a, b := pair[0], pair[1]
		r.violation("TWICE: %s ran at %s from %v to %v (%s) and at %s from %v to %v (%s)", a.task, a.executor, a.start, a.end, a.how, b.executor, b.start, b.end, b.how)
	}
	return nil
}

// heldReport is a report that a cut holds up.
type heldReport struct{ id, body string }

// cutOffAndRestart cuts the executor off from its agent for a time, in which its reports and all calls
// are held up. At the end it crashes, and its next lifetime starts and registers. It returns the
// reports that were held up.
func (e *executor) cutOffAndRestart(after time.Duration) []heldReport {
	e.mu.Lock()
	e.mute, e.cut = true, true
	e.record.add("%s is cut off from its agent", e.id)
	e.mu.Unlock()
	var held []heldReport
	for range after / heartbeatPeriod {
		time.Sleep(heartbeatPeriod)
		e.mu.Lock()
		e.seq++
		held = append(held, heldReport{id: e.id, body: e.reportLocked()})
		e.mu.Unlock()
	}
	e.crash(e.name, 500*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	e.mu.Lock()
	e.mute, e.cut = false, false
	e.record.add("%s is connected", e.id)
	e.mu.Unlock()
	for !e.beat() {
		time.Sleep(firstBeatRetry)
	}
	return held
}

// currentReport returns a report of the present lifetime.
func (e *executor) currentReport() heldReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	return heldReport{id: e.id, body: e.reportLocked()}
}

// leave makes the executor drain, deregister and end. Its next lifetime starts after a time.
func (e *executor) leave(downtime time.Duration) {
	e.mu.Lock()
	if e.down || e.draining {
		e.mu.Unlock()
		return
	}
	e.draining = true
	e.record.add("%s drains", e.id)
	id, body := e.id, "{}"
	if e.keepsID {
		body = fmt.Sprintf(`{"born":%d}`, e.bornLocked())
	}
	e.mu.Unlock()
	e.beat()
	time.Sleep(drainTime)
	e.mu.Lock()
	gone := e.id != id || e.down
	e.mu.Unlock()
	if gone {
		return
	}
	resp, err := http.Post("http://"+e.control+"/v1/instances/"+id+"/deregister", "application/json", strings.NewReader(body))
	if err == nil {
		resp.Body.Close() //nolint:errcheck // the body is not used
	}
	time.Sleep(endTime)
	e.crash(e.name, downtime)
}

// endTime is how long an executor takes to end after it has deregistered. It answers the calls that it
// has received.
const endTime = 30 * time.Millisecond

// drainTime is how long a draining executor goes on.
const drainTime = 2500 * time.Millisecond

// setGrey makes the executor leave a share of its calls unanswered, without carrying them out.
func (e *executor) setGrey(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.grey = share
	e.record.add("%s leaves a share of %v of its calls unanswered", e.id, share)
}

// leavesUnansweredLocked reports whether a call gets no answer.
func (e *executor) leavesUnansweredLocked() bool {
	return e.mute || rand.Float64() < e.grey
}
