package admit

import (
	"cmp"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/state"
)

// Marks are shares of a worker's memory, by what the tasks that run are reported
// to use together.
type Marks struct {
	// Low is where the machine lets go again: tasks start, throttles end.
	Low float64
	// Hold is above which nothing more is started.
	Hold float64
	// Throttle is above which tasks are throttled, and in the end checkpointed.
	Throttle float64
	// Stop is above which tasks are stopped.
	Stop float64
}

// DefaultMarks leave running tasks alone until the worker is all but full:
// admission fills it to the brim with tasks whose sizes are right.
var DefaultMarks = Marks{Low: 0.85, Hold: 0.9, Throttle: 0.97, Stop: 1}

const (
	// reportLag is for how long reports say that a throttle didn't help before
	// tasks are checkpointed.
	reportLag = 2 * time.Second
	// longRun is from when on a task has so much done that it is worth a
	// checkpoint.
	longRun = 2 * time.Second
	// stopTries is how many reports in a row may show a task that was told to
	// stop before another one is picked.
	stopTries = 3
	// errStopped begins the error of a task that was stopped here.
	errStopped = "stopped by the agent because the worker ran out of memory: "
)

// pressure is what reports say of the memory in use, and what was done about it.
//
// Reports lag. What is counted is the last word on each task that still runs:
// one that has ended since counts no more, one that no report has named yet is
// not counted. So the sum is too low rather than too high, and nothing is
// stopped on a guess. Short tasks end before they are reported; whatever excess
// they make is gone sooner than anything could be done about it.
type pressure struct {
	usedMB int64
	hold   bool
	// newest is the latest time that a report speaks of, aboveSince the first
	// since when all reports were above the throttle mark.
	newest     time.Time
	aboveSince time.Time // zero means they are not
	// actedAt is the last time that a task was interfered with or that a stopped
	// one ended. Reports on the time before say nothing about the effect.
	actedAt  time.Time
	stopping *entry
}

// relief is what pressure knows of one running task.
type relief struct {
	usedMB       int64
	throttled    bool
	checkpointed bool
	// stops is how often the task was told to stop.
	stops int
}

// saw takes in a report on a running task. Its run time says which time the
// report speaks of; one without a run time gives no occasion to act.
func (p *pressure) saw(now time.Time, e *entry, u *state.Usage) {
	used := u.MemoryMB
	if u.Done {
		used = 0
	}
	p.usedMB += used - e.relief.usedMB
	e.relief.usedMB = used
	at := e.started.Add(u.Ran)
	if at.After(now) {
		at = now
	}
	if u.Ran > 0 && at.After(p.newest) {
		p.newest = at
	}
}

// ended takes a task out of the count.
func (p *pressure) ended(now time.Time, e *entry) {
	p.usedMB -= e.relief.usedMB
	e.relief.usedMB = 0
	if e.relief.stops > 0 {
		p.actedAt = now
	}
	if p.stopping == e {
		p.stopping = nil
	}
}

func (m *Machine) controlLocked(e *entry, v coordination.Verb, c coordination.Cause) coordination.Action {
	m.o.Metrics.controlled(v, c)
	return coordination.Control{Task: e.key, Verb: v, Cause: c, Operator: e.operator}
}

// easeLocked keeps the hold on starts between its two marks, and ends throttles
// below the lower one. Without the gap each end of a task would start another
// and each report hold it up.
func (m *Machine) easeLocked() []coordination.Action {
	p := &m.pressure
	if m.backend == nil || m.backend.MemoryMB <= 0 {
		return nil
	}
	share := float64(p.usedMB) / float64(m.backend.MemoryMB)
	switch {
	case !p.hold && share > m.o.Marks.Hold:
		p.hold = true
		m.seq++
	case p.hold && share < m.o.Marks.Low:
		p.hold = false
		m.seq++
		return m.releaseThrottledLocked()
	}
	return nil
}

