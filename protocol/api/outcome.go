package api

import (
	"github.com/pkg/errors"

	"github.com/shallotstep/shallotstep/state"
)

// Outcome is a state.Outcome that is encoded in JSON by its name.
type Outcome state.Outcome

// MarshalText returns the outcome's name.
func (o Outcome) MarshalText() ([]byte, error) {
	return []byte(state.Outcome(o).String()), nil
}

// UnmarshalText parses the outcome's name. It returns an error for an unknown
// name.
func (o *Outcome) UnmarshalText(text []byte) error {
	for c := state.Pending; c <= state.Unknown; c++ {
		if c.String() == string(text) {
			*o = Outcome(c)
			return nil
		}
	}
	return errors.Errorf("unknown outcome %q", text)
}
