// Package worker keeps the state of one backend server at the agent beside it: the runs that occupy
// it, the waiting orders, the ends that are not settled, and the lease. It alone decides what fits
// on the backend server.
//
// Worker is a pure state machine. Time comes in as now, a reading of the boot clock, which
// continues while a host is suspended. Calls to the backend server and events for the owners of
// shards are returned as Effects, which the driver carries out. Worker is safe for concurrent use.
package worker

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/speed"
	"github.com/shallotstep/shallotstep/state/job"
)

// Bounds are the timeouts and sizes that the platform and the settings give.
type Bounds struct {
	// Incarnation names this incarnation of the agent; see Incarnation.
	Incarnation string
	// Lease is the longest lease that the backend server grants.
	Lease time.Duration
	// OwnerTimeout is how long an owner may be silent before its runs here are stopped.
	OwnerTimeout time.Duration
	// ReconnectTimeout is how long an owner whose link has ended may take to connect again before
	// its runs are stopped.
	ReconnectTimeout time.Duration
	// AdoptionTimeout is how long a run of an earlier incarnation of the agent may wait for its
	// owner to repeat the order. The owner may be that incarnation itself: clients resubmit its
	// best-effort jobs, and the first runs of these must have ended by then.
	AdoptionTimeout time.Duration
	// LearnSpeed makes the worker learn how fast the backend server is. Otherwise expected run times
	// are taken for those of this server.
	LearnSpeed bool
	// Shards is the number of shards that job IDs are mapped to. Higher shard numbers are private
	// shards of best-effort jobs.
	Shards int
}

const (
	// clockDrift scales the lease to cover a backend server's clock that runs 2 % slow, the
	// platform's bound, and rounding.
	clockDrift = 1.03
	// leaseExpiryMargin is added before a lease counts as expired for certain: the backend server's
	// timers fire a few milliseconds late, and its clock is read in whole milliseconds.
	leaseExpiryMargin = 60 * time.Millisecond
)

// Server is the last report of a backend server.
type Server struct {
	Instance job.Instance
	Service  string
	Labels   []string
	Capacity job.Demand
	Draining bool
	// ColdRemaining is how much longer, from the report on, runs take longer than usual there.
	ColdRemaining time.Duration
	// Seq increases with each report of one instance.
	Seq int64
}

// Order is an owner's request to start a run.
type Order struct {
	Shard   int
	Epoch   int64
	Session int64
	Run     job.RunID
	Payload string
	Service string
	Label   string
	Demand  job.Demand
	// Estimate is the run time that the owner expects on a server of speed 1.
	Estimate time.Duration
	// Speed is that of this server as the owner knows it; zero: the owner doesn't go by speeds.
	Speed float64
	// Due is when the run should have ended, on the clock that now is read from.
	Due          time.Duration
	Checkpoint   string
	MaxPerWorker int
	// Repeat is set when the owner was told that the run is here already. The order then only tells
	// the agent the demand and the job of the run, and starts nothing.
	Repeat bool
	// AtMostOnce is set if the tasks of the run's job must not be repeated. The loss of such a run
	// is kept until the owner has settled it.
	AtMostOnce bool
	// Isolation is set if backend servers were lost under earlier runs of the task.
	Isolation Isolation
}

// RunState is the state of a run as reported to its owner.
type RunState struct {
	Run        job.RunID
	Status     Status
	End        job.EndKind
	Checkpoint string
	// Work is how long the run was active, from its confirmed start.
	Work   time.Duration
	Reason string
	// Result is the result of a completed run.
	Result string
	// Loss is set if the run was lost with its backend server. Instance is then that instance, and
	// Suspects the number of runs on it, including this one.
	Loss     Loss
	Instance job.Instance
	Suspects int
}

// Status is the coarse state of a run as an owner sees it.
type Status uint8

const (
	// Waiting means that the order has not been sent to the backend server.
	Waiting Status = iota
	// Running means that the run is active, or may be.
	Running
	// Ended means that the run has ended.
	Ended
	// LossUpdate reports whether the loss of the backend server with which a run was lost is
	// confirmed or cleared. The end of the run was reported before.
	LossUpdate
)

// Event reports the state of a run to the owner of its shard.
type Event struct {
	Shard int
	Epoch int64
	State RunState
}

