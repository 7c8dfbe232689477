package route

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// kind is what a flight asks for.
type kind uint8

const (
	kindSubmit kind = iota
	kindQuery
	kindCancel
)

// phase is what a flight is doing.
type phase uint8

const (
	// asking: the target owes an answer to the current attempt.
	asking phase = iota
	// waiting: the pair isn't ready; the next try is at wakeAt.
	waiting
	// barring: the witnesses are asked to rule out the open attempts.
	barring
)

// attempt is one try to have a submission accepted, bound to one pair.
type attempt struct {
	id      message.Attempt
	digest  state.Digest
	epoch   state.Epoch
	home    state.NodeID
	witness state.NodeID // empty when the attempt went to a holder
	// unsent says that no Submit was sent for it, and none ever will be: the
	// witness remembers nothing of its Bar, so a late Barred would otherwise
	// rule out what has been sent since.
	unsent bool
}

// waiter is a caller that waits for the flight's answer.
type waiter struct {
	ticket   uint64
	deadline time.Time // zero means none
	gone     bool      // abandoned
}

// verdict is the refusal that a flight will end with once no attempt is open.
type verdict struct {
	reason     state.Reason
	detail     string
	retryAfter time.Duration
}

// flight is one submission, query or cancellation on its way, with everybody
// who waits for it. It is guarded by its shard's lock, but for key, which
// never changes.
type flight struct {
	seq     uint64
	kind    kind
	key     state.JobKey
	digest  state.Digest
	job     state.Job
	service *service
	began   time.Time
	waiters []waiter

	phase phase
	// cur is the attempt whose answer counts; target owes it.
	cur    attempt
	target state.NodeID
	// lastHome and lastEpoch are of the latest attempt at a home.
	lastHome  state.NodeID
	lastEpoch state.Epoch
	// open are the attempts that were sent and not ruled out; see doc.go.
	open      []attempt
	attempts  int
	redirects int
	// until is the latest deadline the home was told; zero means none.
	until time.Time

	// cutAt is since when the target is cut off; zero while it isn't.
	cutAt time.Time
	// held says that the target is known to hold the job.
	held     bool
	resendAt time.Time
	probe    time.Duration
	probed   bool // asked again since the target was last heard of

	waitReason state.Reason
	tried      state.Epoch // of the latest attempt that wasn't ready
	waitUntil  time.Time
	wakeAt     time.Time
	catchUp    time.Duration

	verdict  verdict
	barAt    time.Time
	barUntil time.Time

	cancelled bool
	admitted  bool
	// doubtful says that a member of a pair ruled an attempt out without knowing
	// all claims: the caller's id may have run before.
	doubtful bool
	// fence is what the members of the pair at fenceEpoch gave for the id.
	fence      message.Fence
	fenceEpoch state.Epoch
	done       bool
	due        time.Time
	// extra counts messages beyond the first ask and the final answer.
	extra int
}

// latest returns the latest deadline of all who wait; ok is false when one of
// them waits for ever.
func (f *flight) latest() (latest time.Time, ok bool) {
	for _, w := range f.waiters {
		if w.deadline.IsZero() {
			return time.Time{}, false
		}
		if w.deadline.After(latest) {
			latest = w.deadline
		}
	}
	return latest, true
}

// left returns how long anybody still waits. Zero means always.
func (f *flight) left(now time.Time) time.Duration {
	latest, ok := f.latest()
	if !ok {
		return 0
	}
	return max(1, latest.Sub(now))
}

// nextDeadline returns the earliest deadline, zero if there is none.
func (f *flight) nextDeadline() time.Time {
	var next time.Time
	for _, w := range f.waiters {
		next = earliest(next, w.deadline)
	}
	return next
}

// drop marks a ticket's caller as gone. Without a deadline the flight would
// stay for as long as the home is silent, so it gets one.
func (f *flight) drop(now time.Time, ticket uint64) {
	for i := range f.waiters {
		w := &f.waiters[i]
		if w.ticket != ticket {
			continue
		}
		w.gone = true
		if w.deadline.IsZero() {
			w.deadline = now.Add(orphanFor)
		}
	}
}

// heard reports whether a caller is there to hear the answer.
func (f *flight) heard() bool {
	return slices.ContainsFunc(f.waiters, func(w waiter) bool { return !w.gone })
}

// ruleOut removes an attempt from the open ones.
func (f *flight) ruleOut(id message.Attempt) {
	f.open = slices.DeleteFunc(f.open, func(a attempt) bool { return a.id == id })
	if f.cur.id == id {
		f.cur = attempt{}
	}
}

func (f *flight) isOpen(id message.Attempt) bool {
	return slices.ContainsFunc(f.open, func(a attempt) bool { return a.id == id })
}

// refusal makes the answer to a flight that was not accepted. It is the one
// place where NotRun is said of a job: only with no attempt open. A query or a
// cancellation says nothing of its own about whether the job ran.
func (f *flight) refusal(v verdict) message.Answer {
	outcome := state.NotRun
	if len(f.open) > 0 || f.doubtful || f.kind != kindSubmit {
		outcome = state.Unknown
	}
	return message.Answer{
		Key: f.key, Outcome: outcome,
		Reason: v.reason, Detail: v.detail, RetryAfter: v.retryAfter,
	}
}

// earliest returns the earlier of two times, of which zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
