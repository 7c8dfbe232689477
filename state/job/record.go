package job

import "time"

// Record is the stored state of a job. The whole record is written at each change
// and replaces the previous one.
type Record struct {
	ID     ID
	Spec   Spec
	Policy Policy
	State  State
	// FirstEpoch is the shard's epoch when the job was accepted. Run numbers start
	// at a value derived from the difference between the current epoch and this
	// one. They increase even if an owner crashes, although the numbers that it
	// used are not recorded.
	FirstEpoch int64
	// Tasks has the recorded state of each task, in the order of the steps.
	Tasks []TaskRecord
	// Failure is the reason why the job failed, as reported to its client.
	Failure string
	// Elapsed is the time from the acceptance of the job to its end.
	Elapsed time.Duration
	// Repeated has runs before which the ends of a task's earlier runs must never be acknowledged:
	// the newest run of a task that is done, or whose job has ended, unless that was the first one,
	// and otherwise the run with which the task goes on after a run of unknown end.
	Repeated []RunID
}

// NewestRun returns the number of a task's run in Repeated, or zero.
func (r *Record) NewestRun(id TaskID) int64 {
	for _, run := range r.Repeated {
		if run.Task == id {
			return run.Number
		}
	}
	return 0
}

// TaskRecord is the recorded state of a task.
type TaskRecord struct {
	Done bool
	// Failures is the number of runs that failed, and FailedRuns has their numbers, by which an end
	// that is reported again is not counted again. Records of earlier versions lack the numbers.
	// Copies of the record share the slice: a change replaces it.
	Failures   int
	FailedRuns []int64
	// Checkpoint is the most recent checkpoint.
	Checkpoint string
	// Result is the result of the run that completed the task, and Work its
	// execution time.
	Result string
	Work   time.Duration
	// Crashes has the backend servers that were lost while they ran the task, except
	// those whose loss is known to have another cause. Copies of the record share
	// the slice: a change replaces it and never writes to its elements.
	Crashes []Crash
	// ClearedRun is the number of a run: losses of servers under it and under earlier runs are no
	// evidence against the task, also when an agent reports them again.
	ClearedRun int64
}

// HasResults reports whether any task returned a result. If so, the task records
// of an ended job have to be kept for later queries.
func (r *Record) HasResults() bool {
	for i := range r.Tasks {
		if r.Tasks[i].Result != "" {
			return true
		}
	}
	return false
}

// NewRecord returns the record of a newly accepted job. The epoch is the shard's
// current one.
func NewRecord(id ID, spec Spec, policy Policy, epoch int64) *Record {
	return &Record{ID: id, Spec: spec, Policy: policy, FirstEpoch: epoch, Tasks: make([]TaskRecord, spec.Tasks())}
}

// Offset returns the index in Tasks of the first task of a step.
func (r *Record) Offset(step int) int {
	n := 0
	for i := 0; i < step && i < len(r.Spec.Steps); i++ {
		n += r.Spec.Steps[i].Count
	}
	return n
}

// TaskAt returns the ID of the task at index n in Tasks, for the job with the given
// ID.
func (r *Record) TaskAt(id ID, n int) TaskID {
	step := 0
	for step < len(r.Spec.Steps) && n >= r.Spec.Steps[step].Count {
		n -= r.Spec.Steps[step].Count
		step++
	}
	return TaskID{Job: id, Step: step, Index: n}
}

// Task returns the recorded state of a task, or nil if the job has no such task.
func (r *Record) Task(id TaskID) *TaskRecord {
	if id.Step < 0 || id.Step >= len(r.Spec.Steps) || id.Index < 0 || id.Index >= r.Spec.Steps[id.Step].Count {
		return nil
	}
	index := r.Offset(id.Step) + id.Index
	if index >= len(r.Tasks) {
		return nil
	}
	return &r.Tasks[index]
}
