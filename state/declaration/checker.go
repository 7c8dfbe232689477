package declaration

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/strictjson"
)

// maxFaults bounds how many faults of one file are reported.
const maxFaults = 20

// checker collects the faults of decoded values. A key whose decoding failed
// already gets no second fault: its value is only what decoding left there.
type checker struct {
	doc    *strictjson.Document
	errs   strictjson.Errors
	faulty map[string]bool
}

// addDecoding takes over the faults of decoding. It reports whether there is
// anything left to check, which there isn't after a syntax error.
func (c *checker) addDecoding(err error) bool {
	var faults strictjson.Errors
	if !errors.As(err, &faults) || !c.doc.Has("") {
		return false
	}
	c.errs = faults
	c.faulty = make(map[string]bool, len(faults))
	for _, f := range faults {
		c.faulty[f.Key] = true
	}
	return true
}

// report returns the faults by line, the first maxFaults of them: they travel to
// the operator and stay in the history.
func (c *checker) report() error {
	err := c.errs.Err()
	if len(c.errs) <= maxFaults {
		return err
	}
	left := len(c.errs) - maxFaults
	last := c.errs[maxFaults-1]
	more := &strictjson.FieldError{File: last.File, Line: last.Line, Msg: fmt.Sprintf("and %d more faults", left)}
	return append(c.errs[:maxFaults:maxFaults], more)
}

func (c *checker) failf(key, format string, args ...any) {
	if !c.faulty[key] {
		c.errs = append(c.errs, c.doc.Errorf(key, format, args...))
	}
}

func (c *checker) required(key string) bool {
	if c.doc.Has(key) {
		return true
	}
	c.failf(key, "key is missing")
	return false
}

func (c *checker) atMost(key string, n, limit int) {
	if n > limit {
		c.failf(key, "%d names are more than %d", n, limit)
	}
}

// number checks a required number.
func (c *checker) number(key string, v, low, high int64) int64 {
	if c.required(key) {
		c.within(key, v, low, high)
	}
	return v
}

// optional checks a number that may be left out.
func (c *checker) optional(key string, v, low, high, fallback int64) int64 {
	if !c.doc.Has(key) {
		return fallback
	}
	c.within(key, v, low, high)
	return v
}

func (c *checker) within(key string, v, low, high int64) {
	if v < low || v > high {
		c.failf(key, "%d is outside %d to %d", v, low, high)
	}
}

func (c *checker) millis(key string, v int64, low, high, fallback time.Duration) time.Duration {
	ms := c.optional(key, v, low.Milliseconds(), high.Milliseconds(), fallback.Milliseconds())
	return time.Duration(ms) * time.Millisecond
}

func (c *checker) cores(key string, v float64) float64 {
	if !c.doc.Has(key) {
		return DefaultCores
	}
	if v <= 0 || v > MaxCores {
		c.failf(key, "%v is outside 0 to %d", v, MaxCores)
	}
	return v
}

// name checks the name of an operator, service, region or domain.
func (c *checker) name(key, s string) string {
	if c.required(key) && !ValidName(s) {
		c.failf(key, "%q is not a name: want 1 to %d of a-z, 0-9, '-', '_', '.', the first a letter or digit",
			s, state.MaxIDLength)
	}
	return s
}

// rack checks "domain/rack".
func (c *checker) rack(key, s string) {
	if !validRack(s) {
		c.failf(key, "want \"domain/rack\", have %q", s)
	}
}
