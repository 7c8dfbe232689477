// Package owner runs the jobs of one shard: it admits them, has them recorded before it accepts
// them, places their tasks on agents, and records how they ended. A shard has one owner at a time.
// The owner's epoch is a fencing token: the store and each agent reject requests of earlier owners,
// so correctness does not depend on detecting which owner is alive.
//
// Shard is a state machine without I/O: it gets the time as now, a reading of the boot clock, and
// returns records, orders and replies as Effects. It is safe for concurrent use.
package owner

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// Bounds are time limits given by the platform and the settings.
type Bounds struct {
	// LostLinkTimeout is how long after the loss of a link the runs behind it may still be active:
	// the agent's owner timeout, the longest lease, and a margin.
	LostLinkTimeout time.Duration
	// TakeoverTimeout is the same for an agent that this owner has never reached. An earlier owner
	// may have renewed the runs there for some time after the takeover.
	TakeoverTimeout time.Duration
	// Retention is how long the state of an ended job can be queried.
	Retention time.Duration
	// MaxWriteDelay is how long the write of a run's end may be delayed while its job continues.
	// Most jobs end before that and need no intermediate record.
	MaxWriteDelay time.Duration
}

// Reply is a response and the function to pass it to.
type Reply struct {
	To       func(Response)
	Response Response
}

// Effects is what the caller has to do after a step of the state machine.
type Effects struct {
	Orders  []Addressed[worker.Order]
	Stops   []Addressed[job.RunID]
	Settled []Addressed[Settlement]
	// Reconnects has the agents whose links have to be replaced by new ones.
	Reconnects []string
	Replies    []Reply
	Log        []Decision
	// Write is set when there are records to write to the store.
	Write bool
}

// Addressed is a value to send to an agent.
type Addressed[T any] struct {
	Node  string
	Value T
}

// Settlement tells an agent that the end of a run is handled. Void means that the end is superseded
// and must never be acknowledged.
type Settlement struct {
	Run  job.RunID
	Void bool
}

// Decision is an event in the course of a job, to be logged and counted by Kind.
type Decision struct {
	Kind   string
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
	// PredictedWait is the longest predicted wait of a step, LocalWait the part of it behind tasks
	// that wait at this owner, and WaitLimit the longest wait with which the job would have been
	// accepted as in time. LateEnd is when it would have ended if accepted as late; zero: it can't
	// be late.
	PredictedWait, LocalWait, WaitLimit, LateEnd time.Duration
	// Objective is the job's latency objective, and ClientWaited how long its client has waited
	// already.
	Objective, ClientWaited time.Duration
	// FreeCores and TotalCores are the estimated free and total cores of the agents that may have
	// the job, and LoadAge is the age of the oldest load among them.
	FreeCores, TotalCores float64
	LoadAge               time.Duration
	// BesideRoom is set if servers on which the tasks of the first step would be in time were
	// estimated to have room for all of them. It is only known while the servers' speeds differ.
	BesideRoom bool
}

// LacksCapacity reports whether the linked agents had too little capacity for a job to run in time.
func (d *Decision) LacksCapacity() bool {
	return d.Reason == ReasonOverload || d.Reason == ReasonOverShare || d.Reason == ReasonNoWorker || d.Reason == ReasonDomainDrained || d.Kind == kindAcceptedLate
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
	// finished: the task is done, or the job has ended.
	finished
)

// task is the owner's state of one task. Guarded by Shard.mu.
type task struct {
	phase taskPhase
	// number is the number of the task's newest run, and node the agent it was ordered at.
	number int64
	// firstCounted is the number of the first run whose end may count; zero: any. It rises when the
	// task is to be started again although an earlier run's end may still be found.
	// storedFirstCounted is what the store has.
	firstCounted, storedFirstCounted int64
	// openRun is the number of the last run that may have run; zero: none.
	openRun int64
	// waiting is set while the task is in the shard's backlog.
	waiting bool
	node    string
	// failedNode is the agent on which a run of the task last failed or could not start.
	failedNode string
	// deferredEnd is the end of an earlier owner's run, kept while a newer run may still be found.
	deferredEnd *Addressed[worker.RunState]
	// unrecordedRun is the number of the run whose end is not recorded yet; zero: none.
	unrecordedRun int64
	// unsettled has ends that are in no write to the store yet.
	unsettled []Addressed[Settlement]
	// storedFailures is how many of the counted failures the store has.
	storedFailures int
	// recordedCrash is the number of the newest run that the store has as lost with its server, and
	// lostAt when the last run was lost.
	recordedCrash int64
	lostAt        time.Duration
}

