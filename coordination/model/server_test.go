package model

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/shallotstep/shallotstep/coordination/worker"
	"github.com/shallotstep/shallotstep/state/job"
)

var capacity = job.Demand{CPUMillis: 2000, MemoryMB: 2000}

// serverModel simulates a backend server: its lease, fencing, late calls and numbered ends of runs.
type serverModel struct {
	w     *world
	agent *agentModel
	// clockRate and clockOffset map the world's time to the server's clock.
	clockRate   float64
	clockOffset time.Duration
	// instance identifies the present incarnation, and bootedAt is when it started. ids counts the
	// IDs that the server has had.
	instance job.Instance
	bootedAt time.Duration
	ids      int
	up       bool
	// unreliableUntil is the time until which calls may be late and responses lost.
	unreliableUntil time.Duration

	// fencingToken is the highest incarnation of the agent that has called.
	fencingToken int64
	// leaseDeadline is the end of the lease in milliseconds of the server's clock.
	leaseDeadline int64
	// runs has the number of the active run of each task, and barred the highest run number of each
	// task that can't be started any more.
	runs          map[job.TaskID]int64
	barred        map[job.TaskID]int64
	ends          []serverEnd
	lastEndSeq    int64
	lastReportSeq int64

	// capacity is the reported capacity. Until formerCPUUntil, starts are checked against
	// formerCPU, the CPU reported before, since they may have been decided by it.
	capacity       job.Demand
	formerCPU      int64
	formerCPUUntil time.Duration
}

// serverEnd is the end of a run that is not acknowledged yet.
type serverEnd struct {
	worker.ListedEnd
	// lapsed is set if the lease expired before the end was acknowledged.
	lapsed bool
}

func newServer(w *world, a *agentModel) *serverModel {
	e := &serverModel{w: w, agent: a, clockOffset: w.randUpTo(time.Hour)}
	maxDrift := 0.02
	if w.mutant == excessClockDrift {
		maxDrift = 0.15
	}
	e.clockRate = 1 + maxDrift*(2*w.rand.Float64()-1)
	e.boot(true)
	e.tick()
	return e
}

// boot starts an incarnation. It holds nothing, and its clock and numbers start anew.
func (e *serverModel) boot(newID bool) {
	if newID {
		e.ids++
	}
	e.instance = job.Instance{ID: e.agent.name + "-" + strconv.Itoa(e.ids), StartedMS: e.w.now.Milliseconds()}
	e.bootedAt, e.lastReportSeq = e.w.now, 0
	e.up = true
	e.w.trace("- %s is up", e.name())
	e.fencingToken, e.leaseDeadline, e.lastEndSeq, e.ends = 0, 0, 0, nil
	e.capacity, e.formerCPU = capacity, 0
	e.runs, e.barred = make(map[job.TaskID]int64), make(map[job.TaskID]int64)
	e.report()
}

func (e *serverModel) name() string { return e.instance.String() }

func (e *serverModel) clock() int64 {
	return (time.Duration(float64(e.w.now-e.bootedAt)*e.clockRate) + e.clockOffset).Milliseconds()
}

// accepts reports whether a call for an instance is served. A call names only the ID.
func (e *serverModel) accepts(i job.Instance) bool { return e.up && i.ID == e.instance.ID }

// toldInstance returns an instance as the agent learns of it.
func (e *serverModel) toldInstance() job.Instance {
	i := e.instance
	switch e.w.mutant {
	case startTimesNotTold:
		i.StartedMS = 0
	case restartsUnderNewIDs:
		i = job.Instance{ID: i.String()}
	}
	return i
}

// calledInstance is the inverse of toldInstance, as far as calls name an instance.
func (e *serverModel) calledInstance(i job.Instance) job.Instance {
	i.ID, _, _ = strings.Cut(i.ID, "@")
	return i
}

// report sends the server's instance and capacity to its agent.
func (e *serverModel) report() {
	e.lastReportSeq++
	s := worker.Server{Instance: e.toldInstance(), Service: "desk", Capacity: e.capacity, Seq: e.lastReportSeq}
	sent := e.instance
	if e.w.mutant == capacityNotUpdated {
		s.Capacity = capacity
	}
	at := e.clock()
	delay := e.w.randUpTo(3 * time.Millisecond)
	if e.w.chance(0.02) {
		delay = e.w.randUpTo(2 * time.Second)
	}
	e.w.after(delay, func() {
		e.agent.run(func() {
			// The agent asks the server whether an instance with another ID runs.
			if e.agent.worker != nil && (sent.Precedes(e.instance) || sent == e.instance && e.up) {
				e.agent.apply(e.agent.worker.Report(e.w.now, s, at))
			}
		})
	})
}

// crash ends the instance with all its runs. Another instance starts after downtime.
func (e *serverModel) crash(downtime time.Duration) {
	if !e.up {
		return
	}
	for task := range e.runs {
		e.w.task(task).running--
	}
	e.runs = nil
	e.up = false
	newID := e.w.chance(0.5)
	e.w.after(downtime, func() { e.boot(newID) })
}

