package owner

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/shares"
)

// Params are the parameters of admission, placement and queueing.
type Params struct {
	// JobMemory bounds the memory of the jobs of all shards of a process that have not ended, in bytes.
	// Zero means no bound.
	JobMemory int64
	// LargeJob is the size in bytes above which a job is large: large jobs get half of JobMemory, and are
	// forgotten as far as possible once they have ended.
	LargeJob int64

	// ObjectiveShare is the share of its latency objective within which a job must be predicted to
	// end to be accepted as in time. The rest is headroom for more urgent jobs that come later and
	// are placed first.
	ObjectiveShare float64
	// SlackShare is the share of a job's slack that it may spend waiting even if ObjectiveShare
	// leaves less. Otherwise no job would be accepted whose work fills most of its objective.
	SlackShare float64
	// PriorityFactor is multiplied with the wait that a job may be accepted with, once for each
	// step of its priority value, so that less urgent jobs are refused first when workers fill up.
	// Priority 0 is the most urgent.
	PriorityFactor float64
	// PrioritySteps is the highest priority value that makes a difference, on a scale that goes to
	// 100.
	PrioritySteps int
	// MinWaitLimit is the predicted wait that is allowed for any job, because predictions are not
	// more precise than that.
	MinWaitLimit time.Duration

	// LateFactor is how long after its submission an answer is still of use, as a multiple of the
	// job's objective. Best-effort jobs that can't be in time are accepted as late if they are
	// predicted to end well within that time; jobs in time are placed before them. Zero refuses
	// jobs that can't be in time.
	LateFactor float64
	// LateShare is the share of that time within which a late job must be predicted to end.
	LateShare float64
	// LateRateWindow is the time constant over which the capacity left to late jobs is measured:
	// longer than the gaps between two ends, shorter than a burst.
	LateRateWindow time.Duration
	// LatePriorShare is the share of the workers' cores that is assumed to be left to late jobs
	// before any have waited.
	LatePriorShare float64
	// LateReserve is the share of a worker that has to stay free beside a task of a late job. It is
	// kept for jobs that can still be in time and may come at any moment.
	LateReserve float64
	// StartupGrace is how long after its start an owner of best-effort jobs accepts jobs although
	// no worker is known, because its links are about to come up.
	StartupGrace time.Duration

	// MaxPlacementWait is the longest predicted wait at a worker with which a task is sent there.
	// Tasks that would wait longer stay at their owner and go to the first worker with free
	// capacity. It covers the round trip to the agent. Zero places every task at once.
	MaxPlacementWait time.Duration
	// PooledWaitFactor bounds the predicted wait of a job's tasks: it is multiplied with the time
	// in which all workers together free as many cores as the tasks need.
	PooledWaitFactor float64
	// StaleLoadAge is the age of a worker's load from which on the worker is chosen only when no
	// other has free capacity. A healthy agent reports in half that time.
	StaleLoadAge time.Duration
	// OrderOverlap is the share of other processes' orders that is assumed to have gone where this
	// process's own orders went since a worker's last load.
	OrderOverlap float64
	// MinCrashesApart, MinCrashesExclusive and MaxCrashes are the numbers of backend servers lost
	// under a task from which on it runs apart from other suspects, runs alone on its server, and is
	// given up.
	MinCrashesApart, MinCrashesExclusive, MaxCrashes int
	// RunTimeWeight is the weight of a new measurement in the moving average of a queue's run
	// times; about the last fifty measurements count.
	RunTimeWeight float64

	// ServerSpeeds makes placement and admission go by the speeds of backend servers.
	ServerSpeeds bool
	// Shares divides contended capacity between queues; nil: off.
	Shares *shares.Params
	// Shedding gives up accepted work that can't be in time once capacity is lost, and spreads the
	// return of refused clients.
	Shedding bool
}

// DefaultParams returns the parameters that are used in production.
func DefaultParams() Params {
	return Params{
		LargeJob:            64 << 10,
		ObjectiveShare:      0.75,
		SlackShare:          0.35,
		PriorityFactor:      0.95,
		PrioritySteps:       4,
		MinWaitLimit:        10 * time.Millisecond,
		LateFactor:          3,
		LateShare:           0.95,
		LateRateWindow:      500 * time.Millisecond,
		LatePriorShare:      0.25,
		LateReserve:         0.1,
		StartupGrace:        600 * time.Millisecond,
		MaxPlacementWait:    25 * time.Millisecond,
		PooledWaitFactor:    2,
		StaleLoadAge:        320 * time.Millisecond,
		OrderOverlap:        0.4,
		MinCrashesApart:     1,
		MinCrashesExclusive: 2,
		MaxCrashes:          3,
		RunTimeWeight:       0.02,
	}
}
