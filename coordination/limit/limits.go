// Package limit decides at an entry whether a submission is let in: quotas per
// operator, fair sharing when the fleet is short, a concurrency limit that
// adapts, and shedding of what can't meet its deadline.
//
// There is no queue. Work that waits at an entry is invisible to the homes and
// agents that could order it, dies with the entry, and delays the one thing a
// refused caller needs: an answer at once that says when to come back.
//
// Several entries each see only their own traffic. A quota is divided by the
// number of live entries, rounded up. Weighed against it: the whole quota at
// each entry (an operator gets up to entries times its quota, always), and
// counting at one place (a hop and a single point for each submission). What
// division costs: an operator whose traffic reaches one entry only gets that
// entry's part. What it lets through: per operator and entry at most the
// larger of its part and one job no larger than the whole quota, and while the
// count of entries is out of date by k of n, n/(n-k) times as much.
package limit

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotstep/shallotstep/state"
)

const (
	shardCount = 16
	// headRoom is how far above the adaptive limit an operator below its fair
	// share may still start. Without it, one operator that filled the limit
	// first keeps everybody else out until its tasks end. With 1.25 the test
	// of a burst refuses 26 small submissions, with 1.5 none.
	headRoom = 1.5
	// shareEvery is how often the fair share is computed again when short.
	shareEvery = 10 * time.Millisecond
)

// Options are the settings of Limits.
type Options struct {
	// MinInFlight, StartInFlight and MaxInFlight bound the adaptive limit on
	// tasks in flight at this entry. Zero takes the defaults.
	MinInFlight   int
	StartInFlight int
	MaxInFlight   int
	// Default is the quota of an operator that SetQuota has not named.
	Default Quota
}

// Defaults of Options.
const (
	defaultMinInFlight   = 16
	defaultStartInFlight = 4096
	defaultMaxInFlight   = 1 << 20
)

// Verdict is the answer to Admit. A refusal is certain: nothing was started.
type Verdict struct {
	OK     bool
	Reason state.Reason
	// RetryAfter is when to come back. Zero means that coming back with the
	// same submission doesn't help.
	RetryAfter time.Duration
}

// Limits is safe for concurrent use. No two of its locks are held at once.
type Limits struct {
	opts     Options
	accounts [shardCount]accountShard
	expects  [shardCount]expectShard
	adaptive *adaptive
	drain    drainRate
	inFlight atomic.Int64
	entries  atomic.Int64
	share    atomic.Uint64 // fair share in tasks per weight, as float64 bits
	shareAt  atomic.Int64  // when share was computed, in Unix nanoseconds
	stats    counters
}

// New returns limits for one entry.
func New(opts Options) *Limits {
	if opts.MinInFlight == 0 {
		opts.MinInFlight = defaultMinInFlight
	}
	if opts.StartInFlight == 0 {
		opts.StartInFlight = defaultStartInFlight
	}
	if opts.MaxInFlight == 0 {
		opts.MaxInFlight = defaultMaxInFlight
	}
	l := &Limits{opts: opts}
	l.adaptive = newAdaptive(opts.MinInFlight, opts.StartInFlight, opts.MaxInFlight)
	l.entries.Store(1)
	for i := range l.accounts {
		l.accounts[i].accounts = make(map[string]*account)
		l.expects[i].classes = make(map[class]*expectation)
	}
	return l
}

// SetQuota puts an operator's quota in force for what is admitted from now on.
func (l *Limits) SetQuota(operator string, q Quota) {
	s := l.accountShard(operator)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.accountLocked(s, operator).quota = q
}

// SetEntries tells how many entries are live, this one included.
func (l *Limits) SetEntries(n int) { l.entries.Store(int64(max(1, n))) }

// Admit decides on a submission of tasks that is of use for deadline from now;
// zero means always. Done must follow for each one admitted.
func (l *Limits) Admit(now time.Time, operator, service string, tasks int, deadline time.Duration) Verdict {
	v := l.decide(now, operator, service, tasks, deadline)
	l.stats.count(v)
	return v
}

