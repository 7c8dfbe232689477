package declaration

import "github.com/shallotstep/shallotstep/state"

// Verdict says what became of a record.
type Verdict uint8

const (
	// VerdictIgnored is a record at an offset that was read before.
	VerdictIgnored Verdict = iota
	// VerdictUndecided is an apply that can't be judged yet, because this node started
	// at a truncated stream and hasn't seen every operator's state.
	VerdictUndecided
	// VerdictAccepted is an apply whose file is now the operator's declaration.
	VerdictAccepted
	// VerdictRefused is an apply that changed nothing and never will.
	VerdictRefused
	// VerdictRefreshed is a refresh that repeats the operator's current state.
	VerdictRefreshed
	// VerdictStale is a refresh that is not true any more, or that this node can't
	// rely on.
	VerdictStale
	// VerdictUnreadable is a record of a newer format. It may have changed
	// anything, so this node judges nothing until it has read refreshes.
	VerdictUnreadable
	// VerdictBegun is the begin of a restore.
	VerdictBegun
	// VerdictReported is a report that a restore which has begun takes in.
	VerdictReported
	// VerdictRecovered is a report, after a restore, of a version that the
	// restore did not know.
	VerdictRecovered
	// VerdictRestored is a restore's commit that is in force.
	VerdictRestored
	// VerdictVoid is a restore's commit that has no effect anywhere.
	VerdictVoid
)

var verdictNames = [...]string{"ignored", "undecided", "accepted", "refused", "refreshed", "stale",
	"unreadable", "begun", "reported", "recovered", "restored", "void"}

// String returns the verdict as it stands in logs and metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Event is what reading one record did.
type Event struct {
	Verdict  Verdict
	Offset   int64
	Operator string
	ApplyID  string
	// Base is the version that the apply was made against.
	Base state.Version
	// Version is the operator's version after the record, as far as known.
	Version state.Version
	// Reason and Detail say why an apply was refused.
	Reason state.Reason
	Detail string
	// Settled are earlier records that could be judged only now.
	Settled []Event
}