// capacityGrace is how long after the capacity has changed starts may still be based on the former
// capacity: an agent may be frozen for 3 s, and a call may be 1.5 s late.
const capacityGrace = 6 * time.Second

// resize changes the reported CPU capacity for a time.
func (e *serverModel) resize(cpuMillis int64, duration time.Duration) {
	if !e.up {
		return
	}
	e.formerCPU, e.formerCPUUntil = e.maxCPU(), e.w.now+capacityGrace
	e.capacity.CPUMillis = cpuMillis
	instance := e.instance
	e.w.after(duration, func() {
		if e.instance == instance {
			e.capacity = capacity
		}
	})
}

// maxCPU returns the thousandths of a core that runs may occupy at most.
func (e *serverModel) maxCPU() int64 {
	if e.w.now < e.formerCPUUntil {
		return max(e.formerCPU, e.capacity.CPUMillis)
	}
	return e.capacity.CPUMillis
}

// tick expires the lease and sends reports, every 10 ms.
func (e *serverModel) tick() {
	if e.up {
		e.expireLease()
		if e.lastReportSeq%10 == 0 || e.w.chance(0.1) {
			e.report()
		}
	}
	e.w.after(10*time.Millisecond, e.tick)
}

// extendLease extends the lease, which is shortened to the longest that the server grants.
func (e *serverModel) extendLease(deadline int64) {
	e.leaseDeadline = max(e.leaseDeadline, min(deadline, e.clock()+lease.Milliseconds()))
}

// expireLease ends all runs if the lease has expired.
func (e *serverModel) expireLease() {
	if e.clock() <= e.leaseDeadline {
		return
	}
	for _, task := range e.sortedTasks() {
		e.end(task, job.Lapsed)
	}
	for i := range e.ends {
		e.ends[i].lapsed = true
	}
}

// sortedTasks returns the tasks with an active run in a fixed order.
func (e *serverModel) sortedTasks() []job.TaskID {
	return slices.SortedFunc(maps.Keys(e.runs), job.TaskID.Compare)
}

// fenced reports whether a call of an incarnation of the agent must be rejected, because a later
// incarnation has called already.
func (e *serverModel) fenced(incarnation int64) bool {
	if incarnation < e.fencingToken && e.w.mutant != noCallFence {
		return true
	}
	e.fencingToken = max(e.fencingToken, incarnation)
	return false
}

func (e *serverModel) runStart(incarnation int64, c worker.StartCall) bool {
	e.w.trace("%s start %v incarnation %d fencing token %d clock %d deadline %d up %v for %s", e.name(), c.Run, incarnation, e.fencingToken, e.clock(), c.Deadline, e.up, c.Instance)
	if !e.accepts(c.Instance) || e.fenced(incarnation) {
		return false
	}
	if c.Deadline <= e.clock() && e.w.mutant != noStartDeadline {
		return false
	}
	e.expireLease()
	e.extendLease(c.Deadline)
	task := c.Run.Task
	number, active := e.runs[task]
	if active && number == c.Run.Number {
		return true
	}
	if active || c.Run.Number <= e.barred[task] {
		return false
	}
	e.runs[task] = c.Run.Number
	e.w.task(task).lastRun = max(e.w.task(task).lastRun, c.Run.Number)
	e.checkStart(task)
	instance := e.instance
	if e.w.client.crashes(task) {
		e.w.after(e.w.randUpTo(100*time.Millisecond), func() { e.crashByTask(task, c.Run.Number, instance) })
		return true
	}
	duration := e.w.randUpTo(900 * time.Millisecond)
	if e.w.chance(0.1) {
		duration = e.w.randUpTo(4 * time.Second)
	}
	if e.w.longTasks && e.w.chance(0.15) {
		duration = e.w.randUpTo(longTask)
	}
	e.w.after(duration, func() {
		if e.up && e.instance == instance && e.runs[task] == c.Run.Number {
			e.expireLease()
			if _, still := e.runs[task]; still {
				kind := job.Done
				if e.w.chance(0.1) {
					kind = job.FailedRun
				}
				e.end(task, kind)
			}
		}
	})
	return true
}

// checkStart checks the invariants when a run starts.
func (e *serverModel) checkStart(task job.TaskID) {
	t := e.w.task(task)
	t.running++
	t.starts++
	if t.running > 1 {
		e.w.addViolation(string(task.Job), "two concurrent runs of task %v", task)
	}
	if t.endAcked {
		e.w.addViolation(string(task.Job), "task %v was started after its acknowledged end", task)
	}
	if most := e.w.client.jobs[task.Job].attempts(); t.failuresAcked >= most {
		e.w.addViolation(string(task.Job), "task %v was started after %d of %d attempts had failed", task, t.failuresAcked, most)
	}
	if t.crashes >= maxCrashes && e.agent.stable() {
		t.startsAfterCrashes++
	}
	if t.startsAfterCrashes == excessStartsAfterCrashes {
		e.w.addViolation(string(task.Job), "task %v was started %d times after it had crashed %d backend servers", task, t.startsAfterCrashes, t.crashes)
	}
	if int64(len(e.runs))*taskDemand.CPUMillis > e.maxCPU() {
		e.w.addViolation(e.agent.name, "the runs on backend server %s exceed its capacity", e.name())
	}
	if e.w.client.jobs[task.Job].refused {
		e.w.addViolation(string(task.Job), "task %v was started, but its job was refused for good", task)
	}
}

