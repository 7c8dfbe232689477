package main

import (
	"sync"
	"time"
)

const (
	outageHosts = 11
	outageJobs  = 300
	// outage is how long the store is down. The channels are reset in the middle of it.
	outage     = 4700 * time.Millisecond
	resetAfter = 1800 * time.Millisecond
	// resetHosts is the number of machines with a reset, and resetShare the share of their channels.
	resetHosts, resetShare = 4, 0.6
)

// outageCase has the store down while tasks of recorded jobs run, and resets channels meanwhile.
func outageCase(w *world, trouble bool) (bool, error) {
	queue := route{Name: "quotes", Host: host, Prefix: "/q/", Timeout: 5000, Target: 60000, Service: service, Attempts: 3, Slack: 1.6}
	if err := w.start(3, outageHosts, serverOptions{service: service, cpu: 16000, labels: []string{"a", "r1-3"}}, queue); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // all agents take part after the start spread
	ids := handInAtOnce(w, "/q/", outageJobs, jobBody(`{"work_ms":20000}`, false, map[string]any{"count": 2, "cpu_millis": 250, "mem_mb": 64, "estimate_ms": 20000}))
	time.Sleep(3 * time.Second)
	w.log.say("%d jobs are accepted, %d runs have started", len(ids), w.log.runs())
	if trouble {
		w.log.say("the store is down")
		w.store.set(func(s *store) { s.down = true })
		time.Sleep(resetAfter)
		w.log.say("%v of the channels to %d machines are reset", resetShare, resetHosts)
		for _, a := range w.agents[:resetHosts] {
			a.relay.reset(resetShare)
		}
		time.Sleep(outage - resetAfter)
		w.log.say("the store is back")
		w.store.set(func(s *store) { s.down = false })
	}
	time.Sleep(10 * time.Second)
	w.log.say("%d runs have started; %d of them while another run of the task was in progress, or after its end", w.log.runs(), len(w.log.broken()))
	return true, nil
}

// handInAtOnce hands in equal jobs at the same time and returns the IDs of those that were accepted.
func handInAtOnce(w *world, prefix string, n int, body string) []string {
	var mu sync.Mutex
	var ids []string
	var wg sync.WaitGroup
	for i := range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := newClient(w.entries[i%len(w.entries)].front, w.log)
			id := newID()
			v := c.do("POST", prefix+id, body, 5*time.Second)
			w.log.add("POST %s: %v", id, v)
			mu.Lock()
			defer mu.Unlock()
			if v.status == 200 {
				ids = append(ids, id)
			}
		}()
	}
	wg.Wait()
	return ids
}
