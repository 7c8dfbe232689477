package declaration

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/shallotstep/shallotstep/state"
)

// A restore makes ledgers complete again when no living process has a complete
// one, so that nobody can write a refresh. It is three kinds of records:
//
//   - A begin lists what its writer has in force.
//   - Reports carry whole states. The writer reports all that it listed, and
//     whoever has a newer version in force, or knows of more owned names,
//     reports that. Each version reported was accepted once, by a process that
//     judged the stream, so the newest reported is the truth as far as anybody
//     living knows it.
//   - A commit ends it. The newest reports are the state, and applies that
//     nobody could judge are now judged, in log order.
//
// A commit is void if a refresh or another begin stands between it and its
// begin. A refresh says that somebody is complete after all: its view is better
// than what is put together from reports. So a process with a complete view
// objects by writing a refresh.
//
// All ledgers decide alike whether a commit is void: one that is complete has
// read everything since the begin, or a refresh after it, which makes it void.
// One that is not complete and can't tell starts over, which is always right.

// maxReportBytes bounds the reports that a node keeps for a restore: 280 files
// of the largest size.
const maxReportBytes = 20 << 20

// window is a restore between its begin and its commit. The zero value is none.
type window struct {
	begin  int64
	id     string
	listed map[string]state.Version
	// reports are the newest by operator, with all names that any report of the
	// operator says are owned.
	reports map[string]*Record
	bytes   int
}

func (w *window) open() bool { return w.begin != 0 }

// begin opens a window. Another that was open is void: two at once would each
// take the other's reports for part of its own.
func (l *ledger) begin(offset int64, rec *Record) Event {
	if !l.window.open() || !l.disabled.restoreAlone {
		l.window = window{
			begin:   offset,
			id:      rec.ApplyID,
			listed:  make(map[string]state.Version, len(rec.Listed)),
			reports: make(map[string]*Record),
		}
		for _, e := range rec.Listed {
			l.window.listed[e.Operator] = e.Version
		}
	}
	return newEvent(VerdictBegun, offset, rec, 0)
}

// closeWindow makes a restore that has begun void.
func (l *ledger) closeWindow() {
	if !l.disabled.restoreAlone {
		l.window = window{}
	}
}

// report takes the report of a valid state. One that names a begin counts for
// that restore and for nothing else, so that whoever came in after the begin
// drops it like all the others if the restore is void.
func (l *ledger) report(offset int64, rec *Record) Event {
	switch {
	case rec.Begin != 0 && rec.Begin == l.window.begin:
		return l.collect(offset, rec)
	case rec.Begin != 0:
		return newEvent(VerdictStale, offset, rec, l.version(rec.Operator))
	case !l.complete:
		return l.keep(offset, rec)
	}
	return l.recover(offset, rec)
}

// recover takes a report that belongs to no restore. A process that slept
// through one may have a version in force which the restore didn't know. If
// that is newer, no apply was accepted since.
func (l *ledger) recover(offset int64, rec *Record) Event {
	current := l.version(rec.Operator)
	file, err := Parse(rec.Operator, []byte(rec.File))
	if err != nil || rec.Version <= current || l.disabled.lateReport {
		return newEvent(VerdictStale, offset, rec, current)
	}
	if reason, detail := l.check(rec.Operator, file); reason != state.ReasonNone {
		ev := newEvent(VerdictStale, offset, rec, current)
		ev.Reason = reason
		ev.Detail = detail
		return ev
	}
	l.adoptReport(offset, rec, file)
	return newEvent(VerdictRecovered, offset, rec, rec.Version)
}

// collect keeps a report for the restore that has begun.
func (l *ledger) collect(offset int64, rec *Record) Event {
	w := &l.window
	old := w.reports[rec.Operator]
	merged := mergeReports(old, rec)
	w.bytes += len(rec.File)
	if w.bytes > maxReportBytes {
		l.window = window{}
		return newEvent(VerdictStale, offset, rec, l.version(rec.Operator))
	}
	w.reports[rec.Operator] = merged
	return newEvent(VerdictReported, offset, rec, merged.Version)
}

