// Package state holds the vocabulary that every layer shares: jobs, tasks,
// members, outcomes and reasons. Its subpackages keep the records a node holds
// (claims, roster, declarations). Nothing here opens a socket, reads a clock or
// starts a goroutine.
package state

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"time"
)

// Limits on what a caller may submit. They bound memory before anything is
// parsed into tasks.
const (
	// MaxTasksPerJob is the largest number of tasks in one job.
	MaxTasksPerJob = 1000
	// MaxBodyBytes bounds one HTTP request body.
	MaxBodyBytes = 8 << 20
	// MaxIDLength bounds a job id, a service name and an operator name, in bytes.
	MaxIDLength = 128
)

// NodeID names one incarnation of a daemon. A restarted daemon has another
// NodeID, because it remembers nothing of what its predecessor started.
type NodeID string

// Epoch is the log offset of the roster record that made a roster current.
// Zero is the empty roster before any record.
type Epoch int64

// Version is the log offset of the record that made a declaration current.
// Zero means that the operator has declared nothing yet.
type Version int64

// JobKey identifies a job: ids are chosen by callers and scoped by service.
type JobKey struct {
	Service string
	ID      string
}

// Digest is the SHA-256 of what a submission asks for. Two submissions with
// the same key and different digests are different requests under one id.
type Digest [sha256.Size]byte

// Task is one unit of work as the caller declared it.
type Task struct {
	// Payload is the JSON value handed to the backend server as it came.
	Payload []byte
	// Cores is the number of processors the caller expects the task to use.
	Cores float64
	// MemoryMB is the memory the caller expects the task to use, in MiB.
	MemoryMB int64
	// Accelerators is the number of accelerators the task needs.
	Accelerators int64
	// Expected is the run time the caller expects. Zero means not stated.
	Expected time.Duration
}

// Job is one submission of 1 to MaxTasksPerJob tasks.
type Job struct {
	Key      JobKey
	Operator string
	Tasks    []Task
	// Repeatable marks a request that may safely run more than once.
	Repeatable bool
}

// Digest returns the content digest of the job. The deadline is left out: a
// caller that submits again waits anew, for the same work.
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

// TaskKey identifies one task of a job by its place in the submission.
type TaskKey struct {
	Job   JobKey
	Index int
}

// Member is one agent incarnation as the roster records it.
type Member struct {
	ID   NodeID
	Addr string // host:port of the agent's peer listener
	// Region, Domain and Rack say where the agent's worker stands. Domain is
	// the failure domain. Names are unique within their parent only.
	Region string
	Domain string
	Rack   string
}

// AgentLoad is what an agent says of its backend server. It is soft: it
// chooses where tasks run and never decides who guards a claim.
type AgentLoad struct {
	ID   NodeID
	Addr string
	// Seq grows with every change at the originator; an older Seq never
	// replaces a newer one.
	Seq      uint64
	Region   string
	Domain   string
	Rack     string
	Services []string
	// Slots is how many tasks the backend server runs at once; Free is how
	// many of them are idle; Queued is how many accepted tasks wait.
	Slots  int
	Free   int
	Queued int
	// Cores, MemoryMB and Accelerators are the worker's whole size.
	Cores        float64
	MemoryMB     int64
	Accelerators int64
	// Draining says that the agent takes no new work.
	Draining bool
	// Ejected says that the agent's own failure detector holds the backend
	// server to be failing everything it starts.
	Ejected bool
}

// TaskResult is how one started task ended.
type TaskResult struct {
	Index int
	// Err is empty for a task that succeeded; otherwise it is the backend
	// server's message.
	Err string
	// Payload is the JSON value the backend server returned.
	Payload []byte
	// Ran is how long the backend server worked on the task.
	Ran time.Duration
}
