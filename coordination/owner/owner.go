// Package owner runs the jobs of one shard: it accepts them, has them recorded
// before it says so, places their tasks on agents, and settles how they ended.
// A shard has one owner at a time. Its epoch shuts out earlier owners, at the
// store and at each agent, so nothing here rests on who is believed alive.
//
// The machine is pure: time comes in as now, a reading of the boot clock;
// records, orders and replies come out as Effects. It is safe for concurrent
// use.
package owner

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// Bounds are figures of the platform and the settings.
type Bounds struct {
	// WaitOut is how long after a link was lost the runs behind it may still
	// be at work: the agent's bound on a silent owner, the longest lease, and
	// a margin.
	WaitOut time.Duration
	// Takeover is the same for an agent that this owner never reached, whose
	// earlier owner may have gone on renewing for a while.
	Takeover time.Duration
	// Retention is how long an ended job can be asked for.
	Retention time.Duration
	// LazyWrite is how long an end may wait for its record while its job goes
	// on; most jobs end before that and need no record in between.
	LazyWrite time.Duration
}

// Reply is a verdict on its way to whoever asked.
type Reply struct {
	To      func(Verdict)
	Verdict Verdict
}

// Effects is what a step asks of the driver.
type Effects struct {
	Orders  []Placed[worker.Order]
	Stops   []Placed[job.RunID]
	Settled []Placed[Settlement]
	// Relinks are the agents whose links are to be made anew.
	Relinks []string
	Replies []Reply
	Log     []Decision
	// Write is set when records wait for the store.
	Write bool
}

// Placed is something for one agent.
type Placed[T any] struct {
	Node string
	What T
}

// Settlement tells an agent what became of an end.
type Settlement struct {
	Run  job.RunID
	Void bool
}

// Decision is a line for the log.
type Decision struct {
	What   string
	Job    job.ID
	Run    job.RunID
	Node   string
	Reason string
	Wait   time.Duration
	Age    time.Duration
	// Count is of suspects, or of lost servers.
	Count int
	// Refusal is what a refusal was decided by; nil for other decisions.
	Refusal *Refusal
}

// Refusal is what the refusal of a job for want of room was decided by.
type Refusal struct {
	// Predicted is the longest predicted wait of a step, Here the part of it behind tasks
	// that wait at this owner, Limit the longest with which the job would have been taken
	// as one in time, and Late when it would have ended as a late one; zero: it can't be
	// late.
	Predicted, Here, Limit, Late time.Duration
	// Objective is the job's latency objective, and Waited what its client has waited.
	Objective, Waited time.Duration
	// Free and Cores are what the agents that may have the job were believed to have, in
	// cores, and News is the age of the oldest word of one of them.
	Free, Cores float64
	News        time.Duration
}

// WantsRoom reports whether a decision was made for want of room at the linked agents.
func (d *Decision) WantsRoom() bool {
	return d.Reason == ReasonOverload || d.Reason == ReasonNoWorker || d.Reason == ReasonDrained || d.What == wordLate
}

// taskPhase is how far a task has come at its owner.
type taskPhase uint8

const (
	// idle: no run is under way.
	idle taskPhase = iota
	// inDoubt: a run of an earlier owner may be under way somewhere.
	inDoubt
	// ordered: an order was sent.
	ordered
	// active: the run is at work.
	active
	// stopping: the run was told to stop and has not ended yet. Another must
	// not start before that.
	stopping
	// over: done, or the job has ended.
	over
)

// task is guarded by Shard.mu.
type task struct {
	phase  taskPhase
	number int64
	// waiting is set while the task is in the shard's backlog.
	waiting bool
	node    string
	failed  string
	// held is the end of an earlier owner's run, while a newer one may turn up.
	held *Placed[worker.RunState]
	// awaits is the number of the run whose end awaits its record; zero: none.
	awaits int64
	// unsettled has ends whose record was not taken to the store yet.
	unsettled []Placed[Settlement]
	// recorded is the number of the newest run that the store has as lost with its server,
	// and lostAt when the last one was lost.
	recorded int64
	lostAt   time.Duration
	// acquitted is the number of the run up to which lost servers say nothing.
	acquitted int64
}

// jobState is guarded by Shard.mu.
type jobState struct {
	rec      *job.Record
	tasks    []task
	left     int
	durable  bool
	shown    job.State
	started  bool
	accepted time.Duration
	due      time.Duration
	// useful is when an answer stops being of use; zero: never.
	useful time.Duration
	// yields is set for a job that can only be late.
	yields bool
	// ordered is set once an order for a task was sent.
	ordered bool
	waiters []func(Verdict)
	cancels []func(Verdict)
	// watchers are told of the end, once it is recorded.
	watchers []func(Verdict)
	// gone counts the waiters that have left.
	gone int
	// written is when the record must be written at the latest; zero: clean.
	writeBy time.Duration
	// drop is set when the record is to be removed from the store.
	drop bool
}