// mergeReports returns the newer of two reports with the names of both.
func mergeReports(old, rec *Record) *Record {
	if old == nil {
		return rec
	}
	merged := *old
	if rec.Version > old.Version {
		merged = *rec
	}
	owned := make(map[string]Owned)
	for _, o := range slices.Concat(old.Owned, rec.Owned) {
		if known, ok := owned[o.Name]; !ok || o.Since < known.Since {
			owned[o.Name] = o
		}
	}
	merged.Owned = sortedOwned(owned)
	return &merged
}

func sortedOwned(owned map[string]Owned) []Owned {
	return slices.SortedFunc(maps.Values(owned), func(a, b Owned) int { return cmp.Compare(a.Name, b.Name) })
}

// commit ends a restore.
func (l *ledger) commit(offset int64, rec *Record) Event {
	if l.complete && l.start > rec.Begin || !l.complete && l.start > rec.Begin && l.disabled.restoreAgain {
		// Complete without having read the begin: by a refresh after it.
		return newEvent(VerdictVoid, offset, rec, 0)
	}
	if l.start > rec.Begin {
		l.restart(offset + 1)
		return newEvent(VerdictUndecided, offset, rec, 0)
	}
	if detail := l.void(rec); detail != "" {
		ev := newEvent(VerdictVoid, offset, rec, 0)
		ev.Detail = detail
		return ev
	}
	ev := newEvent(VerdictRestored, offset, rec, 0)
	// A complete ledger that did not object in time has judged otherwise than
	// the others do now, and one that began after From lacks some of the applies.
	if (l.complete || l.start > rec.From) && !l.disabled.restoreAgain {
		l.restart(offset + 1)
		return ev
	}
	ev.Settled = l.replay(offset, rec.From)
	return ev
}

// void says why a commit has no effect, or nothing.
func (l *ledger) void(rec *Record) string {
	w := &l.window
	if w.begin != rec.Begin || w.id != rec.ApplyID {
		return "a complete process wrote a refresh, or another restore began"
	}
	for operator, version := range w.listed {
		if r := w.reports[operator]; (r == nil || r.Version < version) && !l.disabled.restoreListed {
			return fmt.Sprintf("version %d of operator %q was not reported", version, operator)
		}
	}
	return ""
}

// replay takes the reports for the state and judges the applies since from.
func (l *ledger) replay(offset, from int64) []Event {
	reports := slices.SortedFunc(maps.Values(l.window.reports), func(a, b *Record) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Operator, b.Operator))
	})
	backlog := slices.DeleteFunc(slices.Clone(l.backlog), func(p pendingApply) bool { return p.offset < from })
	l.restart(from)
	l.through = offset
	for _, r := range reports {
		if file, err := Parse(r.Operator, []byte(r.File)); err == nil {
			l.adoptReport(offset, r, file)
		}
	}
	if !l.disabled.restoreReplay {
		l.backlog = backlog
	}
	return l.settle(0)
}

// adoptReport makes a report the state of its operator. The operator counts as
// created at the offset, so that a refresh by somebody who had not read that far
// is not taken to have counted it.
func (l *ledger) adoptReport(offset int64, rec *Record, file *File) {
	acc := &account{
		version: rec.Version,
		created: state.Version(offset),
		base:    UnknownBase,
		applyID: rec.ApplyID,
		raw:     rec.File,
		file:    file,
		owned:   make(map[string]Owned, len(rec.Owned)),
		settled: int64(rec.Version),
	}
	if old := l.accounts[rec.Operator]; old != nil {
		acc.created = old.created
		maps.Copy(acc.owned, old.owned)
	}
	l.accounts[rec.Operator] = acc
	for _, o := range rec.Owned {
		if _, held := l.holders[o.Name]; !held {
			l.own(acc, rec.Operator, o)
		}
	}
}
