package strictjson

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

var (
	durationType    = reflect.TypeFor[time.Duration]()
	rawType         = reflect.TypeFor[json.RawMessage]()
	unmarshalerType = reflect.TypeFor[json.Unmarshaler]()
)

// decoder decodes a parsed file into a Go value and collects all errors.
type decoder struct {
	doc  *Document
	errs Errors
}

func (d *decoder) addErrorf(key string, at *hujson.Value, format string, args ...any) {
	fieldErr := d.doc.errorAt(at.StartOffset, fmt.Sprintf(format, args...))
	fieldErr.Key = key
	d.errs = append(d.errs, fieldErr)
}

func (d *decoder) decodeValue(key string, v *hujson.Value, target reflect.Value) {
	d.doc.lines[key] = d.doc.lineAt(v.StartOffset)
	switch {
	case target.Type() == rawType:
		target.SetBytes(standardJSON(v))
	case v.Value.Kind() == 'n':
		d.addErrorf(key, v, "null is not a value: leave the key out instead")
	case target.Kind() == reflect.Pointer:
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		d.decodeValue(key, v, target.Elem())
	case target.Type() == durationType:
		d.decodeDuration(key, v, target)
	case target.Addr().Type().Implements(unmarshalerType):
		if err := json.Unmarshal(standardJSON(v), target.Addr().Interface()); err != nil {
			d.addErrorf(key, v, "%v", err)
		}
	default:
		d.decodeByKind(key, v, target)
	}
}

func (d *decoder) decodeByKind(key string, v *hujson.Value, target reflect.Value) {
	switch target.Kind() {
	case reflect.Struct:
		if obj, ok := v.Value.(*hujson.Object); ok {
			d.decodeObject(key, obj, target)
			return
		}
	case reflect.Map:
		if obj, ok := v.Value.(*hujson.Object); ok {
			d.decodeMap(key, obj, target)
			return
		}
	case reflect.Slice:
		if arr, ok := v.Value.(*hujson.Array); ok {
			d.decodeArray(key, arr, target)
			return
		}
	default:
		if lit, ok := v.Value.(hujson.Literal); ok && json.Unmarshal(lit, target.Addr().Interface()) == nil {
			return
		}
	}
	d.addErrorf(key, v, "must be %s, is %s", expectedType(target.Type()), describeValue(v))
}

func (d *decoder) decodeObject(key string, obj *hujson.Object, target reflect.Value) {
	fields := fieldsOf(target.Type())
	d.forEachMember(key, obj, func(name, path string, m *hujson.ObjectMember) {
		index, ok := fields[name]
		if !ok {
			d.addErrorf(path, &m.Name, "unknown key%s", suggestion(name, fields))
			return
		}
		d.decodeValue(path, &m.Value, target.Field(index))
	})
}

func (d *decoder) decodeMap(key string, obj *hujson.Object, target reflect.Value) {
	out := reflect.MakeMapWithSize(target.Type(), len(obj.Members))
	d.forEachMember(key, obj, func(name, path string, m *hujson.ObjectMember) {
		elem := reflect.New(target.Type().Elem()).Elem()
		d.decodeValue(path, &m.Value, elem)
		out.SetMapIndex(reflect.ValueOf(name).Convert(target.Type().Key()), elem)
	})
	target.Set(out)
}

// forEachMember calls visit for the first member of each name. Of two members with
// the same name encoding/json silently keeps the last one, which misleads a reader
// who sees the first; here the second one is an error.
func (d *decoder) forEachMember(key string, obj *hujson.Object, visit func(name, path string, m *hujson.ObjectMember)) {
	seen := make(map[string]int, len(obj.Members))
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		path := joinKey(key, name)
		line := d.doc.lineAt(m.Name.StartOffset)
		if first, duplicate := seen[name]; duplicate {
			d.addErrorf(path, &m.Name, "key stands twice, first in line %d", first)
			continue
		}
		seen[name] = line
		visit(name, path, m)
	}
}

func (d *decoder) decodeArray(key string, arr *hujson.Array, target reflect.Value) {
	out := reflect.MakeSlice(target.Type(), len(arr.Elements), len(arr.Elements))
	for i := range arr.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", key, i), &arr.Elements[i], out.Index(i))
	}
	target.Set(out)
}

func (d *decoder) decodeDuration(key string, v *hujson.Value, target reflect.Value) {
	if v.Value.Kind() == '"' {
		parsed, err := time.ParseDuration(v.Value.(hujson.Literal).String())
		if err == nil {
			target.SetInt(int64(parsed))
			return
		}
	}
	d.addErrorf(key, v, `must be a duration such as "250ms" or "5s", is %s`, describeValue(v))
}

// standardJSON returns the value as standard JSON without comments and white
// space.
func standardJSON(v *hujson.Value) []byte {
	plain := v.Clone()
	plain.Minimize()
	return plain.Pack()
}

func joinKey(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

// fieldsOf maps the JSON names of the fields of a struct to their indexes.
func fieldsOf(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.IsExported() || name == "-" {
			continue
		}
		if name == "" {
			name = f.Name
		}
		fields[name] = i
	}
	return fields
}

// suggestion returns a hint that names the known key which differs from name only
// in case, or an empty string if there is none.
func suggestion(name string, fields map[string]int) string {
	for known := range fields {
		if strings.EqualFold(known, name) {
			return fmt.Sprintf(", write %q", known)
		}
	}
	return ""
}
