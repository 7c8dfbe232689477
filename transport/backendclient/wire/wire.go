// Package wire holds the JSON documents that an agent and its backend server
// exchange over HTTP. docs/BACKENDS.md is the same protocol in words, for those
// who write backend servers. Durations travel as whole milliseconds.
package wire

import (
	"encoding/json"
	"time"
)

// RememberFor is how long a backend server must remember the tasks that ended
// and the IDs that it barred, so that it never bars one that it ran.
const RememberFor = 10 * time.Minute

// Paths on the agent.
const (
	// BackendPath is followed by the backend server's ID. PUT announces and
	// renews, DELETE leaves, GET shows the state.
	BackendPath = "/v1/backends/"
)

// Paths on the backend server, below its announced base URL.
const (
	TasksPath  = "/v1/tasks"
	LeasesPath = "/v1/leases"
	UsagePath  = "/v1/usage"
)

// VerbBar asks a backend server to promise that it never starts a task that it
// has not started yet. The other verbs are those of coordination.Verb.
const VerbBar = "bar"

// Announcement is the body of PUT /v1/backends/{id}.
type Announcement struct {
	URL          string   `json:"url"`
	Services     []string `json:"services"`
	Slots        int      `json:"slots"`
	Connections  int      `json:"connections"`
	Cores        float64  `json:"cores"`
	MemoryMB     int64    `json:"memory_mb"`
	Accelerators int64    `json:"accelerators"`
	TTLMS        int64    `json:"ttl_ms"`
}

// BackendStateName says how a backend server stands with its agent.
type BackendStateName string

// The states of a backend server.
const (
	// BackendActive gets work.
	BackendActive BackendStateName = "active"
	// BackendLeaving gets no new work and still runs some.
	BackendLeaving BackendStateName = "leaving"
	// BackendGone runs nothing for the agent and gets no work.
	BackendGone BackendStateName = "gone"
)

// BackendState answers PUT, GET and DELETE of a backend server.
type BackendState struct {
	ID    string           `json:"id"`
	State BackendStateName `json:"state"`
	// Running is how many tasks the agent still waits for.
	Running int `json:"running"`
	// Draining says that the agent itself takes no new work.
	Draining bool `json:"draining"`
	// RenewAfterMS is when to announce again; in answers to PUT only.
	RenewAfterMS int64 `json:"renew_after_ms,omitempty"`
}

// StartRequest is the body of POST /v1/tasks.
type StartRequest struct {
	Service string          `json:"service"`
	Job     string          `json:"job"`
	Index   int             `json:"index"`
	Payload json.RawMessage `json:"payload,omitempty"`
	// Cores, MemoryMB and Accelerators are what the caller declared. They are
	// often wrong.
	Cores        float64 `json:"cores"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int64   `json:"accelerators"`
	// DeadlineMS is how long from now the result is of use; 0 is always.
	DeadlineMS int64 `json:"deadline_ms"`
	// LeaseMS is how long the task may run unless the lease is renewed.
	LeaseMS int64 `json:"lease_ms"`
	// TaskID names this one run of the task.
	TaskID string `json:"task_id"`
}

// StartReply answers a task that succeeded.
type StartReply struct {
	Payload json.RawMessage `json:"payload"`
	RanMS   float64         `json:"ran_ms"`
}

// TaskStateName says what a backend server knows of a task ID.
type TaskStateName string

// The states of a task.
const (
	TaskRunning TaskStateName = "running"
	// TaskDone covers every end: success, failure, stop and lapse.
	TaskDone TaskStateName = "done"
	// TaskUnknown promises nothing: the request may still be on its way.
	TaskUnknown TaskStateName = "unknown"
	// TaskBarred means that the ID was never started and never will be.
	TaskBarred TaskStateName = "barred"
)

// TaskState answers GET /v1/tasks/{task_id} and every verb.
type TaskState struct {
	// BackendID is the ID under which the backend server announced itself. A
	// restarted one answers with another, so that its "barred" is not taken
	// for the word of the process that may have run the task.
	BackendID string        `json:"backend_id"`
	State     TaskStateName `json:"state"`
	// Result is set when State is TaskDone and the task succeeded.
	Result *StartReply `json:"result,omitempty"`
	// Problem is set when State is TaskDone and the task did not succeed.
	Problem *Problem `json:"problem,omitempty"`
}

// LeaseRequest is the body of POST /v1/leases.
type LeaseRequest struct {
	TaskIDs []string `json:"task_ids"`
	LeaseMS int64    `json:"lease_ms"`
}

// LeaseReply answers it.
type LeaseReply struct {
	// NotRunning are the IDs that the backend server does not run: not yet
	// arrived, ended, or lapsed.
	NotRunning []string `json:"not_running"`
}

// UsageLine is one line of a usage report.
type UsageLine struct {
	Service      string  `json:"service"`
	Job          string  `json:"job"`
	Index        int     `json:"index"`
	Cores        float64 `json:"cores"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int64   `json:"accelerators"`
	RanMS        float64 `json:"ran_ms"`
	Done         bool    `json:"done"`
}

// UsageReply answers GET /v1/usage?since=N.
type UsageReply struct {
	// Next is the since of the following request.
	Next  uint64      `json:"next"`
	Lines []UsageLine `json:"lines"`
}

// ProblemType is the content type of problem documents (RFC 9457).
const ProblemType = "application/problem+json"

// ProblemReason is the reason in a backend server's problem document.
type ProblemReason string

// The reasons a backend server gives. Only ReasonNotStarted with status 503
// says that nothing was started and nothing will be.
const (
	ReasonNotStarted  ProblemReason = "not_started"
	ReasonTaskFailed  ProblemReason = "task_failed"
	ReasonCancelled   ProblemReason = "cancelled"
	ReasonDeadline    ProblemReason = "deadline"
	ReasonLeaseLapsed ProblemReason = "lease_lapsed"
)

// ProblemCause refines ReasonNotStarted.
type ProblemCause string

// The causes of a refusal.
const (
	CauseBusy     ProblemCause = "busy"
	CauseDraining ProblemCause = "draining"
	// CauseBarred is a task ID that was barred or stopped before it came.
	CauseBarred ProblemCause = "barred"
)

// Problem is a backend server's problem document.
type Problem struct {
	Title  string        `json:"title,omitempty"`
	Status int           `json:"status,omitempty"`
	Detail string        `json:"detail,omitempty"`
	Reason ProblemReason `json:"reason,omitempty"`
	Cause  ProblemCause  `json:"cause,omitempty"`
	// RanMS is how long a failed task worked.
	RanMS float64 `json:"ran_ms,omitempty"`
}
