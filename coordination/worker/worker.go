// Package worker keeps the books of one backend server at the agent beside it:
// which runs occupy it, which orders wait, which ends nobody has settled, and
// how long its lease lasts. It is the only authority on what fits there.
//
// The machine is pure: time comes in as now, a reading of the boot clock, which
// goes on while a host is suspended. Calls to the backend server and news for
// the owners of shards come out as Effects. It is safe for concurrent use.
package worker

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// Bounds are the figures that the platform and the settings give.
type Bounds struct {
	// Lease is the longest lease the backend server grants.
	Lease time.Duration
	// OwnerSilence is how long an owner may be silent before its runs are
	// stopped here.
	OwnerSilence time.Duration
	// Relink is how long an owner whose link has ended may take to make it
	// anew.
	Relink time.Duration
	// Adoption is how long a run of an earlier life of the agent may wait for
	// its owner to repeat the order. The owner may be that earlier life: its
	// best-effort jobs are sent again, and their first runs must be over then.
	Adoption time.Duration
	// Shards is the number of shards that job IDs are spread over.
	Shards int
}

const (
	// clockDrift covers a backend server's clock that runs 2 % slow, the
	// platform's bound, and a little for rounding.
	clockDrift = 1.03
	// lapseMargin is added before a lease counts as expired for certain: the
	// executor's timers fire a few ms late, its clock is read in whole ms.
	lapseMargin = 60 * time.Millisecond
)

// Server is what a backend server last said of itself.
type Server struct {
	Instance string
	Service  string
	Labels   []string
	Capacity job.Demand
	Draining bool
	// Cold is how much longer runs take longer than usual there, from the report on.
	Cold time.Duration
	// Seq rises with each report of one instance.
	Seq int64
}

// Order is an owner's instruction to start a run.
type Order struct {
	Shard   int
	Epoch   int64
	Session int64
	Run     job.RunID
	Payload string
	Service string
	Label   string
	Demand  job.Demand
	// Estimate is the run time that the owner expects.
	Estimate time.Duration
	// Due is when the run should have ended, on the clock of now.
	Due          time.Duration
	Checkpoint   string
	MaxPerWorker int
	// Repeat is set when the owner was told that the run is here already. The
	// order tells the agent what it takes, and starts nothing.
	Repeat bool
	// Once is the policy of the run's job: its loss must not be forgotten
	// before the owner has heard of it.
	Once bool
	// Caution is set where backend servers were lost under earlier runs of the task.
	Caution Caution
}

// RunState is what an owner is told of a run.
type RunState struct {
	Run        job.RunID
	Status     Status
	End        job.EndKind
	Checkpoint string
	// Work is how long the run was at work, from its confirmed start.
	Work   time.Duration
	Reason string
	// Result is what a run that is done returned.
	Result string
	// Loss says whether the run was lost with its backend server, of that Instance, with
	// so many Suspects on it, this one among them.
	Loss     Loss
	Instance string
	Suspects int
}

// Status is the coarse state of a run as an owner sees it.
type Status uint8

const (
	// Waiting orders have not been sent to the backend server.
	Waiting Status = iota
	// Running runs are at work, or may be.
	Running
	// Ended runs are over.
	Ended
	// LossNews says what became of the backend server with which a run was lost. The end
	// of the run was told before.
	LossNews
)

// Event is news of a run for the owner of its shard.
type Event struct {
	Shard int
	Epoch int64
	State RunState
}

// StartCall asks the driver to start a run. The answer goes to StartAnswered.
type StartCall struct {
	Instance   string
	Run        job.RunID
	Payload    string
	Checkpoint string
	// Deadline is on the backend server's clock.
	Deadline int64
	// Patience is how long to wait for the answer.
	Patience time.Duration
}

// StopCall asks the driver to stop a run. The answer goes to StopAnswered.
type StopCall struct {
	Instance string
	Run      job.RunID
}

// Effects is what a step asks of the driver.
type Effects struct {
	Starts []StartCall
	Stops  []StopCall
	Events []Event
}

