package loadgen

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// Write writes the report to a file as JSON.
func (r *Report) Write(path string) error {
	body, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(os.WriteFile(path, append(body, '\n'), 0o644), "report")
}

// Read reads a report that Write wrote.
func Read(path string) (*Report, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	r := new(Report)
	if err := json.Unmarshal(body, r); err != nil {
		return nil, errors.Wrapf(err, "%s is no report", path)
	}
	if r.Format != reportFormat {
		return nil, errors.Errorf("%s has format %d; this version reads %d", path, r.Format, reportFormat)
	}
	return r, nil
}
