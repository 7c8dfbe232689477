// Package state defines the types of the client API: submissions, answers,
// outcomes and reasons. Its subpackages define the types that the lower layers
// share (jobs, routing, declarations) and the interface to the store. The types
// are plain data: nothing here opens a socket, reads a clock or starts a
// goroutine.
package state

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"time"
)

// Limits on what a caller may submit. They bound the memory that a request
// takes before its body is parsed into tasks.
const (
	// MaxTasksPerJob is the largest number of tasks in one job.
	MaxTasksPerJob = 1000
	// MaxBodyBytes is the largest HTTP request body, in bytes.
	MaxBodyBytes = 8 << 20
	// MaxIDLength is the longest job ID, service name or operator name, in
	// bytes.
	MaxIDLength = 128
)

// Version is the number of declarations of an operator that were accepted. Zero
// means that the operator has no declaration yet.
type Version int64

// JobKey identifies a job. The caller chooses the ID, which is unique within the
// service only.
type JobKey struct {
	Service string
	ID      string
}

// Digest is the SHA-256 hash of the content of a submission. Two submissions
// with the same key and different digests are different requests under the same
// ID.
type Digest [sha256.Size]byte

// Task is one unit of work as described by the caller.
type Task struct {
	// Payload is the JSON value that is passed unchanged to the backend server.
	Payload []byte
	// Cores is the number of processors the caller expects the task to use.
	Cores float64
	// MemoryMB is the memory the caller expects the task to use, in MiB.
	MemoryMB int64
	// Accelerators is the number of accelerators the task needs.
	Accelerators int64
	// Expected is the run time the caller expects. Zero means that the caller
	// gave none.
	Expected time.Duration
}

// Job is one submission of 1 to MaxTasksPerJob tasks.
type Job struct {
	Key      JobKey
	Operator string
	Tasks    []Task
	// Repeatable marks a job whose tasks are idempotent and may run more than
	// once.
	Repeatable bool
}

// Digest returns the content digest of the job. The deadline is not part of it,
// because a caller that retries a submission sets a new deadline for the same
// work.
func (j *Job) Digest() Digest {
	h := sha256.New()
	var buf [8]byte
	put := func(v uint64) {
		binary.BigEndian.PutUint64(buf[:], v)
		h.Write(buf[:])
	}
	if j.Repeatable {
		put(1)
	} else {
		put(0)
	}
	put(uint64(len(j.Tasks)))
	for i := range j.Tasks {
		t := &j.Tasks[i]
		put(uint64(len(t.Payload)))
		h.Write(t.Payload)
		put(math.Float64bits(t.Cores))
		put(uint64(t.MemoryMB))
		put(uint64(t.Accelerators))
		put(uint64(t.Expected))
	}
	var d Digest
	h.Sum(d[:0])
	return d
}

// Answer is the result of a submission.
type Answer struct {
	Key     JobKey
	Outcome Outcome
	Reason  Reason
	// Detail is a human-readable explanation; it may be empty.
	Detail string
	// RetryAfter is how long the caller should wait before it retries. Zero means
	// that a retry does not help.
	RetryAfter time.Duration
	// Results has the result of each task, in task order. It is set only if
	// Outcome is Complete.
	Results [][]byte
	// Work has the execution time of each task, in task order.
	Work  []time.Duration
	Stats Stats
}

// Stats holds the execution times of a complete job.
type Stats struct {
	// Longest is the longest execution time of a task, Total the sum over all
	// tasks.
	Longest, Total time.Duration
	// CoreTime is the sum of each task's execution time multiplied by the cores it
	// requested. Zero means that the requested cores are not known, as when a job
	// is looked up by its ID.
	CoreTime time.Duration
	// Elapsed is the time from the acceptance of the job to its end.
	Elapsed time.Duration
}

// ApplyResult is the result of applying a declaration or a drain.
type ApplyResult struct {
	// Version is the version that was accepted if Reason is empty, and otherwise
	// the version in force.
	Version Version
	// Outcome is Complete if the change was accepted, NotRun if it was refused and
	// did not take effect, and Unknown if it may have taken effect.
	Outcome Outcome
	Reason  Reason
	Detail  string
}
