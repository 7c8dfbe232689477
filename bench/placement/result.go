package main

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/shallotstep/shallotstep/coordination"
	"github.com/shallotstep/shallotstep/coordination/message"
	"github.com/shallotstep/shallotstep/state"
)

type answered struct {
	at      time.Duration
	outcome state.Outcome
}

// result is what a run came to.
type result struct {
	answers  []answered
	messages int
	waste    waste
	// counted is the wasted messages as the homes count them in their answers.
	counted     int
	refused     int
	asks        int
	unused      int // offers that nothing came of
	overcommits int
	// lastOvercommit is when a worker was last given more than it holds.
	lastOvercommit time.Duration
	// beyond is how long workers were in that state, added up.
	beyond time.Duration
	// controls counts what was done to running tasks for want of memory.
	controls map[coordination.Verb]int
	assigns  []*sentAssign
	starts   int
	failed   int
	// reasons says why jobs did not complete.
	reasons map[state.Reason]int
	spoiled int // starts of tasks whose job did not complete

	// slow is response over the ideal of the job alone on idle workers,
	// packed is response over the ideal packing, lost is response minus it.
	slow, packed []float64
	lost         []time.Duration
	// largest is slow of the jobs of the largest size.
	largest []float64
	// largeWait and largeTook are the longest of the large jobs: until the first
	// start, and until the answer.
	largeWait, largeTook time.Duration
	// perOperator is the mean of slow.
	perOperator [operators]float64
	jobsOf      [operators]int
}

func (s *sim) answered(m *message.Answer) {
	i, _ := strconv.Atoi(m.Key.ID)
	s.res.counted += m.Stats.Wasted
	if m.Outcome != state.Complete {
		s.res.reasons[m.Reason]++
	}
	s.res.answers[i] = answered{s.now, m.Outcome}
	s.open--
}

func (r *result) finish(s *sim) {
	ideal := packed(s.c, s.jobs)
	r.starts = len(s.began)
	for _, a := range r.assigns {
		switch {
		case a.useful:
		case a.ask:
			r.waste[askVain]++
		default:
			r.waste[sentRefused]++
		}
	}
	for i := range s.jobs {
		j := &s.jobs[i]
		if r.answers[i].outcome != state.Complete {
			r.failed++
			for k := range j.tasks {
				r.spoiled += s.began[state.TaskKey{Job: state.JobKey{Service: service, ID: strconv.Itoa(i)}, Index: k}]
			}
			continue
		}
		r.addJob(j, r.answers[i].at-j.at, ideal[i])
	}
	r.sort()
}

// addJob takes in the response of a job that completed.
func (r *result) addJob(j *plannedJob, took, ideal time.Duration) {
	slow := float64(took) / float64(j.longest+hops)
	r.slow = append(r.slow, slow)
	r.packed = append(r.packed, float64(took)/float64(ideal))
	r.lost = append(r.lost, took-ideal)
	if len(j.tasks) == state.MaxTasksPerJob {
		r.largest = append(r.largest, slow)
	}
	if len(j.tasks) >= largeJob {
		r.largeWait = max(r.largeWait, j.begun-j.at)
		r.largeTook = max(r.largeTook, took)
	}
	r.perOperator[j.operator] += slow
	r.jobsOf[j.operator]++
}

// sort ends the gathering of figures.
func (r *result) sort() {
	for i := range r.perOperator {
		r.perOperator[i] /= float64(max(1, r.jobsOf[i]))
	}
	slices.Sort(r.slow)
	slices.Sort(r.packed)
	slices.Sort(r.largest)
	slices.Sort(r.lost)
}

func quantile[T cmp.Ordered](sorted []T, q float64) T {
	var zero T
	if len(sorted) == 0 {
		return zero
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func header() string {
	return fmt.Sprintf("%-30s %6s %7s | %-13s | %-13s | %-17s | %6s %6s %6s %6s %6s | %5s %7s %4s | %-15s | %s",
		"run", "jobs", "starts", "over ideal", "over packing", "lost to packing", "msgs", "wasted", "refuse", "asks", "unused", "fail", "spoiled", "over", "large max s", "per operator")
}

func (r *result) line(name string) string {
	per := float64(max(1, r.starts))
	if len(r.largest) > 0 {
		name = fmt.Sprintf("%s (largest %.2f)", name, quantile(r.largest, 0.5))
	}
	return fmt.Sprintf("%-30s %6d %7d | %5.2f %7.2f | %5.3f %7.2f | %7.1fms %6.0fms | %6.2f %6.3f %6.3f %6.3f %6.3f | %5d %v %7d %4d (last at %.1fs, %.1fs in all) stopped %d throttled %d | %6.2f %8.2f | %.2f",
		name, len(r.answers), r.starts,
		quantile(r.slow, 0.5), quantile(r.slow, 0.99),
		quantile(r.packed, 0.5), quantile(r.packed, 0.99),
		milliseconds(quantile(r.lost, 0.5)), milliseconds(quantile(r.lost, 0.99)),
		float64(r.messages)/per, float64(r.waste.total())/per, float64(r.refused)/per, float64(r.asks)/per, float64(r.unused)/per,
		r.failed, r.reasons, r.spoiled, r.overcommits, r.lastOvercommit.Seconds(), r.beyond.Seconds(),
		r.controls[coordination.VerbStop], r.controls[coordination.VerbThrottle], r.largeWait.Seconds(), r.largeTook.Seconds(), r.perOperator)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func sortUsage(u []state.Usage) {
	slices.SortFunc(u, func(a, b state.Usage) int {
		return cmp.Or(cmp.Compare(a.Task.Job.ID, b.Task.Job.ID), cmp.Compare(a.Task.Index, b.Task.Index))
	})
}
