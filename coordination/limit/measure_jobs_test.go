package limit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/shallotstep/shallotstep/state"
)

// playedJob is one submission in the measured system.
type playedJob struct {
	arrived, longest time.Duration
	waiting          []time.Duration // run times of its tasks without a slot
	tasks, left      int
}

// order is where a home has it stand: see orderTime in coordination/home.
func (j *playedJob) order(deadline time.Duration) time.Duration {
	window := 5 * time.Second
	if deadline > 0 {
		window = min(window, deadline/4)
	}
	return j.arrived + min(window, time.Duration(len(j.waiting))*meanTask)
}

// jobsResult is what a run came to, without its first quarter.
type jobsResult struct {
	offered, late                int
	refused                      map[state.Reason]int
	mean, meanSmall, p99         time.Duration
	mostInFlight, tasks, started int
}

func (r jobsResult) String() string {
	return fmt.Sprintf("offered %d refused %v late %d mean %v small %v p99 %v most in flight %d, tasks done %d of %d",
		r.offered, r.refused, r.late, r.mean, r.meanSmall, r.p99, r.mostInFlight, r.started, r.tasks)
}

func (r jobsResult) refusals() (n int) {
	for _, k := range r.refused {
		n += k
	}
	return n
}

// offering is what callers do: a load in parts of all slots, and for how long
// they wait. slots gives the slots at a time.
type offering struct {
	load     float64
	deadline time.Duration
	slots    func(time.Duration) int
}

func steady(time.Duration) int { return 88 }

// drawTasks draws a job as in bench/placement: most are small, a few of 20 to 60.
func drawTasks(rng *rand.Rand) []time.Duration {
	n := 1
	switch x := rng.Float64(); {
	case x > 0.9:
		n = 20 + rng.IntN(41)
	case x > 0.6:
		n = 2 + rng.IntN(9)
	}
	out := make([]time.Duration, n)
	for i := range out {
		out[i] = minRun + time.Duration(rng.Int64N(int64(time.Second-minRun)))
	}
	return out
}

const (
	span     = 3 * time.Minute
	measured = span - span/4

	meanTasks = 0.6 + 0.3*6 + 0.1*40
	meanTask  = 525 * time.Millisecond
)

// playedRun is a task in a slot.
type playedRun struct {
	end time.Duration
	job *playedJob
}

// playedSystem is an entry's limits before slots that take jobs as a home does.
type playedSystem struct {
	offering
	limits      *Limits
	rng         *rand.Rand
	next        time.Duration // the next arrival
	queue       []*playedJob
	running     []playedRun
	took, small []time.Duration
	res         jobsResult
}

// playJobs offers jobs for three minutes.
func playJobs(o offering, seed uint64) jobsResult {
	s := &playedSystem{offering: o, limits: New(Options{}), rng: rand.New(rand.NewPCG(seed, 2))}
	s.res.refused = map[state.Reason]int{}
	for at := time.Duration(0); at < span; at += time.Millisecond {
		s.running = slices.DeleteFunc(s.running, func(r playedRun) bool {
			if r.end > at {
				return false
			}
			if r.job.left--; r.job.left == 0 {
				s.finish(at, r.job)
			}
			return true
		})
		s.arrive(at)
		s.start(at)
		s.res.mostInFlight = max(s.res.mostInFlight, int(s.limits.inFlight.Load()))
	}
	slices.Sort(s.took)
	s.res.mean, s.res.meanSmall, s.res.p99 = meanOf(s.took), meanOf(s.small), s.took[len(s.took)*99/100]
	return s.res
}

func (s *playedSystem) finish(at time.Duration, j *playedJob) {
	d := at - j.arrived
	s.limits.Finish(start.Add(at), End{Operator: "op", Service: "s", Tasks: j.tasks, Elapsed: d, Ran: j.longest, OK: true})
	if at <= span-measured {
		return
	}
	s.took = append(s.took, d)
	s.res.started += j.tasks
	if j.tasks <= smallJob {
		s.small = append(s.small, d)
	}
	if s.deadline > 0 && d > s.deadline {
		s.res.late++
	}
}

func (s *playedSystem) arrive(at time.Duration) {
	rate := s.load * 88 / (meanTask.Seconds() * meanTasks)
	for ; s.next <= at; s.next += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)) {
		tasks := drawTasks(s.rng)
		v := s.limits.Admit(start.Add(at), "op", "s", len(tasks), s.deadline)
		if v.OK {
			s.queue = append(s.queue, &playedJob{at, slices.Max(tasks), tasks, len(tasks), len(tasks)})
		}
		if at <= span-measured {
			continue
		}
		s.res.offered++
		s.res.tasks += len(tasks)
		if !v.OK {
			s.res.refused[v.Reason]++
		}
	}
}

func (s *playedSystem) start(at time.Duration) {
	for len(s.queue) > 0 && len(s.running) < s.slots(at) {
		j := slices.MinFunc(s.queue, func(a, b *playedJob) int {
			return cmp.Compare(a.order(s.deadline), b.order(s.deadline))
		})
		s.running = append(s.running, playedRun{at + j.waiting[0], j})
		if j.waiting = j.waiting[1:]; len(j.waiting) == 0 {
			i := slices.Index(s.queue, j)
			s.queue = slices.Delete(s.queue, i, i+1)
		}
	}
}

func meanOf(d []time.Duration) (mean time.Duration) {
	for _, x := range d {
		mean += x / time.Duration(len(d))
	}
	return mean.Round(time.Millisecond)
}

// Callers submit jobs of one to sixty tasks and wait for a while. At 95 % of the
// slots queues come and go: few jobs may be refused, and none for good because a
// queue was long once. At three times the load, and when half of the slots go,
// the slots stay busy, small jobs wait little, and no answer comes too late. Each
// of 16 seeds is held to all of it.
func TestAdaptiveWithJobs(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed ", seed+1), func(t *testing.T) {
			t.Parallel()
			adaptiveWithJobs(t, seed+1)
		})
	}
}

func adaptiveWithJobs(t *testing.T, seed uint64) {
	is := is.New(t)
	halved := func(at time.Duration) int {
		if at > time.Minute {
			return 44
		}
		return 88
	}
	const patient, hurried = 20 * time.Second, 2 * time.Second
	near := playJobs(offering{0.95, patient, steady}, seed)
	t.Logf("0.95, 20 s: %v", near)
	is.True(near.refusals() <= near.offered*3/100)
	is.Equal(near.late, 0)
	nearHurried := playJobs(offering{0.95, hurried, steady}, seed)
	t.Logf("0.95, 2 s: %v", nearHurried)
	is.True(nearHurried.refusals()+nearHurried.late <= nearHurried.offered*4/100)
	over := playJobs(offering{3, patient, steady}, seed)
	t.Logf("3, 20 s: %v", over)
	is.True(over.started >= int(0.98*88*measured.Seconds()/meanTask.Seconds()))
	is.True(over.meanSmall <= 3*near.meanSmall/2)
	is.True(over.p99 <= patient/4)
	is.Equal(over.late, 0)
	less := playJobs(offering{0.95, patient, halved}, seed)
	t.Logf("0.95, 20 s, half of the slots go: %v", less)
	is.Equal(less.late, 0)
}