func (l *Limits) decide(now time.Time, operator, service string, tasks int, deadline time.Duration) Verdict {
	if v := l.shed(now, service, tasks, deadline); !v.OK {
		return v
	}
	s := l.accountShard(operator)
	drain := l.drain.current(now)
	s.mu.Lock()
	a := l.accountLocked(s, operator)
	v := a.reserve(now, tasks, int(l.entries.Load()), drain)
	mine := float64(a.inFlight) / a.quota.weight()
	s.mu.Unlock()
	if !v.OK {
		return v
	}
	if over := l.claim(now, tasks, mine); over > 0 {
		s.mu.Lock()
		l.accountLocked(s, operator).release(now, tasks)
		s.mu.Unlock()
		return Verdict{Reason: state.ReasonOverload, RetryAfter: l.drain.book(now, over, tasks)}
	}
	return v
}

// shed refuses what can't be answered in time, before anything starts: run for
// nobody, it would only make others late too.
func (l *Limits) shed(now time.Time, service string, tasks int, deadline time.Duration) Verdict {
	if deadline <= 0 {
		return Verdict{OK: true}
	}
	c := classOf(service, tasks)
	return l.expectShard(c).check(now, c, deadline)
}

// claim adds tasks to those in flight, or returns by how many they are too
// many. mine is what the operator has in flight for each unit of its weight,
// these included. A job larger than the limit is let in when it is alone.
func (l *Limits) claim(now time.Time, tasks int, mine float64) int64 {
	limit := l.adaptive.current()
	total := l.inFlight.Add(int64(tasks))
	if total <= limit || total == int64(tasks) {
		return 0
	}
	hard := int64(float64(limit) * headRoom)
	if total <= hard && mine <= l.fairShare(now, limit) {
		return 0
	}
	l.inFlight.Add(-int64(tasks))
	return total - limit
}

func (l *Limits) fairShare(now time.Time, limit int64) float64 {
	at := l.shareAt.Load()
	if now.UnixNano()-at < int64(shareEvery) || !l.shareAt.CompareAndSwap(at, now.UnixNano()) {
		return math.Float64frombits(l.share.Load())
	}
	var demands []demand
	for i := range l.accounts {
		demands = l.accounts[i].appendDemands(now, demands)
	}
	share := fairShare(limit, demands)
	l.share.Store(math.Float64bits(share))
	return share
}

// End is how an admitted submission ended.
type End struct {
	Operator string
	Service  string
	Tasks    int
	// Elapsed is from Admit to the answer.
	Elapsed time.Duration
	// Ran is the run time of its longest task, zero when not known. It is what
	// the adaptive limit measures the response against.
	Ran time.Duration
	// OK says that it was answered, so that its times teach something.
	OK bool
	// Short says that the fleet refused or lost it for want of capacity.
	Short bool
}

// Done reports the end of an admitted submission whose run time isn't known.
// ok is false when the fleet refused or lost it for want of capacity.
func (l *Limits) Done(now time.Time, operator, service string, tasks int, elapsed time.Duration, ok bool) {
	l.Finish(now, End{Operator: operator, Service: service, Tasks: tasks, Elapsed: elapsed, OK: ok, Short: !ok})
}

// Finish reports the end of an admitted submission.
func (l *Limits) Finish(now time.Time, e End) {
	s := l.accountShard(e.Operator)
	s.mu.Lock()
	l.accountLocked(s, e.Operator).inFlight -= int64(e.Tasks)
	s.mu.Unlock()
	before := l.inFlight.Add(-int64(e.Tasks)) + int64(e.Tasks)
	if e.OK {
		l.drain.add(now, e.Tasks)
		c := classOf(e.Service, e.Tasks)
		l.expectShard(c).learn(now, c, e.Elapsed, e.Ran)
	}
	if e.Tasks > smallJob {
		e.Ran = 0
	}
	if e.OK || e.Short {
		l.adaptive.observe(now, sample{elapsed: e.Elapsed, ran: e.Ran, failed: e.Short, inFlight: before})
	}
}

func (l *Limits) accountLocked(s *accountShard, operator string) *account {
	if _, ok := s.accounts[operator]; !ok {
		s.getLocked(operator).quota = l.opts.Default
	}
	return s.getLocked(operator)
}

func (l *Limits) accountShard(operator string) *accountShard {
	return &l.accounts[xxhash.Sum64String(operator)%shardCount]
}

func (l *Limits) expectShard(c class) *expectShard {
	return &l.expects[xxhash.Sum64String(c.service)%shardCount]
}
