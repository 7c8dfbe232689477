// Package member decides what a node writes to the roster's stream: its own
// join and leave, the evictions of members that fell silent, and snapshots
// before the log drops old records.
//
// The roster has one truth, the order of the records in the log. A Machine
// appends a record and then waits to read what became of it. The reply to an
// append may be lost after the record is in, so the reply is not even looked
// at. A record is appended again only when the log has been read up to its end
// after every earlier append must have arrived.
//
// Eviction is a judgement from silence, and silence has other causes than
// death: the observer paused, or its network is cut. An eviction in error costs
// no task its at-most-once promise (package guard sees to that without trusting
// any clock), but it throws a living agent out of its pairs and, in numbers,
// closes shares. Hence the rules in judge.go, each with the failure it is for.
//
// An evicted incarnation can't come back: it has missed claims that others
// granted in its place. Evicted tells its daemon to finish what runs, hand over
// nothing and end; the platform starts it again, and it joins as a new
// incarnation. Rejoining inside the same process was weighed: it saves a restart
// in a rare case and would have to prove that no part of the old incarnation
// (claims, jobs, leases) is left; the end of the process proves that by itself.
package member

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/member/watch"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/defaults"
	"github.com/shallotstep/shallotstep/state/roster"
)

// Defaults of Options.
const (
	DefaultEvictAfter      = 15 * time.Second
	DefaultTakeoverStep    = 2 * time.Second
	DefaultAppendTimeout   = 10 * time.Second
	DefaultSnapshotEvery   = 15 * time.Minute
	DefaultSnapshotRecords = 2000
)

const (
	// judgeEvery is between two looks at the silent members.
	judgeEvery = time.Second
	// wideFactor times EvictAfter is how long a whole failure group must be
	// silent: a cut between two groups shorter than this evicts nobody.
	wideFactor = 3
	// joinGraceFactor times EvictAfter is how long a newcomer waits to hear
	// from outside its own group.
	joinGraceFactor = 4
	// pauseFraction of EvictAfter without a Tick means that this process stood
	// still.
	pauseFraction = 5
)

// safeguards lets tests take a safeguard out, to show that they would notice.
// The zero value has all of them in place.
type safeguards struct {
	signs    bool // a sign of life stops the short wait
	question bool // the short wait needs a question in the log
	span     bool // the questions must have stood for answerTime
	unbroken bool // the row of questions must have no gap, up to now
	back     bool // a group that is heard again gets a full period
	short    bool // the short wait as a whole: the rule without the log
}

// Options configure a Machine.
type Options struct {
	// Self is this incarnation.
	Self state.Member
	// Heard returns when a member last spoke, by this node's clock. It must
	// not call back.
	Heard func(state.NodeID) (time.Time, bool)
	Seed  uint64
	// EvictAfter is how long a member may be silent. Its watchers hear a living
	// member several times in that time.
	EvictAfter time.Duration
	// TakeoverStep is how long each further watcher waits for the one before it.
	TakeoverStep time.Duration
	// AppendTimeout is how long after an append its record may still arrive in
	// the log. The driver gives an append up after a shorter time.
	AppendTimeout time.Duration
	// SnapshotEvery is how old the last snapshot may become; a fraction of the
	// log's retention. SnapshotRecords is how many records may follow it.
	SnapshotEvery   time.Duration
	SnapshotRecords int64

	disabled safeguards
}

func (o *Options) setDefaults() {
	defaults.Positive(&o.EvictAfter, DefaultEvictAfter)
	defaults.Positive(&o.TakeoverStep, DefaultTakeoverStep)
	defaults.Positive(&o.AppendTimeout, DefaultAppendTimeout)
	defaults.Positive(&o.SnapshotEvery, DefaultSnapshotEvery)
	defaults.Positive(&o.SnapshotRecords, DefaultSnapshotRecords)
}

// Stats counts what a Machine has done.
type Stats struct {
	// Members is how many the roster has, Watched how many of them this node
	// watches and Silent how many of those are silent.
	Members int
	Watched int
	Silent  int
	// CutOff says that this node hears too few to judge anyone.
	CutOff bool
	// Joins, Leaves, Evictions and Snapshots count the records asked for.
	Joins     int
	Leaves    int
	Evictions int
	Snapshots int
	// Suspects counts the questions to a silent group and Alives the answers
	// that this node asked to be written.
	Suspects int
	Alives   int
}

