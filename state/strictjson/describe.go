package strictjson

import (
	"fmt"
	"reflect"

	"github.com/tailscale/hujson"
)

// maxQuoted is the longest part of an invalid value in an error message, in bytes.
const maxQuoted = 40

// expectedType returns a description of the JSON values that decode into a Go type, for
// error messages.
func expectedType(t reflect.Type) string {
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
		panic(fmt.Sprintf("strictjson: cannot decode into a Go value of type %v", t))
	}
}

// describeValue returns a description of a value in the file, for error messages.
func describeValue(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "the string " + truncate(string(v.Value.(hujson.Literal)))
	default:
		return truncate(string(v.Value.(hujson.Literal)))
	}
}

func truncate(s string) string {
	if len(s) <= maxQuoted {
		return s
	}
	return s[:maxQuoted] + "..."
}
