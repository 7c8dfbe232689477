package api

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"slices"
	"strconv"
	"unicode/utf8"

	"github.com/shallotstep/shallotstep/state"
)

// reader decodes one JSON text field by field. json.Unmarshal accepts duplicate
// keys and takes the last one, matches names regardless of case, and treats null
// as absent. Each of these would let two programs read different jobs from the
// same bytes.
type reader struct {
	dec *json.Decoder
	// at is the path of the object being read. It is empty for the whole body.
	at string
	// scratch holds the raw text of the last scalar read.
	scratch json.RawMessage
}

// maxFields bounds the fields of one object, and with it the linear search for
// duplicates. No document of this package has as many.
const maxFields = 16

// newReader returns a reader of body. It rejects a body that is too large or not
// valid UTF-8.
func newReader(body []byte) (*reader, *Problem) {
	if len(body) > state.MaxBodyBytes {
		return nil, TooLarge()
	}
	if !utf8.Valid(body) {
		return nil, malformed("the body is not valid UTF-8")
	}
	return &reader{dec: json.NewDecoder(bytes.NewReader(body))}, nil
}

// TooLarge returns the problem for a body over state.MaxBodyBytes.
func TooLarge() *Problem {
	return NewProblem(state.ReasonTooLarge, state.NotRun, "the body is over %d bytes", state.MaxBodyBytes)
}

func syntax(err error) *Problem {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return malformed("the body is not JSON: it ends too early")
	}
	return malformed("the body is not JSON: %v", err)
}

// object reads an object and calls field for each name; field must read the
// value. at is the path of the object in error messages.
func (r *reader) object(at string, field func(name string) *Problem) *Problem {
	if p := r.open(at, '{', "an object"); p != nil {
		return p
	}
	outer := r.at
	r.at = at
	defer func() { r.at = outer }()
	var seen []string
	for r.dec.More() {
		tok, err := r.dec.Token()
		if err != nil {
			return syntax(err)
		}
		name, ok := tok.(string)
		if !ok {
			return malformed("the body is not JSON: a name is missing")
		}
		if slices.Contains(seen, name) {
			return malformed("duplicate field %q", r.path(name))
		}
		if len(seen) == maxFields {
			return malformed("%s has more than %d fields", bodyOr(at), maxFields)
		}
		seen = append(seen, name)
		if p := field(name); p != nil {
			return p
		}
	}
	return r.close()
}

// array reads an array field and calls element for each index; element must read
// the value.
func (r *reader) array(name string, element func(i int) *Problem) *Problem {
	if p := r.open(r.path(name), '[', "an array"); p != nil {
		return p
	}
	for i := 0; r.dec.More(); i++ {
		if p := element(i); p != nil {
			return p
		}
	}
	return r.close()
}

func (r *reader) open(at string, want json.Delim, kind string) *Problem {
	tok, err := r.dec.Token()
	if err != nil {
		return syntax(err)
	}
	if tok != want {
		return malformed("%s must be %s", bodyOr(at), kind)
	}
	return nil
}

func bodyOr(at string) string {
	if at == "" {
		return "the body"
	}
	return at
}

func (r *reader) close() *Problem {
	if _, err := r.dec.Token(); err != nil {
		return syntax(err)
	}
	return nil
}

// end rejects anything after the value.
func (r *reader) end() *Problem {
	if _, err := r.dec.Token(); err != io.EOF {
		return malformed("the body holds more than one JSON value")
	}
	return nil
}

// scalar reads one value into r.scratch.
func (r *reader) scalar() *Problem {
	if err := r.dec.Decode(&r.scratch); err != nil {
		return syntax(err)
	}
	return nil
}

func (r *reader) text(name string, out *string) *Problem {
	if p := r.scalar(); p != nil {
		return p
	}
	if r.scratch[0] != '"' {
		return malformed("%s must be a string", r.path(name))
	}
	if err := json.Unmarshal(r.scratch, out); err != nil {
		return syntax(err)
	}
	return nil
}

func (r *reader) flag(name string, out *bool) *Problem {
	if p := r.scalar(); p != nil {
		return p
	}
	switch string(r.scratch) {
	case "true":
		*out = true
	case "false":
		*out = false
	default:
		return malformed("%s must be true or false", r.path(name))
	}
	return nil
}

// whole reads an integer from 0 to limit.
func (r *reader) whole(name string, limit int64, out *int64) *Problem {
	if p := r.scalar(); p != nil {
		return p
	}
	n, err := strconv.ParseInt(string(r.scratch), 10, 64)
	if err != nil || n < 0 || n > limit {
		return malformed("%s must be a whole number from 0 to %d", r.path(name), limit)
	}
	*out = n
	return nil
}

// number reads a number from 0 to limit.
func (r *reader) number(name string, limit float64, out *float64) *Problem {
	if p := r.scalar(); p != nil {
		return p
	}
	// ParseFloat also accepts NaN, Inf and hexadecimal, but the JSON decoder has
	// rejected these already. Strings and null fail here.
	f, err := strconv.ParseFloat(string(r.scratch), 64)
	if err != nil || math.IsNaN(f) || f < 0 || f > limit {
		return malformed("%s must be a number from 0 to %g", r.path(name), limit)
	}
	// Adding zero turns -0 into 0. The two have different bit patterns, so -0
	// would give the same job another digest.
	*out = f + 0
	return nil
}

// value reads the raw text of any value except null.
func (r *reader) value(name string, out *[]byte) *Problem {
	var raw json.RawMessage
	if err := r.dec.Decode(&raw); err != nil {
		return syntax(err)
	}
	if string(raw) == "null" {
		return malformed("%s must not be null", r.path(name))
	}
	*out = raw
	return nil
}

// path returns the path of a field of the object being read, for error messages.
func (r *reader) path(name string) string {
	if r.at == "" {
		return name
	}
	return r.at + "." + name
}