const (
	// maxCrashes is how many backend servers a task may crash before it is given up.
	// excessStartsAfterCrashes is the number of later starts from which on the invariant is
	// violated.
	maxCrashes               = 3
	excessStartsAfterCrashes = 3
)

// crashByTask crashes the server if the given run is still active on the given instance.
func (e *serverModel) crashByTask(task job.TaskID, number int64, instance job.Instance) {
	if !e.up || e.instance != instance || e.runs[task] != number {
		return
	}
	e.w.trace("%s is crashed by %v run %d", e.name(), task, number)
	e.w.countCrash(task, e.agent)
	e.crash(e.w.randUpTo(3 * time.Second))
}

// crashReportTime is how long the report of a crash to the owner may take. The server is back after
// 3 s at most, and its lease has expired before that.
const crashReportTime = 4 * time.Second

// countCrash counts a crash of a backend server against a task after crashReportTime, if agent,
// owner and link were undisturbed until then. A crash is unknown to all processes if the agent
// fails at the same time, or if agent and owner both fail before the owner has recorded it.
func (w *world) countCrash(task job.TaskID, a *agentModel) {
	incarnation, o, l := a.incarnation, w.newestOwner(), a.ownerLink
	w.after(crashReportTime, func() {
		undisturbed := a.incarnation == incarnation && w.newestOwner() == o && l != nil && l.up && a.ownerLink == l && w.now >= a.frozenUntil && w.now >= o.frozenUntil
		if undisturbed {
			w.task(task).crashes++
		}
	})
}

func (e *serverModel) end(task job.TaskID, kind job.EndKind) {
	number := e.runs[task]
	e.w.trace("%s end %v run %d %v", e.name(), task, number, kind)
	delete(e.runs, task)
	e.barred[task] = number
	e.w.task(task).running--
	if kind == job.FailedRun {
		e.w.task(task).failures++
	}
	e.lastEndSeq++
	e.ends = append(e.ends, serverEnd{ListedEnd: worker.ListedEnd{Seq: e.lastEndSeq, Run: runOf(task, number), Kind: kind}})
}

func (e *serverModel) runStop(incarnation int64, c worker.StopCall) bool {
	if !e.accepts(c.Instance) || e.fenced(incarnation) {
		return false
	}
	e.w.trace("%s stop %v", e.name(), c.Run)
	task := c.Run.Task
	if number, active := e.runs[task]; active && number <= c.Run.Number {
		e.end(task, job.Stopped)
	}
	e.barred[task] = max(e.barred[task], c.Run.Number)
	return true
}

func (e *serverModel) hold(incarnation int64, c worker.HoldCall, h *worker.HoldResult) bool {
	if !e.accepts(c.Instance) || e.fenced(incarnation) {
		return false
	}
	e.expireLease()
	e.extendLease(c.Deadline)
	for len(e.ends) > 0 && e.ends[0].Seq <= c.Acked {
		if end := e.ends[0]; end.Kind == job.Done && !end.lapsed {
			e.endAcknowledged(end.Run)
		} else if end.Kind == job.FailedRun && !end.lapsed {
			e.w.task(end.Run.Task).failuresAcked++
		}
		e.ends = e.ends[1:]
	}
	h.StartedMS, h.ClockMS = e.toldInstance().StartedMS, e.clock()
	for _, task := range e.sortedTasks() {
		h.Active = append(h.Active, worker.ListedRun{Run: runOf(task, e.runs[task])})
	}
	for _, end := range e.ends {
		h.Ends = append(h.Ends, end.ListedEnd)
	}
	return true
}

// endAcknowledged records that a successful end of a task was acknowledged. From then on the task
// must not run again.
func (e *serverModel) endAcknowledged(run job.RunID) {
	task := run.Task
	e.w.trace("%s end of %v acknowledged", e.name(), run)
	t := e.w.task(task)
	if run.Number < t.lastRun {
		e.w.addViolation(string(task.Job), "the end of run %d of task %v was acknowledged after run %d had started", run.Number, task, t.lastRun)
	}
	if t.running > 0 {
		e.w.addViolation(string(task.Job), "a superseded end of task %v was acknowledged while another run is active", task)
	}
	t.endAcked = true
}

// holdFailure returns the failure of a hold call that was not answered or was rejected.
func (e *serverModel) holdFailure(c worker.HoldCall, answered bool) worker.HoldFailure {
	switch {
	case !answered:
		return worker.NoAnswer
	case !e.up:
		return worker.NotSent
	case !e.accepts(c.Instance):
		return worker.OtherInstance
	}
	return worker.NoAnswer
}
