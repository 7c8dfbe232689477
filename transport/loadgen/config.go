// Package loadgen generates a bounded load on entries and measures the responses.
// The load is open-loop: the time at which each job is due is drawn before the
// run and does not depend on answers, and response times are measured from that
// time. A stalled entry therefore delays every job that is due during the stall,
// and not just one (coordinated omission).
//
// Every answer is also checked: it must be complete, belong to its request, and be
// the same for two submissions with the same id.
package loadgen

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

// MaxLength is the maximum time in which the jobs of a run arrive.
const MaxLength = 5 * time.Minute

// MaxPatience is the maximum wait for answers after the time in which jobs arrive.
const MaxPatience = 5 * time.Minute

// Defaults of a plan.
const (
	DefaultLength   = 30 * time.Second
	DefaultPatience = 60 * time.Second
	DefaultTasks    = "mix"
	DefaultMix      = "haneul"
)

// maxJobs is the maximum number of jobs in a run. It bounds the memory used.
const maxJobs = 1_000_000

// maxLoadShare is the maximum of Config.LoadShare. At 10 times the capacity of the slots
// hardly any job meets its deadline.
const maxLoadShare = 10

// Config configures one load.
type Config struct {
	Service string `json:"service"`
	// Exactly one of TasksPerSecond, JobsPerSecond and LoadShare is set. The first
	// two are mean arrival rates; the number of jobs is random. LoadShare is the
	// total run time of the arriving tasks, as a share of the capacity of all
	// slots during Length; it is exceeded by less than one job.
	TasksPerSecond float64 `json:"tasks_per_second,omitempty"`
	JobsPerSecond  float64 `json:"jobs_per_second,omitempty"`
	LoadShare      float64 `json:"load_share,omitempty"`
	// Sizes is the distribution of the number of tasks per job, Mix that of the
	// kinds and run times of tasks.
	Sizes Sizes `json:"tasks_per_job"`
	Mix   Mix   `json:"mix"`
	// Length is the time in which jobs arrive.
	Length Duration `json:"length_ms"`
	// Patience is the time after Length during which the run waits for answers.
	Patience Duration `json:"patience_ms"`
	// Deadline is sent with each submission. Zero means the service's default.
	Deadline Duration `json:"deadline_ms,omitempty"`
	// Seed seeds the random arrivals, sizes and run times. The same seed gives
	// the same load.
	Seed uint64 `json:"seed"`
	// ResubmitShare is the share of jobs that are submitted twice with the same id,
	// the second time through another entry if there is one. CancelShare is the
	// share of jobs that are cancelled. No job is both resubmitted and cancelled.
	ResubmitShare float64 `json:"resubmit_share"`
	CancelShare   float64 `json:"cancel_share"`
	// Phases change the arrival rate for a part of the run. The rates and LoadShare
	// apply outside of the phases. Phases are in order and don't overlap.
	Phases []Phase `json:"phases,omitempty"`
	// Stream selects the random stream of Seed, so that the loads of a plan are
	// independent. It is the index of the load in the plan.
	Stream uint64 `json:"stream,omitempty"`
	// TokenFile is the path of the file with the bearer token of the service's
	// operator.
	TokenFile string `json:"-"`
	// Run is the name of the run and the prefix of each job's id. It keeps the
	// ids of different runs distinct.
	Run string `json:"run"`
}

// Validate returns an error if the configuration is not valid.
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

// validateLoad checks the settings that each load of a plan file has of its own.
// The key of the error is the key in the load, or empty for several keys.
func (c *Config) validateLoad() *fieldError {
	switch {
	case c.Service == "":
		return &fieldError{"service", "no service is named"}
	case !c.hasOneRate():
		return &fieldError{"", "one of tasks_per_second, jobs_per_second and load_percent must be above zero, and the others not given"}
	case c.LoadShare > maxLoadShare:
		return &fieldError{"load_percent", "the load is above 10 times all slots"}
	case c.LoadShare > 0 && c.Mix.Mean() <= 0:
		return &fieldError{"load_percent", "a load needs tasks that take time"}
	case c.Deadline.D() < 0:
		return &fieldError{"deadline", "the deadline is below zero"}
	case !(c.ResubmitShare >= 0) || !(c.CancelShare >= 0) || c.ResubmitShare+c.CancelShare > 1:
		return &fieldError{"resubmit_share", "the shares of resubmissions and cancellations must be from 0 to 1, and so must their sum"}
	case len(c.Sizes.ranges) == 0 || len(c.Mix.Kinds) == 0:
		return &fieldError{"mix", "the tasks per job or the mix are missing"}
	}
	return nil
}

// hasOneRate reports whether exactly one of the rates and LoadShare is above zero and
// none is negative or NaN.
func (c *Config) hasOneRate() bool {
	set := 0
	for _, v := range []float64{c.TasksPerSecond, c.JobsPerSecond, c.LoadShare} {
		if v < 0 || math.IsNaN(v) {
			return false
		}
		if v > 0 {
			set++
		}
	}
	return set == 1
}

// jobRate returns the mean number of jobs per second, or zero if LoadShare is set.
func (c *Config) jobRate() float64 {
	if c.JobsPerSecond > 0 {
		return c.JobsPerSecond
	}
	return c.TasksPerSecond / c.Sizes.Mean()
}

// Duration is a time.Duration that is encoded in JSON as a number of milliseconds.
type Duration time.Duration

// D returns the duration.
func (d Duration) D() time.Duration { return time.Duration(d) }
