package owner

import (
	"strconv"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// Outcome of a question.
type Outcome uint8

// Outcomes of Submit, Lookup, Cancel and Pending.
const (
	// OK: accepted, known, cancelled, counted.
	OK Outcome = iota
	// Refused: the job was not accepted and never runs.
	Refused
	// Unknown: it may have been accepted; the same ID may be sent again.
	Unknown
	// Absent: there is no such job.
	Absent
	// NotOwner: ask another process.
	NotOwner
)

func (o Outcome) String() string {
	switch o {
	case OK:
		return "ok"
	case Refused:
		return "refused"
	case Unknown:
		return "unknown"
	case Absent:
		return "absent"
	case NotOwner:
		return "not_owner"
	}
	return "outcome " + strconv.Itoa(int(o))
}

// Verdict answers a question.
type Verdict struct {
	Outcome    Outcome
	Reason     string
	State      job.State
	RetryAfter time.Duration
	Count      int
	// Tasks has the results of a completed job in the order of its tasks, and
	// Failure says why a job failed.
	Tasks   []job.TaskRecord
	Failure string
	// Known is set for a submission of a job that had been submitted before.
	Known bool
	// Elapsed is the time from a job's acceptance to its end.
	Elapsed time.Duration
}
