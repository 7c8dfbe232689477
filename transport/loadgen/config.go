// Package loadgen puts a bounded load on entries and measures what comes back.
// Arrivals are open loop: when a job is due is drawn before the run and no
// answer moves it, and a response counts from that time. A stalled entry so
// shows in every job that was due meanwhile, and not in one only.
//
// Every answer is also checked: it is whole, it belongs to its request, and two
// submissions under one id are told the same.
package loadgen

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

// MaxLength is the longest run.
const MaxLength = 5 * time.Minute

// MaxPatience is the longest wait for answers after a run.
const MaxPatience = 5 * time.Minute

// Defaults of Config.
const (
	DefaultLength   = 30 * time.Second
	DefaultPatience = 60 * time.Second
	DefaultTasks    = "mix"
	DefaultMix      = "haneul"
	DefaultWork     = 200 * time.Millisecond
)

// maxJobs bounds the memory of a plan.
const maxJobs = 1_000_000

// maxLoad bounds Load, far beyond where anything is served in time.
const maxLoad = 10

// Config says what load to put on the entries.
type Config struct {
	Service string `json:"service"`
	// TasksPerSecond or JobsPerSecond is the mean rate of arrivals; Load is the
	// work that arrives, as a share of what all slots do in Length. One of the
	// three is set. The rates are means of a random number of jobs, Load is met
	// to one job.
	TasksPerSecond float64 `json:"tasks_per_second,omitempty"`
	JobsPerSecond  float64 `json:"jobs_per_second,omitempty"`
	Load           float64 `json:"load_share,omitempty"`
	// Sizes draws the number of tasks of a job, Mix what a task does.
	Sizes Sizes `json:"tasks_per_job"`
	Mix   Mix   `json:"mix"`
	// Length is the time in which jobs arrive.
	Length Duration `json:"length_ms"`
	// Patience is how long after Length answers are waited for.
	Patience Duration `json:"patience_ms"`
	// Deadline is stated in each submission. Zero leaves it to the service.
	Deadline Duration `json:"deadline_ms,omitempty"`
	// Seed decides arrivals, sizes and work; the same seed is the same load.
	Seed uint64 `json:"seed"`
	// Resubmit is the share of jobs that are submitted twice under one id, the
	// second time through another entry where there is one. Cancel is the
	// share that is cancelled. No job is in both.
	Resubmit float64 `json:"resubmit_share"`
	Cancel   float64 `json:"cancel_share"`
	// Phases change the rate of arrivals for a while; the rates and Load are
	// those outside of them. They are in order and don't overlap.
	Phases []Phase `json:"phases,omitempty"`
	// Stream tells the draws of one load of a plan from those of another.
	Stream uint64 `json:"stream,omitempty"`
	// TokenFile holds the bearer token of the service's operator.
	TokenFile string `json:"-"`
	// Run begins each id, so that two runs never meet in one.
	Run string `json:"run"`
}

// Check returns what is wrong with the configuration, or nil.
func (c *Config) Validate() error {
	if fieldErr := c.validateLoad(); fieldErr != nil {
		return errors.New(fieldErr.msg)
	}
	if i, fieldErr := validatePhases(c.Phases, c.Length.D()); fieldErr != nil {
		return errors.Errorf("phase %d: %s", i+1, fieldErr.msg)
	}
	if !validRunName(c.Run) {
		return errors.New("the run's name is empty or too long")
	}
	if c.Length.D() <= 0 || c.Length.D() > MaxLength {
		return errors.Errorf("the length must be above zero and at most %v", MaxLength)
	}
	if c.Patience.D() < 0 || c.Patience.D() > MaxPatience {
		return errors.Errorf("the patience must be from zero to %v", MaxPatience)
	}
	if c.jobRate()*newRateProfile(c.Length.D(), c.Phases).nominalLength().Seconds() > maxJobs {
		return errors.Errorf("more than %d jobs", maxJobs)
	}
	return nil
}

// fault returns what is wrong with what one load has for itself, or nil. The
// key is the plan file's.
func (c *Config) validateLoad() *fieldError {
	switch {
	case c.Service == "":
		return &fieldError{"service", "no service is named"}
	case !c.hasOneRate():
		return &fieldError{"", "one of tasks_per_second, jobs_per_second and load_percent must be above zero, and the others not given"}
	case c.Load > maxLoad:
		return &fieldError{"load_percent", "the load is above 10 times all slots"}
	case c.Load > 0 && c.Mix.Mean() <= 0:
		return &fieldError{"load_percent", "a load needs tasks that take time"}
	case c.Deadline.D() < 0:
		return &fieldError{"deadline", "the deadline is below zero"}
	case !(c.Resubmit >= 0) || !(c.Cancel >= 0) || c.Resubmit+c.Cancel > 1:
		return &fieldError{"resubmit_share", "the shares of resubmissions and cancellations must be from 0 to 1, and so must their sum"}
	case len(c.Sizes.ranges) == 0 || len(c.Mix.Kinds) == 0:
		return &fieldError{"mix", "the tasks per job or the mix are missing"}
	}
	return nil
}

func (c *Config) hasOneRate() bool {
	set := 0
	for _, v := range []float64{c.TasksPerSecond, c.JobsPerSecond, c.Load} {
		if v < 0 || math.IsNaN(v) {
			return false
		}
		if v > 0 {
			set++
		}
	}
	return set == 1
}

// jobRate returns the mean number of jobs per second where a rate is given.
func (c *Config) jobRate() float64 {
	if c.JobsPerSecond > 0 {
		return c.JobsPerSecond
	}
	return c.TasksPerSecond / c.Sizes.Mean()
}

// Duration is a time.Duration that stands in JSON as milliseconds.
type Duration time.Duration

// D returns the duration.
func (d Duration) D() time.Duration { return time.Duration(d) }
