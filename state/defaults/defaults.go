// Package defaults fills in options that were left out. It is beside package
// state, below every layer that has options.
package defaults

import "time"

// Positive sets *v to def unless it is above zero, for options of which zero and
// less have no meaning of their own.
func Positive[T int | int64 | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}

// Zero sets *v to def if it is zero, for options that may be negative or have
// several parts.
func Zero[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
