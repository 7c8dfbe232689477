package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Every way is given the same jobs, and a comparison is worth nothing if one of
// them loses some: each job has to be answered and each task to start once.
func TestEveryWayRunsTheSameJobs(t *testing.T) {
	is := is.New(t)
	base := config{agents: 11, load: 0.6, length: 5 * time.Second, seed: 1, scenario: "plain", stale: time.Second, deadline: time.Minute, subset: 32}
	jobs := plan(&base)
	tasks := 0
	for i := range jobs {
		tasks += len(jobs[i].tasks)
	}
	for _, way := range allWays {
		c := base
		c.way = way
		r := c.run()
		is.Equal(len(r.slow), len(jobs)) // way: jobs complete
		is.Equal(r.failed, 0)
		is.Equal(r.starts, tasks)
	}
}

// A worker fails all it is given, or sizes are declared wrongly. What an agent
// refuses goes on to another one, and no task starts twice (the run panics). A
// task that a plain way lost would hold its job up to the deadline, a minute.
func TestPlainWaysUnderFaults(t *testing.T) {
	is := is.New(t)
	for _, scenario := range []string{"broken", "wrong"} {
		for _, way := range []string{wayRandom, wayLeastOwn} {
			c := config{agents: 11, load: 0.5, length: 5 * time.Second, seed: 1, scenario: scenario, way: way, stale: time.Second, deadline: time.Minute, subset: 32}
			jobs := plan(&c)
			for i, a := range c.run().answers {
				is.True(a.at > 0)
				is.True(a.at-jobs[i].at < c.deadline) // simulated time
			}
		}
	}
}