// Shard is the machine.
type Shard struct {
	ID    int
	Epoch int64
	// private shards hold best-effort jobs only. They belong to one life of an
	// agent and end with it; nothing of them is recorded.
	private bool
	bounds  Bounds
	fleet   *Fleet
	// opened is when this owner took the shard.
	opened time.Duration

	mu sync.Mutex
	// All fields below are guarded by mu.

	jobs map[job.ID]*jobState
	// dirty has the jobs whose records wait for the store, in order.
	dirty []job.ID
	// patience has what clients named in each queue.
	patience map[string]*patienceLog
	// waiting has the tasks for which no agent has room.
	waiting backlog
	links   map[string]*linkState
	// waitFor has agents of earlier owners that have not answered yet, with
	// the time after which they need not.
	waitFor map[string]time.Duration
	// named has the agents that the store names as possibly having runs of
	// this shard, and naming is set while that list has to be written.
	named  map[string]bool
	naming bool
	// expiring has ended jobs in the order in which they expire.
	expiring []expiry
	// fading has the same of best-effort jobs.
	fading []expiry
	// queued counts jobs without a started task, by queue.
	queued map[string]int
	// suspects are the tasks under which backend servers were lost, and losses the
	// servers that were lost last.
	suspects map[job.TaskID]bool
	losses   []loss
	// storeBad is set while records can't be written.
	storeBad bool
	// missed is set when an agent that earlier owners had sent orders to was
	// never reached: what ran there is not known.
	missed bool
	// unconfirmed is set while the group may have given the shard to another.
	unconfirmed bool
	// closed is set once another owner has taken over.
	closed bool
}

type expiry struct {
	id job.ID
	at time.Duration
}

// linkState is what the owner knows of its link to an agent. Guarded by
// Shard.mu.
type linkState struct {
	session int64
	// since is when the session was claimed.
	since time.Duration
	// claimed is set once the agent has answered this session's claim.
	claimed bool
	// lostAt is when the link was lost; tasks there are awaited until then
	// plus Bounds.WaitOut.
	lost   bool
	lostAt time.Duration
}

// New returns the shard's machine with the records that the store has.
// mayRun names the agents that earlier owners have sent orders to.
func New(now time.Duration, id int, epoch int64, b Bounds, f *Fleet, records []*job.Record, mayRun []string) *Shard {
	s := &Shard{
		ID: id, Epoch: epoch, bounds: b, fleet: f, opened: now,
		jobs:     make(map[job.ID]*jobState, len(records)),
		links:    make(map[string]*linkState),
		patience: make(map[string]*patienceLog),
		waitFor:  make(map[string]time.Duration, len(mayRun)),
		queued:   make(map[string]int),
		suspects: make(map[job.TaskID]bool),
		named:    make(map[string]bool, len(mayRun)),
	}
	for _, node := range mayRun {
		s.waitFor[node] = now + b.Takeover
		s.named[node] = true
	}
	for _, r := range records {
		s.loadLocked(now, r)
	}
	return s
}

// NewPrivate returns a shard for best-effort jobs. Its number must be the
// owner's alone.
func NewPrivate(now time.Duration, id int, b Bounds, f *Fleet) *Shard {
	s := New(now, id, 1, b, f, nil, nil)
	s.private = true
	return s
}

func (s *Shard) loadLocked(now time.Duration, r *job.Record) {
	j := &jobState{rec: r, durable: true, shown: r.State, accepted: now}
	s.jobs[r.ID] = j
	if r.State.Final() {
		s.expireLocked(now, j)
		return
	}
	j.due = now + s.objective(&r.Spec, &r.Policy)
	j.tasks = make([]task, r.Spec.Tasks())
	for i := range j.tasks {
		j.tasks[i].phase = inDoubt
		if i < len(r.Tasks) && r.Tasks[i].Done {
			j.tasks[i].phase = over
			continue
		}
		if i < len(r.Tasks) && len(r.Tasks[i].Crashes) > 0 {
			j.tasks[i].recorded, j.tasks[i].lostAt = newestCrash(&r.Tasks[i]), now
			s.suspects[r.TaskAt(r.ID, i)] = true
		}
		j.left++
	}
	s.queued[r.Policy.Queue]++
}

// expireLocked has an ended job forgotten in time.
func (s *Shard) expireLocked(now time.Duration, j *jobState) {
	if j.rec.Spec.BestEffort {
		s.fading = append(s.fading, expiry{id: j.rec.ID, at: now + resendBound})
		return
	}
	s.expiring = append(s.expiring, expiry{id: j.rec.ID, at: now + s.bounds.Retention})
}

// resendBound is how long a best-effort job's answer is kept for a client that
// sends the job again: it does so 1.3 s after it lost the first answer.
const resendBound = 10 * time.Second
