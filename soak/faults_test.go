package soak

import (
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/shallotstep/shallotstep/platform/standin"
)

// faultKind is a kind of fault. inject begins it, waits, and ends it.
type faultKind struct {
	name   string
	inject func(w *world, random *rand.Rand, wait func(least, most int))
}

func pick[T any](random *rand.Rand, from []T) T { return from[random.IntN(len(from))] }

// powerLostBesideCutHost cuts one host off, whose backend server runs on, until its owners have given it
// up; then all other hosts with agents lose power.
const powerLostBesideCutHost = "power lost beside a cut host"

// storeTurnsAgentsAway has the store turn one agent away until its shards have other owners, and then all
// others until the first one has its shards again.
const storeTurnsAgentsAway = "store turns agents away in turn"

// partitionsDealtBack has the store deal all partitions anew and back while one agent can't join.
const partitionsDealtBack = "partitions dealt away and back"

const (
	// storeLostBesideResets has the store down for all while the links of agents are reset.
	storeLostBesideResets = "store lost beside resets"
	// failuresReportedAgain has a backend server fail all runs while links are reset and owners change.
	failuresReportedAgain = "failures reported again"
	// allAgentsKilled kills all agents at once. The entries go on.
	allAgentsKilled = "all agents killed"
)

// awaitRestarts waits until tasks of recorded jobs are started again, as owners do some seconds after they
// have lost a host.
func (w *world) awaitRestarts() {
	restarted := func() int {
		n := 0
		for task, starts := range w.ledger.StartsByTask("") {
			if starts > 1 && !strings.HasPrefix(task, bestEffortPrefix) {
				n++
			}
		}
		return n
	}
	before := restarted()
	for end := time.Now().Add(maxRestartTime); restarted() == before && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
	}
}

// maxRestartTime is longer than owners wait before they start the tasks of a lost host elsewhere.
const maxRestartTime = 3 * time.Second

// awaitIdle waits until no task runs, as is soon so while clients submit no jobs.
func (w *world) awaitIdle() {
	for end := time.Now().Add(maxIdleWait); len(w.ledger.Running()) > 0 && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
	}
}

// maxIdleWait is longer than the tasks of accepted jobs take.
const maxIdleWait = 6 * time.Second

