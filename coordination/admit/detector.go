package admit

import (
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// A worker that fails everything it starts, fast, has its slots free all the
// time. Least-loaded placement then sends it most of the work, and one broken
// worker fails the jobs of the whole service.
const (
	// ejectAfter is how many failures in a row eject, from at least ejectJobs
	// different jobs, so that one job of bad tasks doesn't.
	ejectAfter = 5
	ejectJobs  = 3
	// fastFailure is the longest a failure may take to count.
	fastFailure = 100 * time.Millisecond
	// The pause before a probe doubles from the first to the last of these.
	probePauseFirst = time.Second
	probePauseMax   = 30 * time.Second
)

// detector ejects a backend server that fails all it starts, probes it with
// one task after a pause and brings it back when that one succeeds.
type detector struct {
	failures int
	jobs     map[state.JobKey]struct{}
	// probeAt is set while ejected: from then on one task may be tried.
	probeAt time.Time
	pause   time.Duration
}

// saw takes in how a task ended.
func (d *detector) saw(now time.Time, e *entry, failed bool, ran time.Duration) {
	if !failed || ran > fastFailure {
		*d = detector{}
		return
	}
	d.failures++
	if d.jobs == nil {
		d.jobs = make(map[state.JobKey]struct{})
	}
	if len(d.jobs) < ejectJobs {
		d.jobs[e.key.Job] = struct{}{}
	}
	if d.failures < ejectAfter || len(d.jobs) < ejectJobs {
		return
	}
	d.eject(now)
}

// turnedAway takes in that the backend server refused a task for want of room,
// though it has some by its own word. The failure it is for: the slots look
// free, a home sends the task again at once, and again, hundreds of times a
// second. No task is at fault here, so refusals count whichever job they are of.
func (d *detector) turnedAway(now time.Time) {
	d.failures++
	if d.failures >= ejectAfter {
		d.eject(now)
	}
}

func (d *detector) eject(now time.Time) {
	d.pause = min(max(2*d.pause, probePauseFirst), probePauseMax)
	d.probeAt = now.Add(d.pause)
}

func (d *detector) out() bool { return !d.probeAt.IsZero() }

// ejected reports whether the backend server gets no tasks at all now.
func (d *detector) ejected(now time.Time) bool {
	return d.out() && now.Before(d.probeAt)
}

// probing reports whether one task may be tried.
func (d *detector) probing(now time.Time) bool {
	return d.out() && !now.Before(d.probeAt)
}

// admits reports whether another task may be taken beside held ones.
func (d *detector) admits(now time.Time, held int) bool {
	if !d.out() {
		return true
	}
	return d.probing(now) && held == 0
}
