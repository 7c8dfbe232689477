package loadgen

import (
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// MarshalJSON writes milliseconds, to the microsecond.
func (d Duration) MarshalJSON() ([]byte, error) {
	return strconv.AppendFloat(nil, milliseconds(time.Duration(d)), 'f', -1, 64), nil
}

// UnmarshalJSON reads milliseconds.
func (d *Duration) UnmarshalJSON(data []byte) error {
	ms, err := strconv.ParseFloat(string(data), 64)
	if err != nil {
		return errors.Wrap(err, "a duration in milliseconds")
	}
	*d = Duration(math.Round(ms*float64(time.Millisecond/time.Microsecond))) * Duration(time.Microsecond)
	return nil
}

// milliseconds returns d in milliseconds, to the microsecond.
func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}

// MarshalText writes the sizes as they were given.
func (s Sizes) MarshalText() ([]byte, error) { return []byte(s.text), nil }

// UnmarshalText reads what MarshalText wrote.
func (s *Sizes) UnmarshalText(text []byte) error {
	parsed, err := ParseSizes(string(text))
	*s = parsed
	return err
}

// MarshalText writes the mix by its name.
func (m Mix) MarshalText() ([]byte, error) { return []byte(m.text()), nil }

// UnmarshalText reads what MarshalText wrote.
func (m *Mix) UnmarshalText(text []byte) error {
	parsed, err := parseMixText(string(text))
	*m = parsed
	return err
}
