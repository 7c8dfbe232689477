package loadgen

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Write writes the measurement to a report file in JSON.
func (m *Measurement) Write(path string) error {
	body, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	return errors.Wrap(os.WriteFile(path, append(body, '\n'), 0o644), "write report")
}

// Read reads a report file that Write wrote. It returns an error if the format is
// of another version or the report has no load.
func Read(path string) (*Measurement, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read report")
	}
	m := new(Measurement)
	if err := json.Unmarshal(body, m); err != nil {
		return nil, errors.Wrapf(err, "%s is not a report", path)
	}
	if m.Format != reportFormat {
		return nil, errors.Errorf("report %s has format %d; this version reads format %d", path, m.Format, reportFormat)
	}
	if len(m.Loads) == 0 || m.Plan == nil {
		return nil, errors.Errorf("report %s has no loads or no plan", path)
	}
	return m, nil
}
