package declaration

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
	"github.com/shallotstep/shallotstep/state/strictjson"
)

// maxErrors is the largest number of errors that is reported for a file.
const maxErrors = 20

// checker converts a decoded file and collects the errors of its values.
type checker struct {
	doc  *strictjson.Document
	errs strictjson.Errors
	// undecodable has the keys that could not be decoded. Their values are not those
	// of the file, so that no further errors are reported for them.
	undecodable map[string]bool
}

// addDecodeErrors adds the errors of decoding. It reports whether there are values
// to check, which is not the case after a syntax error.
func (c *checker) addDecodeErrors(err error) bool {
	var decodeErrs strictjson.Errors
	if !errors.As(err, &decodeErrs) || !c.doc.Has("") {
		return false
	}
	c.errs = decodeErrs
	c.undecodable = make(map[string]bool, len(decodeErrs))
	for _, f := range decodeErrs {
		c.undecodable[f.Key] = true
	}
	return true
}

// firstErrors returns the first maxErrors errors by line, followed by an entry with
// the number of those omitted. The limit bounds the size of the response to the
// operator.
func (c *checker) firstErrors() error {
	err := c.errs.Err()
	if len(c.errs) <= maxErrors {
		return err
	}
	omitted := len(c.errs) - maxErrors
	last := c.errs[maxErrors-1]
	more := &strictjson.FieldError{File: last.File, Line: last.Line, Msg: fmt.Sprintf("and %d more faults", omitted)}
	return append(c.errs[:maxErrors:maxErrors], more)
}

func (c *checker) addErrorf(key, format string, args ...any) {
	if !c.undecodable[key] {
		c.errs = append(c.errs, c.doc.Errorf(key, format, args...))
	}
}

func (c *checker) requireKey(key string) bool {
	if c.doc.Has(key) {
		return true
	}
	c.addErrorf(key, "key is missing")
	return false
}

func (c *checker) checkCount(key string, n, limit int) {
	if n > limit {
		c.addErrorf(key, "%d names are more than %d", n, limit)
	}
}

// requiredNumber checks a required number.
func (c *checker) requiredNumber(key string, v, low, high int64) int64 {
	if c.requireKey(key) {
		c.checkRange(key, v, low, high)
	}
	return v
}

// optionalNumber checks an optional number. It returns fallback if the key is
// missing.
func (c *checker) optionalNumber(key string, v, low, high, fallback int64) int64 {
	if !c.doc.Has(key) {
		return fallback
	}
	c.checkRange(key, v, low, high)
	return v
}

func (c *checker) checkRange(key string, v, low, high int64) {
	if v < low || v > high {
		c.addErrorf(key, "%d is outside %d to %d", v, low, high)
	}
}

func (c *checker) optionalMillis(key string, v int64, low, high, fallback time.Duration) time.Duration {
	ms := c.optionalNumber(key, v, low.Milliseconds(), high.Milliseconds(), fallback.Milliseconds())
	return time.Duration(ms) * time.Millisecond
}

func (c *checker) optionalCores(key string, v float64) float64 {
	if !c.doc.Has(key) {
		return DefaultCores
	}
	if v <= 0 || v > MaxCores {
		c.addErrorf(key, "%v is outside 0 to %d", v, MaxCores)
	}
	return v
}

// requiredName checks the required name of an operator, service, region or failure
// domain.
func (c *checker) requiredName(key, s string) string {
	if c.requireKey(key) && !ValidName(s) {
		c.addErrorf(key, "%q is not a name: want 1 to %d of a-z, 0-9, '-', '_', '.', the first a letter or digit",
			s, state.MaxIDLength)
	}
	return s
}

// checkRack checks the name of a rack in the form "domain/rack".
func (c *checker) checkRack(key, s string) {
	if !validRack(s) {
		c.addErrorf(key, "want \"domain/rack\", have %q", s)
	}
}
