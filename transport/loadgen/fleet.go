package loadgen

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"os"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// maxControlBytes is what a daemon may send and receive a second for control.
const maxControlBytes = 13_000

// FleetRow is what one daemon spends in a fleet of a size. Benches of fleets
// write one JSON object for each, one after the other.
type FleetRow struct {
	// Name tells lines of one plot apart, such as ways of spreading loads.
	Name                  string  `json:"name,omitempty"`
	Agents                int     `json:"agents"`
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
	CPUPercent            float64 `json:"cpu_percent"`
	ResidentMB            float64 `json:"resident_mb"`
}

// ReadFleet reads the rows of a file.
func ReadFleet(path string) ([]FleetRow, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "fleet rows")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	var rows []FleetRow
	for {
		var row FleetRow
		err := dec.Decode(&row)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, errors.Wrapf(err, "%s: row %d", path, len(rows)+1)
		}
		if row.Agents <= 0 || !(row.ControlBytesPerSecond > 0) {
			return nil, errors.Errorf("%s: row %d needs agents and control_bytes_per_second above zero", path, len(rows)+1)
		}
		rows = append(rows, row)
	}
	if len(rows) == 0 {
		return nil, errors.Errorf("%s holds no row", path)
	}
	return rows, nil
}

// WriteFleet writes the rows to a file.
func WriteFleet(path string, rows []FleetRow) error {
	var body bytes.Buffer
	enc := json.NewEncoder(&body)
	for _, row := range rows {
		if err := enc.Encode(row); err != nil {
			return errors.Wrap(err, "fleet rows")
		}
	}
	return errors.Wrap(os.WriteFile(path, body.Bytes(), 0o644), "fleet rows")
}

// PlotFleet writes the control bytes of a daemon against the size of the fleet,
// with the limit of the target size.
func PlotFleet(path string, rows []FleetRow) error {
	var c curves
	for _, row := range rows {
		name := row.Name
		if name == "" {
			name = "control"
		}
		c.add(name, float64(row.Agents), row.ControlBytesPerSecond)
	}
	p, err := newCurvePlot("Control bytes against fleet size", "agents", "control bytes a second and daemon", c)
	if err != nil {
		return err
	}
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.X.Min, p.X.Max = decades(p.X.Min, p.X.Max)
	if err := limitLine(p, "limit, 13 KB/s", maxControlBytes); err != nil {
		return err
	}
	p.Y.Min, p.Y.Max = decades(p.Y.Min, p.Y.Max)
	return savePlots(path, []*plot.Plot{p})
}

func sortByX(points plotter.XYs) {
	slices.SortStableFunc(points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
}
