package load

import (
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// faultLasts is how long most faults last.
const faultLasts = 1500 * time.Millisecond

// burst has more of the most urgent class come, times times as much, for a time.
func (w *world) burst(times float64, length time.Duration) {
	w.times = times
	w.after(length, func() { w.times = 1 })
}

// slow has some backend servers take longer.
func (w *world) slow(count int, times float64) {
	for _, a := range w.agents[:count] {
		a.speed = times
		w.after(faultLasts, func() { a.speed = 1 })
	}
}

// hang has tasks on some backend servers stand still: what is started there does not
// end until the fault is over.
func (w *world) hang(count int) {
	for _, a := range w.agents[:count] {
		a.hangs = true
		w.after(faultLasts, func() {
			a.hangs = false
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
func (a *agent) crash(away time.Duration) {
	if a.dark {
		return
	}
	clear(a.running)
	a.ends, a.ended = nil, 0
	a.dark = true
	a.lives++
	a.w.after(away, func() {
		a.dark = false
		a.report()
	})
}

// deaf delays the news that some agents tell of their load.
func (w *world) deaf(count int) {
	for _, a := range w.agents[:count] {
		a.deaf = true
		w.after(faultLasts, func() { a.deaf = false })
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
	w.after(restartTakes, func() {
		for _, a := range w.agents {
			a.begin()
		}
		for _, e := range w.entries {
			e.begin()
		}
		w.resend()
	})
}

const (
	restartTakes = 500 * time.Millisecond
	// resendAfter is the clients' pause after they were cut off.
	resendAfter = 1300 * time.Millisecond
)

// resend has clients whose tries were cut off come again.
func (w *world) resend() {
	for _, r := range w.jobs {
		if r.ended || r.entry == nil {
			continue
		}
		w.after(resendAfter-restartTakes, func() { w.send(r) })
	}
}
