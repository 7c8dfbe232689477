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

// plannedJob is one job of a run. Its times are from the start of the run.
type plannedJob struct {
	id string
	// due is the time of the first submission.
	due   time.Duration
	tasks []plannedTask
	// resubmitAt is the time of the second submission, cancelAt the time of the
	// cancellation. Zero means that there is none.
	resubmitAt time.Duration
	cancelAt   time.Duration
}

// plannedTask is one task of a job and its run time at the backend server.
type plannedTask struct {
	kind    *TaskKind
	runTime time.Duration
}

// drawJobs draws the jobs of a run on a system with the given number of slots.
// Arrivals are a Poisson process; if LoadShare is set, one that is conditioned on the
// total run time of its tasks.
func drawJobs(c *Config, slots int) []plannedJob {
	rng := rand.New(rand.NewPCG(c.Seed, c.Stream))
	profile := newRateProfile(c.Length.D(), c.Phases)
	if c.LoadShare > 0 {
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

// drawJobsForLoad draws jobs until their total run time reaches the load. Their
// arrival times are independent and uniform in nominal time, which makes them a
// Poisson process with a given number of arrivals.
func (c *Config) drawJobsForLoad(rng *rand.Rand, profile rateProfile, slots int) []plannedJob {
	total := profile.nominalLength()
	left := time.Duration(c.LoadShare * float64(slots) * float64(total))
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

// jobID returns the id of the nth job of a run, from 0 in the order of arrival.
func jobID(run string, n int) string { return run + "-" + strconv.Itoa(n) }

// drawJob draws the size, the tasks and the resubmission or cancellation of the
// nth job.
func (c *Config) drawJob(rng *rand.Rand, n int, due time.Duration) plannedJob {
	j := plannedJob{id: jobID(c.Run, n), due: due}
	for range c.Sizes.draw(rng) {
		kind, runTime := c.Mix.draw(rng)
		j.tasks = append(j.tasks, plannedTask{kind, runTime})
	}
	longest := j.longestRunTime()
	u := rng.Float64()
	// The time of the second submission or cancellation is uniform in twice the
	// longest run time, so that about half of them come before the answer.
	later := due + time.Duration(rng.Float64()*2*float64(longest)) + 1
	switch {
	case u < c.ResubmitShare:
		j.resubmitAt = later
	case u < c.ResubmitShare+c.CancelShare:
		j.cancelAt = later
	}
	return j
}

// longestRunTime returns the run time of the longest task.
func (j *plannedJob) longestRunTime() time.Duration {
	longest := time.Duration(0)
	for i := range j.tasks {
		longest = max(longest, j.tasks[i].runTime)
	}
	return longest
}

// work returns the total run time of the tasks.
func (j *plannedJob) work() time.Duration {
	work := time.Duration(0)
	for i := range j.tasks {
		work += j.tasks[i].runTime
	}
	return work
}

// payload is the payload of a task for the stand-in backend server.
type payload struct {
	Step   string `json:"step"`
	WorkMS int64  `json:"work_ms"`
	Echo   string `json:"echo"`
}

// echo returns the expected result of a task, which is unique in the run.
func (j *plannedJob) echo(task int) string { return j.id + "/" + strconv.Itoa(task) }

// submission returns the request for the job. The expected run time of a task is
// the mean of its kind, because real callers know the kind of a task but not its
// actual run time.
func (j *plannedJob) submission(c *Config) api.Submission {
	s := api.Submission{Kind: api.KindJob, Deadline: c.Deadline.D()}
	s.Job.Key = state.JobKey{Service: c.Service, ID: j.id}
	for i := range j.tasks {
		t := &j.tasks[i]
		body, err := json.Marshal(payload{Step: t.kind.Step, WorkMS: t.runTime.Milliseconds(), Echo: j.echo(i)})
		if err != nil {
			panic(err) // a payload can always be encoded
		}
		s.Job.Tasks = append(s.Job.Tasks, state.Task{Payload: body, Expected: t.kind.meanRunTime()})
	}
	return s
}
