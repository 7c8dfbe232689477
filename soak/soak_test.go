package soak

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shallotstep/shallotstep/platform/standin"
)

var (
	firstSeed     = flag.Uint64("soak.first", 1, "the first seed")
	seeds         = flag.Uint64("soak.seeds", 1, "how many seeds")
	faultDuration = flag.Duration("soak.length", 6*time.Second, "how long each seed's troubles last")
	entries       = flag.Int("soak.entries", 2, "entries of a system")
	agents        = flag.Int("soak.agents", 4, "agents of a system")
)

// regressions has the seeds that have ever failed, with what failed and why.
var regressions = []uint64{}

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "soak-program-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if err := buildDaemon(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// A system of real processes gets jobs from clients that keep their connections,
// while processes are killed, stopped, frozen and restarted, connections are cut,
// delayed and reset, and the store and the backend servers misbehave, several at a
// time. Whatever the clients were told has to be true, then and at the end.
func TestSoak(t *testing.T) {
	all := regressions
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		all = append(all, seed)
	}
	for _, seed := range all {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			soak(t, seed)
		})
	}
}

// troubleSeries is how many troubles there are at a time, clientCount how many
// clients send jobs.
const (
	concurrentFaults = 3
	numClients       = 8
)

func soak(t *testing.T, seed uint64) {
	w := newWorld(t, seed, *entries, *agents)
	c := newClients(w)
	w.awaitService(c)
	stop := make(chan struct{})
	var sending, injecting sync.WaitGroup
	for i := range numClients {
		sending.Go(func() { c.run(i, stop) })
	}
	for i := range concurrentFaults {
		injecting.Go(func() { w.injectFaults(uint64(i), stop) })
	}
	time.Sleep(*faultDuration)
	close(stop)
	injecting.Wait()
	w.clearFaults()
	for _, p := range w.processes() {
		p.signal(syscall.SIGCONT)
		p.start()
	}
	sending.Wait()
	w.awaitService(c)
	c.awaitEnds()
	c.check()
	w.check()
}

// awaitService waits until a recorded and a best-effort job run to their ends.
func (w *world) awaitService(c *clients) {
	random := w.random(uint64(time.Now().UnixNano()))
	for _, bestEffort := range []bool{true, false} {
		if !w.eventually(func() bool {
			r := newRequest(random, 0x7f000000+random.IntN(1<<20), 0)
			r.bestEffort = bestEffort
			r.body = fmt.Sprintf(`{"spec":"5","best_effort":%v,"steps":[{"count":1,"cpu_millis":100,"mem_mb":16,"estimate_ms":50}]}`, bestEffort)
			status, _ := c.call(random, http.MethodPost, r.id, r.body)
			return status == http.StatusOK
		}) {
			w.t.Fatalf("no job of kind best_effort=%v was taken in %v", bestEffort, eventuallyTimeout)
		}
	}
}

func (w *world) eventually(ok func() bool) bool {
	for end := time.Now().Add(eventuallyTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// awaitEnds waits until every accepted job that is recorded is shown as ended.
func (c *clients) awaitEnds() {
	random := c.w.random(99)
	var unfinished []*request
	for _, r := range c.jobs {
		if r.accepted && !r.bestEffort {
			unfinished = append(unfinished, r)
		}
	}
	c.w.eventually(func() bool {
		unfinished = slices.DeleteFunc(unfinished, func(r *request) bool { return c.query(random, r) })
		return len(unfinished) == 0
	})
	for _, r := range unfinished {
		c.w.addViolation("%s: accepted, and shown as %q for %v after all was well again", r.id, r.lastState, eventuallyTimeout)
	}
}

// check holds what the clients were told against what the backend servers saw.
func (c *clients) check() {
	accepted, refused, open := 0, 0, 0
	for _, r := range c.jobs {
		started := c.w.ledger.StartsByTask(r.id + ".")
		switch {
		case r.accepted:
			accepted++
		case r.refused:
			refused++
			if len(started) > 0 {
				c.w.addViolation("%s: refused each time, and %d of its tasks have started", r.id, len(started))
			}
		default:
			open++
		}
		if r.lastState == "completed" {
			c.checkComplete(r, started)
		}
	}
	c.w.t.Logf("seed %d: %d jobs accepted, %d refused, %d left open", c.w.seed, accepted, refused, open)
	if accepted == 0 {
		c.w.addViolation("no job was accepted")
	}
}

func (c *clients) checkComplete(r *request, started map[string]int) {
	for step, count := range r.tasksPerStep {
		for task := range count {
			if started[fmt.Sprintf("%s.0.%d.%d", r.id, step, task)] == 0 {
				c.w.addViolation("%s: completed, and task %d of step %d was never started", r.id, task, step)
			}
		}
	}
}

// check reports all that must not have happened.
func (w *world) check() {
	if !w.eventually(func() bool { return len(w.ledger.Running()) == 0 }) {
		w.addViolation("%v still run, and nobody waits for them", w.ledger.Running())
	}
	for _, f := range w.ledger.Faults() {
		// A best-effort job may run again from the start after it got no answer.
		task := f[strings.LastIndex(f, " ")+1:]
		if strings.HasPrefix(task, bestEffortPrefix) && !strings.HasPrefix(f, "two runs at a time") && !strings.HasPrefix(f, standin.OverCapacity) && !strings.HasPrefix(f, standin.InDrainedDomain) {
			continue
		}
		w.addViolation("%s", f)
	}
	for _, p := range w.processes() {
		w.violations = append(w.violations, p.unexpectedExits()...)
	}
	slices.Sort(w.violations)
	for _, f := range slices.Compact(w.violations) {
		id, _, _ := strings.Cut(f[strings.LastIndex(f, " ")+1:], ".")
		if head, _, ok := strings.Cut(f, ":"); ok {
			id = head
		}
		w.t.Errorf("seed %d: %s\n%s", w.seed, f, w.logsOf(id))
	}
}
