package load

import (
	"maps"
	"slices"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// faultDuration is how long most faults last.
const faultDuration = 1500 * time.Millisecond

// burst multiplies the rate of jobs by a factor for a time.
func (w *world) burst(factor float64, length time.Duration) {
	w.burstFactor = factor
	w.after(length, func() { w.burstFactor = 1 })
}

// slow multiplies the duration of tasks on the first count backend servers by a factor.
func (w *world) slow(count int, factor float64) {
	for _, a := range w.agents[:count] {
		a.durationFactor = factor
		w.after(faultDuration, func() { a.durationFactor = 1 })
	}
}

// hang makes tasks hang on the first count backend servers: tasks started there don't end until the
// fault is over.
func (w *world) hang(count int) {
	for _, a := range w.agents[:count] {
		a.tasksHang = true
		w.after(faultDuration, func() {
			a.tasksHang = false
			for _, run := range a.sortedRuns() {
				a.end(run, job.Done)
			}
		})
	}
}

// crash crashes the first count backend servers for half a second.
func (w *world) crash(count int) {
	for _, a := range w.agents[:count] {
		a.crash(500 * time.Millisecond)
	}
}

// crash ends the instance of an agent's backend server with all its runs, and starts another one
// after downtime.
func (a *agent) crash(downtime time.Duration) {
	if a.serverDown {
		return
	}
	clear(a.running)
	a.ends, a.lastEndSeq = nil, 0
	a.serverDown = true
	a.serverInstance++
	a.w.after(downtime, func() {
		a.serverDown = false
		a.report()
	})
}

// delayUpdates delays the loads and events that the first count agents send.
func (w *world) delayUpdates(count int) {
	for _, a := range w.agents[:count] {
		a.slowUpdates = true
		w.after(faultDuration, func() { a.slowUpdates = false })
	}
}

// restart stops all entries and agents, and starts them again half a second later. The backend
// servers go on until their leases expire. Clients whose connections were lost resend their jobs.
func (w *world) restart() {
	for _, e := range w.entries {
		e.down = true
	}
	for _, a := range w.agents {
		a.down = true
	}
	w.after(restartDuration, func() {
		for _, a := range w.agents {
			a.start()
		}
		for _, e := range w.entries {
			e.start()
		}
		w.resendCutOff()
	})
}

const (
	restartDuration = 500 * time.Millisecond
	// resendDelay is how long clients wait before they resend a job after a lost connection.
	resendDelay = 1300 * time.Millisecond
)

// resendCutOff resends the jobs whose clients lost their connection in a restart.
func (w *world) resendCutOff() {
	for _, id := range slices.Sorted(maps.Keys(w.jobs)) {
		r := w.jobs[id]
		if r.ended || r.entry == nil {
			continue
		}
		w.after(resendDelay-restartDuration, func() { w.send(r) })
	}
}
