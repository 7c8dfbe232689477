package declaration

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/strictjson"
)

// maxFaults is the largest number of errors that is reported for a file.
const maxFaults = 20

// checker converts a decoded file and collects the errors of its values.
type checker struct {
	doc  *strictjson.Document
	errs strictjson.Errors
	// faulty has the keys that could not be decoded. Their values are not those of
	// the file, so that no further errors are reported for them.
	faulty map[string]bool
}

// addDecoding adds the errors of decoding. It reports whether there are values to
// check, which is not the case after a syntax error.
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

// report returns the first maxFaults errors by line and the number of those left
// out. The limit bounds the size of the response to the operator.
func (c *checker) report() error {
	err := c.errs.Err()
	if len(c.errs) <= maxFaults {
		return err
	}
	left := len(c.errs) - maxFaults
	last := c.errs[maxFaults-1]
	more := &strictjson.FieldError{File: last.File, Line: last.Line, Msg: fmt.Sprintf("and %d more errors", left)}
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
		c.failf(key, "%d names exceed the limit of %d", n, limit)
	}
}

// number checks a required number.
func (c *checker) number(key string, v, low, high int64) int64 {
	if c.required(key) {
		c.within(key, v, low, high)
	}
	return v
}

// optional checks an optional number. It returns fallback if the key is missing.
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
		c.failf(key, "have %v, want more than 0 and at most %d", v, MaxCores)
	}
	return v
}

// name checks the required name of an operator, service, region or failure domain.
func (c *checker) name(key, s string) string {
	if c.required(key) && !ValidName(s) {
		c.failf(key, "%q is not a valid name: want 1 to %d characters of a-z, 0-9, '-', '_', '.', the first a letter or digit",
			s, state.MaxIDLength)
	}
	return s
}

// rack checks the name of a rack in the form "domain/rack".
func (c *checker) rack(key, s string) {
	if !validRack(s) {
		c.failf(key, "want \"domain/rack\", have %q", s)
	}
}
