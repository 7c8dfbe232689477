package declaration

import (
	"fmt"

	"github.com/shallotstep/shallotstep/state"
)

// maxBacklogBytes bounds the undecided records that a node keeps. Beyond it the
// node starts over at the present offset, as if it had just come up.
const maxBacklogBytes = 8 << 20

// account is one operator's state in log order.
type account struct {
	version state.Version
	created state.Version
	base    state.Version
	applyID string
	raw     string
	file    *File
	owned   map[string]Owned
	// settled is the offset up to which version is known to be right.
	settled int64
}

// holder says who owns a service name and since which offset.
type holder struct {
	operator string
	since    state.Version
}

// pendingApply is an apply, or a report, that waits to be judged.
type pendingApply struct {
	offset int64
	rec    *Record
}

// ledger judges records in log order. It is a function of the stream alone:
// nothing that peers say enters it, so that all nodes judge alike. The Set
// guards it with its own lock.
type ledger struct {
	// start is the first offset read without a gap up to through.
	start   int64
	through int64
	// complete says that every operator's state is known. It holds from the
	// start for a node that read the stream from its first record.
	complete bool
	accounts map[string]*account
	holders  map[string]holder
	// backlog are the applies and reports read while incomplete, in log order.
	backlog      []pendingApply
	backlogBytes int
	// window is the restore that has begun, if any.
	window window
	// names are all service names ever seen to be owned, by operator and name.
	// Unlike the rest it outlives a gap, because ownership is for good. It goes
	// into reports and judges nothing.
	names    map[string]map[string]Owned
	disabled safeguards
}

// safeguards are taken out by tests only, to show that a test notices.
type safeguards struct {
	baseCheck      bool // an apply's base must be the current version
	replayCheck    bool // an offset that was read before changes nothing
	gapCheck       bool // after a gap nothing is judged until refreshes were read
	refreshCurrent bool // a refresh of a replaced version changes nothing
	refreshReach   bool // a refresh counts only if all records since its Through were read
	ownerCheck     bool // a service name belongs to one operator
	regionCheck    bool // a service's region is fixed
	operatorCount  bool // applies are judged only when every operator is known
	forwardOnly    bool // a declaration in force is replaced by a newer one only
	restoreAlone   bool // a refresh in between, or another begin, makes a restore void
	restoreListed  bool // a restore without a report of all that was listed is void
	restoreReplay  bool // undecided applies are judged upon a restore, not dropped
	restoreAgain   bool // who can't judge as the others upon a restore starts over
	lateReport     bool // a report after a restore counts if it is newer
	newerFormat    bool // after a record of a newer format nothing is judged
}

func newLedger() *ledger {
	l := &ledger{names: make(map[string]map[string]Owned)}
	l.restart(1)
	l.through = 0
	return l
}

// restart forgets everything and goes on at an offset. The declarations in
// force stand in the Set's view and are not touched.
func (l *ledger) restart(offset int64) {
	l.start = offset
	l.through = offset - 1
	l.complete = offset == 1
	l.accounts = make(map[string]*account)
	l.holders = make(map[string]holder)
	l.backlog = nil
	l.backlogBytes = 0
	l.window = window{}
}

// advance moves to an offset and reports whether it is new. After a gap the
// records in between may have accepted anything, so what was known is no ground
// to judge later ones: two nodes would disagree on who won a race.
func (l *ledger) advance(offset int64) bool {
	if offset <= l.through && !l.disabled.replayCheck {
		return false
	}
	if offset > l.through+1 && !l.disabled.gapCheck {
		l.restart(offset)
	}
	l.through = max(l.through, offset)
	return true
}

// apply judges an apply record, or keeps it for later.
func (l *ledger) apply(offset int64, rec *Record) Event {
	if l.complete {
		return l.judge(offset, rec)
	}
	return l.keep(offset, rec)
}

// keep keeps a record that can't be judged yet.
func (l *ledger) keep(offset int64, rec *Record) Event {
	l.backlogBytes += len(rec.File)
	if l.backlogBytes > maxBacklogBytes {
		l.restart(offset)
		l.through = offset
		l.complete = false
		l.backlogBytes = len(rec.File)
	}
	l.backlog = append(l.backlog, pendingApply{offset: offset, rec: rec})
	return newEvent(VerdictUndecided, offset, rec, l.version(rec.Operator))
}

