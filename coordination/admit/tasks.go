package admit

import (
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/declaration"
)

// phase is how far a task came at this agent.
type phase uint8

const (
	// refused: not started, and never will be by a try up to entry.try.
	refused phase = iota
	queued
	running
	// ended: started once; its result may still be kept.
	ended
)

// entry is what the machine remembers of one task of a job.
type entry struct {
	key   state.TaskKey
	phase phase
	try   uint32
	job   *job
	// spec and deadline are kept while the task waits.
	spec     state.Task
	deadline time.Time // zero means none
	queuedAt time.Time
	declared resources
	operator string // who runs it, set when it starts
	reserved resources
	started  time.Time
	// dropped: the home has no use for the result.
	dropped bool
	// reported: a usage report has named it.
	reported bool
	relief   relief
	result   *state.TaskResult // nil once no longer kept
}

func (m *Machine) jobLocked(now time.Time, from state.NodeID, key state.JobKey) *job {
	j := m.jobs[key]
	if j == nil {
		j = &job{key: key, entries: make(map[int]*entry)}
		m.jobs[key] = j
	}
	j.home = from
	j.touched = now
	return j
}

func tryAt(tries []uint32, i int) uint32 {
	if i < len(tries) {
		return tries[i]
	}
	return 0
}

// validIndexes reports whether a job can have such tasks.
func validIndexes(indexes []int) bool {
	for _, i := range indexes {
		if i < 0 || i >= state.MaxTasksPerJob {
			return false
		}
	}
	return true
}

// assignLocked takes each task that is new here, or was refused at a lower try.
// For the others it says again what it knows.
func (m *Machine) assignLocked(now time.Time, from state.NodeID, a *message.Assign) {
	if len(a.Indexes) != len(a.Tasks) || !validIndexes(a.Indexes) {
		return
	}
	j := m.jobLocked(now, from, a.Key)
	j.operator = a.Operator
	j.priority = priorityOf(a)
	m.useCreditLocked(from, a.Key.Service, len(a.Indexes))
	busy := 0
	for i, index := range a.Indexes {
		try := tryAt(a.Tries, i)
		e := j.find(index)
		if e != nil && (e.phase != refused || e.try >= try) {
			m.tellLocked(e)
			continue
		}
		e = m.entryLocked(j, index, try)
		e.spec = a.Tasks[i]
		e.declared = resources{cores: e.spec.Cores, memoryMB: e.spec.MemoryMB}
		e.queuedAt = now
		e.deadline = time.Time{}
		if a.Deadline > 0 {
			e.deadline = now.Add(a.Deadline)
		}
		if m.takeLocked(now, e, a.Override) == state.ReasonBusy && try >= message.KeepFrom {
			busy++
		}
	}
	// Tasks refused for want of room are backlog of their home from now on.
	m.interestLocked(now, from, a, a.Backlog+busy)
}

// priorityOf returns the operator's priority; 1 is the lowest.
func priorityOf(a *message.Assign) int {
	if a.Priority <= 0 {
		return declaration.DefaultPriority
	}
	return a.Priority
}

func (m *Machine) entryLocked(j *job, index int, try uint32) *entry {
	e := &entry{key: state.TaskKey{Job: j.key, Index: index}, job: j, try: try}
	j.entries[index] = e
	return e
}

// takeLocked starts, queues or refuses a task, and says why it refused.
func (m *Machine) takeLocked(now time.Time, e *entry, override bool) state.Reason {
	reason := m.refusalLocked(now)
	switch {
	case reason != state.ReasonNone:
	case !slices.Contains(m.backend.Services, e.key.Job.Service):
		reason = state.ReasonNoBackend
	case !m.holdsLocked(e):
		reason = state.ReasonNeverRunnable
	case !override && !m.detector.admits(now, len(m.running)+m.queue.len()):
		reason = state.ReasonEjected
	case !m.queue.blocksNew() && m.fitsLocked(e):
	case m.queue.len() >= m.o.QueueLimit:
		reason = state.ReasonBusy
	}
	if reason != state.ReasonNone {
		m.refuseLocked(e, reason)
		return reason
	}
	e.phase = queued
	m.queue.push(e)
	m.seq++
	if m.fitsLocked(e) {
		// The queue may hold larger tasks that don't fit; turnLocked sorts out who goes.
		m.startNextLocked(now)
	}
	return state.ReasonNone
}

// refuseLocked rules the task out for its try and reports so.
func (m *Machine) refuseLocked(e *entry, reason state.Reason) {
	e.phase = refused
	e.spec = state.Task{}
	m.o.Metrics.refused(reason)
	m.outboxLocked(e.job.home).refuse(e, reason)
}

