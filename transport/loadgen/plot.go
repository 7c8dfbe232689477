package loadgen

import (
	"image/color"
	"math"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	_ "gonum.org/v1/plot/vg/vgimg" // writes PNG
	_ "gonum.org/v1/plot/vg/vgsvg" // writes SVG

	"github.com/shallotstep/shallotstep/state"
)

// Dimensions of the plots.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	dotRadius  = 1.5 * vg.Millimeter / 2
	plotMargin = 4 * vg.Millimeter
	// minPlotMS is the smallest value on a logarithmic axis, which cannot show
	// zero.
	minPlotMS = 1
)

var (
	completeColor = color.NRGBA{B: 200, A: 140}
	otherColor    = color.NRGBA{R: 220, A: 200}
	idealColor    = color.NRGBA{G: 130, A: 255}
)

// Plot writes two plots for each load to one file, SVG or PNG by its extension: the
// response time of each job over its ideal response time, and over the time at
// which the job was due.
func (m *Measurement) Plot(path string) error {
	var plots []*plot.Plot
	for _, r := range m.Loads {
		byIdeal, err := r.responseAgainstIdeal()
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		byDue, err := r.responseOverTime()
		if err != nil {
			return errors.Wrap(err, "plot")
		}
		plots = append(plots, byIdeal, byDue)
	}
	return savePlots(path, plots)
}

// savePlots writes plots to one file, one below the other.
func savePlots(path string, plots []*plot.Plot) error {
	format := strings.TrimPrefix(filepath.Ext(path), ".")
	canvas, err := draw.NewFormattedCanvas(plotWidth, vg.Length(len(plots))*plotHeight, format)
	if err != nil {
		return errors.Wrapf(err, "plot %s: the file name must end in .svg or .png", path)
	}
	tiles := draw.Tiles{
		Rows: len(plots), Cols: 1,
		PadTop: plotMargin, PadBottom: plotMargin, PadLeft: plotMargin, PadRight: plotMargin, PadY: plotMargin,
	}
	page := draw.New(canvas)
	for row, p := range plots {
		p.Draw(tiles.At(page, 0, row))
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	_, err = canvas.WriteTo(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "plot")
}

// points returns a point for each job, with x from the function and the response
// time as y. Jobs that are not complete are returned separately.
func (r *Report) points(x func(*Row) float64) (complete, other plotter.XYs) {
	for i := range r.Rows {
		row := &r.Rows[i]
		point := plotter.XY{X: x(row), Y: max(minPlotMS, milliseconds(row.Response.D()))}
		if row.Outcome == state.Complete.String() {
			complete = append(complete, point)
		} else {
			other = append(other, point)
		}
	}
	return complete, other
}

// scatter adds points and their legend to a plot.
func scatter(p *plot.Plot, name string, points plotter.XYs, c color.Color) error {
	if len(points) == 0 {
		return nil
	}
	s, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	s.GlyphStyle = draw.GlyphStyle{Color: c, Radius: dotRadius, Shape: draw.CircleGlyph{}}
	p.Add(s)
	p.Legend.Add(name, s)
	return nil
}

// newPlot returns a scatter plot of response times over xValue, with a logarithmic
// y axis.
func (r *Report) newPlot(title, xLabel string, xValue func(*Row) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = xLabel
	p.Y.Label.Text = "response, ms"
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	complete, other := r.points(xValue)
	if err := scatter(p, "complete", complete, completeColor); err != nil {
		return nil, err
	}
	if err := scatter(p, "refused, failed or unknown", other, otherColor); err != nil {
		return nil, err
	}
	p.Y.Min, p.Y.Max = roundToDecades(p.Y.Min, p.Y.Max)
	return p, nil
}

// roundToDecades extends a range to powers of ten for a logarithmic axis. A range
// that is not positive, or infinite because there are no points, is replaced by the
// decade from minPlotMS.
func roundToDecades(smallest, largest float64) (float64, float64) {
	if !(smallest > 0) || math.IsInf(smallest, 0) || math.IsInf(largest, 0) {
		smallest, largest = minPlotMS, 10*minPlotMS
	}
	low := math.Pow(10, math.Floor(math.Log10(smallest)))
	high := math.Pow(10, math.Ceil(math.Log10(largest)))
	return low, max(high, 10*low)
}

// responseAgainstIdeal returns a plot of response time over ideal response time,
// with a line where both are equal.
func (r *Report) responseAgainstIdeal() (*plot.Plot, error) {
	x := func(row *Row) float64 { return max(minPlotMS, milliseconds(row.Ideal.D())) }
	p, err := r.newPlot(r.Config.Service+": response against ideal", "ideal, ms", x)
	if err != nil {
		return nil, err
	}
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.X.Min, p.X.Max = roundToDecades(p.X.Min, p.X.Max)
	from, to := min(p.X.Min, p.Y.Min), min(p.X.Max, p.Y.Max)
	l, err := plotter.NewLine(plotter.XYs{{X: from, Y: from}, {X: to, Y: to}})
	if err != nil {
		return nil, err
	}
	l.Color = idealColor
	p.Add(l)
	p.Legend.Add("ideal", l)
	p.Y.Min = min(p.Y.Min, from)
	return p, nil
}

// responseOverTime returns a plot of response time over the time at which the job
// was due.
func (r *Report) responseOverTime() (*plot.Plot, error) {
	x := func(row *Row) float64 { return row.Due.D().Seconds() }
	p, err := r.newPlot(r.Config.Service+": response over time", "due, s", x)
	if err != nil {
		return nil, err
	}
	p.X.Min, p.X.Max = 0, r.Config.Length.D().Seconds()
	return p, nil
}
