package owner

import (
	"maps"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

// Write is the write of one record to the store.
type Write struct {
	ID job.ID
	// Record is the job's newest record; nil removes it.
	Record *job.Record
	// settlements has the settlements of the ends that the record covers.
	settlements []Addressed[Settlement]
	// final is set when the record includes the job's end.
	final bool
}

// Batch is written to the store in one atomic call.
type Batch struct {
	Writes []Write
	// Agents is the list of agents that may have runs of the shard; nil leaves the stored list
	// unchanged.
	Agents []string
	// Incarnations has the incarnations of these agents. It is written with the list unless it is
	// nil.
	Incarnations map[string][]worker.Incarnation
	// barrier is the last barrier that the batch passes; zero: none. A batch without records asks the
	// store only whether this owner was replaced.
	barrier int64
}

// Empty reports whether there is no reason to call the store.
func (b *Batch) Empty() bool { return len(b.Writes) == 0 && b.Agents == nil && b.barrier == 0 }

// scheduleWriteLocked schedules the write of a job's record by a time.
func (s *Shard) scheduleWriteLocked(fx *Effects, j *jobState, by time.Duration) {
	if j.rec.Spec.BestEffort {
		s.settleAllLocked(fx, j)
		return
	}
	s.markDirtyLocked(j, by)
	fx.Write = true
}

func (s *Shard) markDirtyLocked(j *jobState, by time.Duration) {
	if j.writeBy == 0 {
		s.dirty = append(s.dirty, j.rec.ID)
		j.writeBy = by
		return
	}
	j.writeBy = min(j.writeBy, by)
}

// maxBatch bounds the records of one call; at a few hundred bytes each they stay well below the
// platform's limit on a call.
const maxBatch = 500

// NextBatch returns the next batch if a write is due, and an empty one otherwise. A batch also has
// records that could wait, because the store charges by the call.
func (s *Shard) NextBatch(now time.Duration) Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b Batch
	if s.closed || !s.writeDueLocked(now) {
		return b
	}
	if s.agentsDirty {
		b.Agents = s.agentsLocked()
		b.Incarnations = s.incarnationsLocked(b.Agents)
		s.agentsDirty = false
	}
	n := min(len(s.dirty), maxBatch)
	for _, id := range s.dirty[:n] {
		b.Writes = append(b.Writes, s.takeWriteLocked(id))
	}
	s.dirty = slices.Clone(s.dirty[n:])
	if s.lastBarrier > s.passedBarrier {
		b.barrier = s.lastBarrier
	}
	return b
}

// WriteDue reports whether a record has to be written now.
func (s *Shard) WriteDue(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && s.writeDueLocked(now)
}

func (s *Shard) writeDueLocked(now time.Duration) bool {
	if s.agentsDirty || s.verificationDueLocked(now) {
		return true
	}
	for _, id := range s.dirty {
		if j := s.jobs[id]; j != nil && now >= j.writeBy {
			return true
		}
	}
	return false
}

// agentsLocked returns the agents that have, or may get, runs of this shard. An agent that was given up
// stays listed until all records go with the list, because some of them exclude the ends of its runs.
func (s *Shard) agentsLocked() []string {
	out := make([]string, 0, len(s.links)+len(s.unreconciled))
	if len(s.dirty) > maxBatch {
		out = slices.AppendSeq(out, maps.Keys(s.givenUp))
	}
	for node := range s.links {
		out = append(out, node)
	}
	for node := range s.unreconciled {
		if s.links[node] == nil {
			out = append(out, node)
		}
	}
	slices.Sort(out)
	return out
}

func (s *Shard) takeWriteLocked(id job.ID) Write {
	j := s.jobs[id]
	j.writeBy = 0
	w := Write{ID: id}
	if j.removing {
		return w
	}
	r := *j.rec
	r.Tasks = slices.Clone(j.rec.Tasks)
	r.Repeated = j.repeatedRuns()
	if r.State.Final() {
		// Of an ended job only the results are needed.
		r.Spec = job.Spec{Digest: r.Spec.Digest}
		if !r.HasResults() {
			r.Tasks = nil
		}
	}
	w.Record = &r
	w.final = r.State.Final()
	for i := range j.tasks {
		w.settlements = append(w.settlements, j.tasks[i].unsettled...)
		j.tasks[i].unsettled = nil
	}
	return w
}

// repeatedRuns returns what Record.Repeated has to hold.
func (j *jobState) repeatedRuns() []job.RunID {
	if j.tasks == nil {
		return j.rec.Repeated // the job had ended before this owner took over
	}
	var out []job.RunID
	for i := range j.tasks {
		n := j.tasks[i].firstCounted
		if j.rec.Tasks[i].Done || j.rec.State.Final() {
			n = j.tasks[i].number
		}
		if n > 1 {
			out = append(out, job.RunID{Task: j.rec.TaskAt(j.rec.ID, i), Number: n})
		}
	}
	return out
}

