package loadgen

import (
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/standin"
	"github.com/shallotstep/shallotstep/state"
)

// Plan describes a measurement: loads that run at the same time on one system, and
// steps that are carried out during the run.
type Plan struct {
	Name  string   `json:"plan"`
	Loads []Config `json:"loads"`
	Steps []Step   `json:"steps,omitempty"`
	// Backends are the base URLs of the stand-in backend servers, which count the
	// starts of tasks and inject faults.
	Backends []string `json:"backends,omitempty"`
	// BackendTokenFile is the path of the file with the bearer token for the
	// stand-ins.
	BackendTokenFile string `json:"-"`
}

// Phase multiplies the arrival rate by Rate from At for the duration For.
type Phase struct {
	At   Duration `json:"at_ms"`
	For  Duration `json:"for_ms"`
	Rate float64  `json:"rate"`
}

// Step is an action at a given time of the run. Exactly one of CancelInFlight and
// Fault is set.
type Step struct {
	At Duration `json:"at_ms"`
	// CancelInFlight cancels every job that is waiting for its answer.
	CancelInFlight bool `json:"cancel_in_flight,omitempty"`
	// Fault is injected at the stand-in number Backend, counted from 1, for the
	// duration For.
	Fault   Fault    `json:"fault,omitempty"`
	Backend int      `json:"backend,omitempty"`
	For     Duration `json:"for_ms,omitempty"`
}

// Fault is the name of a fault that a stand-in can inject.
type Fault string

// The faults that a step can inject.
const (
	// FaultFailAll fails every task immediately after its start.
	FaultFailAll Fault = "fail_all"
	// FaultRefuse refuses every task without starting it.
	FaultRefuse Fault = "refuse"
)

// standinFaults maps each fault to the request that injects it.
var standinFaults = map[Fault]standin.Faults{
	FaultFailAll: {FailAll: true},
	FaultRefuse:  {Refuse: true},
}

// Limits of a plan.
const (
	maxLoads  = 16
	maxSteps  = 100
	maxPhases = 100
	// maxRate is the maximum of Phase.Rate. No system serves a burst of 1000
	// times its usual rate.
	maxRate = 1000
)

// Validate returns an error if the plan is not valid.
func (p *Plan) Validate() error {
	if len(p.Loads) == 0 || len(p.Loads) > maxLoads {
		return errors.Errorf("a plan has 1 to %d loads", maxLoads)
	}
	services := make(map[string]bool)
	for i := range p.Loads {
		c := &p.Loads[i]
		if err := c.Validate(); err != nil {
			return errors.Wrapf(err, "load %d", i+1)
		}
		if services[c.Service] {
			return errors.Errorf("service %s has two loads", c.Service)
		}
		services[c.Service] = true
	}
	if len(p.Steps) > maxSteps {
		return errors.Errorf("more than %d steps", maxSteps)
	}
	for i := range p.Steps {
		if fieldErr := p.Steps[i].validate(p.length(), len(p.Backends)); fieldErr != nil {
			return errors.Errorf("step %d: %s", i+1, fieldErr.msg)
		}
	}
	return nil
}

// length returns the longest Length of the loads.
func (p *Plan) length() time.Duration {
	longest := time.Duration(0)
	for i := range p.Loads {
		longest = max(longest, p.Loads[i].Length.D())
	}
	return longest
}

// patience returns the longest Patience of the loads.
func (p *Plan) patience() time.Duration {
	longest := time.Duration(0)
	for i := range p.Loads {
		longest = max(longest, p.Loads[i].Patience.D())
	}
	return longest
}

// fieldError is a validation error at a key of a load, step or phase. An empty key
// means the whole object.
type fieldError struct{ key, msg string }

// validate returns an error if the step is not valid in a run of that length with
// that number of backend servers.
func (s *Step) validate(length time.Duration, backends int) *fieldError {
	kinds := 0
	for _, set := range []bool{s.CancelInFlight, s.Fault != ""} {
		if set {
			kinds++
		}
	}
	_, known := standinFaults[s.Fault]
	switch {
	case kinds != 1:
		return &fieldError{"", "a step has one of cancel_in_flight and fault"}
	case s.At.D() < 0 || s.At.D() > length:
		return &fieldError{"at", "outside the run"}
	case s.Fault == "" && (s.Backend != 0 || s.For != 0):
		return &fieldError{"", "backend and for belong to a fault"}
	case s.Fault == "":
		return nil
	case !known:
		return &fieldError{"fault", "must be fail_all or refuse"}
	case s.Backend < 1 || s.Backend > backends:
		return &fieldError{"backend", "must be the place in backends, counted from 1"}
	case s.For.D() <= 0 || s.For.D() > MaxLength:
		return &fieldError{"for", "must be above zero and at most " + MaxLength.String()}
	}
	return nil
}

// validatePhases returns the first error in the phases of a run of that length, and
// the index of the phase.
func validatePhases(phases []Phase, length time.Duration) (int, *fieldError) {
	end := time.Duration(0)
	for i, p := range phases {
		switch {
		case i >= maxPhases:
			return i, &fieldError{"", "too many phases"}
		case p.At.D() < end:
			return i, &fieldError{"at", "begins before the phase before it ends"}
		case p.For.D() <= 0 || p.At.D()+p.For.D() > length:
			return i, &fieldError{"for", "must be above zero and end within the run"}
		case !(p.Rate >= 0) || p.Rate > maxRate:
			return i, &fieldError{"rate", "must be from 0 to 1000"}
		}
		end = p.At.D() + p.For.D()
	}
	return 0, nil
}

// SetRun sets the name of the run, which is the prefix of each job's id. Each run
// needs its own name, so that ids of different runs are distinct.
func (p *Plan) SetRun(run string) {
	for i := range p.Loads {
		p.Loads[i].Run = run
	}
}

// SetSeed sets the seed of all loads.
func (p *Plan) SetSeed(seed uint64) {
	for i := range p.Loads {
		p.Loads[i].Seed = seed
	}
}

// validRunName reports whether a run's name is not empty and short enough for an
// id, which also has the number of the job.
func validRunName(run string) bool { return run != "" && len(run) <= state.MaxIDLength/2 }
