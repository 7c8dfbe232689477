// Package admit is the admission machine of the agent beside one backend
// server. It is the only authority on what fits there: homes choose an agent
// from news that may be old, and this machine decides by what it knows.
//
// It starts each task of a job at most once, however often and in whatever
// order Assigns arrive. It remembers what it was given, and what it refused,
// for Options.Retention.
package admit

import (
	"slices"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/defaults"
)

// Defaults of Options.
const (
	DefaultQueueLimit      = 2
	DefaultLeaseTTL        = 5 * time.Second
	DefaultTaskLease       = 10 * time.Second
	DefaultRetention       = 15 * time.Minute
	DefaultResultRetention = time.Minute
	DefaultResultBytes     = 8 << 20
	DefaultHold            = coordination.TickInterval
	DefaultCreditTTL       = 10 * time.Millisecond
	DefaultInterestTTL     = 2 * time.Second
	DefaultCaution         = 2
	busyRetry              = 20 * time.Millisecond
	elsewhereRetry         = time.Second
	connectionsPerTask     = 1
)

// Options configure a Machine. Zero values stand for the defaults above.
type Options struct {
	Self state.Member
	// QueueLimit is how many accepted tasks may wait for a slot; negative for none.
	QueueLimit int
	// LeaseTTL is the longest gap between two events after which the machine
	// takes it that its process was paused. It then starts nothing until the
	// backend server has announced itself anew.
	LeaseTTL time.Duration
	// TaskLease is how long a task may run at the backend server without a renewal
	// of its lease. For that long one whose end is unknown holds its room.
	TaskLease time.Duration
	// Retention is how long a job's task numbers are remembered after the last
	// message about it. It must be longer than a home keeps a job.
	Retention time.Duration
	// ResultRetention and ResultBytes bound the results kept for a home whose
	// Report was lost.
	ResultRetention time.Duration
	ResultBytes     int
	// Hold is how long a result may wait for others to the same home, if that
	// home was sent a report within the last Hold.
	Hold time.Duration
	// CreditTTL is how long a slot stays reserved for a home that was offered it.
	CreditTTL time.Duration
	// Caution is by how much more than declared the tasks of a service are taken
	// to need until the first usage reports on it. 1 is no caution.
	Caution float64
	// Marks are the shares of the worker's memory at which running tasks are
	// interfered with.
	Marks Marks
	// Metrics may be nil.
	Metrics *Metrics
}

func (o *Options) setDefaults() {
	defaults.Zero(&o.QueueLimit, DefaultQueueLimit)
	defaults.Zero(&o.LeaseTTL, DefaultLeaseTTL)
	defaults.Zero(&o.TaskLease, DefaultTaskLease)
	defaults.Zero(&o.Retention, DefaultRetention)
	defaults.Zero(&o.ResultRetention, DefaultResultRetention)
	defaults.Zero(&o.ResultBytes, DefaultResultBytes)
	defaults.Zero(&o.Hold, DefaultHold)
	defaults.Zero(&o.CreditTTL, DefaultCreditTTL)
	defaults.Zero(&o.Marks, DefaultMarks)
	defaults.Zero(&o.Caution, DefaultCaution)
	if o.Metrics == nil {
		o.Metrics = NewMetrics(nil)
	}
}

// Machine admits tasks to one backend server. It is safe for concurrent use.
// Its shard is the one backend server: every decision weighs the same slots
// and memory, so all of its state stands under one lock.
type Machine struct {
	o  Options
	mu sync.Mutex

	// The fields below are guarded by mu.
	backend  *state.Backend
	renewed  time.Time // last announcement
	lastSeen time.Time // last event of any kind
	// suspect is set after a pause: the lease may have lapsed meanwhile.
	suspect  bool
	draining bool
	seq      uint64

	jobs    map[state.JobKey]*job
	queue   fairQueue
	running map[state.TaskKey]*entry
	// byOperator counts running tasks.
	byOperator map[string]int
	used       resources
	held       []held
	outbox     map[state.NodeID]*outbox
	outOrder   []state.NodeID
	sentAt     map[state.NodeID]time.Time
	interests  interests
	credits    []credit
	learned    map[string]*learned
	detector   detector
	pressure   pressure
	starts     []coordination.Action
	kept       keptResults
	sweepAt    time.Time
}

// New returns a machine that has no backend server yet and refuses everything.
func New(o Options) *Machine {
	o.setDefaults()
	return &Machine{
		o:          o,
		jobs:       make(map[state.JobKey]*job),
		running:    make(map[state.TaskKey]*entry),
		byOperator: make(map[string]int),
		outbox:     make(map[state.NodeID]*outbox),
		sentAt:     make(map[state.NodeID]time.Time),
		learned:    make(map[string]*learned),
		kept:       keptResults{limit: o.ResultBytes},
	}
}

