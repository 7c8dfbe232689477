package strictjson

import (
	"fmt"
	"sort"
	"strings"
)

// FieldError is an error at a place in a file.
type FieldError struct {
	// File is the name given to Decode.
	File string
	// Line counts from 1.
	Line int
	// Key is the path of the value, such as tls.cert or services[2].name. It is
	// empty for an error of the file as a whole.
	Key string
	// Msg describes the error and, where possible, what is valid instead.
	Msg string
}

// Error returns the error in the form file:line: key: message.
func (e *FieldError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Msg)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Key, e.Msg)
}

// Errors has all errors found in one file, sorted by line.
type Errors []*FieldError

// Error returns one line per error.
func (es Errors) Error() string {
	lines := make([]string, len(es))
	for i, e := range es {
		lines[i] = e.Error()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the errors by line and returns them, or nil if there are none.
func (es Errors) Err() error {
	if len(es) == 0 {
		return nil
	}
	sort.SliceStable(es, func(i, j int) bool { return es[i].Line < es[j].Line })
	return es
}