// jobState is the owner's state of one job. Guarded by Shard.mu.
type jobState struct {
	// rec is the job's record with all changes, including those that are not in the store yet.
	rec   *job.Record
	tasks []task
	// remaining is the number of tasks that are not done.
	remaining int
	// durable is set once the job's record is in the store. A best-effort job needs none and is
	// durable from the beginning.
	durable bool
	// reportedState is the state that clients get. The end of a recorded job is in it only once it
	// is in the store.
	reportedState job.State
	// started is set once this owner knows that a task has started, or the job has ended.
	started    bool
	acceptedAt time.Duration
	// due is when the job has to end.
	due time.Duration
	// usefulUntil is when an answer stops being of use; zero: never.
	usefulUntil time.Duration
	// late is set for a job that can't be in time.
	late bool
	// ordered is set once an order for a task was sent. ordersOpen counts the orders that are not
	// known never to have run.
	ordered    bool
	ordersOpen int
	// clientWaited is how long the client had waited before the job was accepted.
	clientWaited time.Duration
	// postponed is set once a job that can't be in time was put behind others.
	postponed bool
	// waiters get a reply when the job is recorded or, if it is a best-effort job, when it ends.
	// cancelWaiters get one when the cancellation is recorded.
	waiters       []func(Response)
	cancelWaiters []func(Response)
	// watchers get a reply when the job's end is recorded.
	watchers []func(Response)
	// departed counts the waiters that no longer wait for their reply.
	departed int
	// writeBy is when the record must be written at the latest; zero: there are no changes to
	// write.
	writeBy time.Duration
	// removing is set when the record is to be removed from the store.
	removing bool
	// size is the memory in bytes that the job is counted with.
	size int64
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
	// openedAt is when this owner took over the shard.
	openedAt time.Duration

	mu sync.Mutex
	// All fields below are guarded by mu.

	jobs map[job.ID]*jobState
	// dirty has the jobs whose records have to be written, in order.
	dirty []job.ID
	// clientTimeouts has, for each queue, the client timeouts of its last submissions.
	clientTimeouts map[string]*clientTimeoutLog
	// waiting has the tasks for which no agent has free capacity.
	waiting backlog
	// shed is the state of shedding and return.
	shed  shedState
	links map[string]*linkState
	// unreconciled has the agents of earlier owners that have not answered a claim yet, with the
	// time after which the owner no longer waits for them.
	unreconciled map[string]time.Duration
	// storedAgents has the agents that the store lists as possibly having runs of this shard.
	// agentsDirty is set while that list has to be written.
	storedAgents map[string]bool
	agentsDirty  bool
	// givenUp has the agents that are to leave that list.
	givenUp map[string]bool
	// incarnations has, for each agent, the incarnations that may have runs of this shard, and
	// storedIncarnations those that the store lists. The list is only written once the shard has had
	// a job whose tasks must not be repeated, for which atMostOnce is set.
	incarnations, storedIncarnations map[string][]worker.Incarnation
	atMostOnce                       bool
	// expiring has the recorded jobs that have ended, in the order in which they expire.
	expiring []expiry
	// expiringRestarted is the same for jobs of which ends of excluded runs may still be found.
	expiringRestarted []expiry
	// expiringBestEffort is the same for best-effort jobs.
	expiringBestEffort []expiry
	// queued counts, for each queue, the jobs of which no task has started.
	queued map[string]int
	// suspects are the tasks under which backend servers were lost, and serverLosses the most
	// recent losses of servers.
	suspects     map[job.TaskID]bool
	serverLosses []serverLoss
	// storeUnavailable is set while records can't be written.
	storeUnavailable bool
	// agentUnreached is set when an agent that earlier owners had sent orders to was never reached.
	// What ran there is unknown.
	agentUnreached bool
	// ownershipUnconfirmed is set while the group may have assigned the shard to another owner.
	ownershipUnconfirmed bool
	// confirming has what waits for the store to accept a write, in the order of its barriers.
	// lastBarrier is the number of the last barrier, and passedBarrier that of the last one before a
	// write that the store has accepted.
	confirming                 []confirmation
	lastBarrier, passedBarrier int64
	// unverifiedAt is the barrier that shows, once it is passed, that no other owner has held the shard.
	// verifyAt is when the store is to be asked at the latest.
	unverifiedAt int64
	verifyAt     time.Duration
	// closed is set once another owner has taken over.
	closed bool
	// openBytes is the sum of the sizes of jobs. forgetting has the large jobs that have ended and are
	// not forgotten yet, and forgetAt is the earliest time of the next attempt.
	openBytes  int64
	forgetting []job.ID
	forgetAt   time.Duration
}

type expiry struct {
	id job.ID
	at time.Duration
}

// linkState is the owner's state of its link to an agent. Guarded by Shard.mu.
type linkState struct {
	session int64
	// claimSentAt is when the claim was sent, or when a new link was last requested because the
	// claim was not answered.
	claimSentAt time.Duration
	// claimDeferred is set while this session's claim may not be sent yet.
	claimDeferred bool
	// claimed is set once the agent has answered this session's claim.
	claimed bool
	// incarnation is what answered the claim.
	incarnation worker.Incarnation
	// lostAt is when the link was lost. The owner waits until lostAt plus Bounds.LostLinkTimeout
	// before it starts the tasks there elsewhere.
	lost   bool
	lostAt time.Duration
}

