package shedding

import "time"

// Job is an accepted job with tasks that wait at their owner.
type Job struct {
	// Work is the core time of the job's waiting tasks.
	Work time.Duration
	// Since is when its client's wait began, and Objective how long it may take to be in time.
	Since, Objective time.Duration
	// LatestStart is when the last of its tasks must start to be in time. For a job that is late it
	// is the latest start with which the answer is of use.
	LatestStart time.Duration
	// MayHaveRun is set if one of its tasks was ordered and is not known never to have run.
	MayHaveRun bool
}

// maxHeldShare is the share of its objective within which a job is given up. A client that is
// refused by then can still be in time elsewhere; one that has waited longer gets its answer.
const maxHeldShare = 0.25

// heldLong reports whether a client has waited too long already to be refused.
func (j *Job) heldLong(now time.Duration) bool {
	return now-j.Since > time.Duration(maxHeldShare*float64(j.Objective))
}

// MaxLateWaitShare is the share of the time in which a late job may start that it is expected to wait
// at most.
const MaxLateWaitShare = 0.5

// half returns when half of the time has passed in which the job may start. A late job is kept only
// if it is predicted to start by then, because later it isn't refused at once any more. A client that
// waits on in vain after that could at most be refused with nothing left of its time.
func (j *Job) half() time.Duration {
	return j.Since + time.Duration(MaxLateWaitShare*float64(j.LatestStart-j.Since))
}

// Verdict is the decision on a waiting job.
type Verdict uint8

const (
	// Keep leaves the job where it is.
	Keep Verdict = iota
	// GiveUp means that nothing of the job has run, and that its client is told so at once.
	GiveUp
	// Postpone means that the job is carried out although it can't be in time, and must not make
	// others late.
	Postpone
)

// InTime decides which of the jobs that are to be in time can still be. The jobs are in the order in
// which they are served, by latest start, and share cores. A job that can't be in time leaves its
// capacity to those behind it. It is the job itself that is taken out and not the largest one before
// it: that would save a few jobs more, and never serve the large ones.
func InTime(now time.Duration, jobs []Job, cores float64) []Verdict {
	out := make([]Verdict, len(jobs))
	var ahead time.Duration
	for i := range jobs {
		j := &jobs[i]
		start := now + share(ahead, cores)
		switch {
		case now > j.LatestStart:
			out[i] = Postpone
			continue
		case start > j.LatestStart && !j.MayHaveRun && !j.heldLong(now):
			out[i] = GiveUp
			continue
		}
		ahead += j.Work
	}
	return out
}

// Late decides which of the late jobs will still be served. The jobs are in the order in which they
// are served and share rate, the cores that jobs in time leave over. A job that has begun goes on
// before others of which nothing was ordered, or what has run would be wasted.
func Late(now time.Duration, jobs []Job, rate float64) []Verdict {
	out := make([]Verdict, len(jobs))
	var ahead time.Duration
	for i := range jobs {
		j := &jobs[i]
		start := now + share(ahead+j.Work, rate)
		switch {
		case j.MayHaveRun:
			out[i] = Postpone
			continue
		case !j.heldLong(now) && start > j.half(), now > j.half() && start > j.LatestStart:
			out[i] = GiveUp
			continue
		}
		ahead += j.Work
	}
	return out
}

// minCores is the least capacity that is divided by.
const minCores = 0.1

// share returns how long cores take for an amount of core time.
func share(work time.Duration, cores float64) time.Duration {
	return time.Duration(float64(work) / max(cores, minCores))
}

// PostponedStart returns the latest start to which a job is postponed that has begun and can't be in
// time: half-way between now and the last start with which its answer is of use. It comes behind
// jobs that can be in time now, and before later ones, so that it ends well before its client stops
// waiting. It returns false if there is nothing left to postpone to.
func PostponedStart(now, usefulStart time.Duration) (time.Duration, bool) {
	left := usefulStart - now
	if left < minPostponement {
		return 0, false
	}
	return now + left/2, true
}

// minPostponement is the least time that a job is postponed by. Predictions are not more precise.
const minPostponement = 20 * time.Millisecond
