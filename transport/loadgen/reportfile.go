package loadgen

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Write writes the measurement to a file as JSON.
func (m *Measurement) Write(path string) error {
	body, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(os.WriteFile(path, append(body, '\n'), 0o644), "report")
}

// Read reads what Write wrote.
func Read(path string) (*Measurement, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	m := new(Measurement)
	if err := json.Unmarshal(body, m); err != nil {
		return nil, errors.Wrapf(err, "%s is no report", path)
	}
	if m.Format != reportFormat {
		return nil, errors.Errorf("%s has format %d; this version reads %d", path, m.Format, reportFormat)
	}
	if len(m.Loads) == 0 || m.Plan == nil {
		return nil, errors.Errorf("%s holds no load", path)
	}
	return m, nil
}