// Worker is the machine. Its zero value is not usable; see New.
type Worker struct {
	bounds Bounds

	mu sync.Mutex
	// All fields below are guarded by mu.

	server Server
	// seen is false until the first report.
	seen bool
	// held is set once the backend server's lists were seen.
	held   bool
	runs   map[job.RunID]*run
	shards map[int]*shardState
	// former has, by node, the owners that runs of an earlier life of this agent can
	// be of; an owner leaves it when a later life of its node has claimed.
	former map[string]string
	// formerEffort is set where all runs of the earlier life are of best-effort jobs.
	formerEffort bool
	queued       int64

	clock clock
	// granted is the latest executor-clock deadline given out, and grantedEnd
	// the local time by which it has expired for certain.
	granted    int64
	grantedEnd time.Duration
	holds      int64
	acked      int64
	// ends has the listed ends that are not acknowledged, by their number.
	ends map[int64]*run
	// lapsing is set while the lease must run out before any end can be
	// acknowledged, because an end that was voided must never count.
	lapsing bool
	// clean is set when the lease has expired while the backend server could
	// not be reached: ends listed next were reported as lapsed already.
	clean bool

	// answered is when the backend server answered a hold last.
	answered time.Duration
	// drained is set while nothing is to be newly started in this failure domain.
	drained bool
	// closing is set while the agent itself stops as planned.
	closing bool
	// misses counts the holds without an answer since the last one with.
	misses int
	// missedAt is when the last hold went without an answer; zero: none did.
	missedAt time.Duration
	// failing is set while holds are not answered: nothing is started.
	failing bool
	// gap is set while the lists after a hold without an answer are taken in.
	gap bool
	// unsettled is the number of ends in the newest list.
	unsettled int

	// saidAt is when the server spoke of its capacity last, on its clock, and varies is set
	// once that has changed.
	saidAt int64
	varies bool
	// lost are the instances that were lost lately, oldest first.
	lost []*lostServer

	health  health
	answers answerTimes
	// lastDone is when a run ended as done last.
	lastDone time.Duration
	stats    Stats
}

// shardState is what is known of one shard's owner. Guarded by Worker.mu.
type shardState struct {
	owner   string
	epoch   int64
	session int64
	heard   time.Duration
}

// Stats are counters of the machine.
type Stats struct {
	Started, Refused, Lapsed, Doubtful, Voided, Silenced, Stalled int64
	// Returned counts the orders handed back because they would have started too late.
	Returned int64
	// Resized counts the changes of the backend server's capacity.
	Resized int64
	// Drained counts the orders that were refused or handed back because the failure domain
	// is drained.
	Drained int64
}

// New returns a machine that knows nothing of its backend server yet.
func New(b Bounds) *Worker {
	return &Worker{
		bounds: b,
		runs:   make(map[job.RunID]*run),
		shards: make(map[int]*shardState),
		ends:   make(map[int64]*run),
	}
}

// Report takes in what the backend server says of itself. A new instance means
// that everything of the old one is gone.
func (w *Worker) Report(now time.Duration, s Server, clockMS int64) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	if w.seen && s.Instance == w.server.Instance && s.Seq <= w.server.Seq {
		// A report that was held up on its way would take back a drain, and one that
		// repeats a number says nothing new.
		return fx
	}
	if w.seen && s.Instance != w.server.Instance {
		w.replacedServerLocked(now, &fx)
	}
	if !w.seen || s.Instance != w.server.Instance {
		w.acked = 0
		w.health = health{}
		w.saidAt, w.varies = 0, false
		w.server.Capacity = s.Capacity
		w.answered, w.failing, w.misses, w.missedAt = now, false, 0, 0
	}
	w.seen = true
	draining := s.Draining && !w.server.Draining
	resized := w.sayLocked(s.Capacity, clockMS)
	s.Capacity = w.server.Capacity
	w.server = s
	w.clock.read(now, clockMS)
	w.health.expectCold(now, s.Cold)
	if draining {
		w.returnWaitingLocked(&fx, "draining")
	}
	if resized {
		w.returnUnfitLocked(now, &fx)
	}
	w.pumpLocked(now, &fx)
	return fx
}

// Resume is Report with what an earlier life of the agent has written down. Any
// report of the server is newer.
func (w *Worker) Resume(now time.Duration, s Server, clockMS int64) Effects {
	if w.known() {
		return Effects{}
	}
	s.Seq = beforeAnyReport
	return w.Report(now, s, clockMS)
}

// beforeAnyReport is below the numbers of all reports.
const beforeAnyReport = -1

func (w *Worker) known() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.seen
}

// Changes reports whether a report is of another instance, state or capacity than the
// last one.
func (w *Worker) Changes(s Server) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.seen || w.server.Instance != s.Instance || w.server.Draining != s.Draining || w.server.Capacity != s.Capacity
}

// Server returns the last report, or false before the first.
func (w *Worker) Server() (Server, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.server, w.seen
}

// Left tells that the backend server has deregistered.
func (w *Worker) Left(instance string) Effects {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fx Effects
	if w.seen && w.server.Instance == instance {
		w.explainLocked(&fx, LossCleared)
		w.resetLocked(0, &fx, NotLost)
		w.seen = false
	}
	return fx
}
