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

// The table of what becomes of tasks that crash their backend servers, and of those beside
// them, printed by
//
//	go test ./coordination/load -run TestCrashPolicies -v -load.crashes

var crashTable = flag.Bool("load.crashes", false, "play tasks that crash their servers under each policy, and print what became of the others")

const (
	// crashDelay is how long after its start a task crashes its server.
	crashDelay = 20 * time.Millisecond
	// crashAway is how long a crashed server is away.
	crashAway = 3 * time.Second
	// patientLimit is how long clients wait whose jobs are judged by what becomes of them.
	patientLimit = 30 * time.Second
)

// crashes reports whether a run crashes its backend server, and counts its start.
func (w *world) crashes(run job.RunID) bool {
	r := w.jobs[run.Task.Job]
	if !r.crashes || run.Task.Index > 0 {
		return false
	}
	r.starts++
	if r.lost >= 3 {
		w.most = max(w.most, r.starts-r.third)
	}
	return true
}

// crashedBy has a run crash the backend server of that life, if it is still there.
func (a *agent) crashedBy(run job.RunID, lives int) {
	if a.dark || a.lives != lives || !a.running[run] {
		return
	}
	r := a.w.jobs[run.Task.Job]
	r.lost++
	if r.lost == 3 {
		r.third = r.starts
	}
	a.w.lost++
	a.crash(crashAway)
}

// sabotage has jobs come whose first task crashes its servers, so many a second.
func (w *world) sabotage(c *class, perS float64, length time.Duration) (count int) {
	for at := time.Duration(0); perS > 0 && at < length; at += time.Duration(float64(time.Second) / perS) {
		count++
		w.after(at, func() {
			r := w.draw(c)
			r.crashes = true
			w.submit(r)
		})
	}
	return count
}

// crashDay is what a day with such tasks came to.
type crashDay struct {
	served float64
	late   int
	asked  int
	// crashers is the number of the jobs that crash servers, lost that of the servers.
	crashers, lost, givenUp, most int
}

func playCrashes(s setup, share, perS float64, days int) crashDay {
	var out crashDay
	for s.seed = range uint64(days) {
		w := newWorld(s)
		w.patient = true
		w.runUntil(w.now + time.Second)
		out.crashers += w.sabotage(&grown[2], perS, crashLength)
		w.play(grown, share, crashLength)
		w.runUntil(w.now + 20*time.Second)
		out.served += w.served(grown) / float64(days)
		out.lost += w.lost
		out.givenUp += w.givenUp
		out.most = max(out.most, w.most)
		for _, t := range w.tally {
			out.late += t.late + t.tooLate + t.refused
			out.asked += t.asked
		}
	}
	return out
}

const crashLength = 4 * time.Second

// crashPolicies are the ways to judge that were weighed.
var crashPolicies = []struct {
	name string
	set  func(*owner.Params)
}{
	{"no judgement", func(p *owner.Params) { p.MinCrashesApart, p.MinCrashesExclusive, p.MaxCrashes = 1000, 1000, 1000 }},
	{"by count alone, two", func(p *owner.Params) { p.MinCrashesApart, p.MinCrashesExclusive, p.MaxCrashes = 1000, 1000, 2 }},
	{"by count alone, three", func(p *owner.Params) { p.MinCrashesApart, p.MinCrashesExclusive, p.MaxCrashes = 1000, 1000, 3 }},
	{"apart from other suspects", func(p *owner.Params) { p.MinCrashesExclusive = 1000 }},
	{"apart, then alone", func(*owner.Params) {}},
	{"alone at once", func(p *owner.Params) { p.MinCrashesExclusive = 1 }},
}

func TestCrashPolicies(t *testing.T) {
	if !*crashTable {
		t.Skip("prints a table with -load.crashes")
	}
	type row struct {
		policy      string
		share, perS float64
		crashDay
	}
	var rows []*row
	gate := make(chan struct{}, 3)
	var wg sync.WaitGroup
	for _, p := range crashPolicies {
		for _, share := range []float64{.7, .9} {
			for _, perS := range []float64{0, 1, 5} {
				if perS == 0 && p.name != crashPolicies[0].name {
					continue
				}
				r := &row{policy: p.name, share: share, perS: perS}
				rows = append(rows, r)
				wg.Go(func() {
					gate <- struct{}{}
					defer func() { <-gate }()
					s := large
					p.set(&s.params)
					r.crashDay = playCrashes(s, share, perS, 2)
				})
			}
		}
	}
	wg.Wait()
	calm := make(map[float64]*row)
	for _, r := range rows {
		if r.perS == 0 {
			calm[r.share] = r
		}
	}
	fmt.Println("| policy | load | crashers a second | served | servers lost each | others late each | others given up | starts after three |")
	for _, r := range rows {
		n := float64(max(r.crashers, 1))
		late := float64(r.late) - float64(calm[r.share].late)*float64(r.asked)/float64(calm[r.share].asked)
		fmt.Printf("| %s | %.1f | %.0f | %.3f | %.2f | %.1f | %d | %d |\n", r.policy, r.share, r.perS, r.served, float64(r.lost)/n, late/n, r.givenUp, r.most)
	}
}

// A task crashes each backend server that starts it, five of them come each second, and
// each retry took the next server down with all that ran beside it until none was left.
// Each of them costs three servers at most, and nobody beside them is given up.
func TestTasksThatCrashServersCostFew(t *testing.T) {
	is := is.New(t)
	d := playCrashes(large, .7, 5, 1)
	t.Logf("%+v", d)
	is.True(!judged || d.lost <= 3*d.crashers)
	is.Equal(d.givenUp, 0)
	is.True(d.most <= 2)
}
