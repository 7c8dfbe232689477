// Package coordination defines what the decision machines in its subpackages
// ask of whoever drives them. A machine takes an event, the present time and
// (where it draws lots) a seed, changes its state and returns actions. It opens
// no socket, reads no clock and starts no goroutine, so a daemon, a test or
// another program can drive it alike, and the same events give the same run.
//
// Every machine is safe for concurrent use: its state stands in shards, each
// under its own lock. Actions are carried out by the driver after the machine
// has let go of its locks. A machine learns of passing time by Tick, which the
// driver calls every TickInterval.
package coordination

import (
	"time"

	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

// TickInterval is how often a driver calls each machine's Tick while messages
// come in, IdleTickInterval while none do. They bound how late a deadline is
// noticed.
const (
	TickInterval     = 5 * time.Millisecond
	IdleTickInterval = 25 * time.Millisecond
)

// Action is something a machine wants done.
type Action interface{ action() }

// Send delivers a message to a node, or loses it.
type Send struct {
	To  state.NodeID
	Msg message.Message
}

// Stream names a stream of the platform's log.
type Stream string

// The streams the system keeps.
const (
	StreamDeclarations Stream = "declarations"
	StreamRoster       Stream = "roster"
)

// Append asks for a record at the end of a stream. The reply may be lost after
// the record is in; the machine learns what became of it by reading the log.
type Append struct {
	Stream Stream
	Data   []byte
}

// StartTask asks the backend server beside the agent to run a task. The driver
// reports the end with the admission machine's Finished.
type StartTask struct {
	Task state.TaskKey
	Spec state.Task
	// Backend is the ID of the backend server that the task was given to. Another
	// one that has taken its place since must not be sent the task.
	Backend string
	// Deadline is how long from now the result is of use. Zero means always.
	Deadline time.Duration
}

// Control asks the backend server to do something with a running task.
type Control struct {
	Task state.TaskKey
	Verb Verb
	// Cause and Operator are for logs.
	Cause    Cause
	Operator string
}

// Cause says why a running task is controlled.
type Cause string

// The causes.
const (
	// CauseDropped: its home has no use for the result.
	CauseDropped Cause = "dropped"
	// CauseMemory: the worker's tasks use too much memory together.
	CauseMemory Cause = "memory"
)

// Verb is what can be done with a running task.
type Verb string

// The verbs backend servers know.
const (
	VerbStop       Verb = "stop"
	VerbThrottle   Verb = "throttle"
	VerbCheckpoint Verb = "checkpoint"
	// VerbRelease ends a throttle.
	VerbRelease Verb = "release"
)

// Granted tells the job machine that the pair has recorded the claim: the
// caller of the guard is the job's home and may start it.
type Granted struct {
	Key     state.JobKey
	Attempt message.Attempt
}

// Denied tells the job machine that the claim was not granted.
type Denied struct {
	Key     state.JobKey
	Attempt message.Attempt
	// Outcome is NotRun when the attempt certainly never was and never will
	// be granted, Unknown when another holder may have run the id.
	Outcome    state.Outcome
	Reason     state.Reason
	RetryAfter time.Duration
	Epoch      state.Epoch
	// Fence is what later attempts for the id have to carry at Epoch.
	Fence message.Fence
	// Holder is who holds the id, if the pair's records say so.
	Holder state.NodeID
}

func (Send) action()      {}
func (Append) action()    {}
func (StartTask) action() {}
func (Control) action()   {}
func (Granted) action()   {}
func (Denied) action()    {}

// Deliver hands the final answer of a submission to the caller that waits for
// it under this ticket. Each ticket is delivered exactly once.
type Deliver struct {
	Ticket uint64
	Answer message.Answer
}

// Applied tells an operator's request what became of its declaration.
type Applied struct {
	Ticket uint64
	// Version is the accepted version when Reason is empty; otherwise the
	// version in force.
	Version state.Version
	// Outcome is Complete when accepted, NotRun when refused for certain and
	// Unknown when the record may be in the log.
	Outcome state.Outcome
	Reason  state.Reason
	Detail  string
}

func (Deliver) action() {}
func (Applied) action() {}
