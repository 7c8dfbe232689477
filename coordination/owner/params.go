package owner

import "time"

// Params are the figures by which an owner decides whom to accept, what goes where
// and who waits. The comment on each says its unit and where it comes from; those
// "measured under load" come from the tests of package load.
type Params struct {
	// AimShare of a job's latency objective is when it must be predicted to end to
	// be accepted as one that will be in time. More urgent work that comes later
	// goes before it, and loads are some milliseconds old. Measured under 100 to
	// 130 % of load: with 1.0 a tenth of the accepted jobs came too late to be of
	// use, with 0.75 a third of that.
	AimShare float64
	// SlackShare of a job's slack may be spent waiting in any case: of a job whose
	// work fills most of its objective nothing would be accepted otherwise.
	SlackShare float64
	// PriorityShare of the wait that a job of one priority is accepted with is what
	// the next lower priority gets. The less urgent yield first when the workers fill
	// up: otherwise the queues settle at the wait that the largest class bears, and
	// short urgent jobs find no room in time.
	PriorityShare float64
	// PrioritySteps bounds the steps of priority that count, so that a part of the
	// wait is left to the least urgent on a scale that goes to 100.
	PrioritySteps int
	// MinWait is allowed in any case: a prediction is no finer than that, and a
	// queue that allows its jobs no slack would refuse them all.
	MinWait time.Duration

	// LateFactor times its objective is how long after its submission an answer is
	// still of use; the users' figure. Best-effort jobs that can't be in time are
	// accepted for that long, and yield to those that can. Zero refuses them.
	LateFactor float64
	// LateShare of that time is when a late job must be predicted to end.
	LateShare float64
	// YieldMemory is the time constant over which the room left to late jobs is
	// measured: longer than the gaps between two tasks that end, shorter than the
	// few seconds of a burst.
	YieldMemory time.Duration
	// YieldPrior is the share of the workers' cores that is taken to be left to late
	// jobs before any have waited.
	YieldPrior float64
	// YieldReserve is the share of a worker that has to stay free for a task of a late
	// job to go there: what other owners have waiting is not seen, and a job that can
	// still be in time comes at any moment.
	YieldReserve float64
	// Arrival is how long after its start an owner of best-effort jobs takes jobs
	// though no worker is known: its links come up within 0.3 s of a start, and a job
	// that is refused meanwhile would have been served.
	Arrival time.Duration

	// BindWithin is the longest predicted wait at a worker with which a task is sent
	// there. Those that would wait longer stay with their owner, and go to whichever
	// worker has room first: bound early, tasks waited 200 ms at one worker while
	// others had none waiting. It covers the way to a worker and back, so that a
	// worker has its next task when one ends. Zero binds at once.
	BindWithin time.Duration
	// PooledWait times the time in which all workers together free as many cores as the
	// waiting tasks of a job need is the longest that these are predicted to wait: they go
	// to whichever worker has room first. By one worker's turnover alone a job of eight
	// tasks was refused that twenty workers would have taken within 30 ms. Above 1, for
	// others wait too. Measured in coordination/load, users' large mix: at 90 % of load
	// 1.0 and 2.0 serve .964 and .965 of the worth for .960 without, at 110 % .807 and
	// .822 for .826, with .715 and .707 of the short jobs in time for .694.
	PooledWait float64
	// StaleLoad is the age of a worker's news from which on it gets nothing while
	// others have room: it says something every 150 ms, and a host that went dark
	// costs each task sent to it the time until its link is given up.
	StaleLoad time.Duration
	// Alike is the part of the processes that place work at a worker which are taken
	// to have chosen it whenever this one did, since its last news. Eight of them that
	// each see only their own orders promise the same room several times over.
	Alike float64
	// CrashesApart, CrashesAlone and CrashesMost are the numbers of backend servers that were
	// lost under a task from which on it runs apart from other suspects, runs alone, and is
	// given up.
	CrashesApart, CrashesAlone, CrashesMost int
	// LearnWeight is the weight of one new measurement of a run time: about the last
	// fifty count, some seconds of traffic of a queue.
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
