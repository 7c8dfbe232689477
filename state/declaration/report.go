package declaration

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/shallotstep/shallotstep/state"
)

// reportLocked takes a report. The version in it was accepted once, so it comes
// into force here if it is newer, whether or not this ledger is complete.
func (s *Set) reportLocked(offset int64, rec *Record) Event {
	stale := newEvent(VerdictStale, offset, rec, s.ledger.version(rec.Operator))
	if rec.Version <= 0 || int64(rec.Version) >= offset {
		return stale
	}
	file, err := Parse(rec.Operator, []byte(rec.File))
	if err != nil || file.Operator != rec.Operator {
		stale.Reason = state.ReasonMalformed
		return stale
	}
	ev := s.ledger.report(offset, rec)
	if ev.Verdict != VerdictStale {
		s.adoptLocked(&Accepted{
			Operator: rec.Operator,
			Version:  rec.Version,
			Base:     UnknownBase,
			ApplyID:  rec.ApplyID,
			File:     file,
			Raw:      rec.File,
		})
	}
	return ev
}

// Window returns the offset and the id of the restore that has begun, or zero.
func (s *Set) Window() (begin int64, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.window.begin, s.ledger.window.id
}

// ToReport returns the operators whose state in force here should be reported,
// sorted. While a restore is under way these are the states that are newer than
// what was listed or reported; its owner, who listed them, reports all of them.
// A process with a complete view does so too: its refresh may come too late to
// make the restore void. At other times they are those that Ahead returns.
func (s *Set) ToReport(owner bool) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ledger.window.open() {
		return slices.DeleteFunc(s.aheadLocked(), s.contradictedLocked)
	}
	var out []string
	for _, operator := range s.Operators() {
		if cur, ok := s.Operator(operator); ok && s.unreportedLocked(&cur, owner) {
			out = append(out, operator)
		}
	}
	return out
}

func (s *Set) unreportedLocked(cur *Accepted, owner bool) bool {
	w := &s.ledger.window
	r := w.reports[cur.Operator]
	if r == nil {
		return owner || cur.Version > w.listed[cur.Operator]
	}
	if cur.Version > r.Version {
		return true
	}
	return slices.ContainsFunc(s.ownedLocked(cur), func(o Owned) bool {
		return !slices.ContainsFunc(r.Owned, func(known Owned) bool { return known.Name == o.Name })
	})
}

// contradictedLocked reports whether an operator's version in force here can't be
// taken in any more, because a name in it was given away in the meantime. Then
// two accepted declarations contradict each other, and only persons can say
// which one is to stand.
func (s *Set) contradictedLocked(operator string) bool {
	cur, ok := s.Operator(operator)
	if !ok {
		return false
	}
	reason, _ := s.ledger.check(operator, cur.File)
	return reason != state.ReasonNone
}

// Ahead returns the operators whose version in force here is one that this
// node's complete reading of the stream doesn't know: it slept through a
// restore. It reports them, and they stay here if the report can't be taken in.
// Empty in all other cases.
func (s *Set) Ahead() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.aheadLocked()
}

func (s *Set) aheadLocked() []string {
	if !s.ledger.complete {
		return nil
	}
	var out []string
	for _, operator := range s.Operators() {
		cur, _ := s.Operator(operator)
		// A version past through is only of a peer that has read further.
		if cur.Version > s.ledger.version(operator) && int64(cur.Version) <= s.ledger.through {
			out = append(out, operator)
		}
	}
	return out
}

// Report returns the record that reports an operator's state in force here.
func (s *Set) Report(operator string) (*Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cur, ok := s.Operator(operator)
	if !ok {
		return nil, false
	}
	return &Record{
		Kind:     KindReport,
		Operator: operator,
		ApplyID:  cur.ApplyID,
		File:     cur.Raw,
		Version:  cur.Version,
		Owned:    s.ownedLocked(&cur),
		Begin:    s.ledger.window.begin,
	}, true
}

// CheckSize says why a valid file must not be appended though all would accept it:
// the record that repeats the operator's whole state would be too large for the
// log, so that nobody could refresh it. This is for whoever appends the file; a
// reader judges by Check alone, as all readers have to judge alike.
func (s *Set) CheckSize(operator string, file *File, raw string) (state.Reason, string) {
	const later = math.MaxInt64 // as long as an offset gets
	s.mu.Lock()
	owned := s.ownedLocked(&Accepted{Operator: operator, Version: later, File: file})
	s.mu.Unlock()
	rec := Record{
		Kind: KindRefresh, Operator: operator, ApplyID: strings.Repeat("x", 2*state.MaxIDLength), File: raw,
		Version: later, Through: later, Created: later, Operators: math.MaxInt32, Owned: owned,
	}
	if _, err := rec.Encode(); err != nil {
		detail := fmt.Sprintf("the file with the %d names that the operator owns is too large to be repeated in the log: %v", len(owned), err)
		return state.ReasonTooLarge, detail
	}
	return state.ReasonNone, ""
}

// ownedLocked returns the names that an operator is known to own here: those of
// its file, and all that were ever read.
func (s *Set) ownedLocked(cur *Accepted) []Owned {
	owned := make(map[string]Owned)
	for i := range cur.File.Services {
		spec := &cur.File.Services[i]
		owned[spec.Name] = Owned{Name: spec.Name, Region: spec.Region, Since: cur.Version}
	}
	maps.Copy(owned, s.ledger.names[cur.Operator])
	return sortedOwned(owned)
}

// BeginRestore returns the record that begins a restore, unless this node has a
// complete view.
func (s *Set) BeginRestore(id string) (*Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.complete {
		return nil, false
	}
	rec := &Record{Kind: KindRestoreBegin, ApplyID: id}
	for _, operator := range s.Operators() {
		cur, _ := s.Operator(operator)
		rec.Listed = append(rec.Listed, Listed{Operator: operator, Version: cur.Version})
	}
	return rec, true
}

// CommitRestore returns the record that ends the restore which has begun, or a
// reason why it would be void now.
func (s *Set) CommitRestore() (*Record, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledger
	rec := &Record{Kind: KindRestoreCommit, ApplyID: l.window.id, Begin: l.window.begin, From: l.start}
	if !l.window.open() {
		return nil, "no restore is under way"
	}
	return rec, l.void(rec)
}
