package declaration

import (
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
)

// noOperatorID stands for an apply's id in a refresh that names no operator.
const noOperatorID = "none"

// refresh takes a refresh record.
//
// A refresh says what an operator's state was when its writer had read up to
// Through. Applies between Through and the record may have replaced it, so it
// is never taken as the state at its own offset: a node that knows better
// changes nothing, and a newcomer takes it as the state at Through and judges
// the applies after that by itself.
func (l *ledger) refresh(offset int64, rec *Record) Event {
	l.closeWindow()
	if rec.Operator == "" {
		return l.refreshNone(offset, rec)
	}
	current := l.version(rec.Operator)
	stale := newEvent(VerdictStale, offset, rec, current)
	if rec.Through >= offset || int64(rec.Version) > rec.Through {
		return stale
	}
	if l.complete && rec.Version == current {
		return newEvent(VerdictRefreshed, offset, rec, current)
	}
	if !l.mayReplace(rec, current) {
		return stale
	}
	if !l.reaches(rec) {
		return stale
	}
	if err := l.adopt(rec); err != nil {
		stale.Detail = err.Error()
		return stale
	}
	ev := newEvent(VerdictRefreshed, offset, rec, rec.Version)
	if !l.complete && l.knowsAll(rec) {
		ev.Settled = l.settle(rec.Through)
		ev.Version = l.version(rec.Operator)
	}
	return ev
}

// refreshNone takes the word that there was no operator at Through. Without it
// nobody who comes to a truncated stream could know.
func (l *ledger) refreshNone(offset int64, rec *Record) Event {
	stale := rec.Through >= offset
	if l.complete {
		stale = stale || len(l.accounts) > 0
	} else {
		stale = stale || !l.reaches(rec)
	}
	if stale {
		return newEvent(VerdictStale, offset, rec, 0)
	}
	ev := newEvent(VerdictRefreshed, offset, rec, 0)
	if !l.complete {
		ev.Settled = l.settle(rec.Through)
	}
	return ev
}

// mayReplace reports whether a refresh may change what is known of an operator:
// never to an older version, and not at all for a node that has judged every
// apply itself. A refresh that was delayed on its way would otherwise put a
// replaced declaration back in force.
func (l *ledger) mayReplace(rec *Record, current state.Version) bool {
	return l.disabled.refreshCurrent || !l.complete && rec.Version >= current
}

// reaches reports whether every record after the refresh's Through was read. If
// not, an apply among the missing ones may have replaced the state, and taking
// it would put an old declaration back in force.
func (l *ledger) reaches(rec *Record) bool {
	return rec.Through >= l.start-1 || l.disabled.refreshReach
}

// adopt takes an operator's state at rec.Through.
func (l *ledger) adopt(rec *Record) error {
	acc := l.accounts[rec.Operator]
	if acc != nil && acc.version == rec.Version {
		acc.settled = max(acc.settled, rec.Through)
		return nil
	}
	file, err := Parse(rec.Operator, []byte(rec.File))
	if err != nil {
		return errors.Wrap(err, "refresh with an invalid file")
	}
	acc = &account{
		version: rec.Version,
		created: rec.Created,
		base:    UnknownBase,
		applyID: rec.ApplyID,
		raw:     rec.File,
		file:    file,
		owned:   make(map[string]Owned, len(rec.Owned)),
		settled: rec.Through,
	}
	for _, o := range rec.Owned {
		l.own(acc, rec.Operator, o)
	}
	l.accounts[rec.Operator] = acc
	return nil
}

// knowsAll reports whether the state of every operator that existed at the
// refresh's Through is known. Until then a service name that looks free may be
// owned by an operator not yet seen, and this node would accept what all others
// refused.
func (l *ledger) knowsAll(rec *Record) bool {
	if l.disabled.operatorCount {
		return true
	}
	known := 0
	for _, acc := range l.accounts {
		if int64(acc.created) <= rec.Through {
			known++
		}
	}
	return known >= rec.Operators
}

// contested reports whether an apply that can't be judged yet may already have
// replaced what is known of an operator. A newcomer doesn't put such a state in
// force, because its peers may be ahead of it.
func (l *ledger) contested(operator string) bool {
	acc := l.accounts[operator]
	for _, p := range l.backlog {
		if p.rec.Kind == KindApply && p.rec.Operator == operator && acc != nil && p.rec.Base == acc.version {
			return true
		}
	}
	return false
}

// settle judges the backlog once every operator that existed at an offset is
// known.
func (l *ledger) settle(allKnownAt int64) []Event {
	var events []Event
	for _, p := range l.backlog {
		acc := l.accounts[p.rec.Operator]
		switch {
		case p.rec.Kind == KindReport:
			if ev, ok := l.settleReport(p, allKnownAt); ok {
				events = append(events, ev)
			}
		case acc != nil && p.offset <= acc.settled:
			if ev, ok := l.settledBefore(acc, p); ok {
				events = append(events, ev)
			}
		case acc == nil && p.offset <= allKnownAt:
			// The operator didn't exist later on, so this was not accepted.
			ev := newEvent(VerdictRefused, p.offset, p.rec, 0)
			ev.Reason = state.ReasonLostRace
			events = append(events, ev)
		default:
			events = append(events, l.judge(p.offset, p.rec))
		}
	}
	l.backlog = nil
	l.backlogBytes = 0
	l.complete = true
	return events
}

// settleReport takes a report from the backlog, unless the operator's state was
// taken from a later offset and so has it in it.
func (l *ledger) settleReport(p pendingApply, allKnownAt int64) (Event, bool) {
	acc := l.accounts[p.rec.Operator]
	if acc != nil && p.offset <= acc.settled || acc == nil && p.offset <= allKnownAt {
		return Event{}, false
	}
	return l.recover(p.offset, p.rec), true
}

// settledBefore gives the verdict on an apply at or below the offset that the
// operator's state was taken from, where there is one: the apply in force was
// accepted, and what was made against a base that is still in force was not.
func (l *ledger) settledBefore(acc *account, p pendingApply) (Event, bool) {
	if int64(acc.version) == p.offset {
		return newEvent(VerdictAccepted, p.offset, p.rec, acc.version), true
	}
	if p.offset > int64(acc.version) {
		ev := newEvent(VerdictRefused, p.offset, p.rec, acc.version)
		ev.Reason = state.ReasonLostRace
		ev.Detail = "refused before this node had read every operator's state"
		return ev, true
	}
	return Event{}, false
}

// refreshRecord makes a refresh of an operator's present state. Only a complete
// ledger may: another doesn't know whether the state still holds.
func (l *ledger) refreshRecord(operator string) (*Record, bool) {
	if !l.complete {
		return nil, false
	}
	if operator == "" && len(l.accounts) == 0 {
		return &Record{Kind: KindRefresh, ApplyID: noOperatorID, Through: l.through}, true
	}
	acc := l.accounts[operator]
	if acc == nil {
		return nil, false
	}
	owned := make([]Owned, 0, len(acc.owned))
	for _, o := range acc.owned {
		owned = append(owned, o)
	}
	slices.SortFunc(owned, func(a, b Owned) int { return strings.Compare(a.Name, b.Name) })
	return &Record{
		Kind:      KindRefresh,
		Operator:  operator,
		ApplyID:   acc.applyID,
		File:      acc.raw,
		Version:   acc.version,
		Through:   l.through,
		Created:   acc.created,
		Operators: len(l.accounts),
		Owned:     owned,
	}, true
}
