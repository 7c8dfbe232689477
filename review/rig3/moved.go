package main

import (
	"syscall"
	"time"
)

const (
	oldService, newService = "bench-desk", "bench-desk-2"
	movedJobs              = 20
)

// movedCase sends a queue to another service, after which the machines of the old one are removed.
func movedCase(w *world, trouble bool) (bool, error) {
	queue := route{Name: "quotes", Host: host, Prefix: "/q/", Timeout: 5000, Target: 60000, Service: oldService, Attempts: 3, Slack: 1.6}
	if err := w.start(3, 3, serverOptions{service: oldService, cpu: 16000, labels: []string{"a"}}, queue); err != nil {
		return false, err
	}
	for range 8 {
		if err := w.addAgent(serverOptions{service: newService, cpu: 16000, labels: []string{"a"}}); err != nil {
			return false, err
		}
		if err := w.agents[len(w.agents)-1].start(); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	step := map[string]any{"count": 2, "cpu_millis": 1000, "mem_mb": 64, "estimate_ms": 6000}
	body := jobBody(`{"work_ms":6000}`, false, step)
	ids := handInAtOnce(w, "/q/", movedJobs, body)
	w.log.say("%d jobs are accepted, %d runs have started", len(ids), w.log.runs())
	queue.Service = newService
	w.configure(queue)
	time.Sleep(3 * time.Second) // config_apply_ms is 2 s
	if trouble {
		for _, a := range w.agents[:3] {
			a.signal(syscall.SIGKILL)
			a.server.crash()
		}
		w.log.say("the machines of the old service are gone for good")
	}
	probe := handInAtOnce(w, "/q/", 3, jobBody(`{"work_ms":100}`, false, step))
	w.log.say("%d of 3 new jobs are accepted", len(probe))
	open := append(ids, probe...)
	var counts map[string]int
	for w.log.since() < 32*time.Second && len(open) > 0 {
		time.Sleep(5 * time.Second)
		counts, open = states(w, open)
		w.log.say("states %v; %d runs so far", counts, w.log.runs())
	}
	w.log.say("%d of the accepted jobs have not ended", len(open))
	if len(open) == 0 {
		return true, nil
	}
	return w.leftLying(open, 6*time.Second, 1000) == 0, nil
}
