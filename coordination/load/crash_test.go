package load

import (
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/coordination/owner"
	"github.com/shallotstep/shallotstep/state/job"
)

// TestCrashPolicies prints a table of what policies against tasks that crash their backend servers
// cost the other jobs:
//
//	go test ./coordination/load -run TestCrashPolicies -v -load.crashes

var crashTable = flag.Bool("load.crashes", false, "run tasks that crash their servers under each policy, and print the outcomes of the other jobs")

const (
	// crashDelay is how long after its start a task crashes its backend server.
	crashDelay = 20 * time.Millisecond
	// crashDowntime is how long a crashed backend server is down.
	crashDowntime = 3 * time.Second
	// patientTimeout is how long clients wait in the tests of tasks that crash backend servers:
	// long enough for the jobs to be retried.
	patientTimeout = 30 * time.Second
)

// crashes reports whether a run crashes its backend server, and counts its start.
func (w *world) crashes(run job.RunID) bool {
	r := w.jobs[run.Task.Job]
	if !r.crashes || run.Task.Index > 0 {
		return false
	}
	r.starts++
	if r.lost >= 3 {
		w.maxStartsAfterThird = max(w.maxStartsAfterThird, r.starts-r.startsAtThirdLoss)
	}
	return true
}

// crashedBy makes a run crash the given instance of the backend server, if both are still there.
func (a *agent) crashedBy(run job.RunID, instance int) {
	if a.serverDown || a.serverInstance != instance || !a.running[run] {
		return
	}
	r := a.w.jobs[run.Task.Job]
	r.lost++
	if r.lost == 3 {
		r.startsAtThirdLoss = r.starts
	}
	a.w.serversLost++
	a.crash(crashDowntime)
}

// submitCrashers submits jobs whose first task crashes its backend servers, and returns how many.
func (w *world) submitCrashers(c *class, jobsPerSecond float64, length time.Duration) (count int) {
	for at := time.Duration(0); jobsPerSecond > 0 && at < length; at += time.Duration(float64(time.Second) / jobsPerSecond) {
		count++
		w.after(at, func() {
			r := w.draw(c)
			r.crashes = true
			w.submit(r)
		})
	}
	return count
}

// crashResult has the outcomes of load with tasks that crash their backend servers. served, late
// and submitted don't include the jobs that crash servers; late includes the jobs that were refused
// or ended too late to be of use.
type crashResult struct {
	served    float64
	late      int
	submitted int
	// crashers counts the jobs that crash servers, serversLost the servers that were lost, and
	// givenUp the other jobs that were given up. maxStartsAfterThird is the maximum number of
	// starts of a task after it had crashed three servers.
	crashers, serversLost, givenUp, maxStartsAfterThird int
}

// runCrashers runs load with tasks that crash their backend servers, runs times with different
// seeds.
func runCrashers(s setup, share, crashersPerSecond float64, runs int) crashResult {
	var out crashResult
	for s.seed = range uint64(runs) {
		w := newWorld(s)
		w.patient = true
		w.runUntil(w.now + time.Second)
		out.crashers += w.submitCrashers(&grownMix[2], crashersPerSecond, crashLoadDuration)
		w.run(grownMix, share, crashLoadDuration)
		w.runUntil(w.now + 20*time.Second)
		out.served += w.servedValue(grownMix) / float64(runs)
		out.serversLost += w.serversLost
		out.givenUp += w.wronglyGivenUp
		out.maxStartsAfterThird = max(out.maxStartsAfterThird, w.maxStartsAfterThird)
		for _, t := range w.tallies {
			out.late += t.late + t.tooLate + t.refused
			out.submitted += t.submitted
		}
	}
	return out
}

const crashLoadDuration = 4 * time.Second

// crashPolicies are the policies that TestCrashPolicies compares. The last but one is in use.
var crashPolicies = []struct {
	name string
	set  func(*owner.Params)
}{
	{"no limit", func(p *owner.Params) { p.MinCrashesApart, p.MinCrashesExclusive, p.MaxCrashes = 1000, 1000, 1000 }},
	{"given up after two", func(p *owner.Params) { p.MinCrashesApart, p.MinCrashesExclusive, p.MaxCrashes = 1000, 1000, 2 }},
	{"given up after three", func(p *owner.Params) { p.MinCrashesApart, p.MinCrashesExclusive, p.MaxCrashes = 1000, 1000, 3 }},
	{"apart from other suspects", func(p *owner.Params) { p.MinCrashesExclusive = 1000 }},
	{"apart, then alone", func(*owner.Params) {}},
	{"alone at once", func(p *owner.Params) { p.MinCrashesExclusive = 1 }},
}

func TestCrashPolicies(t *testing.T) {
	if !*crashTable {
		t.Skip("prints a table with -load.crashes")
	}
	type row struct {
		policy                   string
		share, crashersPerSecond float64
		crashResult
	}
	var rows []*row
	semaphore := make(chan struct{}, 3)
	var wg sync.WaitGroup
	for _, p := range crashPolicies {
		for _, share := range []float64{.7, .9} {
			for _, crashersPerSecond := range []float64{0, 1, 5} {
				if crashersPerSecond == 0 && p.name != crashPolicies[0].name {
					continue
				}
				r := &row{policy: p.name, share: share, crashersPerSecond: crashersPerSecond}
				rows = append(rows, r)
				wg.Go(func() {
					semaphore <- struct{}{}
					defer func() { <-semaphore }()
					s := large
					p.set(&s.params)
					r.crashResult = runCrashers(s, share, crashersPerSecond, 2)
				})
			}
		}
	}
	wg.Wait()
	baseline := make(map[float64]*row)
	for _, r := range rows {
		if r.crashersPerSecond == 0 {
			baseline[r.share] = r
		}
	}
	fmt.Println("| policy | load | crashers per second | served | servers lost per crasher | others late per crasher | others given up | starts after third loss |")
	for _, r := range rows {
		n := float64(max(r.crashers, 1))
		late := float64(r.late) - float64(baseline[r.share].late)*float64(r.submitted)/float64(baseline[r.share].submitted)
		fmt.Printf("| %s | %.1f | %.0f | %.3f | %.2f | %.1f | %d | %d |\n", r.policy, r.share, r.crashersPerSecond, r.served, float64(r.serversLost)/n, late/n, r.givenUp, r.maxStartsAfterThird)
	}
}

// TestTasksThatCrashServersCostFew guards against retries of a task that crashes each backend
// server that starts it: every retry takes down another server with all its other runs until none
// is left. Five such jobs come per second. Each may crash three servers at most, and no other job
// may be given up.
func TestTasksThatCrashServersCostFew(t *testing.T) {
	is := is.New(t)
	d := runCrashers(large, .7, 5, 1)
	t.Logf("%+v", d)
	is.True(!checkBounds || d.serversLost <= 3*d.crashers)
	is.Equal(d.givenUp, 0)
	is.True(d.maxStartsAfterThird <= 2)
}