func (m *Machine) releaseThrottledLocked() []coordination.Action {
	var out []coordination.Action
	for _, e := range m.runningInOrderLocked() {
		if e.relief.throttled {
			e.relief.throttled = false
			out = append(out, m.controlLocked(e, coordination.VerbRelease, coordination.CauseMemory))
		}
	}
	return out
}

// relieveLocked is the last resort when what runs uses too much together. It
// takes one step for one report, and none for a report on the time before the
// last step. Otherwise the reports that were on their way when a task was
// stopped would each stop another for the same excess. It runs on reports
// alone: a backend server that is frozen or cut off has nobody stopped.
func (m *Machine) relieveLocked(now time.Time) []coordination.Action {
	p := &m.pressure
	if m.backend == nil || m.backend.MemoryMB <= 0 {
		return nil
	}
	share := float64(m.relievableLocked()) / float64(m.backend.MemoryMB)
	if share <= m.o.Marks.Throttle {
		p.aboveSince = time.Time{}
		return nil
	}
	if !p.newest.After(p.actedAt) {
		return nil
	}
	if p.aboveSince.IsZero() {
		p.aboveSince = p.newest
	}
	var out []coordination.Action
	if p.newest.Sub(p.aboveSince) >= reportLag {
		out = m.checkpointLocked(now)
	}
	if share > m.o.Marks.Stop {
		out = append(out, m.stopOneLocked()...)
	} else {
		out = append(out, m.throttleOneLocked()...)
	}
	if len(out) > 0 {
		p.actedAt = now
	}
	return out
}

// relievableLocked is the memory in use but for tasks whose homes have had them
// stopped: that is as good as free.
func (m *Machine) relievableLocked() int64 {
	used := m.pressure.usedMB
	for _, e := range m.running {
		if e.dropped {
			used -= e.relief.usedMB
		}
	}
	return used
}

// victimsLocked returns the tasks to interfere with, the first one first: of the
// lowest priority, and of these the youngest, because it loses the least work.
// Tasks that no report has named are left out: it isn't known that they use
// anything, so stopping them could go on and on without effect.
func (m *Machine) victimsLocked() []*entry {
	all := m.runningInOrderLocked()
	slices.Reverse(all)
	all = slices.DeleteFunc(all, func(e *entry) bool { return e.dropped || e.relief.usedMB == 0 })
	slices.SortStableFunc(all, func(a, b *entry) int { return cmp.Compare(a.job.priority, b.job.priority) })
	return all
}

func (m *Machine) throttleOneLocked() []coordination.Action {
	for _, e := range m.victimsLocked() {
		if !e.relief.throttled && e.relief.stops == 0 {
			e.relief.throttled = true
			return []coordination.Action{m.controlLocked(e, coordination.VerbThrottle, coordination.CauseMemory)}
		}
	}
	return nil
}

func (m *Machine) checkpointLocked(now time.Time) []coordination.Action {
	var out []coordination.Action
	for _, e := range m.victimsLocked() {
		if !e.relief.checkpointed && e.relief.stops == 0 && now.Sub(e.started) >= longRun {
			e.relief.checkpointed = true
			out = append(out, m.controlLocked(e, coordination.VerbCheckpoint, coordination.CauseMemory))
		}
	}
	return out
}

// stopOneLocked stops a task, or tells the last one again as long as it has not
// ended: the first call may have been lost.
func (m *Machine) stopOneLocked() []coordination.Action {
	p := &m.pressure
	if p.stopping == nil || p.stopping.relief.stops >= stopTries {
		p.stopping = m.nextToStopLocked()
	}
	if p.stopping == nil {
		return nil
	}
	p.stopping.relief.stops++
	return []coordination.Action{m.controlLocked(p.stopping, coordination.VerbStop, coordination.CauseMemory)}
}

func (m *Machine) nextToStopLocked() *entry {
	for _, e := range m.victimsLocked() {
		if e.relief.stops == 0 {
			return e
		}
	}
	return nil
}
