package api

import (
	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
)

// Outcome is a state.Outcome that stands in JSON by its name.
type Outcome state.Outcome

// MarshalText returns the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(state.Outcome(o).String()), nil
}

// UnmarshalText reads the outcome's name. It fails on a name it doesn't know.
func (o *Outcome) UnmarshalText(text []byte) error {
	for c := state.Pending; c <= state.Unknown; c++ {
		if c.String() == string(text) {
			*o = Outcome(c)
			return nil
		}
	}
	return errors.Errorf("unknown outcome %q", text)
}