// Announce takes in the backend server's announcement, which also renews the
// lease. Another ID is a restarted backend server: what ran under the old one
// is lost and reported as failed, and holds its room until its lease has lapsed.
func (m *Machine) Announce(now time.Time, b state.Backend) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastSeen = now
	m.suspect = false
	if m.backend != nil && m.backend.ID != b.ID {
		m.loseRunningLocked(now)
		m.leaveBehindLocked()
		m.detector = detector{}
	}
	m.backend = &b
	m.renewed = now
	m.seq++
	return m.turnLocked(now)
}

// Withdraw is the backend server's planned leave. What waits is refused, what
// runs may finish.
func (m *Machine) Withdraw(now time.Time, id string) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sawLocked(now)
	if m.backend == nil || m.backend.ID != id {
		return nil
	}
	m.backend = nil
	m.seq++
	return m.turnLocked(now)
}

// Drain refuses new tasks and those that wait; running ones finish.
func (m *Machine) Drain(now time.Time) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sawLocked(now)
	m.draining = true
	m.seq++
	return m.turnLocked(now)
}

// PeerGone says that a home was evicted. Nobody waits for its jobs any more:
// what waits here is forgotten, what runs may end.
func (m *Machine) PeerGone(now time.Time, id state.NodeID) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sawLocked(now)
	for _, e := range m.queue.ofHome(id) {
		m.queue.remove(e)
		e.phase = refused
		e.spec = state.Task{}
		m.seq++
	}
	m.interests.dropGone(id)
	delete(m.outbox, id)
	m.outOrder = slices.DeleteFunc(m.outOrder, func(home state.NodeID) bool { return home == id })
	return m.turnLocked(now)
}

// Idle reports whether nothing waits, runs or is still to be reported.
func (m *Machine) Idle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.queue.len() == 0 && len(m.running) == 0 && len(m.outbox) == 0
}

// Handle takes an Assign, TaskQuery, Drop or Drops.
func (m *Machine) Handle(now time.Time, from state.NodeID, msg message.Message) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sawLocked(now)
	switch msg := msg.(type) {
	case message.Assign:
		m.assignLocked(now, from, &msg)
	case message.TaskQuery:
		m.queryLocked(now, from, &msg)
	case message.Drop:
		return append(m.dropLocked(now, from, &msg), m.turnLocked(now)...)
	case message.Drops:
		var out []coordination.Action
		for i := range msg.Jobs {
			out = append(out, m.dropLocked(now, from, &msg.Jobs[i])...)
		}
		return append(out, m.turnLocked(now)...)
	default:
		return nil
	}
	return m.turnLocked(now)
}

// Tick notices passing time.
func (m *Machine) Tick(now time.Time) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sawLocked(now)
	m.expireCreditsLocked(now)
	m.sweepLocked(now)
	return m.turnLocked(now)
}

// sawLocked notes an event. After a pause the world may have moved on: the
// lease may have lapsed and the home may have been told so. Nothing is started
// until the backend server renews, because only it knows whom it serves.
func (m *Machine) sawLocked(now time.Time) {
	if !m.lastSeen.IsZero() && now.Sub(m.lastSeen) > m.o.LeaseTTL {
		m.suspect = true
		m.seq++
	}
	m.lastSeen = now
}

// refusalLocked says why no task may start now, whatever its size.
func (m *Machine) refusalLocked(now time.Time) state.Reason {
	switch {
	case m.draining:
		return state.ReasonDraining
	case m.backend == nil:
		return state.ReasonNoBackend
	case m.suspect || now.Sub(m.renewed) > m.backend.TTL:
		return state.ReasonLeaseLapsed
	}
	return state.ReasonNone
}

// turnLocked ends every event: it refuses or starts what waits, offers free
// slots and sends the reports that are due.
func (m *Machine) turnLocked(now time.Time) []coordination.Action {
	m.expireHeldLocked(now)
	out := m.easeLocked()
	if reason := m.refusalLocked(now); reason != state.ReasonNone {
		for e := m.queue.pop(); e != nil; e = m.queue.pop() {
			m.refuseLocked(e, reason)
		}
		m.interests.clear()
		m.credits = nil
		return append(out, m.flushLocked(now)...)
	}
	out = append(out, m.startLocked(now)...)
	m.offerLocked(now)
	return append(out, m.flushLocked(now)...)
}
