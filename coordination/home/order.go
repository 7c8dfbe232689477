package home

import (
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// Among one operator's jobs the one with the least expected work left goes
// first: a job of one task behind one of a thousand would wait for all of them,
// while the thousand hardly notice the one. Ordered by work alone, a large job
// may wait for ever behind a stream of small ones: its caller sees a deadline
// pass though slots were free all the time. So each job has an order time, its
// arrival plus a window that grows with its work, and the earliest goes first.
//
// The bound: what the same operator submits after a job's window has passed goes
// behind it, because no job's order time is before its own arrival. So of its
// operator's work a job waits for no more than what came before its window ended.
//
// Weighed in bench/placement against order of arrival: windows of a quarter, one
// and four for each unit of work, at most 2 to 15 s. Shorter ones lose at the 99th
// percentile of all jobs. Longer ones gain a little there, but large jobs wait
// longer for their first start, and an entry's limit, which goes by small jobs,
// sees a queue only when it is longer than the window.
const (
	// windowPerWork is the window for each unit of expected work left.
	windowPerWork = 1.0
	// maxWindow bounds the window of jobs without or with a far deadline.
	maxWindow = 5 * time.Second
	// windowOfDeadline bounds the window by the time that the caller gives, one
	// part in so many. The rest is left for waiting and running, and of two jobs
	// of like work the one with less time goes first.
	windowOfDeadline = 4
)

// orderTime returns the time that orders a job among its operator's.
func (p *pool) orderTime(j *job) time.Time {
	window := maxWindow
	if !j.deadline.IsZero() {
		window = min(window, j.deadline.Sub(j.arrived)/windowOfDeadline)
	}
	work := time.Duration(0)
	for _, i := range j.backlog {
		work += p.runs.expect(&j.tasks[i].spec)
		if scaled := time.Duration(windowPerWork * float64(work)); scaled >= window {
			return j.arrived.Add(window)
		}
	}
	return j.arrived.Add(time.Duration(windowPerWork * float64(work)))
}

const (
	// runsKept is about how many results the learned run times rest on.
	runsKept = 200
	// assumedRun stands for a run time while nothing is declared or learned.
	assumedRun = 200 * time.Millisecond
	// maxScale bounds the correction of declared run times, either way.
	maxScale = 10.0
)

// runTimes learns from a service's results how long its tasks run, and by what
// factor they run longer than declared. Each field is a sum that decays.
type runTimes struct {
	results  float64
	ran      float64 // seconds
	declared float64 // seconds, of the results with a declaration
	against  float64 // seconds that those ran
}

func (r *runTimes) add(t *state.Task, ran time.Duration) {
	const keep = 1 - 1.0/runsKept
	r.results = r.results*keep + 1
	r.ran = r.ran*keep + ran.Seconds()
	if t.Expected > 0 {
		r.declared = r.declared*keep + t.Expected.Seconds()
		r.against = r.against*keep + ran.Seconds()
	}
}

// mean is the learned run time of a task, or zero if none is known.
func (r *runTimes) mean() time.Duration {
	if r.results == 0 {
		return 0
	}
	return time.Duration(r.ran / r.results * float64(time.Second))
}

// expect is how long a task should run: what is declared, corrected by what
// declarations were worth of late, else the mean.
func (r *runTimes) expect(t *state.Task) time.Duration {
	switch {
	case t.Expected > 0 && r.declared > 0:
		scale := min(maxScale, max(1/maxScale, r.against/r.declared))
		return time.Duration(float64(t.Expected) * scale)
	case t.Expected > 0:
		return t.Expected
	case r.results > 0:
		return r.mean()
	}
	return assumedRun
}
