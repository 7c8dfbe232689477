package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// backlogJobs is the number of jobs of a backlog, of which one at a time fits on a backend server.
	backlogJobs = 600
	// countedAge is how long ago a job must have been accepted for a count of pending jobs to include it.
	countedAge = 5 * time.Second
	// countInterval is the interval at which pending jobs are counted.
	countInterval = 10 * time.Millisecond
)

// backlog has the jobs of a queue that wait for a long time.
type backlog struct {
	c *clients
	// accepted has the time at which each job was accepted. It doesn't change.
	accepted map[string]time.Time
}

// newBacklog submits the jobs.
func newBacklog(c *clients) *backlog {
	b := &backlog{c: c, accepted: make(map[string]time.Time)}
	var mu sync.Mutex
	var submitting sync.WaitGroup
	for client := range numClients {
		submitting.Go(func() {
			random := c.w.random(uint64(3000 + client))
			for n := client; n < backlogJobs; n += numClients {
				id := fmt.Sprintf("d%015x", n)
				body := `{"spec":"{\"work_ms\":300}","steps":[{"count":1,"cpu_millis":3000,"mem_mb":64,"estimate_ms":300}]}`
				if status, _ := c.callQueue(random, http.MethodPost, "/n/", id, body); status == http.StatusOK {
					mu.Lock()
					b.accepted[id] = time.Now()
					mu.Unlock()
				}
			}
		})
	}
	submitting.Wait()
	if len(b.accepted) < backlogJobs/2 {
		c.w.addViolation("only %d of %d jobs of the backlog were accepted", len(b.accepted), backlogJobs)
	}
	return b
}

// count asks for the number of pending jobs until stop is closed. An answer must not be under half of the
// jobs that have waited for countedAge.
func (b *backlog) count(number int, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(countInterval):
		}
		addr := b.c.w.clientAddrs[number%len(b.c.w.clientAddrs)]
		asked := time.Now()
		pending, ok := b.ask(addr)
		// Jobs may begin while the question is on its way, so the rest is counted afterwards.
		if waiting := b.waiting(asked); ok && 2*pending < waiting {
			b.c.w.addViolation("pending_count: %d at %s while %d jobs wait", pending, addr, waiting)
		}
	}
}

func (b *backlog) ask(addr string) (int, bool) {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/n/", nil)
	if err != nil {
		return 0, false
	}
	req.Host = "desk.example"
	resp, err := b.c.http.Do(req)
	if err != nil {
		return 0, false // a missing response is an expected outcome under faults
	}
	defer resp.Body.Close()
	var out struct {
		Pending int `json:"pending_count"`
	}
	err = json.NewDecoder(resp.Body).Decode(&out)
	return out.Pending, err == nil && resp.StatusCode == http.StatusOK
}

// waiting returns the number of jobs that were accepted countedAge before a time and haven't begun.
func (b *backlog) waiting(at time.Time) int {
	started := make(map[string]bool)
	for task := range b.c.w.ledger.StartsByTask("d") {
		id, _, _ := strings.Cut(task, ".")
		started[id] = true
	}
	n := 0
	for id, accepted := range b.accepted {
		if !started[id] && at.Sub(accepted) > countedAge {
			n++
		}
	}
	return n
}

// cancel cancels the jobs that are left.
func (b *backlog) cancel() {
	random := b.c.w.random(3999)
	for id := range b.accepted {
		b.c.callQueue(random, http.MethodDelete, "/n/", id, "")
	}
}
