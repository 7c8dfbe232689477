// Package owner runs the jobs of one shard: it admits them, has them recorded before it accepts
// them, places their tasks on agents, and records how they ended. A shard has one owner at a time.
// The owner's epoch is a fencing token: the store and each agent reject requests of earlier owners,
// so correctness does not depend on detecting which owner is alive.
//
// Shard is a state machine without I/O: it gets the time as now, a reading of the boot clock, and
// returns records, orders and replies as Effects. It is safe for concurrent use.
package owner

import (
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// Bounds are time limits given by the platform and the settings.
type Bounds struct {
	// WaitOut is how long after the loss of a link the runs behind it may still be at work: the
	// agent's limit on a silent owner, the longest lease, and a margin.
	WaitOut time.Duration
	// Takeover is the same for an agent that this owner has never reached. An earlier owner may
	// have renewed the runs there for some time after the takeover.
	Takeover time.Duration
	// Retention is how long the state of an ended job can be queried.
	Retention time.Duration
	// LazyWrite is how long the write of a run's end may be delayed while its job continues. Most
	// jobs end before that and need no intermediate record.
	LazyWrite time.Duration
}

// Reply is a response and the function to pass it to.
type Reply struct {
	To      func(Verdict)
	Verdict Verdict
}

// Effects is what the caller has to do after a step of the state machine.
type Effects struct {
	Orders  []Placed[worker.Order]
	Stops   []Placed[job.RunID]
	Settled []Placed[Settlement]
	// Relinks has the agents whose links have to be replaced by new ones.
	Relinks []string
	Replies []Reply
	Log     []Decision
	// Write is set when there are records to write to the store.
	Write bool
}

// Placed is a value to send to an agent.
type Placed[T any] struct {
	Node string
	What T
}

// Settlement tells an agent that the end of a run is handled. Void means that the end is superseded
// and must never be acknowledged.
type Settlement struct {
	Run  job.RunID
	Void bool
}

// Decision is an event in the life of a job, to be logged and counted by Kind.
type Decision struct {
	What   string
	Job    job.ID
	Run    job.RunID
	Node   string
	Reason string
	Wait   time.Duration
	Age    time.Duration
	// Count is the number of suspects or of lost servers.
	Count int
	// Refusal has the figures behind a refusal; nil for other decisions.
	Refusal *Refusal
}

// Refusal has the figures behind the refusal of a job for lack of capacity.
type Refusal struct {
	// Predicted is the longest predicted wait of a step, Here the part of it behind tasks that wait
	// at this owner, and Limit the longest wait with which the job would have been accepted as in
	// time. Late is when it would have ended if accepted as late; zero: it can't be late.
	Predicted, Here, Limit, Late time.Duration
	// Objective is the job's latency objective, and Waited how long its client has waited already.
	Objective, Waited time.Duration
	// Free and Cores are the estimated free and total cores of the agents that may have the job,
	// and News is the age of the oldest load among them.
	Free, Cores float64
	News        time.Duration
}

// WantsRoom reports whether the linked agents had too little capacity for a job to run in time.
func (d *Decision) WantsRoom() bool {
	return d.Reason == ReasonOverload || d.Reason == ReasonNoWorker || d.Reason == ReasonDrained || d.What == wordLate
}

// taskPhase is the state of a task at its owner.
type taskPhase uint8

const (
	// idle: no run is under way.
	idle taskPhase = iota
	// inDoubt: a run of an earlier owner may be under way on some agent.
	inDoubt
	// ordered: an order was sent.
	ordered
	// active: the run has started.
	active
	// stopping: the run was told to stop and has not ended yet. Until it ends, no other run of the
	// task may start.
	stopping
	// over: the task is done, or the job has ended.
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
	// held is the end of an earlier owner's run, kept while a newer run may still be found.
	held *Placed[worker.RunState]
	// awaits is the number of the run whose end is not recorded yet; zero: none.
	awaits int64
	// unsettled has ends that are in no write to the store yet.
	unsettled []Placed[Settlement]
	// recorded is the number of the newest run that the store has as lost with its server, and
	// lostAt when the last run was lost.
	recorded int64
	lostAt   time.Duration
	// acquitted is the number of a run: losses of servers under it and under earlier runs are no
	// evidence against the task.
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
	// yields is set for a job that can't be in time.
	yields bool
	// ordered is set once an order for a task was sent.
	ordered bool
	waiters []func(Verdict)
	cancels []func(Verdict)
	// watchers get a reply when the job's end is recorded.
	watchers []func(Verdict)
	// gone counts the waiters that no longer wait for their reply.
	gone int
	// writeBy is when the record must be written at the latest; zero: there are no changes to
	// write.
	writeBy time.Duration
	// drop is set when the record is to be removed from the store.
	drop bool
}

// Shard is the state machine of one shard.
type Shard struct {
	ID    int
	Epoch int64
	// private shards hold best-effort jobs only. They belong to one process, end with it, and
	// record nothing.
	private bool
	bounds  Bounds
	fleet   *Fleet
	// opened is when this owner took over the shard.
	opened time.Duration

	mu sync.Mutex
	// All fields below are guarded by mu.

	jobs map[job.ID]*jobState
	// dirty has the jobs whose records have to be written, in order.
	dirty []job.ID
	// patience has, for each queue, how long the clients of its last submissions said that they
	// would wait.
	patience map[string]*patienceLog
	// waiting has the tasks for which no agent has free capacity.
	waiting backlog
	links   map[string]*linkState
	// waitFor has the agents of earlier owners that have not answered a claim yet, with the time
	// after which the owner no longer waits for them.
	waitFor map[string]time.Duration
	// named has the agents that the store lists as possibly having runs of this shard. naming is
	// set while that list has to be written.
	named  map[string]bool
	naming bool
	// expiring has the recorded jobs that have ended, in the order in which they expire.
	expiring []expiry
	// fading is the same for best-effort jobs.
	fading []expiry
	// queued counts, for each queue, the jobs of which no task has started.
	queued map[string]int
	// suspects are the tasks under which backend servers were lost, and losses the most recent
	// losses of servers.
	suspects map[job.TaskID]bool
	losses   []loss
	// storeBad is set while records can't be written.
	storeBad bool
	// missed is set when an agent that earlier owners had sent orders to was never reached. What
	// ran there is unknown.
	missed bool
	// unconfirmed is set while the group may have assigned the shard to another owner.
	unconfirmed bool
	// closed is set once another owner has taken over.
	closed bool
}

type expiry struct {
	id job.ID
	at time.Duration
}

// linkState is the owner's state of its link to an agent. Guarded by Shard.mu.
type linkState struct {
	session int64
	// since is when the claim was sent, or when a new link was last requested because the claim was
	// not answered.
	since time.Duration
	// claimed is set once the agent has answered this session's claim.
	claimed bool
	// lostAt is when the link was lost. The owner waits until lostAt plus Bounds.WaitOut before it
	// starts the tasks there elsewhere.
	lost   bool
	lostAt time.Duration
}

// New returns the shard with the records from the store. mayRun has the agents that earlier owners
// have sent orders to.
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

// NewPrivate returns a shard for best-effort jobs. No other owner may use its number.
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

// expireLocked schedules the removal of an ended job.
func (s *Shard) expireLocked(now time.Duration, j *jobState) {
	if j.rec.Spec.BestEffort {
		s.fading = append(s.fading, expiry{id: j.rec.ID, at: now + resendBound})
		return
	}
	s.expiring = append(s.expiring, expiry{id: j.rec.ID, at: now + s.bounds.Retention})
}

// resendBound is how long the answer to a best-effort job is kept for a client that sends the job
// again, which it does 1.3 s after it lost the first answer.
const resendBound = 10 * time.Second
