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
	// objectPath is the path of the object being read. It is empty for the whole body.
	objectPath string
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

func syntaxProblem(err error) *Problem {
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return malformed("the body is not JSON: it ends too early")
	}
	return malformed("the body is not JSON: %v", err)
}

// object reads an object and calls field for each name; field must read the
// value. path is the path of the object in error messages.
func (r *reader) object(path string, field func(name string) *Problem) *Problem {
	if p := r.openDelim(path, '{', "an object"); p != nil {
		return p
	}
	outer := r.objectPath
	r.objectPath = path
	defer func() { r.objectPath = outer }()
	var seen []string
	for r.dec.More() {
		tok, err := r.dec.Token()
		if err != nil {
			return syntaxProblem(err)
		}
		name, ok := tok.(string)
		if !ok {
			return malformed("the body is not JSON: a name is missing")
		}
		if slices.Contains(seen, name) {
			return malformed("duplicate field %q", r.fieldPath(name))
		}
		if len(seen) == maxFields {
			return malformed("%s has more than %d fields", pathOrBody(path), maxFields)
		}
		seen = append(seen, name)
		if p := field(name); p != nil {
			return p
		}
	}
	return r.closeDelim()
}

// array reads an array field and calls element for each index; element must read
// the value.
func (r *reader) array(name string, element func(i int) *Problem) *Problem {
	if p := r.openDelim(r.fieldPath(name), '[', "an array"); p != nil {
		return p
	}
	for i := 0; r.dec.More(); i++ {
		if p := element(i); p != nil {
			return p
		}
	}
	return r.closeDelim()
}

func (r *reader) openDelim(path string, want json.Delim, kind string) *Problem {
	tok, err := r.dec.Token()
	if err != nil {
		return syntaxProblem(err)
	}
	if tok != want {
		return malformed("%s must be %s", pathOrBody(path), kind)
	}
	return nil
}

func pathOrBody(path string) string {
	if path == "" {
		return "the body"
	}
	return path
}

func (r *reader) closeDelim() *Problem {
	if _, err := r.dec.Token(); err != nil {
		return syntaxProblem(err)
	}
	return nil
}

// expectEnd rejects anything after the value.
func (r *reader) expectEnd() *Problem {
	if _, err := r.dec.Token(); err != io.EOF {
		return malformed("the body holds more than one JSON value")
	}
	return nil
}

// scalar reads one value into r.scratch.
func (r *reader) scalar() *Problem {
	if err := r.dec.Decode(&r.scratch); err != nil {
		return syntaxProblem(err)
	}
	return nil
}

func (r *reader) text(name string, out *string) *Problem {
	if p := r.scalar(); p != nil {
		return p
	}
	if r.scratch[0] != '"' {
		return malformed("%s must be a string", r.fieldPath(name))
	}
	if err := json.Unmarshal(r.scratch, out); err != nil {
		return syntaxProblem(err)
	}
	return nil
}

func (r *reader) boolean(name string, out *bool) *Problem {
	if p := r.scalar(); p != nil {
		return p
	}
	switch string(r.scratch) {
	case "true":
		*out = true
	case "false":
		*out = false
	default:
		return malformed("%s must be true or false", r.fieldPath(name))
	}
	return nil
}

// integer reads an integer from 0 to limit.
func (r *reader) integer(name string, limit int64, out *int64) *Problem {
	if p := r.scalar(); p != nil {
		return p
	}
	n, err := strconv.ParseInt(string(r.scratch), 10, 64)
	if err != nil || n < 0 || n > limit {
		return malformed("%s must be a whole number from 0 to %d", r.fieldPath(name), limit)
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
		return malformed("%s must be a number from 0 to %g", r.fieldPath(name), limit)
	}
	// Adding zero turns -0 into 0. The two have different bit patterns, so -0
	// would give the same job another digest.
	*out = f + 0
	return nil
}

// rawValue reads the raw text of any value except null.
func (r *reader) rawValue(name string, out *[]byte) *Problem {
	var raw json.RawMessage
	if err := r.dec.Decode(&raw); err != nil {
		return syntaxProblem(err)
	}
	if string(raw) == "null" {
		return malformed("%s must not be null", r.fieldPath(name))
	}
	*out = raw
	return nil
}

// fieldPath returns the path of a field of the object being read, for error messages.
func (r *reader) fieldPath(name string) string {
	if r.objectPath == "" {
		return name
	}
	return r.objectPath + "." + name
}
