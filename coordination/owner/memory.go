package owner

import (
	"sync/atomic"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// ReasonNoMemory: the jobs that have not ended use all of their memory.
const ReasonNoMemory = "no_memory"

const (
	// jobBytes, stepBytes and taskBytes are what a job, a step and a task take beside their texts and
	// lists, with the message in which the job came and its record.
	jobBytes  = 1 << 10
	stepBytes = 400
	taskBytes = 500
	// dependencyBytes is what an entry in the list of a step's dependencies takes.
	dependencyBytes = 12
)

// jobMemory bounds the memory of the jobs of all shards of a process. It is safe for concurrent use.
type jobMemory struct {
	// limit is in bytes; zero: none.
	limit int64
	used  atomic.Int64
}

// take takes n bytes if there is room. Large jobs leave half of the room to small ones.
func (m *jobMemory) take(n, large int64) bool {
	limit := m.limit
	if n > large {
		limit /= 2
	}
	if used := m.used.Add(n); m.limit == 0 || used <= limit {
		return true
	}
	m.used.Add(-n)
	return false
}

// sizeOf returns about how much memory a job takes until it has ended, in bytes.
func sizeOf(spec *job.Spec) int64 {
	n := jobBytes + len(spec.Payload) + spec.Tasks()*taskBytes
	for i := range spec.Steps {
		st := &spec.Steps[i]
		n += stepBytes + len(st.Label) + len(st.Rack) + dependencyBytes*len(st.DependsOn)
		for _, payload := range st.Payloads {
			n += len(payload)
		}
	}
	return int64(n)
}

// releaseLocked returns the memory of a job.
func (s *Shard) releaseLocked(j *jobState) {
	s.fleet.memory.used.Add(-j.size)
	s.openBytes -= j.size
	j.size = 0
}

// holdLocked takes the memory of a job that is known, whether there is room or not.
func (s *Shard) holdLocked(j *jobState) {
	s.releaseLocked(j)
	j.size = sizeOf(&j.rec.Spec)
	s.fleet.memory.used.Add(j.size)
	s.openBytes += j.size
}

// releaseAllLocked returns the memory of all jobs of a shard that is closed.
func (s *Shard) releaseAllLocked() {
	s.fleet.memory.used.Add(-s.openBytes)
	s.openBytes = 0
	for _, j := range s.jobs {
		j.size = 0
	}
}

// endedLocked returns the memory of a job whose end is recorded. A large one is forgotten first, as far as
// it can be.
func (s *Shard) endedLocked(j *jobState) {
	switch {
	case j.rec.Spec.BestEffort:
		// Its client may submit it again, and it then goes on.
	case j.size > s.fleet.params.LargeJob:
		s.forgetting = append(s.forgetting, j.rec.ID)
	default:
		s.releaseLocked(j)
	}
}

// forgetInterval is the least time between two attempts to forget large jobs that have ended.
const forgetInterval = 500 * time.Millisecond

// forgetEndedLocked forgets what is no longer needed of large jobs that have ended.
func (s *Shard) forgetEndedLocked(now time.Duration) {
	if len(s.forgetting) == 0 || now < s.forgetAt {
		return
	}
	s.forgetAt = now + forgetInterval
	kept := s.forgetting[:0]
	for _, id := range s.forgetting {
		if j := s.jobs[id]; j != nil && !s.forgetLocked(j) {
			kept = append(kept, id)
		}
	}
	s.forgetting = kept
}

// forgetLocked leaves of a job that has ended what an owner would load that takes the shard over. It
// returns false if that would lose something: a run that has not ended, or an end that is not settled.
func (s *Shard) forgetLocked(j *jobState) bool {
	if j.tasks == nil {
		s.releaseLocked(j)
		return true
	}
	if j.writeBy != 0 || j.removing || !j.reportedState.Final() {
		return false
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase != finished || len(t.unsettled) > 0 || t.unrecordedRun != 0 || t.deferredEnd != nil || s.suspects[j.rec.TaskAt(j.rec.ID, i)] {
			return false
		}
	}
	j.rec.Repeated = j.repeatedRuns()
	j.tasks = nil
	j.rec.Spec = job.Spec{Digest: j.rec.Spec.Digest}
	if j.rec.Spec.Digest == "" && !j.rec.HasResults() {
		j.rec.Tasks = nil
	}
	s.releaseLocked(j)
	return true
}
