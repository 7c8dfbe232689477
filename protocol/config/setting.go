package config

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// setting is one row of the table.
type setting struct {
	// key is the path in the file, such as timeouts.drain.
	key   string
	roles []Role
	// doc is one sentence or two for the page and the example.
	doc string
	// kind and bounds are for the page.
	kind   string
	bounds string
	// required says that the file must name the key.
	required bool
	// def is the default in JSON; empty for none. roleDef goes before it.
	def     string
	roleDef map[Role]string
	// sample is what the example shows, in JSON, when there is no default.
	sample string
	// assign sets the default, check returns what is wrong with the value.
	assign func(*Settings, Role)
	check  func(*Settings) string
}

func (t *setting) isFor(r Role) bool { return slices.Contains(t.roles, r) }

// defaultFor returns the default in JSON for a role.
func (t *setting) defaultFor(r Role) string {
	if def, ok := t.roleDef[r]; ok {
		return def
	}
	return t.def
}

// text defines a setting of one line of text without a default.
func text(key, doc, sample string, check func(*Settings) string, roles ...Role) *setting {
	return &setting{key: key, doc: doc, kind: "string", sample: quote(sample), roles: roles, check: check}
}

// file defines a setting that names a file.
func file(key, doc, sample string, roles ...Role) *setting {
	return &setting{key: key, doc: doc, kind: "file", sample: quote(sample), roles: roles}
}

// must marks a setting that the file has to name.
func must(t *setting) *setting {
	t.required = true
	return t
}

// whole defines a setting of a whole number within bounds.
func whole[T int | int64](key, doc string, at func(*Settings) *T, def, low, high T, roles ...Role) *setting {
	return &setting{
		key: key, doc: doc, kind: "integer", roles: roles,
		bounds: fmt.Sprintf("%d to %d", low, high),
		def:    strconv.FormatInt(int64(def), 10),
		assign: func(s *Settings, _ Role) { *at(s) = def },
		check:  func(s *Settings) string { return outOfRange(*at(s), low, high) },
	}
}

// number defines a setting of a number within bounds.
func number(key, doc string, at func(*Settings) *float64, def, low, high float64, roles ...Role) *setting {
	return &setting{
		key: key, doc: doc, kind: "number", roles: roles,
		bounds: fmt.Sprintf("%g to %g", low, high),
		def:    strconv.FormatFloat(def, 'g', -1, 64),
		assign: func(s *Settings, _ Role) { *at(s) = def },
		check:  func(s *Settings) string { return outOfRange(*at(s), low, high) },
	}
}

// length defines a setting of a duration within bounds.
func length(key, doc string, at func(*Settings) *time.Duration, def, low, high time.Duration, roles ...Role) *setting {
	return &setting{
		key: key, doc: doc, kind: "duration", roles: roles,
		bounds: fmt.Sprintf("%s to %s", brief(low), brief(high)),
		def:    quote(brief(def)),
		assign: func(s *Settings, _ Role) { *at(s) = def },
		check: func(s *Settings) string {
			if v := *at(s); v < low || v > high {
				return fmt.Sprintf("is %s, must be %s to %s", brief(v), brief(low), brief(high))
			}
			return ""
		},
	}
}

func outOfRange[T cmp.Ordered](v, low, high T) string {
	if v < low || v > high {
		return fmt.Sprintf("is %v, must be %v to %v", v, low, high)
	}
	return ""
}

// brief writes a duration without the units that are zero.
func brief(d time.Duration) string {
	switch {
	case d == 0:
		return "0s"
	case d%time.Hour == 0:
		return fmt.Sprintf("%dh", d/time.Hour)
	case d%time.Minute == 0:
		return fmt.Sprintf("%dm", d/time.Minute)
	default:
		return d.String()
	}
}

func quote(s string) string { return strconv.Quote(s) }