// faultKinds are the faults that are injected. wait sleeps for a random number of milliseconds
// within bounds.
var faultKinds = []faultKind{
	{"kill", func(w *world, random *rand.Rand, wait func(int, int)) {
		p := pick(random, w.processes())
		p.kill()
		wait(50, 2500)
		p.start()
	}},
	{"kill several", func(w *world, random *rand.Rand, wait func(int, int)) {
		for _, p := range w.processes() {
			if random.IntN(3) > 0 {
				p.kill()
			}
		}
		wait(50, 1500)
		for _, p := range w.processes() {
			p.start()
		}
	}},
	{"planned stop", func(w *world, random *rand.Rand, wait func(int, int)) {
		p := pick(random, w.processes())
		p.signal(syscall.SIGTERM)
		if !p.wait(10 * time.Second) {
			p.kill() // it may be frozen by another fault
		}
		wait(0, 500)
		p.start()
	}},
	{"freeze", func(w *world, random *rand.Rand, wait func(int, int)) {
		p := pick(random, w.processes())
		p.signal(syscall.SIGSTOP)
		wait(100, 4000)
		p.signal(syscall.SIGCONT)
	}},
	{"reload", func(w *world, random *rand.Rand, wait func(int, int)) {
		pick(random, w.processes()).signal(syscall.SIGHUP)
		wait(50, 100)
	}},
	{"connection cut", func(w *world, random *rand.Rand, wait func(int, int)) {
		r := pick(random, w.relays)
		r.setMode(pick(random, []relayMode{dropBoth, dropToTarget, dropFromTarget}), 0)
		wait(200, 4000)
		r.setMode(forward, 0)
		r.reset() // bytes that the relay dropped are missing in the streams
	}},
	{"connection delayed", func(w *world, random *rand.Rand, wait func(int, int)) {
		r := pick(random, w.relays)
		r.setMode(forward, time.Duration(1+random.IntN(60))*time.Millisecond)
		wait(200, 3000)
		r.setMode(forward, 0)
	}},
	{"connections reset", func(w *world, random *rand.Rand, wait func(int, int)) {
		for _, r := range w.relays {
			if random.IntN(3) == 0 {
				r.reset()
			}
		}
		wait(50, 200)
	}},
	{"store fault for one process", func(w *world, random *rand.Rand, wait func(int, int)) {
		p := pick(random, w.processes())
		w.store.SetFault(p.name, pick(random, []standin.Fault{standin.Unavailable, standin.DropCalls, standin.DropResponses}))
		wait(200, 5000)
		w.store.SetFault(p.name, standin.NoFault)
	}},
	{"store fault for all processes", func(w *world, random *rand.Rand, wait func(int, int)) {
		fault := pick(random, []standin.Fault{standin.Unavailable, standin.DropCalls, standin.DropResponses})
		for _, p := range w.processes() {
			w.store.SetFault(p.name, fault)
		}
		wait(200, 3000)
		for _, p := range w.processes() {
			w.store.SetFault(p.name, standin.NoFault)
		}
	}},
	{"all restart while the store turns an entry away", func(w *world, random *rand.Rand, wait func(int, int)) {
		e := pick(random, w.entries)
		w.store.SetFault(e.name, pick(random, []standin.Fault{standin.Unavailable, standin.DropCalls}))
		for _, p := range w.processes() {
			p.kill()
		}
		wait(50, 500)
		for _, p := range w.processes() {
			p.start()
		}
		wait(500, 4000)
		w.store.SetFault(e.name, standin.NoFault)
	}},
	{"history trimmed", func(w *world, random *rand.Rand, wait func(int, int)) {
		for _, topic := range []string{"keyed.jobs0", "keyed.agents", "keyed.notes0", "keyed.op"} {
			w.store.TrimHistory(topic)
		}
		wait(50, 200)
	}},
	{"partitions rebalanced", func(w *world, random *rand.Rand, wait func(int, int)) {
		w.store.Rebalance()
		wait(50, 500)
	}},
	{"configuration changed", func(w *world, random *rand.Rand, wait func(int, int)) {
		for range 1 + random.IntN(5) {
			w.configure()
			wait(50, 300)
		}
	}},
	{"server crashes", func(w *world, random *rand.Rand, wait func(int, int)) {
		pick(random, w.agents).replaceServer()
		wait(50, 500)
	}},
	{"server restarts", func(w *world, random *rand.Rand, wait func(int, int)) {
		a := pick(random, w.agents)
		for range 1 + random.IntN(3) {
			a.withServer(func(e *standin.BackendServer) { e.Crash(time.Duration(random.IntN(1500)) * time.Millisecond) })
			wait(50, 2000)
		}
	}},
	{"server shrinks", func(w *world, random *rand.Rand, wait func(int, int)) {
		a := pick(random, w.agents)
		for range 1 + random.IntN(3) {
			a.withServer(func(e *standin.BackendServer) { e.Resize(int64(random.IntN(5)) * serverCPU / 4) })
			wait(100, 3000)
		}
		a.withServer(func(e *standin.BackendServer) { e.Resize(serverCPU) })
	}},
	{"drain", func(w *world, random *rand.Rand, wait func(int, int)) {
		domain := pick(random, domains)
		w.drain(domain, true)
		wait(50, max(3000, int(faultDuration.Milliseconds()/2)))
		w.drain(domain, false)
	}},
	{"drains in series", func(w *world, random *rand.Rand, wait func(int, int)) {
		for range 2 + random.IntN(6) {
			domain := pick(random, domains)
			w.drain(domain, true)
			wait(1, 400)
			w.drain(domain, false)
			wait(1, 200)
		}
	}},
	{"all domains drained", func(w *world, random *rand.Rand, wait func(int, int)) {
		for _, domain := range domains {
			w.drain(domain, true)
		}
		wait(50, 1500)
		for _, domain := range domains {
			w.drain(domain, false)
		}
	}},
	{"server drops start responses", func(w *world, random *rand.Rand, wait func(int, int)) {
		a := pick(random, w.agents)
		a.withServer(func(e *standin.BackendServer) { e.DropStartResponses(true) })
		wait(200, 2000)
		a.withServer(func(e *standin.BackendServer) { e.DropStartResponses(false) })
	}},
	{"server starts late", func(w *world, random *rand.Rand, wait func(int, int)) {
		a := pick(random, w.agents)
		late := time.Duration(500+random.IntN(4000)) * time.Millisecond
		a.withServer(func(e *standin.BackendServer) { e.DelayStarts(late) })
		wait(200, 2000)
		a.withServer(func(e *standin.BackendServer) { e.DelayStarts(0) })
	}},
	{"server fails all", func(w *world, random *rand.Rand, wait func(int, int)) {
		a := pick(random, w.agents)
		a.withServer(func(e *standin.BackendServer) { e.FailAll(true) })
		wait(200, 2000)
		a.withServer(func(e *standin.BackendServer) { e.FailAll(false) })
	}},
}

