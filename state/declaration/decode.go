package declaration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// decoder walks a syntax tree with the shape of a declaration. It goes on after
// a fault, so that one run reports them all.
type decoder struct {
	name string
	src  []byte
	errs ErrorList
}

// field decodes one key of an object.
type field struct {
	key      string
	required bool
	decode   func(v *hujson.Value, path string)
}

func (d *decoder) failf(offset int, path, format string, args ...any) {
	d.errs = append(d.errs, &FileError{
		File:    d.name,
		Line:    d.line(offset),
		Key:     path,
		Message: fmt.Sprintf(format, args...),
	})
}

func (d *decoder) line(offset int) int {
	return 1 + bytes.Count(d.src[:min(offset, len(d.src))], []byte("\n"))
}

// parse returns the syntax tree, or false after noting the fault.
func (d *decoder) parse() (hujson.Value, bool) {
	switch {
	case len(d.src) > MaxFileBytes:
		d.failf(0, "", "file of %d bytes is larger than %d", len(d.src), MaxFileBytes)
		return hujson.Value{}, false
	case !utf8.Valid(d.src):
		d.failf(0, "", "file is not valid UTF-8")
		return hujson.Value{}, false
	}
	root, err := hujson.Parse(d.src)
	if err != nil {
		d.errs = append(d.errs, d.syntaxError(err))
		return hujson.Value{}, false
	}
	return root, true
}

// syntaxError takes the line out of the library's message, which is where the
// library puts it.
func (d *decoder) syntaxError(err error) *FileError {
	var line, column int
	message := err.Error()
	if _, scanErr := fmt.Sscanf(message, "hujson: line %d, column %d:", &line, &column); scanErr != nil {
		return &FileError{File: d.name, Line: 1, Message: message}
	}
	_, rest, _ := strings.Cut(message, ": ")
	_, rest, _ = strings.Cut(rest, ": ")
	return &FileError{File: d.name, Line: line, Message: "syntax: " + rest}
}

func (d *decoder) object(v *hujson.Value, path string, fields []field) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		d.wrongType(v, path, "an object")
		return
	}
	seen := make(map[string]bool, len(obj.Members))
	for i := range obj.Members {
		m := &obj.Members[i]
		key := m.Name.Value.(hujson.Literal).String()
		keyPath := join(path, key)
		if seen[key] {
			d.failf(m.Name.StartOffset, keyPath, "key stands twice")
			continue
		}
		seen[key] = true
		if f := findField(fields, key); f != nil {
			f.decode(&m.Value, keyPath)
			continue
		}
		d.failf(m.Name.StartOffset, keyPath, "unknown key")
	}
	for _, f := range fields {
		if f.required && !seen[f.key] {
			d.failf(v.StartOffset, join(path, f.key), "key is missing")
		}
	}
}

func findField(fields []field, key string) *field {
	for i := range fields {
		if fields[i].key == key {
			return &fields[i]
		}
	}
	return nil
}

// array calls decode for each element, of which there may be up to limit.
func (d *decoder) array(v *hujson.Value, path string, limit int, decode func(v *hujson.Value, path string)) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		d.wrongType(v, path, "an array")
		return
	}
	if len(arr.Elements) > limit {
		d.failf(v.StartOffset, path, "%d elements are more than %d", len(arr.Elements), limit)
		return
	}
	for i := range arr.Elements {
		decode(&arr.Elements[i], path+"["+strconv.Itoa(i)+"]")
	}
}

func (d *decoder) string(v *hujson.Value, path string) string {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		d.wrongType(v, path, "a string")
		return ""
	}
	return lit.String()
}

func (d *decoder) bool(v *hujson.Value, path string) bool {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != 't' && lit.Kind() != 'f' {
		d.wrongType(v, path, "true or false")
		return false
	}
	return lit.Bool()
}

// int decodes a whole number within [low, high].
func (d *decoder) int(v *hujson.Value, path string, low, high int64) int64 {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		d.wrongType(v, path, "a whole number")
		return low
	}
	n, err := strconv.ParseInt(string(lit), 10, 64)
	if err != nil {
		d.failf(v.StartOffset, path, "want a whole number, have %s", lit)
		return low
	}
	if n < low || n > high {
		d.failf(v.StartOffset, path, "%d is outside %d to %d", n, low, high)
		return low
	}
	return n
}

// float decodes a number within (0, high].
func (d *decoder) float(v *hujson.Value, path string, high float64) float64 {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '0' {
		d.wrongType(v, path, "a number")
		return 0
	}
	var f float64
	if err := json.Unmarshal(lit, &f); err != nil || math.IsInf(f, 0) {
		d.failf(v.StartOffset, path, "want a number, have %s", lit)
		return 0
	}
	if f <= 0 || f > high {
		d.failf(v.StartOffset, path, "%v is outside 0 to %v", f, high)
		return 0
	}
	return f
}

func (d *decoder) wrongType(v *hujson.Value, path, want string) {
	d.failf(v.StartOffset, path, "want %s, have %s", want, kindName(v.Value.Kind()))
}

func kindName(k hujson.Kind) string {
	switch k {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 't', 'f':
		return "true or false"
	}
	return "null"
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