// Machine is one agent's part in the roster. It is safe for concurrent use.
type Machine struct {
	o Options

	// mu guards everything below. The state is small and the calls are few, so
	// one shard will do.
	mu       sync.Mutex
	rng      *rand.Rand
	roster   *roster.Roster
	region   []state.Member
	readAt   time.Time // when the log was last read up to its end
	started  time.Time
	lastTick time.Time
	// resumed is when this process last began to run after a pause.
	resumed   time.Time
	nextJudge time.Time
	// firstSeen is when this node first saw each member of its region.
	firstSeen map[state.NodeID]time.Time
	watched   []watch.Watched
	// due are the members that have been silent for long enough.
	due     map[state.NodeID]turn
	pending map[purpose]*attempt
	// suspicions are by group of the own region.
	suspicions map[string]*suspicion
	// answerAt is when this node gives a sign of life, unless another of its
	// group does so before; zero if it was not drawn.
	answerAt  time.Time
	joined    bool // the own join was read
	leaving   bool
	evicted   bool
	left      bool
	snapshots snapshots
	stats     Stats
}

// New returns a Machine that has read nothing yet.
func New(o Options) *Machine {
	o.setDefaults()
	return &Machine{
		o:          o,
		rng:        rand.New(rand.NewPCG(o.Seed, 0)),
		firstSeen:  make(map[state.NodeID]time.Time),
		pending:    make(map[purpose]*attempt),
		suspicions: make(map[string]*suspicion),
	}
}

// Roster takes in the roster after the log was read up to its end. The driver
// calls it after every such read, also when nothing new was there: that the end
// was reached is what settles lost replies.
func (m *Machine) Roster(now time.Time, r *roster.Roster) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.readAt = now
	m.startLocked(now)
	if !r.Rooted() {
		return
	}
	changed := m.roster == nil || m.roster.Epoch() != r.Epoch()
	m.roster = r
	if changed {
		m.takeMembersLocked(now, r.Members())
	}
	m.settleLocked()
}

// Tick returns the records that are due.
func (m *Machine) Tick(now time.Time) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.startLocked(now)
	m.notePauseLocked(now)
	if m.roster == nil || m.evicted || m.left {
		return nil
	}
	if !m.joined || m.leaving {
		return m.joinOrLeaveLocked(now)
	}
	out := m.answerLocked(now)
	if now.Before(m.nextJudge) {
		return out
	}
	m.nextJudge = now.Add(judgeEvery)
	out = append(out, m.evictLocked(now)...)
	return append(out, m.snapshotLocked(now)...)
}

// Leave begins a planned stop. Left tells when the leave record is in force.
func (m *Machine) Leave(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Joined tells whether the own join was read back.
func (m *Machine) Joined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}

// Left tells, after Leave, that this node is no longer a member and that no
// join of it is under way.
func (m *Machine) Left() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.left
}

// Evicted tells that others have removed this incarnation. It stays true.
func (m *Machine) Evicted() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evicted
}

// Suspects returns the watched members that are silent, in no particular order.
func (m *Machine) Suspects(now time.Time) []state.NodeID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []state.NodeID
	for i := range m.watched {
		if id := m.watched[i].ID; m.silentLocked(now, id) > m.o.EvictAfter {
			out = append(out, id)
		}
	}
	return out
}

// Stats returns the counts so far.
func (m *Machine) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

func (m *Machine) startLocked(now time.Time) {
	if m.started.IsZero() {
		m.started = now
		m.resumed = now
		m.lastTick = now
	}
}

// takeMembersLocked takes in changed members: who of the own region is new,
// whom to watch, and whether this node is among them.
func (m *Machine) takeMembersLocked(now time.Time, members []state.Member) {
	m.region = watch.InRegion(members, m.o.Self.Region)
	m.watched = watch.WatchedBy(m.o.Self, m.region, watch.Count)
	seen := make(map[state.NodeID]time.Time, len(m.region))
	for i := range m.region {
		id := m.region[i].ID
		at, known := m.firstSeen[id]
		if !known {
			at = now
		}
		seen[id] = at
	}
	m.firstSeen = seen
	m.dropSuspicionsLocked()
	m.stats.Members = len(members)
	m.stats.Watched = len(m.watched)
	_, present := seen[m.o.Self.ID]
	switch {
	case present:
		m.joined = true
	case m.joined && m.leaving:
		m.left = true
	case m.joined:
		m.evicted = true
	}
}
