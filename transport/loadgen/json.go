package loadgen

import (
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// MarshalJSON encodes d in milliseconds with a resolution of one microsecond.
func (d Duration) MarshalJSON() ([]byte, error) {
	return strconv.AppendFloat(nil, milliseconds(time.Duration(d)), 'f', -1, 64), nil
}

// UnmarshalJSON decodes a number of milliseconds.
func (d *Duration) UnmarshalJSON(data []byte) error {
	ms, err := strconv.ParseFloat(string(data), 64)
	if err != nil {
		return errors.Wrap(err, "parse duration in milliseconds")
	}
	*d = Duration(math.Round(ms*float64(time.Millisecond/time.Microsecond))) * Duration(time.Microsecond)
	return nil
}

// milliseconds returns d in milliseconds, truncated to microseconds.
func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}

// MarshalText returns the text from which the sizes were parsed.
func (s Sizes) MarshalText() ([]byte, error) { return []byte(s.text), nil }

// UnmarshalText parses the result of MarshalText.
func (s *Sizes) UnmarshalText(text []byte) error {
	parsed, err := ParseSizes(string(text))
	*s = parsed
	return err
}

// MarshalText returns the name of the mix, with the run time for the mix "fixed".
func (m Mix) MarshalText() ([]byte, error) { return []byte(m.text()), nil }

// UnmarshalText parses the result of MarshalText.
func (m *Mix) UnmarshalText(text []byte) error {
	parsed, err := parseMixText(string(text))
	*m = parsed
	return err
}
