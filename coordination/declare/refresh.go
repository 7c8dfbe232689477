package declare

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state/declaration"
)

const (
	// refreshShare divides the retention: a refresh comes due after one share
	// and is written within the next, so no operator's last refresh is older
	// than two shares, and a newcomer that lost all peers still has two more.
	refreshShare = 4
	// firstRetry and retryShare bound the pause before a node repeats a
	// refresh that it has not seen in the log.
	firstRetry = 30 * time.Second
	retryShare = 16
)

// refresher decides when this node repeats which operator's state.
//
// Every node draws, for each refresh, its own moment within one share of the
// retention, from a hash of its id: the node with the lowest draw is the owner
// of this refresh and writes it; the others see it in the log and put theirs
// off. If the owner is dead the next lowest takes over by itself. No list of
// nodes and no message is needed, and as many nodes write at once as draw
// moments that lie closer together than the log takes to tell.
type refresher struct {
	operators map[string]*schedule
	// next is the earliest moment of all; zero if nothing is scheduled.
	next time.Time
	// lastAppend is when this node last wrote a refresh.
	lastAppend time.Time
}

// schedule is when this node would refresh one operator.
type schedule struct {
	// offset is the last whole-state record seen; it varies the draw.
	offset int64
	at     time.Time
	// draws counts the moments drawn since that record. Each is another one, so
	// that a log which comes and goes doesn't miss the same moments each time.
	draws int
	// retry is the pause before the next try if this one is not seen.
	retry time.Duration
}

// note takes an event of the log. Only a refresh, or an operator's first
// accepted apply, puts the next refresh off: an apply alone doesn't tell a
// newcomer whether it was accepted, so an operator that changes often needs
// its refreshes like any other.
func (r *refresher) note(now time.Time, ev declaration.Event, opts Options) {
	s := r.operators[ev.Operator]
	refreshed := ev.Verdict == declaration.VerdictRefreshed
	created := ev.Verdict == declaration.VerdictAccepted && s == nil
	if !refreshed && !created {
		return
	}
	if s == nil {
		s = &schedule{}
		r.operators[ev.Operator] = s
	}
	share := opts.Retention / refreshShare
	s.offset = ev.Offset
	s.retry = firstRetry
	s.draws = 0
	s.at = now.Add(share + s.draw(opts, ev.Operator, share))
	r.soonest(s.at)
}

// logBack is called when the log was read to its end. After the first time, and
// after an outage, the moments are drawn anew.
func (r *refresher) logBack(now time.Time, end int64, m *Machine) {
	switch {
	case !m.log.caughtUp:
		r.firstRead(now, end, m)
	case !m.log.readable(now):
		r.spreadOverdue(now, m)
	}
}

// firstRead judges the age of what a newcomer found in the log. It can't know
// when a record was written; but what stands in the older half of what is kept
// may be near its end, so that is due now.
func (r *refresher) firstRead(now time.Time, end int64, m *Machine) {
	if m.disabled.oldHalfDue {
		return
	}
	first := m.set.Start()
	share := m.opts.Retention / refreshShare
	for operator, s := range r.operators {
		if s.offset > first+(end-first)/2 {
			continue
		}
		s.at = now.Add(s.draw(m.opts, operator, share))
		r.soonest(s.at)
	}
}

// spreadOverdue draws new moments for what came due while the log was out of
// service. Without it every node would write every operator's state in the
// moment the log comes back: 990 daemons times 280 operators.
func (r *refresher) spreadOverdue(now time.Time, m *Machine) {
	if m.disabled.overdueSpread {
		return
	}
	for operator, s := range r.operators {
		if s.at.After(now) {
			continue
		}
		s.at = now.Add(s.draw(m.opts, operator, m.opts.OverdueSpread))
		r.soonest(s.at)
	}
}

func (r *refresher) soonest(at time.Time) {
	if r.next.IsZero() || at.Before(r.next) {
		r.next = at
	}
}

// refreshDueLocked writes at most one refresh, and none sooner than
// RefreshInterval after the last: the log takes several hundred appends per
// second from everybody together.
func (m *Machine) refreshDueLocked(now time.Time) []coordination.Action {
	r := &m.refreshes
	if r.next.IsZero() || now.Before(r.next) || !m.log.readable(now) || m.disabled.refresh {
		return nil
	}
	if now.Before(r.lastAppend.Add(m.opts.RefreshInterval)) {
		return nil
	}
	due, operator := r.takeDue(now, m.opts.Retention/retryShare)
	if !due {
		return nil
	}
	rec, ok := m.set.Refresh(operator)
	if !ok {
		return nil
	}
	data, err := rec.Encode()
	if err != nil {
		m.metrics.refreshTooLarge()
		return nil
	}
	r.lastAppend = now
	m.metrics.refreshed()
	return []coordination.Action{coordination.Append{Stream: coordination.StreamDeclarations, Data: data}}
}

// takeDue picks the operator that has been due the longest, and puts its next
// try off.
func (r *refresher) takeDue(now time.Time, maxRetry time.Duration) (bool, string) {
	var first string
	var found *schedule
	for operator, s := range r.operators {
		if s.at.After(now) {
			continue
		}
		if found == nil || s.at.Before(found.at) || s.at.Equal(found.at) && operator < first {
			found, first = s, operator
		}
	}
	if found != nil {
		found.at = now.Add(found.retry)
		found.retry = min(2*found.retry, max(maxRetry, firstRetry))
	}
	r.next = time.Time{}
	for _, s := range r.operators {
		r.soonest(s.at)
	}
	return found != nil, first
}

// draw returns this node's moment within a span, in [0, span). One half depends
// on the operator only and keeps operators apart; the other on the node too and
// keeps nodes apart.
func (s *schedule) draw(opts Options, operator string, span time.Duration) time.Duration {
	byOperator := fraction(operator)
	byNode := fraction(fmt.Sprintf("%s\x00%s\x00%d\x00%d", opts.Self, operator, s.offset, s.draws))
	s.draws++
	return time.Duration((byOperator + byNode) / 2 * float64(span))
}

// fraction maps a string to [0, 1).
func fraction(s string) float64 {
	const bits = 53 // of a float64's mantissa
	return float64(xxhash.Sum64String(s)>>(64-bits)) / (1 << bits)
}
