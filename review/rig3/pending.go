package main

import (
	"encoding/json"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	pendingHosts = 11
	pendingJobs  = 10000
	// pendingAge is visible_ms and 2 s more: only jobs that were accepted that long ago count.
	pendingAge = 5 * time.Second
	// askers is the number of clients of each edge machine that ask.
	askers = 3
)

// pendingCase kills all agents while jobs wait, and asks for the number of those that haven't begun.
func pendingCase(w *world, trouble bool) (bool, error) {
	queue := route{Name: "night-run", Host: host, Prefix: "/q/", Timeout: 5000, Target: 600000, Service: service, Attempts: 3, Slack: 1.6}
	if err := w.start(3, pendingHosts, serverOptions{service: service, cpu: 16000, labels: []string{"a", "r1-3"}}, queue); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // all agents take part after the start spread
	warm := handInAtOnce(w, "/q/", 60, jobBody(`{"work_ms":50}`, false, map[string]any{"count": 1, "cpu_millis": 100, "mem_mb": 64, "estimate_ms": 50}))
	time.Sleep(2 * time.Second) // the owners have links to all agents
	w.log.say("%d small jobs came first", len(warm))
	var ids []string
	body := jobBody(`{"work_ms":2000,"note":"`+strings.Repeat("n", 3960)+`"}`, false, map[string]any{"count": 1, "cpu_millis": 12000, "mem_mb": 64, "estimate_ms": 2000})
	for range 100 {
		ids = append(ids, handInAtOnce(w, "/q/", pendingJobs/100, body)...)
	}
	w.log.say("%d jobs are accepted", len(ids))
	time.Sleep(pendingAge + time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	asked, unanswered, wrong := 0, 0, 0
	for n := range askers * len(w.entries) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			i := n % len(w.entries)
			c := newClient(w.entries[i].front, w.log)
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				v := c.do("GET", "/q/", "", 2*time.Second)
				// Jobs may begin while the question is on its way, so the rest is counted afterwards.
				left := w.notBegun(ids)
				var in struct {
					Pending int `json:"pending_count"`
				}
				bad := v.status == 200 && (json.Unmarshal([]byte(v.body), &in) != nil || 2*in.Pending < left)
				w.log.add("GET /q/ at edge-%d: %v; %d jobs haven't begun", i, v, left)
				mu.Lock()
				asked++
				if v.status != 200 {
					unanswered++
				}
				if bad {
					if wrong++; wrong <= 5 {
						w.log.say("edge-%d says that %d jobs are pending, but %d haven't begun", i, in.Pending, left)
					}
				}
				mu.Unlock()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	if trouble {
		w.log.say("the processes on all side machines are killed")
		for _, a := range w.agents {
			a.signal(syscall.SIGKILL)
		}
		time.Sleep(500 * time.Millisecond)
		for _, a := range w.agents {
			a.wait(time.Second)
			if err := a.start(); err != nil {
				return false, err
			}
		}
		w.log.say("they are started again")
	}
	time.Sleep(10 * time.Second)
	close(stop)
	wg.Wait()
	w.log.say("asked %d times: %d without a number, %d with less than half of the jobs", asked, unanswered, wrong)
	return wrong == 0, nil
}

// notBegun returns how many of the jobs have had no run.
func (w *world) notBegun(ids []string) int {
	w.log.mu.Lock()
	defer w.log.mu.Unlock()
	n := 0
	for _, id := range ids {
		if w.log.starts[id] == 0 {
			n++
		}
	}
	return n
}
