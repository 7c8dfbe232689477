package owner

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// backlog holds the tasks that wait at their owner for free capacity at a worker. Tasks of jobs
// that can be in time come first, then those of late jobs, each ordered by when they must start.
// Guarded by Shard.mu.
type backlog struct {
	tasks []waitingTask
	// places has the number of waiting tasks by placement key.
	places map[placeKey]int
	// room is the recent rate at which late tasks were placed, in cores: the capacity that jobs in
	// time leave over.
	room float64
	// prior is the least that room is assumed to be while no late task waits.
	prior   float64
	updated time.Duration
	// left is the work of the late tasks that were placed since updated.
	left time.Duration
}

// waitingTask is a task that is not placed at a worker yet.
type waitingTask struct {
	id     job.TaskID
	where  placeKey
	yields bool
	// latest is when the task must start to be in time, or, if it is late, to be of any use.
	latest time.Duration
	// work is the expected run time times the cores that it takes.
	work time.Duration
}

func (b *backlog) add(t waitingTask) {
	i, _ := slices.BinarySearchFunc(b.tasks, t, compareWaiting)
	b.tasks = slices.Insert(b.tasks, i, t)
	if b.places == nil {
		b.places = make(map[placeKey]int)
	}
	b.places[t.where]++
}

func compareWaiting(a, b waitingTask) int {
	if a.yields != b.yields {
		if a.yields {
			return 1
		}
		return -1
	}
	if a.latest <= b.latest {
		// Equal tasks stay in order of arrival.
		return -1
	}
	return 1
}

// fate is what backlog.filter does with a task.
type fate uint8

const (
	// stay keeps the task waiting.
	stay fate = iota
	// leave removes the task from the backlog.
	leave
	// stop keeps the task and all tasks behind it.
	stop
)

// filter calls look for each task in order until it returns stop.
func (b *backlog) filter(look func(*waitingTask) fate) {
	kept, at := 0, 0
	for ; at < len(b.tasks); at++ {
		verdict := look(&b.tasks[at])
		if verdict == stop {
			break
		}
		if verdict == leave {
			b.uncount(b.tasks[at].where)
			continue
		}
		if kept < at {
			b.tasks[kept] = b.tasks[at]
		}
		kept++
	}
	b.tasks = slices.Delete(b.tasks, kept, at)
}

func (b *backlog) uncount(where placeKey) {
	b.places[where]--
	if b.places[where] == 0 {
		delete(b.places, where)
	}
}

// placeKey has the properties that decide to which agents a task may go.
type placeKey struct {
	service, label, rack, domains string
	// suspect tasks go to agents without other suspects. They have keys of their own, so that they
	// don't hold up tasks that may go anywhere.
	suspect bool
}

func placeKeyOf(p *job.Policy, st *job.Step) placeKey {
	return placeKey{service: p.Service, label: st.Label, rack: st.Rack, domains: strings.Join(st.Domains, " ")}
}

// ahead returns the waiting work with the same key that is placed before a task that must start by
// latest.
func (b *backlog) ahead(where placeKey, yields bool, latest time.Duration) time.Duration {
	var work time.Duration
	for i := range b.tasks {
		t := &b.tasks[i]
		if t.yields && !yields || t.yields == yields && t.latest > latest {
			break
		}
		if t.where == where {
			work += t.work
		}
	}
	return work
}

// yielding reports whether late tasks wait.
func (b *backlog) yielding() bool {
	n := len(b.tasks)
	return n > 0 && b.tasks[n-1].yields
}

// expect sets the rate for late tasks that is assumed while none waits, in cores.
func (b *backlog) expect(prior float64) {
	if b.prior == 0 {
		b.room = prior
	}
	b.prior = prior
}

// measure updates the rate at which late tasks are placed, as a moving average with the given time
// constant.
func (b *backlog) measure(now time.Duration, memory time.Duration) {
	passed := now - b.updated
	if passed <= 0 {
		return
	}
	sample := float64(b.left) / float64(passed)
	if !b.yielding() {
		sample = max(sample, b.prior)
	}
	weight := 1 - math.Exp(-float64(passed)/float64(memory))
	b.room += weight * (sample - b.room)
	b.updated, b.left = now, 0
}

// yieldWork returns the work of all late tasks that wait.
func (b *backlog) yieldWork() time.Duration {
	var work time.Duration
	for i := len(b.tasks) - 1; i >= 0 && b.tasks[i].yields; i-- {
		work += b.tasks[i].work
	}
	return work
}

// yieldWait returns how long it takes to place an amount of late work.
func (b *backlog) yieldWait(work time.Duration) time.Duration {
	return time.Duration(float64(work) / max(b.room, leastRoom))
}

// leastRoom is the least rate, in cores, that yieldWait assumes.
const leastRoom = 0.1