// tellLocked reports what is known of a task.
func (m *Machine) tellLocked(e *entry) {
	r := m.outboxLocked(e.job.home).report(e.key.Job)
	switch e.phase {
	case refused:
		m.outboxLocked(e.job.home).refuse(e, state.ReasonBusy)
	case queued, running:
		r.Running = append(r.Running, e.key.Index)
	case ended:
		r.Results = append(r.Results, e.answer())
	}
	m.outboxLocked(e.job.home).urgent = true
}

// answer returns the result, or a failure in place of one no longer kept.
func (e *entry) answer() state.TaskResult {
	if e.result != nil {
		return *e.result
	}
	return state.TaskResult{Index: e.key.Index, Err: "result no longer kept by the agent"}
}

// queryLocked reports on tasks. One that was never seen here is ruled out, so
// that an Assign still on its way can't start it after the sender has been told
// that it did not run.
func (m *Machine) queryLocked(now time.Time, from state.NodeID, q *message.TaskQuery) {
	m.settleLocked(now, from, q.Key, q.Indexes, q.Tries)
}

func (m *Machine) settleLocked(now time.Time, from state.NodeID, key state.JobKey, indexes []int, tries []uint32) {
	if !validIndexes(indexes) {
		return
	}
	j := m.jobLocked(now, from, key)
	for i, index := range indexes {
		try := tryAt(tries, i)
		e := j.find(index)
		if e == nil {
			e = m.entryLocked(j, index, try)
		}
		if e.phase == refused {
			e.try = max(e.try, try)
		}
		m.tellLocked(e)
	}
}

// dropLocked forgets what waits and stops what runs. Results of stopped tasks
// are not wanted, but the tasks are named if the sender asks.
func (m *Machine) dropLocked(now time.Time, from state.NodeID, d *message.Drop) []coordination.Action {
	var out []coordination.Action
	if j := m.jobs[d.Key]; j != nil {
		for _, index := range j.indexes() {
			e := j.entries[index]
			switch e.phase {
			case queued:
				m.queue.remove(e)
				e.phase = refused
				e.spec = state.Task{}
				m.seq++
			case running:
				e.dropped = true
				out = append(out, m.controlLocked(e, coordination.VerbStop, coordination.CauseDropped))
			}
		}
		m.interests.drop(from, d.Key)
	}
	if len(d.Indexes) > 0 {
		m.settleLocked(now, from, d.Key, d.Indexes, d.Tries)
	}
	return out
}

// Finished takes the end of a task that the backend server ran.
func (m *Machine) Finished(now time.Time, key state.TaskKey, r state.TaskResult) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sawLocked(now)
	e := m.running[key]
	if e == nil {
		return nil
	}
	m.finishLocked(now, e, r)
	return m.turnLocked(now)
}

func (m *Machine) finishLocked(now time.Time, e *entry, r state.TaskResult) {
	r.Index = e.key.Index
	if e.relief.stops > 0 && r.Err != "" {
		// The task is not to blame, and neither is the backend server.
		r.Err = errStopped + r.Err
	} else {
		m.detector.saw(now, e, r.Err != "", now.Sub(e.started))
	}
	m.endLocked(now, e, r)
}

// NotStarted takes back a task that the backend server certainly did not start.
func (m *Machine) NotStarted(now time.Time, key state.TaskKey, reason state.Reason) []coordination.Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sawLocked(now)
	e := m.running[key]
	if e == nil {
		return nil
	}
	if reason == state.ReasonBusy {
		m.detector.turnedAway(now)
	} else {
		m.detector.saw(now, e, true, 0)
	}
	m.releaseLocked(e)
	m.refuseLocked(e, reason)
	return m.turnLocked(now)
}

func (m *Machine) endLocked(now time.Time, e *entry, r state.TaskResult) {
	m.releaseLocked(e)
	e.phase = ended
	e.spec = state.Task{}
	m.keepLocked(now, e, r)
	e.job.touched = now
	if e.dropped {
		return
	}
	rep := m.outboxLocked(e.job.home).report(e.key.Job)
	rep.Results = append(rep.Results, r)
}

// loseRunningLocked reports as failed what a vanished backend server ran.
func (m *Machine) loseRunningLocked(now time.Time) {
	for _, e := range m.runningInOrderLocked() {
		m.holdLocked(now, e, false)
		m.endLocked(now, e, state.TaskResult{Index: e.key.Index, Err: "backend server restarted"})
	}
}
