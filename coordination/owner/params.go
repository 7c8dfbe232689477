package owner

import "time"

// Params are the figures by which an owner decides whom to accept, what goes where and who
// waits. docs/POLICY.md has what they were weighed by.
type Params struct {
	// AimShare of a job's latency objective is when it must be predicted to end to be
	// accepted as one that will be in time. More urgent work that comes later goes first.
	AimShare float64
	// SlackShare of a job's slack may be spent waiting in any case: of a job whose work
	// fills most of its objective nothing would be accepted otherwise.
	SlackShare float64
	// PriorityShare of the wait that a job of one priority is accepted with is what the
	// next lower priority gets, so that the less urgent yield first when workers fill up.
	PriorityShare float64
	// PrioritySteps bounds the steps of priority that count, on a scale that goes to 100.
	PrioritySteps int
	// MinWait is allowed in any case: a prediction is no finer than that.
	MinWait time.Duration

	// LateFactor times its objective is how long after its submission an answer is still of
	// use. Best-effort jobs that can't be in time are accepted for that long, and yield to
	// those that can. Zero refuses them.
	LateFactor float64
	// LateShare of that time is when a late job must be predicted to end.
	LateShare float64
	// YieldMemory is the time constant over which the room left to late jobs is measured:
	// longer than the gaps between two ends, shorter than a burst.
	YieldMemory time.Duration
	// YieldPrior is the share of the workers' cores that is taken to be left to late jobs
	// before any have waited.
	YieldPrior float64
	// YieldReserve is the share of a worker that has to stay free for a task of a late job
	// to go there: a job that can still be in time comes at any moment.
	YieldReserve float64
	// Arrival is how long after its start an owner of best-effort jobs takes jobs though no
	// worker is known: its links are about to come up.
	Arrival time.Duration

	// BindWithin is the longest predicted wait at a worker with which a task is sent there.
	// Those that would wait longer stay with their owner, and go to whichever worker has room
	// first. It covers the way there and back. Zero binds at once.
	BindWithin time.Duration
	// PooledWait times the time in which all workers together free as many cores as the
	// waiting tasks of a job need is the longest that these are predicted to wait.
	PooledWait float64
	// StaleLoad is the age of a worker's news from which on it gets nothing while others have
	// room. A sound one is heard of in half that time.
	StaleLoad time.Duration
	// Alike is the part of the others' orders that are taken to go where this process's own
	// go, since a worker's last news.
	Alike float64
	// CrashesApart, CrashesAlone and CrashesMost are the numbers of backend servers that were
	// lost under a task from which on it runs apart from other suspects, runs alone, and is
	// given up.
	CrashesApart, CrashesAlone, CrashesMost int
	// LearnWeight is the weight of one new measurement of a run time: about the last fifty
	// of a queue count.
	LearnWeight float64
}

// DefaultParams are the figures in use.
func DefaultParams() Params {
	return Params{
		AimShare:      0.75,
		SlackShare:    0.35,
		PriorityShare: 0.95,
		PrioritySteps: 4,
		MinWait:       10 * time.Millisecond,
		LateFactor:    3,
		LateShare:     0.95,
		YieldMemory:   500 * time.Millisecond,
		YieldPrior:    0.25,
		YieldReserve:  0.1,
		Arrival:       600 * time.Millisecond,
		BindWithin:    25 * time.Millisecond,
		PooledWait:    2,
		StaleLoad:     320 * time.Millisecond,
		Alike:         0.4,
		CrashesApart:  1,
		CrashesAlone:  2,
		CrashesMost:   3,
		LearnWeight:   0.02,
	}
}
