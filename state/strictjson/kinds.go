package strictjson

import (
	"fmt"
	"reflect"

	"github.com/tailscale/hujson"
)

// maxQuoted bounds how much of a wrong value a message repeats, in bytes.
const maxQuoted = 40

// wanted names what a Go type accepts, in the words of JSON.
func wanted(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return fmt.Sprintf("an integer from 0 of at most %d bits", t.Bits())
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return fmt.Sprintf("an integer of at most %d bits", t.Bits())
	default:
		panic(fmt.Sprintf("strictjson: no decoding into %v", t))
	}
}

// found names the value that stands in the file.
func found(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "the string " + shorten(string(v.Value.(hujson.Literal)))
	default:
		return shorten(string(v.Value.(hujson.Literal)))
	}
}

func shorten(s string) string {
	if len(s) <= maxQuoted {
		return s
	}
	return s[:maxQuoted] + "..."
}
