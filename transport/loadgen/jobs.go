package loadgen

import (
	"cmp"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/shallotstep/shallotstep/protocol/api"
	"github.com/shallotstep/shallotstep/state"
)

// planned is one job of a run.
type plannedJob struct {
	id string
	// at is when it is due, from the start of the run.
	due   time.Duration
	tasks []plannedTask
	// again is when it is submitted a second time, and cancel when it is
	// cancelled, from the start of the run. Zero means not.
	resubmitAt time.Duration
	cancelAt   time.Duration
}

// plannedTask is one task and what the backend server will make of it.
type plannedTask struct {
	kind    *TaskKind
	runTime time.Duration
}

// newPlan draws the jobs of a run on a system with so many slots. Arrivals are
// a Poisson process; with Load one whose work is what it happened to be.
func drawJobs(c *Config, slots int) []plannedJob {
	rng := rand.New(rand.NewPCG(c.Seed, c.Stream))
	profile := newRateProfile(c.Length.D(), c.Phases)
	if c.Load > 0 {
		return c.drawJobsForLoad(rng, profile, slots)
	}
	rate := c.jobRate()
	var jobs []plannedJob
	for nominal := time.Duration(0); ; {
		nominal += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if nominal >= profile.nominalLength() {
			return jobs
		}
		jobs = append(jobs, c.drawJob(rng, len(jobs), profile.runTime(nominal)))
	}
}

// planLoad draws jobs until their work is the load, due at independent times:
// that is a Poisson process of which the number of arrivals is known.
func (c *Config) drawJobsForLoad(rng *rand.Rand, profile rateProfile, slots int) []plannedJob {
	total := profile.nominalLength()
	left := time.Duration(c.Load * float64(slots) * float64(total))
	var jobs []plannedJob
	for left > 0 && len(jobs) < maxJobs {
		due := profile.runTime(time.Duration(rng.Int64N(int64(total))))
		jobs = append(jobs, c.drawJob(rng, len(jobs), due))
		left -= jobs[len(jobs)-1].work()
	}
	slices.SortStableFunc(jobs, func(a, b plannedJob) int { return cmp.Compare(a.due, b.due) })
	for i := range jobs {
		jobs[i].id = jobID(c.Run, i)
	}
	return jobs
}

func jobID(run string, n int) string { return run + "-" + strconv.Itoa(n) }

func (c *Config) drawJob(rng *rand.Rand, n int, due time.Duration) plannedJob {
	j := plannedJob{id: jobID(c.Run, n), due: due}
	for range c.Sizes.draw(rng) {
		kind, runTime := c.Mix.draw(rng)
		j.tasks = append(j.tasks, plannedTask{kind, runTime})
	}
	longest := j.longestRunTime()
	u := rng.Float64()
	// The second submission and the cancellation come before or after the
	// answer, about as often.
	later := due + time.Duration(rng.Float64()*2*float64(longest)) + 1
	switch {
	case u < c.Resubmit:
		j.resubmitAt = later
	case u < c.Resubmit+c.Cancel:
		j.cancelAt = later
	}
	return j
}

func (j *plannedJob) longestRunTime() time.Duration {
	longest := time.Duration(0)
	for i := range j.tasks {
		longest = max(longest, j.tasks[i].runTime)
	}
	return longest
}

func (j *plannedJob) work() time.Duration {
	work := time.Duration(0)
	for i := range j.tasks {
		work += j.tasks[i].runTime
	}
	return work
}

// payload is what the stand-in backend server understands.
type payload struct {
	Step   string `json:"step"`
	WorkMS int64  `json:"work_ms"`
	Echo   string `json:"echo"`
}

// echo returns the result that belongs to a task and to no other.
func (j *plannedJob) echo(task int) string { return j.id + "/" + strconv.Itoa(task) }

// submission returns the job as its caller states it. The expected time is its
// kind's mean: callers know what they ask for and not how long it takes.
func (j *plannedJob) submission(c *Config) api.Submission {
	s := api.Submission{Kind: api.KindJob, Deadline: c.Deadline.D()}
	s.Job.Key = state.JobKey{Service: c.Service, ID: j.id}
	for i := range j.tasks {
		t := &j.tasks[i]
		body, err := json.Marshal(payload{Step: t.kind.Step, WorkMS: t.runTime.Milliseconds(), Echo: j.echo(i)})
		if err != nil {
			panic(err) // every payload has a JSON form
		}
		s.Job.Tasks = append(s.Job.Tasks, state.Task{Payload: body, Expected: t.kind.meanRunTime()})
	}
	return s
}
