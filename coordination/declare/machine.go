package declare

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
)

// Defaults of Options.
const (
	DefaultSettleLimit     = 10 * time.Second
	DefaultRetention       = 24 * time.Hour
	DefaultRefreshInterval = time.Second
	DefaultOverdueSpread   = 20 * time.Minute
)

const (
	// maxPending bounds the applies that wait for their outcome at one node.
	maxPending = 1024
	// logSilence is how long after the last read the log counts as readable. It
	// is longer than a long poll (20 s) and its timeout.
	logSilence = 45 * time.Second
)

// Options configures a Machine. Zero durations take the defaults.
type Options struct {
	Self state.NodeID
	Set  *declaration.Set
	// Seed drives the jitter of messages to peers.
	Seed uint64
	// SettleLimit is how long an apply may wait for its outcome before its
	// caller is told that it is unknown.
	SettleLimit time.Duration
	// Retention is the shortest time that the log keeps a record.
	Retention time.Duration
	// RefreshInterval is the shortest time between two refreshes by this node.
	RefreshInterval time.Duration
	// OverdueSpread is the time over which all nodes together spread the
	// refreshes that came due while the log was out of service.
	OverdueSpread time.Duration
	// Unread returns the living processes that are not known to have read an
	// offset of the declarations. A restore waits for them. Nil means nobody.
	Unread func(now time.Time, offset int64) []state.NodeID
	// Registerer takes the metrics; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// Machine settles applies. It is safe for concurrent use. One lock suffices:
// it sees changes of configuration (2,200 a day) and a tick, never a task.
type Machine struct {
	opts    Options
	set     *declaration.Set
	metrics *metrics

	mu sync.Mutex
	// The rest is guarded by mu.
	pending   map[string]*pending
	applies   uint64
	rng       *rand.Rand
	log       logState
	refreshes refresher
	peers     peerState
	restore   restorer
	// ready says that this node was ready once.
	ready    bool
	disabled safeguards
}

// safeguards are taken out by tests only, to show that a test notices.
type safeguards struct {
	appendOnce     bool // a lost reply is never answered by another append
	unknownIsNot   bool // a lost reply is not a refusal
	baseReplaced   bool // a base replaced by another apply rules ours out
	refresh        bool // operators' states are repeated before the log forgets them
	overdueSpread  bool // what came due in an outage is not refreshed by all at once
	oldHalfDue     bool // what a newcomer finds in the log's older half is due
	silentIgnorant bool // a node that knows nothing doesn't answer newcomers
	restoreWait    bool // a restore waits for what other processes have in force
	restoreUnread  bool // a restore waits until all members have read its begin
	restoreObject  bool // a process with a complete view objects to a restore
	restoreSpread  bool // reports of other processes are spread over a time
}

// pending is an apply of this node whose outcome is not known yet.
type pending struct {
	ticket   uint64
	operator string
	base     state.Version
	raw      string
	deadline time.Time
}

// logState is what the machine knows of the log's health.
type logState struct {
	// readAt is when the stream was last read to its end.
	readAt time.Time
	// caughtUp says that it was read to its end at least once.
	caughtUp bool
	// failing says that the last attempt to read failed.
	failing bool
	// recordAt is when the latest record was read; zero if that was while the
	// node came up.
	recordAt time.Time
	// recent are the times of the latest records.
	recent readTimes
}

func (l *logState) readable(now time.Time) bool {
	return l.caughtUp && !l.failing && now.Sub(l.readAt) < logSilence
}

// New returns a machine that knows nothing but what the set holds.
func New(opts Options) *Machine {
	opts.SettleLimit = orDefault(opts.SettleLimit, DefaultSettleLimit)
	opts.Retention = orDefault(opts.Retention, DefaultRetention)
	opts.RefreshInterval = orDefault(opts.RefreshInterval, DefaultRefreshInterval)
	opts.OverdueSpread = orDefault(opts.OverdueSpread, DefaultOverdueSpread)
	return &Machine{
		opts:      opts,
		set:       opts.Set,
		metrics:   newMetrics(opts.Registerer, opts.Set),
		pending:   make(map[string]*pending),
		rng:       rand.New(rand.NewPCG(opts.Seed, 0)),
		refreshes: refresher{operators: make(map[string]*schedule)},
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}

// Tick lets time pass: it gives up on applies, refreshes what is due and asks
// peers for what the log doesn't give.
func (m *Machine) Tick(now time.Time) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.metrics.unread.Set(now.Sub(m.log.readAt).Seconds())
	actions := m.expireLocked(now)
	actions = append(actions, m.refreshDueLocked(now)...)
	actions = append(actions, m.restoreTickLocked(now)...)
	return append(actions, m.askPeersLocked(now)...)
}

// Ready reports whether this node may answer for declarations: it has read the
// log to its end and could judge all of it, or it has heard from peers. It stays
// ready, because what is in force stays. All nodes can lose the complete view at
// once; calling themselves not ready they would stop all jobs.
func (m *Machine) Ready() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.readyLocked()
}

func (m *Machine) readyLocked() bool {
	m.ready = m.ready || m.log.caughtUp && m.set.Complete() || m.peers.heardEnough()
	return m.ready
}

// Position returns how far this node has read the declarations and since when.
func (m *Machine) Position(now time.Time) message.ReadPosition {
	m.mu.Lock()
	defer m.mu.Unlock()
	through := m.set.Through()
	if !m.log.caughtUp && through == 0 {
		return message.ReadPosition{}
	}
	p := message.ReadPosition{Next: through + 1, Incomplete: !m.set.Complete()}
	if !m.log.recordAt.IsZero() {
		// 0 would say that the age is not known.
		p.Age = max(1, now.Sub(m.log.recordAt))
	}
	return p
}

// nextApplyID makes an id that no other apply bears: a node id names one
// incarnation, and the incarnation counts.
func (m *Machine) nextApplyID() string {
	m.applies++
	return string(m.opts.Self) + "-" + strconv.FormatUint(m.applies, 10)
}
