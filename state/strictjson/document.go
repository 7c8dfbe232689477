// Package strictjson decodes JSON with comments into Go structs and says of
// each fault where it stands: file, line and key. It refuses what the standard
// decoder lets through: unknown keys, keys that stand twice, keys in another
// case, null, and text that is not UTF-8. It reports every fault of a file at
// once, so that a person mends the file in one go.
//
// The parser is hujson's. Durations are written as strings, such as "250ms".
package strictjson

import (
	"fmt"
	"reflect"
	"sort"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// MaxDepth bounds how deep objects and arrays may nest. The parser recurses: a
// file of a million open brackets would exhaust the stack, which ends a Go
// process whatever handlers it has. The check runs before the parser.
const MaxDepth = 64

// Document remembers where each key of a decoded file stands, so that faults
// found after decoding (a value out of range) are reported like all others.
type Document struct {
	file string
	src  []byte
	// breaks are the offsets of the line ends, so that finding a line does not
	// read the file from its start for each of its values.
	breaks []int
	lines  map[string]int
}

// Decode decodes src into the struct that v points to. Fields that src does not
// name keep their values, so defaults can be set beforehand. Every error is of
// type Errors. After an error v is partly filled and must not be used.
func Decode(name string, src []byte, v any) error {
	_, err := DecodeDocument(name, src, v)
	return err
}

// DecodeDocument is Decode for callers that check values afterwards. The
// document is valid also beside an error.
func DecodeDocument(name string, src []byte, v any) (*Document, error) {
	target := reflect.ValueOf(v)
	if target.Kind() != reflect.Pointer || target.IsNil() {
		panic("strictjson: v must be a pointer that is not nil")
	}
	doc := &Document{file: name, src: src, breaks: lineBreaks(src), lines: make(map[string]int)}
	root, fault := doc.parse()
	if fault != nil {
		return doc, Errors{fault}
	}
	d := decoder{doc: doc}
	d.value("", root, target.Elem())
	return doc, d.errs.Err()
}

// Has tells whether the file names the key.
func (d *Document) Has(key string) bool {
	_, ok := d.lines[key]
	return ok
}

// Errorf returns a fault of the value at key. A key that the file leaves out is
// reported at the line of the nearest enclosing one that it has.
func (d *Document) Errorf(key, format string, args ...any) *FieldError {
	return &FieldError{File: d.file, Line: d.line(key), Key: key, Msg: fmt.Sprintf(format, args...)}
}

func (d *Document) line(key string) int {
	for k := key; k != ""; k = parent(k) {
		if line, ok := d.lines[k]; ok {
			return line
		}
	}
	return max(d.lines[""], 1)
}

// parent cuts the last step off a key path.
func parent(key string) string {
	return key[:max(strings.LastIndexAny(key, ".["), 0)]
}

func (d *Document) lineAt(offset int) int {
	return 1 + sort.SearchInts(d.breaks, offset)
}

func lineBreaks(src []byte) []int {
	var breaks []int
	for i, c := range src {
		if c == '\n' {
			breaks = append(breaks, i)
		}
	}
	return breaks
}

func (d *Document) fault(offset int, msg string) *FieldError {
	return &FieldError{File: d.file, Line: d.lineAt(offset), Msg: msg}
}

func (d *Document) parse() (*hujson.Value, *FieldError) {
	if !utf8.Valid(d.src) {
		return nil, d.fault(invalidUTF8(d.src), "not valid UTF-8")
	}
	if offset, deep := tooDeep(d.src); deep {
		return nil, d.fault(offset, fmt.Sprintf("nested deeper than %d levels", MaxDepth))
	}
	root, err := hujson.Parse(d.src)
	if err != nil {
		return nil, d.syntaxFault(err)
	}
	return &root, nil
}

// syntaxFault takes the line out of the parser's message, its only place.
func (d *Document) syntaxFault(err error) *FieldError {
	msg := err.Error()
	var line, column int
	if _, scanErr := fmt.Sscanf(msg, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return &FieldError{File: d.file, Line: 1, Msg: msg}
	}
	_, cause, _ := strings.Cut(msg, fmt.Sprintf("column %d: ", column))
	return &FieldError{File: d.file, Line: line, Msg: fmt.Sprintf("column %d: %s", column, cause)}
}

func invalidUTF8(src []byte) int {
	for i := 0; i < len(src); {
		r, size := utf8.DecodeRune(src[i:])
		if r == utf8.RuneError && size == 1 {
			return i
		}
		i += size
	}
	return len(src)
}
