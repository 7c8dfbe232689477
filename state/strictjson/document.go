// Package strictjson decodes JSON with comments into Go structs and reports each
// error with its file, line and key. It rejects input that encoding/json accepts:
// unknown keys, duplicate keys, keys in a different case, null, and text that is
// not valid UTF-8. It reports all errors of a file at once, so that they can be
// corrected together.
//
// Files are parsed with hujson. Durations are strings such as "250ms".
package strictjson

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// MaxDepth is the deepest nesting of objects and arrays, in levels. The parser is
// recursive: a file of a million open brackets would exhaust the stack, which
// ends a Go process and can't be recovered from. The depth is therefore checked
// before parsing.
const MaxDepth = 64

// Document holds the line of each key of a decoded file, so that errors found
// after decoding, such as a value out of range, are reported like decoding
// errors.
type Document struct {
	file string
	src  []byte
	// newlines has the offsets of all newlines in ascending order, so that the line of
	// a value is found without reading the file from its start.
	newlines []int
	// lines has the line of each key path.
	lines map[string]int
}

// Decode decodes src into the struct that v points to. Fields whose keys are not in
// src keep their values, so defaults can be set beforehand. The name is the file
// name in errors. Every error is of type Errors. After an error v may be partly
// decoded and must not be used.
func Decode(name string, src []byte, v any) error {
	_, err := DecodeDocument(name, src, v)
	return err
}

// DecodeDocument is Decode for callers that check the decoded values. The document
// is valid even if there is an error.
func DecodeDocument(name string, src []byte, v any) (*Document, error) {
	target := reflect.ValueOf(v)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		panic("strictjson: v must be a non-nil pointer")
	}
	doc := &Document{file: name, src: src, newlines: newlineOffsets(src), lines: make(map[string]int)}
	root, parseErr := doc.parse()
	if parseErr != nil {
		return doc, Errors{parseErr}
	}
	d := decoder{doc: doc}
	d.decodeValue("", root, target.Elem())
	return doc, d.errs.Err()
}

// Has reports whether the file contains the key.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Errorf returns an error for the value at key. If the file does not contain the
// key, the error has the line of the innermost enclosing key that it contains.
func (d *Document) Errorf(key, format string, args ...any) *FieldError {
	return &FieldError{File: d.file, Line: d.lineOfKey(key), Key: key, Msg: fmt.Sprintf(format, args...)}
}

func (d *Document) lineOfKey(key string) int {
	for k := key; k != ""; k = parentKey(k) {
		if line, ok := d.lines[k]; ok {
			return line
		}
	}
	return max(d.lines[""], 1)
}

// parentKey returns the key path without its last element.
func parentKey(key string) string {
	return key[:max(strings.LastIndexAny(key, ".["), 0)]
}

func (d *Document) lineAt(offset int) int {
	return 1 + sort.SearchInts(d.newlines, offset)
}

func newlineOffsets(src []byte) []int {
	var offsets []int
	for i, c := range src {
		if c == '\n' {
			offsets = append(offsets, i)
		}
	}
	return offsets
}

func (d *Document) errorAt(offset int, msg string) *FieldError {
	return &FieldError{File: d.file, Line: d.lineAt(offset), Msg: msg}
}

func (d *Document) parse() (*hujson.Value, *FieldError) {
	if !utf8.Valid(d.src) {
		return nil, d.errorAt(invalidUTF8Offset(d.src), "not valid UTF-8")
	}
	if offset, deep := exceedsMaxDepth(d.src); deep {
		return nil, d.errorAt(offset, fmt.Sprintf("nested deeper than %d levels", MaxDepth))
	}
	root, err := hujson.Parse(d.src)
	if err != nil {
		return nil, d.syntaxError(err)
	}
	return &root, nil
}

// syntaxError converts an error of the parser, taking the line from its message.
// The parser reports it nowhere else.
func (d *Document) syntaxError(err error) *FieldError {
	msg := err.Error()
	var line, column int
	if _, scanErr := fmt.Sscanf(msg, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return &FieldError{File: d.file, Line: 1, Msg: msg}
	}
	_, cause, _ := strings.Cut(msg, fmt.Sprintf("column %d: ", column))
	return &FieldError{File: d.file, Line: line, Msg: fmt.Sprintf("column %d: %s", column, cause)}
}

func invalidUTF8Offset(src []byte) int {
	for i := 0; i < len(src); {
		r, size := utf8.DecodeRune(src[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return len(src)
}