// Written handles the confirmation that the store has a batch.
func (s *Shard) Written(now time.Duration, b Batch) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	s.storeUnavailable = false
	if b.Agents != nil {
		clear(s.storedAgents)
		for _, node := range b.Agents {
			s.storedAgents[node] = true
		}
		for node := range s.givenUp {
			if !s.storedAgents[node] {
				delete(s.givenUp, node)
				continue
			}
			delete(s.storedAgents, node)
			s.agentsDirty = true
		}
	}
	if b.Incarnations != nil {
		s.incarnationsWrittenLocked(&fx, b.Incarnations)
	}
	for i := range b.Writes {
		s.writtenLocked(now, &fx, &b.Writes[i])
	}
	s.passBarrierLocked(now, &fx, b.barrier)
	s.retrySuspectsLocked(now, &fx)
	s.placeWaitingLocked(now, &fx)
	return fx
}

func (s *Shard) writtenLocked(now time.Duration, fx *Effects, w *Write) {
	j := s.jobs[w.ID]
	if j == nil {
		return
	}
	if w.Record == nil {
		s.releaseLocked(j)
		delete(s.jobs, w.ID)
		return
	}
	for _, u := range w.settlements {
		if t := s.taskLocked(j, u.Value.Run.Task); t != nil && t.unrecordedRun == u.Value.Run.Number {
			t.unrecordedRun = 0
		}
		fx.settle(u.Node, u.Value)
	}
	for i := range w.Record.Tasks {
		if i < len(j.tasks) {
			j.tasks[i].recordedCrash = max(j.tasks[i].recordedCrash, newestCrash(&w.Record.Tasks[i]))
			j.tasks[i].storedFailures = max(j.tasks[i].storedFailures, len(w.Record.Tasks[i].FailedRuns))
		}
	}
	released := s.repeatedWrittenLocked(j, w.Record)
	first := !j.durable
	j.durable = true
	for _, reply := range j.waiters {
		fx.reply(reply, Response{Outcome: OK, State: w.Record.State})
	}
	j.waiters = nil
	if w.final && !j.reportedState.Final() {
		s.reportEndLocked(now, fx, j)
		return
	}
	if first {
		fx.log(Decision{Kind: "accepted", Job: w.ID, Age: now - j.acceptedAt, Wait: j.due - now})
	}
	if first || released {
		s.dispatchLocked(now, fx, j)
	}
}

// Rejected handles the store's answer that it has not taken a batch and never will. New jobs in it
// are refused, because they are certain never to run; the other records are written again.
func (s *Shard) Rejected(now time.Duration, b Batch, reason string) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	s.storeUnavailable = true
	s.denyLocked(&fx)
	if b.Agents != nil {
		s.agentsDirty = true
	}
	for i := range b.Writes {
		w := &b.Writes[i]
		j := s.jobs[w.ID]
		if j == nil {
			continue
		}
		if !j.durable && !j.rec.State.Final() {
			s.refuseUnrecordedLocked(&fx, j, reason)
			continue
		}
		s.rescheduleWriteLocked(j, w, now)
	}
	return fx
}

func (s *Shard) refuseUnrecordedLocked(fx *Effects, j *jobState, reason string) {
	for _, reply := range j.waiters {
		fx.reply(reply, Response{Outcome: Refused, Reason: ReasonStoreUnavailable, RetryAfter: time.Second})
	}
	s.unqueueLocked(j)
	s.releaseLocked(j)
	delete(s.jobs, j.rec.ID)
	s.dirty = slices.DeleteFunc(s.dirty, func(id job.ID) bool { return id == j.rec.ID })
	fx.log(Decision{Kind: "refused", Job: j.rec.ID, Reason: reason})
}

func (s *Shard) rescheduleWriteLocked(j *jobState, w *Write, now time.Duration) {
	if len(j.tasks) > 0 {
		j.tasks[0].unsettled = append(j.tasks[0].unsettled, w.settlements...)
	}
	s.markDirtyLocked(j, now)
}

// MarkStoreUnavailable notes that the store does not answer. New jobs are then refused at once
// instead of waiting with an unknown outcome.
func (s *Shard) MarkStoreUnavailable() Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	s.storeUnavailable = true
	s.denyLocked(&fx)
	return fx
}

// HasRecordWaiters reports whether a client waits for a record to be written.
func (s *Shard) HasRecordWaiters() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if len(j.waiters) > 0 && !j.rec.Spec.BestEffort || len(j.cancelWaiters) > 0 {
			return true
		}
	}
	return false
}
