package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// What clients hand in: batchJobs jobs with a spec of nearly the largest size, batchRate of them a second.
const (
	batchJobs  = 14000
	batchRate  = 1000
	batchHosts = 11
	specBytes  = 4000
	// batchFinish is how long after the last job the check begins: finish_s is 14 s.
	batchFinish = 25 * time.Second
)

// batchBody is a job of eight steps, one after the other, like those of PROTOCOL.
func batchBody() string {
	spec := `{"work_ms":35,"note":"`
	spec += strings.Repeat("n", specBytes-len(spec)-2) + `"}`
	var steps []map[string]any
	for i := range 8 {
		step := map[string]any{"count": 1, "cpu_millis": 1600, "mem_mb": 64, "estimate_ms": 35, "data_rack": "r1-3"}
		if i > 0 {
			step["depends_on"] = []int{i - 1}
		}
		steps = append(steps, step)
	}
	b, _ := json.Marshal(map[string]any{"spec": spec, "steps": steps})
	return string(b)
}

// handIn hands the jobs in from many clients and returns the IDs of those that were accepted.
func handIn(w *world, body string) []string {
	var mu sync.Mutex
	var ids []string
	statuses := map[int]int{}
	due := make(chan struct{})
	go func() {
		defer close(due)
		t := time.NewTicker(10 * time.Millisecond)
		defer t.Stop()
		for sent := 0; sent < batchJobs; {
			<-t.C
			for range batchRate / 100 {
				due <- struct{}{}
				sent++
			}
		}
	}()
	var wg sync.WaitGroup
	for i := range 96 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := newClient(w.entries[i%len(w.entries)].front, w.log)
			for range due {
				id := newID()
				v := c.do("POST", "/q/"+id, body, 5*time.Second)
				w.log.add("POST %s: %v", id, v)
				mu.Lock()
				statuses[v.status]++
				if v.status == 200 {
					ids = append(ids, id)
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	w.log.say("jobs by the status of the answer: %v", statuses)
	return ids
}

// states asks for the state of each job and returns how many have each, and those that haven't ended.
func states(w *world, ids []string) (map[string]int, []string) {
	var mu sync.Mutex
	counts, open := map[string]int{}, []string(nil)
	next := make(chan string, len(ids))
	for _, id := range ids {
		next <- id
	}
	close(next)
	var wg sync.WaitGroup
	for i := range 32 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := newClient(w.entries[i%len(w.entries)].front, w.log)
			for id := range next {
				v := c.do("GET", "/q/"+id, "", 2*time.Second)
				state := v.state
				if state == "" {
					state = v.String()
				}
				mu.Lock()
				counts[state]++
				if state != "completed" {
					open = append(open, id)
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	slices.Sort(open)
	return counts, open
}

// batchCase loses a machine for good while many jobs wait.
func batchCase(w *world, trouble bool) (bool, error) {
	queue := route{Name: "night-run", Host: host, Prefix: "/q/", Timeout: 5000, Target: 300000, Service: service, Attempts: 3, Slack: 1.6}
	if err := w.start(3, batchHosts, serverOptions{service: service, cpu: 16000, labels: []string{"a", "r1-3"}}, queue); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // all agents take part after the start spread
	ids := handIn(w, batchBody())
	if len(ids) < batchJobs*9/10 {
		return false, fmt.Errorf("only %d jobs were accepted", len(ids))
	}
	if trouble {
		w.agents[0].signal(syscall.SIGKILL)
		w.agents[0].server.crash()
		w.log.say("the machine of side-0 is gone for good, with its executor")
	}
	// A tenth of the jobs is asked for, so that the questions are no load of their own.
	var open []string
	for i := 0; i < len(ids); i += 10 {
		open = append(open, ids[i])
	}
	asked, last := len(open), 0
	var counts map[string]int
	ended := w.log.since()
	for w.log.since() < 95*time.Second && len(open) > 0 {
		time.Sleep(5 * time.Second)
		counts, open = states(w, open)
		refused, largest := w.store.sizes()
		w.log.say("states %v; runs since %d; calls of the store refused for their size %d; the largest had %d bytes", counts, w.log.runs()-last, refused, largest)
		last = w.log.runs()
		if w.log.since() < ended+batchFinish || w.leftLying(open, 6*time.Second, 1600) == 0 {
			continue
		}
		for _, id := range open {
			w.log.add("job %s: accepted, has not ended, %d runs so far", id, w.log.startsOf(id))
		}
		w.log.say("%d of %d jobs asked for have not ended", len(open), asked)
		return false, nil
	}
	w.log.say("%d of %d jobs asked for have not ended", len(open), asked)
	return true, nil
}

// leftLying returns how many jobs had nothing running for a time in which under half of the capacity was in
// use, and free capacity for a task twice over. Each run takes cpu thousandths of a core.
func (w *world) leftLying(open []string, d time.Duration, cpu int64) int {
	began := time.Now()
	var most, all int64
	for time.Since(began) < d {
		var used int64
		all = 0
		for _, a := range w.agents {
			u, c := a.server.use(cpu)
			used, all = used+u, all+c
		}
		most = max(most, used)
		time.Sleep(50 * time.Millisecond)
	}
	n := 0
	for _, id := range open {
		if !w.log.ranSince(id, began) {
			n++
		}
	}
	w.log.say("over %v: at most %d of %d thousandths of a core in use; %d of the jobs had nothing running", d, most, all, n)
	if 2*most >= all || all-most < 2*cpu {
		return 0
	}
	return n
}
