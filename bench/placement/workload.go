package main

import (
	"math/rand/v2"
	"time"

	"github.com/shallotstep/shallotstep/state"
)

// plannedTask is a task and what it will really do.
type plannedTask struct {
	spec     state.Task
	ran      time.Duration
	memoryMB int64
}

// plannedJob is a job and when its caller submits it.
type plannedJob struct {
	at       time.Duration
	operator int
	home     int
	tasks    []plannedTask
	longest  time.Duration
	// begun is when its first task started; filled in by the run.
	begun time.Duration
}

// The workload of the users: most tasks take 50 ms to a second, one in a
// hundred takes several seconds; most jobs are small, some are large.
const (
	shortMin   = 50 * time.Millisecond
	shortMax   = time.Second
	longShare  = 0.01
	longMin    = 2 * time.Second
	longMax    = 8 * time.Second
	taskMB     = 2000
	operators  = 4
	heavyShare = 0.5 // of the jobs are the first operator's
	burstEvery = 10 * time.Second
	burstFor   = time.Second
	burstBy    = 8.0
	wrongBy    = 3
	bigShare   = 0.005 // of the jobs in the scenario with jobs of the largest size
	mixShare   = 0.002 // of the jobs in the scenario with jobs of 1 and of the most tasks
	largeJob   = 20    // tasks from which a job counts as large in the results
)

func drawRun(c *config, rng *rand.Rand) time.Duration {
	if c.scenario == "slow" || rng.Float64() < longShare {
		return longMin + time.Duration(rng.Int64N(int64(longMax-longMin)))
	}
	return shortMin + time.Duration(rng.Int64N(int64(shortMax-shortMin)))
}

func meanRun(c *config) time.Duration {
	if c.scenario == "slow" {
		return (longMin + longMax) / 2
	}
	short := float64(shortMin+shortMax) / 2
	long := float64(longMin+longMax) / 2
	return time.Duration((1-longShare)*short + longShare*long)
}

// drawSize returns a job's number of tasks; meanSize is its mean.
func drawSize(c *config, rng *rand.Rand) int {
	if c.scenario == "big" && rng.Float64() < bigShare {
		return state.MaxTasksPerJob
	}
	if c.scenario == "mix" {
		if rng.Float64() < mixShare {
			return state.MaxTasksPerJob
		}
		return 1
	}
	switch x := rng.Float64(); {
	case x < 0.6:
		return 1
	case x < 0.9:
		return 2 + rng.IntN(9)
	}
	return 20 + rng.IntN(41)
}

func meanSize(c *config) float64 {
	const usual = 0.6*1 + 0.3*6 + 0.1*40
	switch c.scenario {
	case "big":
		return (1-bigShare)*usual + bigShare*state.MaxTasksPerJob
	case "mix":
		return 1 - mixShare + mixShare*state.MaxTasksPerJob
	}
	return usual
}

// plan draws the jobs of a run.
func plan(c *config) []plannedJob {
	rng := rand.New(rand.NewPCG(c.seed, 1))
	rate := c.load * float64(c.agents*slots) / (meanRun(c).Seconds() * meanSize(c))
	var jobs []plannedJob
	for at := time.Duration(0); at < c.length; {
		now := rate
		inBurst := at%burstEvery < burstFor
		if c.scenario == "burst" || c.scenario == "hog" {
			// The same mean rate, with a tenth of the time at several times the rest.
			share := float64(burstFor) / float64(burstEvery)
			now = rate / (1 - share + share*burstBy)
			if inBurst {
				now *= burstBy
			}
		}
		at += time.Duration(rng.ExpFloat64() / now * float64(time.Second))
		j := plannedJob{at: at, home: rng.IntN(c.agents)}
		// In a hog's burst all but the usual rate is the first operator's.
		hogs := c.scenario == "hog" && inBurst && rng.Float64() > 1/burstBy
		if rng.Float64() >= heavyShare && !hogs {
			j.operator = 1 + rng.IntN(operators-1)
		}
		for range drawSize(c, rng) {
			j.tasks = append(j.tasks, drawTask(c, rng))
			j.longest = max(j.longest, j.tasks[len(j.tasks)-1].ran)
		}
		jobs = append(jobs, j)
	}
	return jobs
}

// wrongTimes are the declarations of run times in the scenario where only these
// are off: right, too short, too long, and none.
var wrongTimes = []func(time.Duration) time.Duration{
	func(ran time.Duration) time.Duration { return ran },
	func(ran time.Duration) time.Duration { return ran / wrongBy },
	func(ran time.Duration) time.Duration { return ran * wrongBy },
	func(time.Duration) time.Duration { return 0 },
}

func drawTask(c *config, rng *rand.Rand) plannedTask {
	t := plannedTask{ran: drawRun(c, rng), memoryMB: taskMB + rng.Int64N(taskMB)}
	t.spec = state.Task{Cores: 1, MemoryMB: t.memoryMB, Expected: t.ran}
	if c.scenario == "wrong" || c.scenario == "slow" {
		// Every other task is declared too small and too short by a factor.
		// All slots together need more memory than the worker has.
		t.memoryMB *= wrongBy
		t.spec.MemoryMB = t.memoryMB
		if rng.IntN(2) == 0 {
			t.spec.MemoryMB /= wrongBy
			t.spec.Expected /= wrongBy
		}
	}
	if c.scenario == "times" {
		t.spec.Expected = wrongTimes[rng.IntN(len(wrongTimes))](t.ran)
	}
	return t
}