// laterFaultKinds are faults that the first regressions do not have.
var laterFaultKinds = []faultKind{
	{powerLostBesideCutHost, func(w *world, random *rand.Rand, wait func(int, int)) {
		cut := pick(random, w.agents)
		cut.linkRelay.setMode(dropBoth, 0)
		w.store.SetFault(cut.name, standin.DropCalls)
		wait(2500, 2600) // no owner gives a host up earlier
		w.awaitRestarts()
		wait(20, 150)
		for _, a := range w.agents {
			if a != cut {
				a.kill()
				a.replaceServer()
			}
		}
		wait(200, 1500)
		for _, a := range w.agents {
			a.start()
		}
		wait(200, 1500)
		w.store.SetFault(cut.name, standin.NoFault)
		cut.linkRelay.setMode(forward, 0)
		cut.linkRelay.reset() // bytes that the relay dropped are missing in the streams
	}},
	{storeTurnsAgentsAway, func(w *world, random *rand.Rand, wait func(int, int)) {
		// An agent that has to write finds out at once that it was replaced.
		w.submissionsPaused.Add(1)
		defer w.submissionsPaused.Add(-1)
		w.awaitIdle()
		wait(800, 1500) // the last ends are recorded
		first := pick(random, w.agents)
		w.store.SetFault(first.name, standin.Unavailable)
		wait(1300, 1600) // the membership expires, and its shards get other owners
		w.submissionsPaused.Add(-1)
		wait(300, 1000)
		w.submissionsPaused.Add(1)
		for _, a := range w.agents {
			if a != first {
				w.store.SetFault(a.name, standin.Unavailable)
				wait(1, 150)
			}
		}
		wait(1300, 1600)
		w.store.SetFault(first.name, standin.NoFault)
		wait(300, 1000)
		for _, a := range w.agents {
			w.store.SetFault(a.name, standin.NoFault)
			wait(1, 300)
		}
		wait(500, 1500) // the others release their shards, and the first agent answers
	}},
	{partitionsDealtBack, func(w *world, random *rand.Rand, wait func(int, int)) {
		a := pick(random, w.agents)
		if random.IntN(2) == 0 {
			w.store.SetFault(a.name, standin.Unavailable)
			defer w.store.SetFault(a.name, standin.NoFault)
		} else {
			a.signal(syscall.SIGSTOP)
			defer a.signal(syscall.SIGCONT)
		}
		w.store.Rebalance()
		wait(300, 900) // the other owners join, and clients submit jobs
		w.store.RebalanceBack()
		wait(1, 100)
	}},
}

// latestFaultKinds are faults that are injected alone, or beside the others with -soak.latest: the seeds of
// the others keep their faults.
var latestFaultKinds = []faultKind{
	{storeLostBesideResets, func(w *world, random *rand.Rand, wait func(int, int)) {
		fault := pick(random, []standin.Fault{standin.Unavailable, standin.DropCalls})
		for _, p := range w.processes() {
			w.store.SetFault(p.name, fault)
		}
		wait(100, 1500)
		for range 1 + random.IntN(3) {
			w.resetLinks(random)
			wait(1, 200)
		}
		wait(3000, 3800) // owners give lost hosts up earlier
		for _, p := range w.processes() {
			w.store.SetFault(p.name, standin.NoFault)
			wait(1, 60)
		}
	}},
	{failuresReportedAgain, func(w *world, random *rand.Rand, wait func(int, int)) {
		a := pick(random, w.agents)
		a.withServer(func(e *standin.BackendServer) { e.FailAll(true) })
		wait(100, 600)
		for range 2 + random.IntN(3) {
			switch random.IntN(3) {
			case 0:
				w.resetLinks(random)
			case 1:
				w.store.Rebalance()
			default:
				p := pick(random, w.agents).process
				p.signal(pick(random, []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}))
				if !p.wait(10 * time.Second) {
					p.kill()
				}
				p.start()
			}
			wait(20, 400)
		}
		a.withServer(func(e *standin.BackendServer) { e.FailAll(false) })
	}},
	{allAgentsKilled, func(w *world, random *rand.Rand, wait func(int, int)) {
		for _, a := range w.agents {
			a.kill()
		}
		wait(10, 700)
		for _, a := range w.agents {
			a.start()
			wait(1, 40)
		}
		wait(500, 2000)
	}},
}

// resetLinks resets the links to about half of the agents.
func (w *world) resetLinks(random *rand.Rand) {
	for _, a := range w.agents {
		if random.IntN(2) == 0 {
			a.linkRelay.reset()
		}
	}
}

// maxPause is how much longer than the least pause between two faults of a series the longest one is,
// in milliseconds.
const maxPause = 750

// injectFaults injects one random fault of the given kinds after the other until stop is closed. leastPause
// is the least time between two of them, in milliseconds.
func (w *world) injectFaults(kinds []faultKind, series uint64, leastPause int, stop <-chan struct{}) {
	random := w.random(series)
	wait := func(least, most int) { time.Sleep(time.Duration(least+random.IntN(most-least)) * time.Millisecond) }
	for {
		select {
		case <-stop:
			return
		default:
		}
		kind := pick(random, kinds)
		began := time.Now()
		kind.inject(w, random, wait)
		w.t.Logf("%s %d: %s for %v", began.Format("15:04:05.000"), series, kind.name, time.Since(began).Round(time.Millisecond))
		wait(leastPause, leastPause+maxPause)
	}
}