// StartCall asks the driver to start a run. The driver passes the outcome to StartAnswered.
type StartCall struct {
	Instance   job.Instance
	Run        job.RunID
	Payload    string
	Checkpoint string
	// Deadline is the end of the lease on the backend server's clock, in milliseconds.
	Deadline int64
	// ResponseTimeout is how long to wait for the answer.
	ResponseTimeout time.Duration
}

// StopCall asks the driver to stop a run. The driver passes the outcome to StopAnswered.
type StopCall struct {
	Instance job.Instance
	Run      job.RunID
}

// Effects lists what the driver has to do after a step.
type Effects struct {
	Starts []StartCall
	Stops  []StopCall
	Events []Event
}

// Worker is the state machine of one backend server. Its zero value is not usable; see New.
type Worker struct {
	bounds Bounds

	mu sync.Mutex
	// All fields below are guarded by mu.

	server Server
	// reported is set once the backend server has reported.
	reported bool
	// listsSeen is set once the backend server's lists were seen.
	listsSeen bool
	runs      map[job.RunID]*run
	shards    map[int]*shardState
	// formerOwners holds, by node, the owners that the runs of an earlier incarnation of this agent
	// may belong to. An owner is removed when a later incarnation of its node has claimed.
	formerOwners map[string]string
	// formerBestEffort is set if all runs of the earlier incarnation are of best-effort jobs.
	formerBestEffort bool
	lastQueueSeq     int64

	clock clock
	// leaseDeadline is the latest lease deadline given out, in milliseconds on the backend server's
	// clock. leaseExpiry is the local time by which that lease has expired for certain.
	leaseDeadline int64
	leaseExpiry   time.Duration
	holds         int64
	acked         int64
	// unackedEnds holds the listed ends that are not acknowledged, by their sequence number.
	unackedEnds map[int64]*run
	// awaitLeaseExpiry is set while the lease must expire before any end can be acknowledged,
	// because an end that was voided must never count.
	awaitLeaseExpiry bool
	// leaseExpired is set when the lease has expired while the backend server could not be reached.
	// expiredRuns has the runs that were reported as lapsed then; their ends may be listed next.
	leaseExpired bool
	expiredRuns  map[job.RunID]bool
	// handledExpiry is the last leaseExpiry that has passed. A start sent after that extends the lease
	// again.
	handledExpiry time.Duration

	// lastHoldAnswer is when the backend server last answered a hold.
	lastHoldAnswer time.Duration
	// drained is set while the failure domain is drained, so nothing is started.
	drained bool
	// agentDraining is set once a planned stop of the agent has begun.
	agentDraining bool
	// missedHolds counts the consecutive holds without an answer.
	missedHolds int
	// lastMissedHold is when a hold last went without an answer; zero if none did.
	lastMissedHold time.Duration
	// silent is set from a hold without an answer until anything is heard of the backend server.
	silent bool
	// unresponsive is set while the backend server doesn't answer holds. Nothing is started then.
	unresponsive bool
	// afterMissedHold is set while the lists that follow a hold without an answer are applied.
	afterMissedHold bool
	// unsettled is the number of ends in the last list.
	unsettled int

	// capacityAtMS is when the server last reported its capacity, in milliseconds on its clock.
	// capacityChanged is set once the present instance has changed its capacity.
	capacityAtMS    int64
	capacityChanged bool
	// lostServers holds the instances that were recently lost, oldest first.
	lostServers []*lostServer

	health    health
	responses responseTimes
	speed     speed.Estimator
	// formerSpeed is the stored speed until the backend server has reported.
	formerSpeed Speed
	// lastDone is when a run last completed successfully.
	lastDone time.Duration
	stats    Stats
}

// shardState is what is known about the owner of one shard. Guarded by Worker.mu.
type shardState struct {
	// owner is empty once the owner has released the shard or has timed out.
	owner string
	epoch int64
	// session is the session of the link on which the shard was claimed.
	session int64
	// heard is when the last message of the owner arrived. After the loss of its link it is set
	// back, so that the owner times out after Bounds.ReconnectTimeout.
	heard time.Duration
}

