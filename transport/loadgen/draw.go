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
type planned struct {
	id string
	// at is when it is due, from the start of the run.
	at    time.Duration
	tasks []plannedTask
	// again is when it is submitted a second time, and cancel when it is
	// cancelled, from the start of the run. Zero means not.
	again  time.Duration
	cancel time.Duration
}

// plannedTask is one task and what the backend server will make of it.
type plannedTask struct {
	kind *Kind
	run  time.Duration
}

// newPlan draws the jobs of a run on a system with so many slots. Arrivals are
// a Poisson process; with Load one whose work is what it happened to be.
func newPlan(c *Config, slots int) []planned {
	rng := rand.New(rand.NewPCG(c.Seed, c.Stream))
	w := newWarp(c.Length.D(), c.Phases)
	if c.Load > 0 {
		return c.planLoad(rng, w, slots)
	}
	rate := c.jobRate()
	var jobs []planned
	for steady := time.Duration(0); ; {
		steady += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if steady >= w.total() {
			return jobs
		}
		jobs = append(jobs, c.drawJob(rng, len(jobs), w.at(steady)))
	}
}

// planLoad draws jobs until their work is the load, due at independent times:
// that is a Poisson process of which the number of arrivals is known.
func (c *Config) planLoad(rng *rand.Rand, w warp, slots int) []planned {
	total := w.total()
	left := time.Duration(c.Load * float64(slots) * float64(total))
	var jobs []planned
	for left > 0 && len(jobs) < maxJobs {
		at := w.at(time.Duration(rng.Int64N(int64(total))))
		jobs = append(jobs, c.drawJob(rng, len(jobs), at))
		left -= jobs[len(jobs)-1].work()
	}
	slices.SortStableFunc(jobs, func(a, b planned) int { return cmp.Compare(a.at, b.at) })
	for i := range jobs {
		jobs[i].id = jobID(c.Run, i)
	}
	return jobs
}

func jobID(run string, n int) string { return run + "-" + strconv.Itoa(n) }

func (c *Config) drawJob(rng *rand.Rand, n int, at time.Duration) planned {
	j := planned{id: jobID(c.Run, n), at: at}
	for range c.Sizes.draw(rng) {
		kind, run := c.Mix.draw(rng)
		j.tasks = append(j.tasks, plannedTask{kind, run})
	}
	longest := j.longest()
	lot := rng.Float64()
	// The second submission and the cancellation come before or after the
	// answer, about as often.
	later := at + time.Duration(rng.Float64()*2*float64(longest)) + 1
	switch {
	case lot < c.Resubmit:
		j.again = later
	case lot < c.Resubmit+c.Cancel:
		j.cancel = later
	}
	return j
}

func (j *planned) longest() time.Duration {
	longest := time.Duration(0)
	for i := range j.tasks {
		longest = max(longest, j.tasks[i].run)
	}
	return longest
}

func (j *planned) work() time.Duration {
	work := time.Duration(0)
	for i := range j.tasks {
		work += j.tasks[i].run
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
func (j *planned) echo(task int) string { return j.id + "/" + strconv.Itoa(task) }

// submission returns the job as its caller states it. The expected time is its
// kind's mean: callers know what they ask for and not how long it takes.
func (j *planned) submission(c *Config) api.Submission {
	s := api.Submission{Kind: api.KindJob, Deadline: c.Deadline.D()}
	s.Job.Key = state.JobKey{Service: c.Service, ID: j.id}
	for i := range j.tasks {
		t := &j.tasks[i]
		body, err := json.Marshal(payload{Step: t.kind.Step, WorkMS: t.run.Milliseconds(), Echo: j.echo(i)})
		if err != nil {
			panic(err) // every payload has a JSON form
		}
		s.Job.Tasks = append(s.Job.Tasks, state.Task{Payload: body, Expected: t.kind.mean()})
	}
	return s
}
