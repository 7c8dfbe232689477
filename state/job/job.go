// Package job defines a job as owners and agents handle it: its steps and their
// tasks, the policy of its queue, its lifecycle and its stored record. The types
// are plain data: nothing here opens a socket, reads a clock or starts a
// goroutine.
package job

import (
	"cmp"
	"hash/fnv"
	"math"
	"strconv"
	"time"
)

// ID identifies a job. It derives from the ID that the client chose, so that a
// repeated submission has the ID of the first one.
type ID string

// Step is a group of tasks that differ at most in their payloads.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Demand is the resources that each task occupies while it runs.
	Demand Demand
	// Estimate is the client's estimate of the run time of one task.
	Estimate time.Duration
	// DependsOn has the indexes of the steps that must be done before a task of
	// this step may start.
	DependsOn []int
	// Label is a label that the backend server must have; empty means any.
	Label string
	// Rack is the rack that holds the input data. In another rack a task takes
	// longer.
	Rack string
	// MaxPerWorker is the largest number of the step's tasks on one backend
	// server at a time. Zero means no limit.
	MaxPerWorker int
	// Checkpoints is set if the tasks save checkpoints of their progress.
	Checkpoints bool
	// Domains are the failure domains that the tasks may run in. None means any.
	Domains []string
	// Payloads has the payload of each task. A task without one gets the payload
	// of the job.
	Payloads []string
}

// Demand is an amount of a worker's resources: what a task occupies, or what a
// backend server has in total or free. CPUMillis is in thousandths of a core.
type Demand struct {
	CPUMillis, MemoryMB, GPUs int64
}

// MaxFigure bounds the resources of a task and of a backend server. Sums over the tasks of a job, and over
// all servers, don't overflow below it.
const MaxFigure = 1 << 40

// InRange reports whether no dimension is negative or above MaxFigure.
func (d Demand) InRange() bool {
	within := func(n int64) bool { return n >= 0 && n <= MaxFigure }
	return within(d.CPUMillis) && within(d.MemoryMB) && within(d.GPUs)
}

// maxWork bounds what Work returns, so that sums over the tasks of dozens of jobs don't overflow.
const maxWork = math.MaxInt64 >> 16

// Work returns the time of one core that d occupies for a duration, at most maxWork.
func (d Demand) Work(t time.Duration) time.Duration {
	return time.Duration(min(float64(t)*float64(d.CPUMillis)/1000, maxWork))
}

// Plus returns d + o in each dimension.
func (d Demand) Plus(o Demand) Demand {
	return Demand{d.CPUMillis + o.CPUMillis, d.MemoryMB + o.MemoryMB, d.GPUs + o.GPUs}
}

// Minus returns d - o in each dimension.
func (d Demand) Minus(o Demand) Demand {
	return Demand{d.CPUMillis - o.CPUMillis, d.MemoryMB - o.MemoryMB, d.GPUs - o.GPUs}
}

// Times returns d multiplied by n in each dimension, rounded towards zero.
func (d Demand) Times(n float64) Demand {
	scale := func(v int64) int64 { return int64(n * float64(v)) }
	return Demand{scale(d.CPUMillis), scale(d.MemoryMB), scale(d.GPUs)}
}

// Fits reports whether d is at most available in each dimension.
func (d Demand) Fits(available Demand) bool {
	return d.CPUMillis <= available.CPUMillis && d.MemoryMB <= available.MemoryMB && d.GPUs <= available.GPUs
}

// Spec describes the work that the client requested.
type Spec struct {
	// Payload is passed unchanged to the backend server, for each task without a
	// payload of its own.
	Payload string
	Steps   []Step
	// Digest is the hash of the submission. It distinguishes a repeated submission
	// from a different job under the same ID. Empty if the client's interface does
	// not make this distinction.
	Digest string
	// BestEffort jobs are not recorded in the store: the client waits for the end
	// and submits the job again if it gets no answer.
	BestEffort bool
	// ClientTimeout is how much longer the client of a best-effort job waits for its
	// end, as stated in this submission. Zero means not stated. It is not recorded
	// in the store.
	ClientTimeout time.Duration
}

// Tasks returns the total number of tasks of all steps.
func (s *Spec) Tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// TaskPayload returns the payload that the backend server gets for a task.
func (s *Spec) TaskPayload(id TaskID) string {
	if st := &s.Steps[id.Step]; id.Index < len(st.Payloads) {
		return st.Payloads[id.Index]
	}
	return s.Payload
}

// Policy holds the rules for a job's queue, from the configuration in force when
// the job was submitted.
type Policy struct {
	Queue   string
	Service string
	// Priority orders the jobs; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which the job
	// fails. Less than 1 counts as 1.
	MaxAttempts int
	// AtMostOnce forbids starting a task again if an earlier run may have had
	// effects. The job fails instead.
	AtMostOnce bool
	// Slack and Target define the latency objective of a job: the length of the
	// longest chain of dependent steps, multiplied by Slack, plus Target. Slack below
	// 1 counts as 1.
	Slack  float64
	Target time.Duration
	// RequestTimeout is how long clients of this queue usually wait for an answer. Zero
	// means not known. It is not recorded in the store.
	RequestTimeout time.Duration
	// Version is the version of the configuration with which the entry admitted the
	// submission.
	Version int64
}

// State is the state of a job in its lifecycle.
type State uint8

// The states in the order in which a job passes through them. The last three are
// final.
const (
	Queued State = iota
	Active
	Completed
	Failed
	Cancelled
)

// Final reports whether the job has ended and its state can no longer change.
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

// TaskID identifies a task: the index of its step in the job and its index within
// the step, both from 0.
type TaskID struct {
	Job         ID
	Step, Index int
}

// RunID identifies one run of a task. Number increases with each start of the
// task.
type RunID struct {
	Task   TaskID
	Number int64
}

// Compare orders tasks by job, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, o.Job), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// Compare orders runs by task and number.
func (r RunID) Compare(o RunID) int {
	return cmp.Or(r.Task.Compare(o.Task), cmp.Compare(r.Number, o.Number))
}

// EndKind is the way in which a run ended.
type EndKind uint8

const (
	// Done means that the run completed the task.
	Done EndKind = iota
	// FailedRun means that the run failed. It counts toward Policy.MaxAttempts.
	FailedRun
	// Stopped means that the run was stopped on request.
	Stopped
	// Lapsed means that the run was killed because its backend server was lost or
	// its lease expired.
	Lapsed
	// NeverRan means that the run did not start and can no longer start.
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

// Shard returns the number of the shard that a job belongs to, from 0 to shards-1.
func (id ID) Shard(shards int) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return int(h.Sum32() % uint32(shards))
}