// Stats are counters of a Worker.
type Stats struct {
	Started, Refused, Lapsed, Unconfirmed, Voided, OwnerTimedOut, Stalled int64
	// Returned counts the orders that were returned because they would have started too late.
	Returned int64
	// Resized counts the changes of the backend server's capacity.
	Resized int64
	// Restarted counts the starts of the backend server under the ID that it had.
	Restarted int64
	// Drained counts the orders that were refused or returned because the failure domain is
	// drained.
	Drained int64
}

// New returns a Worker that has no report of its backend server yet.
func New(b Bounds) *Worker {
	return &Worker{
		bounds:      b,
		runs:        make(map[job.RunID]*run),
		shards:      make(map[int]*shardState),
		unackedEnds: make(map[int64]*run),
	}
}

// Report applies a report of the backend server. A new instance means that all runs of the previous
// one are gone. A report of an earlier incarnation that arrives late changes nothing.
func (w *Worker) Report(now time.Duration, s Server, clockMS int64) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	if s.Instance.Precedes(w.server.Instance) {
		return fx
	}
	w.learnStartLocked(s.Instance)
	if w.reported && s.Instance == w.server.Instance && s.Seq <= w.server.Seq {
		// A report that arrives late would revert a drain, and one that repeats a sequence number
		// is a duplicate.
		return fx
	}
	if w.reported && s.Instance != w.server.Instance {
		w.replacedServerLocked(now, &fx, s.Instance)
	}
	isNew := !w.reported || s.Instance != w.server.Instance
	if isNew {
		w.acked = 0
		w.health = health{}
		// A new instance may be of another kind.
		w.speed = speed.Estimator{}
		w.capacityAtMS, w.capacityChanged = 0, false
		w.server.Capacity = s.Capacity
		w.lastHoldAnswer, w.unresponsive, w.missedHolds, w.lastMissedHold = now, false, 0, 0
	}
	w.reported = true
	w.endSilenceLocked()
	draining := s.Draining && !w.server.Draining
	resized := w.updateCapacityLocked(s.Capacity, clockMS)
	s.Capacity = w.server.Capacity
	w.server = s
	if isNew {
		w.restoreSpeedLocked(now)
	}
	w.clock.update(now, clockMS)
	w.health.setCold(now, s.ColdRemaining)
	if draining {
		w.returnWaitingLocked(&fx, "draining")
	}
	if resized {
		w.returnUnfitLocked(now, &fx)
	}
	w.startWaitingLocked(now, &fx)
	return fx
}

// Resume applies what an earlier incarnation of the agent has stored about the backend server. It
// does nothing once the server has reported, and any later report takes precedence.
func (w *Worker) Resume(now time.Duration, s Server, clockMS int64) Effects {
	if w.hasServer() {
		return Effects{}
	}
	s.Seq = beforeAnyReport
	return w.Report(now, s, clockMS)
}

// beforeAnyReport is a sequence number below those of all reports.
const beforeAnyReport = -1

func (w *Worker) hasServer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reported
}

// Changes reports whether s differs from the last report in instance, draining state or capacity.
func (w *Worker) Changes(s Server) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.reported || w.server.Instance != s.Instance || w.server.Draining != s.Draining || w.server.Capacity != s.Capacity
}

// Server returns the last report, or false if there is none.
func (w *Worker) Server() (Server, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.server, w.reported
}

// learnStartLocked completes the known instance with its start time. Without that, a server of
// which an earlier version of the agent, or a report of another writer, has left only the ID would
// count as replaced.
func (w *Worker) learnStartLocked(i job.Instance) {
	if w.server.Instance.StartedMS == 0 && w.server.Instance.Precedes(i) {
		w.server.Instance = i
		w.server.Seq = beforeAnyReport
	}
}

// Deregistered notes that an instance of the backend server has deregistered. Without a start time
// it counts as the known incarnation only if that is draining, as a server is before it
// deregisters: otherwise it may be a late message of an earlier one.
func (w *Worker) Deregistered(instance job.Instance) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	known := w.server.Instance
	unstated := instance.ID == known.ID && instance.StartedMS == 0 && w.server.Draining
	if w.reported && (instance == known || unstated) {
		w.resolveLossLocked(&fx, LossCleared)
		w.resetLocked(0, &fx, NotLost, false)
		w.reported = false
	}
	return fx
}
