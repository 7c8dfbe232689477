package job

import "time"

// Record is what the store keeps of a job. It is written whole at each change;
// the newest one counts.
type Record struct {
	ID     ID
	Spec   Spec
	Policy Policy
	State  State
	// FirstEpoch is the shard's epoch at acceptance. Run numbers of later
	// epochs are derived from the distance to it, so that they rise although
	// an owner that died took its numbers with it.
	FirstEpoch int64
	// Tasks has what is settled for each task, in the order of steps.
	Tasks []TaskRecord
	// Failure says why a job failed, for its client.
	Failure string
	// Elapsed is the time from the acceptance to the end.
	Elapsed time.Duration
}

// TaskRecord is what is settled about one task.
type TaskRecord struct {
	Done bool
	// Failures counts runs that ended failed.
	Failures int
	// Checkpoint is the newest saved progress.
	Checkpoint string
	// Result is what the run that completed the task returned, and Work how
	// long it was at work.
	Result string
	Work   time.Duration
	// Crashes are the backend servers that were lost under runs of the task, as far as
	// those may have brought it about. The slice is replaced, not written to.
	Crashes []Crash
}

// HasResults reports whether the tasks returned anything: whoever asks for
// such a job later wants the results.
func (r *Record) HasResults() bool {
	for i := range r.Tasks {
		if r.Tasks[i].Result != "" {
			return true
		}
	}
	return false
}

// NewRecord returns the record of a job that was just accepted.
func NewRecord(id ID, spec Spec, policy Policy, epoch int64) *Record {
	return &Record{ID: id, Spec: spec, Policy: policy, FirstEpoch: epoch, Tasks: make([]TaskRecord, spec.Tasks())}
}

// Offset returns the place of a step's first task in Tasks.
func (r *Record) Offset(step int) int {
	n := 0
	for i := 0; i < step && i < len(r.Spec.Steps); i++ {
		n += r.Spec.Steps[i].Count
	}
	return n
}

// TaskAt names the task at a place in Tasks.
func (r *Record) TaskAt(id ID, n int) TaskID {
	step := 0
	for step < len(r.Spec.Steps) && n >= r.Spec.Steps[step].Count {
		n -= r.Spec.Steps[step].Count
		step++
	}
	return TaskID{Job: id, Step: step, Index: n}
}

// Task returns the settled state of one task, or nil if the job has no such
// task.
func (r *Record) Task(id TaskID) *TaskRecord {
	if id.Step < 0 || id.Step >= len(r.Spec.Steps) || id.Index < 0 || id.Index >= r.Spec.Steps[id.Step].Count {
		return nil
	}
	at := r.Offset(id.Step) + id.Index
	if at >= len(r.Tasks) {
		return nil
	}
	return &r.Tasks[at]
}