// New returns the shard with the records from the store. mayRun has the agents that earlier owners
// have sent orders to, and incarnations those of their incarnations that are stored.
func New(now time.Duration, id int, epoch int64, b Bounds, f *Fleet, records []*job.Record, mayRun []string, incarnations map[string][]worker.Incarnation) *Shard {
	s := &Shard{
		ID: id, Epoch: epoch, bounds: b, fleet: f, openedAt: now,
		jobs:           make(map[job.ID]*jobState, len(records)),
		links:          make(map[string]*linkState),
		clientTimeouts: make(map[string]*clientTimeoutLog),
		unreconciled:   make(map[string]time.Duration, len(mayRun)),
		queued:         make(map[string]int),
		suspects:       make(map[job.TaskID]bool),
		storedAgents:   make(map[string]bool, len(mayRun)),
		givenUp:        make(map[string]bool),
		incarnations:   make(map[string][]worker.Incarnation), storedIncarnations: incarnations,
	}
	for node, list := range incarnations {
		s.incarnations[node] = slices.Clone(list)
	}
	for _, node := range mayRun {
		s.unreconciled[node] = now + b.TakeoverTimeout
		s.storedAgents[node] = true
	}
	for _, r := range records {
		s.loadLocked(now, r)
	}
	return s
}

// NewPrivate returns a shard for best-effort jobs. No other owner may use its number.
func NewPrivate(now time.Duration, id int, b Bounds, f *Fleet) *Shard {
	s := New(now, id, 1, b, f, nil, nil, nil)
	s.private = true
	return s
}

func (s *Shard) loadLocked(now time.Duration, r *job.Record) {
	j := &jobState{rec: r, durable: true, reportedState: r.State, acceptedAt: now}
	s.jobs[r.ID] = j
	if r.State.Final() {
		s.scheduleExpiryLocked(now, j)
		return
	}
	s.holdLocked(j)
	s.atMostOnce = s.atMostOnce || r.Policy.AtMostOnce
	j.due = now + s.objective(&r.Spec, &r.Policy)
	j.tasks = make([]task, r.Spec.Tasks())
	for i := range j.tasks {
		j.tasks[i].phase = inDoubt
		if i < len(r.Tasks) && r.Tasks[i].Done {
			j.tasks[i].phase = finished
			continue
		}
		if i < len(r.Tasks) {
			for _, number := range r.Tasks[i].FailedRuns {
				j.tasks[i].number = max(j.tasks[i].number, number)
			}
			j.tasks[i].storedFailures = len(r.Tasks[i].FailedRuns)
		}
		if i < len(r.Tasks) && len(r.Tasks[i].Crashes) > 0 {
			j.tasks[i].recordedCrash, j.tasks[i].lostAt = newestCrash(&r.Tasks[i]), now
			s.suspects[r.TaskAt(r.ID, i)] = true
		}
		j.remaining++
	}
	s.loadRepeatedLocked(j)
	s.queued[r.Policy.Queue]++
}

// openJobsLocked returns the jobs with tasks that are not finished, sorted by ID.
func (s *Shard) openJobsLocked() []*jobState {
	var out []*jobState
	for _, j := range s.jobs {
		if slices.ContainsFunc(j.tasks, func(t task) bool { return t.phase != finished }) {
			out = append(out, j)
		}
	}
	sortJobs(out)
	return out
}

func sortJobs(jobs []*jobState) {
	slices.SortFunc(jobs, func(a, b *jobState) int { return cmp.Compare(a.rec.ID, b.rec.ID) })
}

// scheduleExpiryLocked schedules the removal of an ended job.
func (s *Shard) scheduleExpiryLocked(now time.Duration, j *jobState) {
	if j.rec.Spec.BestEffort {
		s.expiringBestEffort = append(s.expiringBestEffort, expiry{id: j.rec.ID, at: now + bestEffortRetention})
		return
	}
	if j.hasExcludedRuns() {
		s.expiringRestarted = append(s.expiringRestarted, expiry{id: j.rec.ID, at: now + max(restartedRetention, s.bounds.Retention)})
		return
	}
	s.expiring = append(s.expiring, expiry{id: j.rec.ID, at: now + s.bounds.Retention})
}

// restartedRetention is how long the record of a job with excluded runs is kept. An agent may report the
// end of such a run as long as it is cut off with its backend server; without the record the end would
// be settled like any end of an unknown job.
const restartedRetention = time.Hour

// bestEffortRetention is how long the answer to a best-effort job is kept for a client that sends
// the job again, which it does 1.3 s after it lost the first answer.
const bestEffortRetention = 10 * time.Second
