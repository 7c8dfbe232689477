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
	// counts has the number of waiting tasks by placement key.
	counts map[placementKey]int
	// lateRate is the recent rate at which late tasks were placed, in cores: the capacity that jobs
	// in time leave over.
	lateRate float64
	// latePrior is the least that lateRate is assumed to be while no late task waits.
	latePrior float64
	updated   time.Duration
	// lateStarted is the work of the late tasks that were placed since updated.
	lateStarted time.Duration
}

// waitingTask is a task that is not placed at a worker yet.
type waitingTask struct {
	id   job.TaskID
	key  placementKey
	late bool
	// latestStart is when the task must start to be in time, or, if it is late, to be of any use.
	latestStart time.Duration
	// work is the expected run time times the cores that it takes.
	work time.Duration
	// run is the expected run time.
	run time.Duration
}

func (b *backlog) add(t waitingTask) {
	i, _ := slices.BinarySearchFunc(b.tasks, t, compareWaiting)
	b.tasks = slices.Insert(b.tasks, i, t)
	if b.counts == nil {
		b.counts = make(map[placementKey]int)
	}
	b.counts[t.key]++
}

func compareWaiting(a, b waitingTask) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	if a.latestStart <= b.latestStart {
		// Equal tasks stay in order of arrival.
		return -1
	}
	return 1
}

// filterAction is what backlog.filter does with a task.
type filterAction uint8

const (
	// keepTask keeps the task waiting.
	keepTask filterAction = iota
	// removeTask removes the task from the backlog.
	removeTask
	// stopFilter keeps the task and all tasks behind it.
	stopFilter
)

// filter calls visit for each task in order until it returns stopFilter.
func (b *backlog) filter(visit func(*waitingTask) filterAction) {
	kept, at := 0, 0
	for ; at < len(b.tasks); at++ {
		action := visit(&b.tasks[at])
		if action == stopFilter {
			break
		}
		if action == removeTask {
			b.uncount(b.tasks[at].key)
			continue
		}
		if kept < at {
			b.tasks[kept] = b.tasks[at]
		}
		kept++
	}
	b.tasks = slices.Delete(b.tasks, kept, at)
}

func (b *backlog) uncount(key placementKey) {
	b.counts[key]--
	if b.counts[key] == 0 {
		delete(b.counts, key)
	}
}

// placementKey has the properties that decide to which agents a task may go.
type placementKey struct {
	service, label, rack, domains string
	// suspect tasks go to agents without other suspects. They have keys of their own, so that they
	// don't hold up tasks that may go anywhere.
	suspect bool
}

func placementKeyOf(p *job.Policy, st *job.Step) placementKey {
	return placementKey{service: p.Service, label: st.Label, rack: st.Rack, domains: strings.Join(st.Domains, " ")}
}

// workAhead returns the waiting work with the same key that is placed before a task that must start
// by latestStart.
func (b *backlog) workAhead(key placementKey, late bool, latestStart time.Duration) time.Duration {
	var work time.Duration
	for i := range b.tasks {
		t := &b.tasks[i]
		if t.late && !late || t.late == late && t.latestStart > latestStart {
			break
		}
		if t.key == key {
			work += t.work
		}
	}
	return work
}

// hasLate reports whether late tasks wait.
func (b *backlog) hasLate() bool {
	n := len(b.tasks)
	return n > 0 && b.tasks[n-1].late
}

// setLatePrior sets the rate for late tasks that is assumed while none waits, in cores.
func (b *backlog) setLatePrior(prior float64) {
	if b.latePrior == 0 {
		b.lateRate = prior
	}
	b.latePrior = prior
}

// updateLateRate updates the rate at which late tasks are placed, as a moving average with the
// given time constant.
func (b *backlog) updateLateRate(now time.Duration, timeConstant time.Duration) {
	elapsed := now - b.updated
	if elapsed <= 0 {
		return
	}
	sample := float64(b.lateStarted) / float64(elapsed)
	if !b.hasLate() {
		sample = max(sample, b.latePrior)
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(timeConstant))
	b.lateRate += weight * (sample - b.lateRate)
	b.updated, b.lateStarted = now, 0
}

// lateWork returns the work of all late tasks that wait.
func (b *backlog) lateWork() time.Duration {
	var work time.Duration
	for i := len(b.tasks) - 1; i >= 0 && b.tasks[i].late; i-- {
		work += b.tasks[i].work
	}
	return work
}

// lateWait returns how long it takes to place an amount of late work.
func (b *backlog) lateWait(work time.Duration) time.Duration {
	return time.Duration(float64(work) / max(b.lateRate, minLateRate))
}

// minLateRate is the least rate, in cores, that lateWait assumes.
const minLateRate = 0.1
