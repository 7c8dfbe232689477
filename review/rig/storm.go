package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/shallotstep/shallotstep/platform/standin"
)

// trouble is a kind of disruption, brought about once.
type troubleKind struct {
	name string
	play func(w *world, random *rand.Rand)
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

func (w *world) restart(d *daemon, after time.Duration) {
	time.Sleep(after)
	if err := d.start(); err != nil {
		w.rec.sayf("%v", err)
	}
}

var troubles = []troubleKind{
	{"kill agent", func(w *world, random *rand.Rand) {
		a := pick(random, w.agents)
		a.end(syscall.SIGKILL, time.Second)
		w.restart(a.daemon, time.Duration(300+random.IntN(3000))*time.Millisecond)
	}},
	{"kill entry", func(w *world, random *rand.Rand) {
		a := pick(random, w.entries)
		a.end(syscall.SIGKILL, time.Second)
		w.restart(a.daemon, time.Duration(300+random.IntN(3000))*time.Millisecond)
	}},
	{"kill all", func(w *world, random *rand.Rand) {
		for _, d := range w.daemons {
			d.end(syscall.SIGKILL, time.Second)
		}
		time.Sleep(time.Duration(300+random.IntN(1500)) * time.Millisecond)
		for _, d := range w.daemons {
			w.restart(d, 0)
		}
	}},
	{"roll agents", func(w *world, random *rand.Rand) {
		for _, a := range w.agents {
			if !a.end(syscall.SIGTERM, 6*time.Second) {
				a.end(syscall.SIGKILL, time.Second)
			}
			w.restart(a.daemon, 300*time.Millisecond)
			time.Sleep(500 * time.Millisecond)
		}
	}},
	{"freeze agent", func(w *world, random *rand.Rand) {
		a := pick(random, w.agents)
		a.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(200+random.IntN(3800)) * time.Millisecond)
		a.signal(syscall.SIGCONT)
	}},
	{"freeze entry", func(w *world, random *rand.Rand) {
		a := pick(random, w.entries)
		a.signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(200+random.IntN(3800)) * time.Millisecond)
		a.signal(syscall.SIGCONT)
	}},
	{"crash server", func(w *world, random *rand.Rand) {
		pick(random, w.agents).server.crash(time.Duration(200+random.IntN(3000)) * time.Millisecond)
		time.Sleep(time.Second)
	}},
	{"late calls", func(w *world, random *rand.Rand) {
		for _, a := range w.agents {
			a.server.setLate(0.055)
		}
		time.Sleep(5500 * time.Millisecond)
		for _, a := range w.agents {
			a.server.setLate(0)
		}
	}},
	{"cut links of agent", func(w *world, random *rand.Rand) {
		a := pick(random, w.agents)
		w.cuts.set(a.name, true)
		time.Sleep(time.Duration(500+random.IntN(5000)) * time.Millisecond)
		w.cuts.set(a.name, false)
	}},
	{"reset links", func(w *world, random *rand.Rand) {
		for _, a := range w.agents {
			if random.IntN(2) == 0 {
				a.links.reset()
			}
		}
		time.Sleep(500 * time.Millisecond)
	}},
	{"cut agent from store", func(w *world, random *rand.Rand) {
		a := pick(random, w.agents)
		w.cuts.set(a.name, true)
		time.Sleep(time.Duration(500+random.IntN(5000)) * time.Millisecond)
		w.cuts.set(a.name, false)
	}},
	{"store down", func(w *world, random *rand.Rand) {
		f := pick(random, []standin.Fault{standin.Unavailable, standin.DropCalls, standin.DropResponses})
		for _, d := range w.daemons {
			w.store.SetFault(d.name, f)
		}
		time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
		for _, d := range w.daemons {
			w.store.SetFault(d.name, standin.NoFault)
		}
	}},
	{"rebalance", func(w *world, random *rand.Rand) {
		w.store.Rebalance()
		time.Sleep(time.Duration(100+random.IntN(500)) * time.Millisecond)
	}},
	{"fail all", func(w *world, random *rand.Rand) {
		a := pick(random, w.agents)
		a.server.setFailAll(true)
		time.Sleep(time.Duration(500+random.IntN(4000)) * time.Millisecond)
		a.server.setFailAll(false)
	}},
	{"scale in", func(w *world, random *rand.Rand) {
		a := pick(random, w.agents)
		a.server.mu.Lock()
		a.server.draining = true
		a.server.mu.Unlock()
		a.server.beat()
		time.Sleep(2500 * time.Millisecond)
		a.server.mu.Lock()
		id := a.server.idLocked()
		a.server.mu.Unlock()
		a.server.send("/v1/instances/"+id+"/deregister", "{}")
		a.server.crash(2 * time.Second)
	}},
}

