package owner

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// Write is the write of one record to the store.
type Write struct {
	ID job.ID
	// Record is the job's newest record; nil removes it.
	Record *job.Record
	// settles has the settlements of the ends that the record covers.
	settles []Placed[Settlement]
	// final is set when the record includes the job's end.
	final bool
}

// Batch is written to the store in one atomic call.
type Batch struct {
	Writes []Write
	// Agents is the list of agents that may have runs of the shard; nil leaves the stored list
	// unchanged.
	Agents []string
}

// Empty reports whether there is nothing to write.
func (b *Batch) Empty() bool { return len(b.Writes) == 0 && b.Agents == nil }

// writeLocked schedules the write of a job's record by a time.
func (s *Shard) writeLocked(fx *Effects, j *jobState, by time.Duration) {
	if j.rec.Spec.BestEffort {
		s.settleAllLocked(fx, j)
		return
	}
	s.dirtyLocked(j, by)
	fx.Write = true
}

func (s *Shard) dirtyLocked(j *jobState, by time.Duration) {
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
	if s.closed || !s.dueLocked(now) {
		return b
	}
	if s.naming {
		b.Agents = s.agentsLocked()
		s.naming = false
	}
	n := min(len(s.dirty), maxBatch)
	for _, id := range s.dirty[:n] {
		b.Writes = append(b.Writes, s.takeLocked(id))
	}
	s.dirty = slices.Clone(s.dirty[n:])
	return b
}

// Due reports whether a record has to be written now.
func (s *Shard) Due(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && s.dueLocked(now)
}

func (s *Shard) dueLocked(now time.Duration) bool {
	if s.naming {
		return true
	}
	for _, id := range s.dirty {
		if j := s.jobs[id]; j != nil && now >= j.writeBy {
			return true
		}
	}
	return false
}

// agentsLocked returns the agents that have, or may get, runs of this shard.
func (s *Shard) agentsLocked() []string {
	out := make([]string, 0, len(s.links)+len(s.waitFor))
	for node := range s.links {
		out = append(out, node)
	}
	for node := range s.waitFor {
		if s.links[node] == nil {
			out = append(out, node)
		}
	}
	slices.Sort(out)
	return out
}

func (s *Shard) takeLocked(id job.ID) Write {
	j := s.jobs[id]
	j.writeBy = 0
	w := Write{ID: id}
	if j.drop {
		return w
	}
	r := *j.rec
	r.Tasks = slices.Clone(j.rec.Tasks)
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
		w.settles = append(w.settles, j.tasks[i].unsettled...)
		j.tasks[i].unsettled = nil
	}
	return w
}

// Written handles the confirmation that the store has a batch.
func (s *Shard) Written(now time.Duration, b Batch) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	s.storeBad = false
	if b.Agents != nil {
		clear(s.named)
		for _, node := range b.Agents {
			s.named[node] = true
		}
	}
	for i := range b.Writes {
		s.writtenLocked(now, &fx, &b.Writes[i])
	}
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
		delete(s.jobs, w.ID)
		return
	}
	for _, u := range w.settles {
		if t := s.taskLocked(j, u.What.Run.Task); t != nil && t.awaits == u.What.Run.Number {
			t.awaits = 0
		}
		fx.settle(u.Node, u.What)
	}
	for i := range w.Record.Tasks {
		if i < len(j.tasks) {
			j.tasks[i].recorded = max(j.tasks[i].recorded, newestCrash(&w.Record.Tasks[i]))
		}
	}
	first := !j.durable
	j.durable = true
	for _, reply := range j.waiters {
		fx.reply(reply, Verdict{Outcome: OK, State: w.Record.State})
	}
	j.waiters = nil
	if w.final && !j.shown.Final() {
		s.shownLocked(now, fx, j)
		return
	}
	if first {
		fx.log(Decision{What: "accepted", Job: w.ID, Age: now - j.accepted, Wait: j.due - now})
		s.dispatchLocked(now, fx, j)
	}
}

// Rejected handles the store's answer that it has not taken a batch and never will. New jobs in it
// are refused, because they are certain never to run; the other records are written again.
func (s *Shard) Rejected(now time.Duration, b Batch, reason string) Effects {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fx Effects
	s.storeBad = true
	if b.Agents != nil {
		s.naming = true
	}
	for i := range b.Writes {
		w := &b.Writes[i]
		j := s.jobs[w.ID]
		if j == nil {
			continue
		}
		if !j.durable && !j.rec.State.Final() {
			s.refuseLocked(&fx, j, reason)
			continue
		}
		s.restoreLocked(j, w, now)
	}
	return fx
}

func (s *Shard) refuseLocked(fx *Effects, j *jobState, reason string) {
	for _, reply := range j.waiters {
		fx.reply(reply, Verdict{Outcome: Refused, Reason: ReasonStore, RetryAfter: time.Second})
	}
	s.unqueueLocked(j)
	delete(s.jobs, j.rec.ID)
	s.dirty = slices.DeleteFunc(s.dirty, func(id job.ID) bool { return id == j.rec.ID })
	fx.log(Decision{What: "refused", Job: j.rec.ID, Reason: reason})
}

func (s *Shard) restoreLocked(j *jobState, w *Write, now time.Duration) {
	if len(j.tasks) > 0 {
		j.tasks[0].unsettled = append(j.tasks[0].unsettled, w.settles...)
	}
	s.dirtyLocked(j, now)
}

// StoreBad notes that the store does not answer. New jobs are then refused at once instead of
// waiting with an unknown outcome.
func (s *Shard) StoreBad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeBad = true
}

// Busy reports whether a client waits for a record to be written.
func (s *Shard) Busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		if len(j.waiters) > 0 && !j.rec.Spec.BestEffort || len(j.cancels) > 0 {
			return true
		}
	}
	return false
}
