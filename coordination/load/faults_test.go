package load

import (
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// faultLasts is how long most faults last.
const faultDuration = 1500 * time.Millisecond

// burst has more of the most urgent class come, times times as much, for a time.
func (w *world) burst(factor float64, length time.Duration) {
	w.burstFactor = factor
	w.after(length, func() { w.burstFactor = 1 })
}

// slow has some backend servers take longer.
func (w *world) slow(count int, factor float64) {
	for _, a := range w.agents[:count] {
		a.durationFactor = factor
		w.after(faultDuration, func() { a.durationFactor = 1 })
	}
}

// hang has tasks on some backend servers stand still: what is started there does not
// end until the fault is over.
func (w *world) hang(count int) {
	for _, a := range w.agents[:count] {
		a.tasksHang = true
		w.after(faultDuration, func() {
			a.tasksHang = false
			for run := range a.running {
				a.end(run, job.Done)
			}
		})
	}
}

// crash ends some backend servers with all that runs there, and brings empty ones.
func (w *world) crash(count int) {
	for _, a := range w.agents[:count] {
		a.crash(500 * time.Millisecond)
	}
}

// crash ends an agent's backend server with all that runs there, and brings an empty one
// in its place.
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

// deaf delays the news that some agents tell of their load.
func (w *world) delayUpdates(count int) {
	for _, a := range w.agents[:count] {
		a.slowUpdates = true
		w.after(faultDuration, func() { a.slowUpdates = false })
	}
}

// restart ends all entries and agents, and starts them again half a second later. The
// backend servers go on until their leases end. Clients whose jobs were cut off send
// them again.
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
	// resendAfter is the clients' pause after they were cut off.
	resendDelay = 1300 * time.Millisecond
)

// resend has clients whose tries were cut off come again.
func (w *world) resendCutOff() {
	for _, r := range w.jobs {
		if r.ended || r.entry == nil {
			continue
		}
		w.after(resendDelay-restartDuration, func() { w.send(r) })
	}
}