// playStorm plays one or two kinds of disruptions, named in KINDS by their numbers, again and again.
func playStorm(w *world, random *rand.Rand, trouble bool) []string {
	var kinds []troubleKind
	for _, n := range strings.Split(os.Getenv("KINDS"), ",") {
		i, err := strconv.Atoi(n)
		if err == nil {
			kinds = append(kinds, troubles[i])
			w.rec.sayf("kind %s", troubles[i].name)
		}
	}
	stop := make(chan struct{})
	var sending, troubling sync.WaitGroup
	for i := range 24 {
		mine := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
		sending.Go(func() { w.client(mine, stop) })
	}
	time.Sleep(time.Second)
	end := time.Now().Add(20 * time.Second)
	if trouble {
		for i, k := range kinds {
			mine := rand.New(rand.NewPCG(random.Uint64(), uint64(i)))
			troubling.Go(func() {
				for time.Now().Before(end) {
					w.rec.logf("trouble: %s", k.name)
					k.play(w, mine)
					w.rec.logf("trouble over: %s", k.name)
					time.Sleep(time.Duration(100+mine.IntN(1500)) * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(time.Until(end))
	troubling.Wait()
	time.Sleep(4 * time.Second)
	close(stop)
	sending.Wait()
	time.Sleep(14 * time.Second)
	return w.checkAll()
}

// client submits one job after the other.
func (w *world) client(random *rand.Rand, stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.IntN(800)) * time.Millisecond):
		}
		work := pick(random, []time.Duration{60, 200, 900}) * time.Millisecond
		steps := []step{{count: 1 + random.IntN(4), cpu: 400 + random.Int64N(800), estimate: work}}
		effort := random.IntN(3) == 0
		if !effort && random.IntN(3) == 0 {
			steps = append(steps, step{count: 1 + random.IntN(3), cpu: 500, estimate: work, dependsOn: "0"})
		}
		if !effort && random.IntN(30) == 0 {
			steps, work = []step{{count: 1 + random.IntN(2), cpu: 500, estimate: work}}, -work
		}
		j := w.clients.add(random, work, effort, steps...)
		w.clients.submit(random, j, 3)
		if j.acceptedAt == 0 || effort {
			continue
		}
		switch random.IntN(8) {
		case 0:
			time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
			w.clients.cancel(random.IntN(len(w.entries)), j)
		case 1, 2:
			wg.Go(func() {
				time.Sleep(time.Duration(3200+random.IntN(3000)) * time.Millisecond)
				if status, _ := w.clients.query(0, j); status == http.StatusGone {
					w.rec.sayf("note: GET of %s got 410", j.id)
				}
			})
		}
	}
}

// checkAll checks the rules on jobs after all disruptions have ended.
func (w *world) checkAll() []string {
	out := w.ledger.twice(w.clients.kept(), 5*time.Millisecond)
	if n := w.ledger.active(); n > 0 {
		out = append(out, fmt.Sprintf("%d runs are still active", n))
	}
	var accepted, refused, open int
	for _, j := range w.clients.jobs {
		switch {
		case j.acceptedAt > 0:
			accepted++
		case j.refused && !j.open:
			refused++
			if n := w.ledger.starts(j.id); n > 0 {
				out = append(out, fmt.Sprintf("REFUSED: %s was refused, %d starts", j.id, n))
			}
		default:
			open++
		}
		if j.acceptedAt == 0 || j.effort {
			continue
		}
		status, state := w.clients.query(1%len(w.entries), j)
		switch {
		case status == 0 || status >= 500:
			out = append(out, fmt.Sprintf("LOST: %s got no answer: %d", j.id, status))
		case status != http.StatusOK:
			out = append(out, fmt.Sprintf("LOST: %s got %d", j.id, status))
		case state != "completed" && state != "failed" && j.cancelled == 0 || state == "queued" || state == "active":
			out = append(out, fmt.Sprintf("LOST: %s is %s (cancelled %d)", j.id, state, j.cancelled.Milliseconds()))
		}
		out = append(out, w.ledger.checkJob(j, state)...)
	}
	w.rec.sayf("%d accepted, %d refused, %d open", accepted, refused, open)
	if accepted < 100 {
		out = append(out, "too few jobs were accepted")
	}
	return out
}

// checkJob checks BUDGET, ORDER, MIXED and failed without cause.
func (l *ledger) checkJob(j *job, state string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	var firstEnd, secondStart time.Duration
	steps := strings.Count(j.body, `"count"`)
	most, done := 0, 0
	for task, runs := range l.runs {
		if jobOf(task) != j.id {
			continue
		}
		failed, crashed, after, ok := 0, 0, 0, false
		var earliest time.Duration
		for _, r := range runs {
			if failed >= 3 {
				out = append(out, fmt.Sprintf("BUDGET: %s run %d after %d failed", task, r.number, failed))
			}
			if r.how == "failed" && r.acked > 0 && !r.lapsed {
				failed++
			}
			if crashed >= 3 && strings.Contains(j.body, "crash:") {
				after++
				out = append(out, fmt.Sprintf("CRASHER start %d after three: %s run %d on %s at %d", after, task, r.number, r.server, r.start.Milliseconds()))
			}
			if r.how == "crashed" {
				crashed++
			}
			if r.how == "done" {
				ok = true
				if earliest == 0 || r.end < earliest {
					earliest = r.end
				}
			}
			if j.cancelled > 0 && r.start > j.cancelled+3*time.Second {
				out = append(out, fmt.Sprintf("UNASKED: %s run %d started at %d, cancelled at %d", task, r.number, r.start.Milliseconds(), j.cancelled.Milliseconds()))
			}
		}
		most = max(most, failed)
		if crashed >= 2 {
			most = 3 // such a task may be given up
		}
		if ok {
			done++
		}
		if strings.Split(task, ".")[2] == "0" {
			firstEnd = max(firstEnd, earliest)
			if earliest == 0 {
				firstEnd = time.Hour
			}
		} else if secondStart == 0 || runs[0].start < secondStart {
			secondStart = runs[0].start
		}
	}
	if steps > 1 && secondStart > 0 && firstEnd > secondStart {
		out = append(out, fmt.Sprintf("ORDER: %s second step at %d, first ended at %d", j.id, secondStart.Milliseconds(), firstEnd.Milliseconds()))
	}
	if state == "failed" && most < 3 {
		out = append(out, fmt.Sprintf("LOST: %s is shown as failed, at most %d failed runs that count", j.id, most))
	}
	tasks := 0
	for _, p := range strings.Split(j.body, `"count":`)[1:] {
		n, _ := strconv.Atoi(p[:strings.IndexAny(p, ",}")])
		tasks += n
	}
	if state == "completed" && done < tasks {
		out = append(out, fmt.Sprintf("MIXED: %s is shown as completed, %d of %d tasks ended done", j.id, done, tasks))
	}
	slices.Sort(out)
	return out
}
