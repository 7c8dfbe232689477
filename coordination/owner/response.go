package owner

import (
	"strconv"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// Outcome is the outcome of a request.
type Outcome uint8

// Outcomes of Submit, Lookup, Await, Cancel and Pending.
const (
	// OK: the job is accepted, known or cancelled, or the jobs are counted.
	OK Outcome = iota
	// Refused: the job was not accepted and never runs.
	Refused
	// Unknown: the job may have been accepted; it may be submitted again with the same ID.
	Unknown
	// Absent: there is no such job.
	Absent
	// NotOwner: this process does not own the shard; another one has to be asked.
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

// Response is the response to a request.
type Response struct {
	Outcome    Outcome
	Reason     string
	State      job.State
	RetryAfter time.Duration
	// Count is the number of jobs counted, and Counted has the shards that it covers.
	Count   int
	Counted []int
	// Tasks has the results of a completed job in the order of its tasks, and Failure is the reason
	// why a job failed.
	Tasks   []job.TaskRecord
	Failure string
	// Known is set for a submission of a job that had been submitted before.
	Known bool
	// Elapsed is the time from a job's acceptance to its end.
	Elapsed time.Duration
}
