package load

import (
	"fmt"
	"sync"
	"time"
)

// setSpeeds sets the speeds of the backend servers, in turn.
func (w *world) setSpeeds(pattern []float64) {
	for i, a := range w.agents {
		a.durationFactor = 1 / pattern[i%len(pattern)]
	}
}

// speedCapacity returns the agents' capacity as a multiple of what it is at speed 1.
func (w *world) speedCapacity() float64 {
	var cores, effective float64
	for _, a := range w.agents {
		cores += float64(a.capacity.CPUMillis)
		effective += float64(a.capacity.CPUMillis) / a.durationFactor
	}
	return effective / cores
}

// hasAdequateRoom reports whether the backend servers that an entry links and on which a job would
// be in time have room for all its tasks, and a tenth of their cores is free: in an overload there
// always is some room where a run has just ended.
func (w *world) hasAdequateRoom(r *request) bool {
	var longest time.Duration
	for _, d := range r.taskWork {
		longest = max(longest, d)
	}
	var fit, free, all int64
	for _, a := range w.subsets[r.entry.number] {
		if a.down || a.serverDown || w.now-r.submittedAt+time.Duration(float64(longest)*a.durationFactor) > r.objective {
			continue
		}
		room := max(0, a.freeMillis())
		fit += room / r.step.Demand.CPUMillis
		free += room
		all += a.capacity.CPUMillis
	}
	return fit >= int64(len(r.taskWork)) && free >= all/10
}

// freeMillis returns the free capacity of the backend server.
func (a *agent) freeMillis() int64 {
	free := a.capacity.CPUMillis
	for run := range a.running {
		free -= a.w.jobs[run.Task.Job].step.Demand.CPUMillis
	}
	return free
}

const (
	// tailShare is the share of tasks that take tailFactor times as long with heavyTails or stretchTasks.
	tailShare, tailFactor = 0.03, 7
)

// lengthenSome makes the last task of a job longer with the probability tailShare.
func (w *world) lengthenSome(r *request) {
	if w.heavyTails && w.rand.Float64() < tailShare {
		r.taskWork[len(r.taskWork)-1] *= tailFactor
	}
}

// unevenRun is a load on servers of unequal speed.
type unevenRun struct {
	setup
	pattern     []float64
	mix         []class
	share       float64
	updateDelay time.Duration
	heavyTails  bool
	// fault starts a fault a second after outcomes begin to count.
	fault func(*world)
}

// unevenOutcome has the outcomes of a load as shares of all jobs.
type unevenOutcome struct {
	outcomeShares
	// besideRoom is the share of the jobs that were refused beside adequate room.
	besideRoom float64
	queues     map[string]tally
}

func (o unevenOutcome) String() string {
	return fmt.Sprintf("%v | %.4f", o.outcomeShares, o.besideRoom)
}

// warmUp is how long a load is played before outcomes count, for speeds to become known.
const warmUp = 4 * time.Second

// play plays the load with each seed, with the servers' speeds considered or not.
func (u unevenRun) play(considered bool, runs uint64, length time.Duration) unevenOutcome {
	u.params.ServerSpeeds = considered
	out := unevenOutcome{queues: make(map[string]tally)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for seed := range runs {
		u.seed = seed
		w := newWorld(u.setup)
		wg.Go(func() {
			u.playOnce(w, length)
			mu.Lock()
			defer mu.Unlock()
			out.served += w.servedValue(u.mix) / float64(runs)
			out.besideRoom += float64(w.refusedBesideRoom)
			for queue, t := range w.tallies {
				out.queues[queue] = out.queues[queue].plus(t)
			}
		})
	}
	wg.Wait()
	var sum tally
	for _, t := range out.queues {
		sum = sum.plus(&t)
	}
	submitted := float64(sum.submitted)
	out.inTime, out.late = float64(sum.inTime)/submitted, float64(sum.late)/submitted
	out.refused, out.tooLate = float64(sum.refused)/submitted, float64(sum.tooLate)/submitted
	out.besideRoom /= submitted
	return out
}

func (u *unevenRun) playOnce(w *world, length time.Duration) {
	w.setSpeeds(u.pattern)
	w.updateDelay, w.heavyTails = u.updateDelay, u.heavyTails
	capacity := w.speedCapacity()
	w.runUntil(w.now + time.Second)
	w.run(u.mix, min(u.share, 0.6)*capacity, warmUp)
	w.tallies, w.refusedBesideRoom = make(map[string]*tally), 0
	if u.fault != nil {
		w.after(time.Second, func() { u.fault(w) })
	}
	w.run(u.mix, u.share*capacity, length)
	w.runUntil(w.now + 4*time.Second)
}