func (l *ledger) version(operator string) state.Version {
	if acc := l.accounts[operator]; acc != nil {
		return acc.version
	}
	return 0
}

// judge decides an apply. Everything it reads must be the state at the record's
// offset, which holds when complete and while the backlog is gone through.
func (l *ledger) judge(offset int64, rec *Record) Event {
	current := l.version(rec.Operator)
	refuse := func(reason state.Reason, detail string) Event {
		ev := newEvent(VerdictRefused, offset, rec, current)
		ev.Reason = reason
		ev.Detail = detail
		return ev
	}
	if rec.Base != current && !l.disabled.baseCheck {
		detail := fmt.Sprintf("made against version %d, but version %d is in force", rec.Base, current)
		return refuse(state.ReasonLostRace, detail)
	}
	file, err := Parse(rec.Operator, []byte(rec.File))
	if err != nil {
		return refuse(state.ReasonMalformed, err.Error())
	}
	if reason, detail := l.check(rec.Operator, file); reason != state.ReasonNone {
		return refuse(reason, detail)
	}
	l.accept(offset, rec, file)
	return newEvent(VerdictAccepted, offset, rec, state.Version(offset))
}

// check says why a valid file can't be accepted.
func (l *ledger) check(operator string, file *File) (state.Reason, string) {
	if file.Operator != operator {
		return state.ReasonMalformed, fmt.Sprintf("the file is of operator %q, not %q", file.Operator, operator)
	}
	acc := l.accounts[operator]
	added := 0
	for i := range file.Services {
		s := &file.Services[i]
		h, held := l.holders[s.Name]
		// Held since a later offset counts too: had this apply got the name before,
		// the other could not have.
		if held && h.operator != operator && !l.disabled.ownerCheck {
			return state.ReasonServiceOwned, fmt.Sprintf("service %q belongs to another operator", s.Name)
		}
		owned, known := acc.owns(s.Name)
		if known && owned.Region != s.Region && !l.disabled.regionCheck {
			detail := fmt.Sprintf("service %q was created in region %q, which is fixed", s.Name, owned.Region)
			return state.ReasonRegionFixed, detail
		}
		if !known {
			added++
		}
	}
	if acc.ownedCount()+added > MaxOwnedServices {
		return state.ReasonTooLarge, fmt.Sprintf("an operator owns at most %d service names", MaxOwnedServices)
	}
	return state.ReasonNone, ""
}

func (l *ledger) accept(offset int64, rec *Record, file *File) {
	version := state.Version(offset)
	acc := l.accounts[rec.Operator]
	if acc == nil {
		acc = &account{created: version, owned: make(map[string]Owned)}
		l.accounts[rec.Operator] = acc
	}
	acc.version = version
	acc.base = rec.Base
	acc.applyID = rec.ApplyID
	acc.raw = rec.File
	acc.file = file
	acc.settled = offset
	for i := range file.Services {
		s := &file.Services[i]
		if _, known := acc.owned[s.Name]; known {
			continue
		}
		l.own(acc, rec.Operator, Owned{Name: s.Name, Region: s.Region, Since: version})
	}
}

// own makes a service name an operator's.
func (l *ledger) own(acc *account, operator string, o Owned) {
	acc.owned[o.Name] = o
	l.holders[o.Name] = holder{operator: operator, since: o.Since}
	if l.names[operator] == nil {
		l.names[operator] = make(map[string]Owned)
	}
	l.names[operator][o.Name] = o
}

func (a *account) owns(name string) (Owned, bool) {
	if a == nil {
		return Owned{}, false
	}
	o, ok := a.owned[name]
	return o, ok
}

func (a *account) ownedCount() int {
	if a == nil {
		return 0
	}
	return len(a.owned)
}

func newEvent(v Verdict, offset int64, rec *Record, version state.Version) Event {
	return Event{
		Verdict:  v,
		Offset:   offset,
		Operator: rec.Operator,
		ApplyID:  rec.ApplyID,
		Base:     rec.Base,
		Version:  version,
	}
}
