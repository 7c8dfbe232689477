// Package job holds what a durable job is: its steps, the tasks they consist
// of, the limits of the queue it was sent to, and its lifecycle. Nothing here
// opens a socket, reads a clock or starts a goroutine.
package job

import (
	"hash/fnv"
	"strconv"
	"time"
)

// ID names a job. The client chooses it; the same ID is always the same job.
type ID string

// Step is a group of equal tasks.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Demand is what each task takes of a worker while it runs.
	Demand Demand
	// Estimate is the client's rough figure for one task's run time.
	Estimate time.Duration
	// DependsOn lists the steps that must be done before a task of this one
	// may start.
	DependsOn []int
	// Label is a label that the backend server must have; empty means any.
	Label string
	// Rack is where the input lies; elsewhere a task takes longer.
	Rack string
	// MaxPerWorker bounds the step's tasks on one backend server; zero means
	// no bound.
	MaxPerWorker int
	// Checkpoints is set when the tasks save their progress.
	Checkpoints bool
	// Domains are the failure domains to run in; none means anywhere.
	Domains []string
	// Payloads has a payload for each task. Where there are none, all tasks get
	// the job's.
	Payloads []string
}

// Demand is the share of a worker that one task occupies.
type Demand struct {
	CPUMillis, MemoryMB, GPUs int64
}

// Plus returns the sum of both.
func (d Demand) Plus(o Demand) Demand {
	return Demand{d.CPUMillis + o.CPUMillis, d.MemoryMB + o.MemoryMB, d.GPUs + o.GPUs}
}

// Minus returns the difference of both.
func (d Demand) Minus(o Demand) Demand {
	return Demand{d.CPUMillis - o.CPUMillis, d.MemoryMB - o.MemoryMB, d.GPUs - o.GPUs}
}

// Times returns a multiple of the demand.
func (d Demand) Times(n float64) Demand {
	times := func(v int64) int64 { return int64(n * float64(v)) }
	return Demand{times(d.CPUMillis), times(d.MemoryMB), times(d.GPUs)}
}

// Fits reports whether the demand fits into room in each dimension.
func (d Demand) Fits(room Demand) bool {
	return d.CPUMillis <= room.CPUMillis && d.MemoryMB <= room.MemoryMB && d.GPUs <= room.GPUs
}

// Spec is what the client asks for.
type Spec struct {
	// Payload is handed to the backend server as it came.
	Payload string
	Steps   []Step
	// Digest is the hash of what a client asked for, where its interface tells
	// a repeat from another job under the same ID.
	Digest string
	// BestEffort jobs are not recorded: the client waits for the end and sends
	// the job again if it hears nothing.
	BestEffort bool
	// Patience is how long the client of a best-effort job waits for its end; zero:
	// it has not said. It is of one submission and is not recorded.
	Patience time.Duration
}

// Tasks returns the number of tasks of all steps.
func (s *Spec) Tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// TaskPayload is what the backend server gets for one task.
func (s *Spec) TaskPayload(id TaskID) string {
	if st := &s.Steps[id.Step]; id.Index < len(st.Payloads) {
		return st.Payloads[id.Index]
	}
	return s.Payload
}

// Policy is what the configuration in force at the submission says of the
// job's queue.
type Policy struct {
	Queue   string
	Service string
	// Priority 0 comes first.
	Priority int
	// MaxAttempts bounds the runs of a task that end failed.
	MaxAttempts int
	// Once forbids to start a task again whose run may have done something: it
	// fails its job instead.
	Once bool
	// Slack times the longest chain of work, plus Target, is the latency
	// objective.
	Slack  float64
	Target time.Duration
	// TimeLimit is how long clients usually wait for an answer; zero: not known. It is
	// of a submission's queue, and is not recorded.
	TimeLimit time.Duration
	// Version is the configuration that the entry judged the submission by.
	Version int64
}

// State is a job's place in its lifecycle.
type State uint8

// The states in the order of a job's life. The last three are final.
const (
	Queued State = iota
	Active
	Completed
	Failed
	Cancelled
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s >= Completed }

func (s State) String() string {
	switch s {
	case Queued:
		return "queued"
	case Active:
		return "active"
	case Completed:
		return "completed"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	}
	return "state " + strconv.Itoa(int(s))
}

// TaskID names one task of a job.
type TaskID struct {
	Job         ID
	Step, Index int
}

// RunID is one start of a task. Number rises with each start.
type RunID struct {
	Task   TaskID
	Number int64
}

// EndKind says how a run ended.
type EndKind uint8

const (
	// Done means that the task's work is complete.
	Done EndKind = iota
	// FailedRun ends count toward the attempts.
	FailedRun
	// Stopped runs were told to stop.
	Stopped
	// Lapsed runs were killed with the executor or because its lease expired.
	Lapsed
	// NeverRan means that the run did not start and can't start any more.
	NeverRan
)

func (k EndKind) String() string {
	switch k {
	case Done:
		return "done"
	case FailedRun:
		return "failed"
	case Stopped:
		return "stopped"
	case Lapsed:
		return "lapsed"
	case NeverRan:
		return "never_ran"
	}
	return "end " + strconv.Itoa(int(k))
}

// Shard returns the shard, of a number of them, that a job belongs to.
func (id ID) Shard(shards int) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % uint32(shards))
}
