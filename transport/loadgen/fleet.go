package loadgen

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// maxControlBytes is what a daemon may send and receive a second for control.
const maxControlBytes = 13_000

// FleetRow is what one daemon spends in a fleet of a size. Benches of fleets
// write one JSON object for each, one after the other, and may add keys of
// their own.
type FleetRow struct {
	// Name, Role and Phase tell lines of one plot apart, such as ways of
	// spreading loads, or agents when idle and under load.
	Name   string `json:"name,omitempty"`
	Role   string `json:"role,omitempty"`
	Phase  string `json:"phase,omitempty"`
	Agents int    `json:"agents"`
	// ControlBytesPerSecond is what the daemon sent, or sent and received
	// together where the latter isn't told on its own.
	ControlBytesPerSecond  float64 `json:"control_bytes_per_second"`
	ReceivedBytesPerSecond float64 `json:"received_bytes_per_second,omitempty"`
	CPUPercent             float64 `json:"cpu_percent"`
	ResidentMB             float64 `json:"resident_mb"`
}

func (r *FleetRow) line() string {
	return cmp.Or(strings.TrimSpace(r.Name+" "+r.Role+" "+r.Phase), "control")
}

func (r *FleetRow) bytes() float64 { return r.ControlBytesPerSecond + r.ReceivedBytesPerSecond }

// ReadFleet reads the rows of a file. Those of parts without control traffic
// are left out, for a logarithmic axis has no place for them.
func ReadFleet(path string) ([]FleetRow, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "fleet rows")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	var rows []FleetRow
	for n := 1; ; n++ {
		var row FleetRow
		err := dec.Decode(&row)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, errors.Wrapf(err, "%s: row %d", path, n)
		}
		if row.Agents <= 0 || row.ControlBytesPerSecond < 0 || row.ReceivedBytesPerSecond < 0 {
			return nil, errors.Errorf("%s: row %d needs agents above zero and bytes not below", path, n)
		}
		if row.bytes() > 0 {
			rows = append(rows, row)
		}
	}
	if len(rows) == 0 {
		return nil, errors.Errorf("%s holds no row with control_bytes_per_second", path)
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
	for i := range rows {
		c.add(rows[i].line(), float64(rows[i].Agents), rows[i].bytes())
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
