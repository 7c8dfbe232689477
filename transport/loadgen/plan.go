package loadgen

import (
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/protocol/standin"
	"github.com/shallotstep/shallotstep/state"
)

// Plan is a whole measurement: loads that are put on one system at the same
// time, and what is done to the system meanwhile.
type Plan struct {
	Name  string   `json:"plan"`
	Loads []Config `json:"loads"`
	Steps []Step   `json:"steps,omitempty"`
	// Backends are the base URLs of the stand-in backend servers, where the
	// starts are counted.
	Backends []string `json:"backends,omitempty"`
	// BackendTokenFile and the loads' TokenFile hold bearer tokens.
	BackendTokenFile string `json:"-"`
}

// Phase multiplies the rate of arrivals by Rate for a while.
type Phase struct {
	At   Duration `json:"at_ms"`
	For  Duration `json:"for_ms"`
	Rate float64  `json:"rate"`
}

// Step is one thing that is done to the system at a time. Exactly one of
// CancelInFlight and Fault is set.
type Step struct {
	At Duration `json:"at_ms"`
	// CancelInFlight cancels every job that waits for its answer.
	CancelInFlight bool `json:"cancel_in_flight,omitempty"`
	// Fault goes wrong at the stand-in Backend, counted from 1, until For is over.
	Fault   Fault    `json:"fault,omitempty"`
	Backend int      `json:"backend,omitempty"`
	For     Duration `json:"for_ms,omitempty"`
}

// Fault names what goes wrong at a stand-in.
type Fault string

// The faults that a step may bring about.
const (
	FaultFailAll Fault = "fail_all"
	FaultRefuse  Fault = "refuse"
)

// faults has the document for each fault.
var standinFaults = map[Fault]standin.Faults{
	FaultFailAll: {FailAll: true},
	FaultRefuse:  {Refuse: true},
}

// Bounds of a plan.
const (
	maxLoads  = 16
	maxSteps  = 100
	maxPhases = 100
	// maxRate bounds a phase's rate, far beyond any burst that is served.
	maxRate = 1000
)

// Check returns what is wrong with the plan, or nil.
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

func (p *Plan) length() time.Duration {
	longest := time.Duration(0)
	for i := range p.Loads {
		longest = max(longest, p.Loads[i].Length.D())
	}
	return longest
}

func (p *Plan) patience() time.Duration {
	longest := time.Duration(0)
	for i := range p.Loads {
		longest = max(longest, p.Loads[i].Patience.D())
	}
	return longest
}

// keyFault is what is wrong with one key.
type fieldError struct{ key, msg string }

// fault returns what is wrong with a step of a run of that length, or nil.
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

// phaseFault returns what is wrong with the phases of a run, or nil, and which
// one it is.
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

// SetRun names the run, which begins each id, so that two runs never meet in one.
func (p *Plan) SetRun(run string) {
	for i := range p.Loads {
		p.Loads[i].Run = run
	}
}

// SetSeed replaces the seed of all loads.
func (p *Plan) SetSeed(seed uint64) {
	for i := range p.Loads {
		p.Loads[i].Seed = seed
	}
}

// checkRun says whether a run's name leaves room for the rest of an id.
func validRunName(run string) bool { return run != "" && len(run) <= state.MaxIDLength/2 }
