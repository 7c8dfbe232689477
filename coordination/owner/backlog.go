package owner

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/shallotstep/shallotstep/state/job"
)

// backlog has the tasks that wait at their owner for room at a worker: first those
// of jobs that can be in time, then those of late ones, each by when they must
// start. Guarded by Shard.mu.
type backlog struct {
	tasks []waitingTask
	// places counts the tasks of each place.
	places map[placeKey]int
	// room is the rate at which late tasks have left lately, in cores. It is what
	// is left of the workers by those that can be in time.
	room float64
	// prior is what room is taken to be while no late task waits.
	prior   float64
	updated time.Duration
	// left is the work of late tasks that left since then.
	left time.Duration
}

// waitingTask is a task without a worker.
type waitingTask struct {
	id     job.TaskID
	where  placeKey
	yields bool
	// latest is when it must start to be in time, or of any use if it yields.
	latest time.Duration
	// work is its expected time of one core.
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
		// Equal ones keep the order in which they came.
		return -1
	}
	return 1
}

// fate is what becomes of a waiting task that was looked at.
type fate uint8

const (
	// stay keeps it waiting.
	stay fate = iota
	// leave takes it out.
	leave
	// stop keeps it and all that come after it.
	stop
)

// filter looks at the tasks in order until it is told to stop.
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

// placeKey is what decides where a task may go.
type placeKey struct {
	service, label, rack, domains string
	// suspect tasks go where no others are, and hold up none that may go anywhere.
	suspect bool
}

func placeKeyOf(p *job.Policy, st *job.Step) placeKey {
	return placeKey{service: p.Service, label: st.Label, rack: st.Rack, domains: strings.Join(st.Domains, " ")}
}

// ahead is the work that goes before a task that must start by a time.
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

// expect sets what the room for late tasks is taken to be while none waits.
func (b *backlog) expect(prior float64) {
	if b.prior == 0 {
		b.room = prior
	}
	b.prior = prior
}

// measure brings the room for late tasks up to date.
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

// yieldWork is the work of the late tasks that wait.
func (b *backlog) yieldWork() time.Duration {
	var work time.Duration
	for i := len(b.tasks) - 1; i >= 0 && b.tasks[i].yields; i-- {
		work += b.tasks[i].work
	}
	return work
}

// yieldWait is how long late work takes to leave.
func (b *backlog) yieldWait(work time.Duration) time.Duration {
	return time.Duration(float64(work) / max(b.room, leastRoom))
}

// leastRoom is the least room, in cores, that is reckoned with for late tasks.
const leastRoom = 0.1
