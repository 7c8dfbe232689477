package main

import (
	"strconv"
	"time"
)

const (
	greyHosts = 11
	// Quotes fill the executors once: greyJobs jobs of greyTasks tasks of 0.4 cores.
	greyJobs, greyTasks, greyAttempts = 27, 16, 2
	quoteMS                           = 900
	// Then large jobs come at once that have to end sooner, and keep all executors busy for some seconds.
	urgentJobs, urgentTasks, urgentMS = 40, 100, 300
)

// greyCase has an executor fail its runs while urgent jobs keep all others busy, and resets channels after that.
func greyCase(w *world, trouble bool) (bool, error) {
	quotes := route{Name: "restore-quote", Host: host, Prefix: "/q/", Timeout: 5000, Target: 120000, Priority: 2, Service: service, Attempts: greyAttempts, Slack: 1.6}
	urgent := route{Name: "photo-triage", Host: host, Prefix: "/u/", Timeout: 5000, Target: 20000, Service: service, Attempts: 3, Slack: 1.6}
	if err := w.start(3, greyHosts, serverOptions{service: service, cpu: 16000, labels: []string{"a", "r1-3"}}, quotes, urgent); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second) // all agents take part after the start spread
	if trouble {
		w.log.say("an executor fails its runs, with good health")
		w.agents[0].server.setGrey(1)
	}
	ids := handInAtOnce(w, "/q/", greyJobs, jobBody(`{"work_ms":`+strconv.Itoa(quoteMS)+`}`, false, map[string]any{"count": greyTasks, "cpu_millis": 400, "mem_mb": 64, "estimate_ms": quoteMS}))
	w.log.say("%d quotes are accepted", len(ids))
	began := time.Now()
	time.Sleep(400 * time.Millisecond)
	large := handInAtOnce(w, "/u/", urgentJobs, jobBody(`{"work_ms":`+strconv.Itoa(urgentMS)+`}`, false, map[string]any{"count": urgentTasks, "cpu_millis": 1600, "mem_mb": 64, "estimate_ms": urgentMS}))
	w.log.say("%d large jobs are accepted", len(large))
	time.Sleep(time.Until(began.Add(quoteMS*time.Millisecond + 250*time.Millisecond)))
	if trouble {
		w.log.say("%v of the channels to %d machines are reset", resetShare, resetHosts)
		for _, a := range w.agents[:resetHosts] {
			a.relay.reset(resetShare)
		}
	}
	time.Sleep(2 * time.Second)
	w.agents[0].server.setGrey(0)
	w.log.say("no executor fails its runs any more")
	return w.failedWithCause(ids), nil
}

// failedWithCause waits until the jobs have ended, and reports whether each that is shown as failed has a task
// of which enough runs have ended failed.
func (w *world) failedWithCause(ids []string) bool {
	open, wrong := ids, 0
	for w.log.since() < 60*time.Second && len(open) > 0 {
		time.Sleep(time.Second)
		var rest []string
		for _, id := range open {
			v := newClient(w.entries[0].front, w.log).do("GET", "/q/"+id, "", 2*time.Second)
			switch v.state {
			case "completed":
			case "failed":
				most := 0
				for i := range greyTasks {
					most = max(most, w.log.failuresOf(id+".0.0."+strconv.Itoa(i)))
				}
				w.log.say("job %s is shown as failed: of none of its tasks more than %d runs have ended failed, max_attempts is %d", id, most, greyAttempts)
				if most < greyAttempts {
					wrong++
				}
			default:
				rest = append(rest, id)
			}
		}
		open = rest
	}
	w.log.say("%d of %d jobs are shown as failed without cause, %d have not ended", wrong, len(ids), len(open))
	return wrong == 0
}
