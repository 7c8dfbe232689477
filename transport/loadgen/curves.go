package loadgen

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// lineWidth is the width of a curve.
const lineWidth = 1.5 * vg.Millimeter / 3

// legendHeadroom is the factor by which the y axis extends above the curves. One
// decade keeps them clear of the legend.
const legendHeadroom = 10

// curve is one line of a plot.
type curve struct {
	name   string
	points plotter.XYs
}

// curves is a set of curves, in the order in which their names were first added.
type curves []curve

// add adds a point to the curve with this name.
func (c *curves) add(name string, x, y float64) {
	for i := range *c {
		if (*c)[i].name == name {
			(*c)[i].points = append((*c)[i].points, plotter.XY{X: x, Y: y})
			return
		}
	}
	*c = append(*c, curve{name, plotter.XYs{{X: x, Y: y}}})
}

// draw sorts the points of each curve by x and adds the curves to a plot, each
// with its own colour and marker.
func (c curves) draw(p *plot.Plot) error {
	for i := range c {
		sortByX(c[i].points)
		l, dots, err := plotter.NewLinePoints(c[i].points)
		if err != nil {
			return errors.Wrapf(err, "plot: %s", c[i].name)
		}
		l.Color, dots.Color, dots.Shape = plotutil.Color(i), plotutil.Color(i), plotutil.Shape(i)
		l.Width = lineWidth
		p.Add(l, dots)
		p.Legend.Add(c[i].name, l, dots)
	}
	return nil
}

// PlotLoads writes two plots over the offered load to one file, SVG or PNG by its
// extension: the response time, and the response time divided by the ideal. Each
// measurement is one point in the curves of its services.
func PlotLoads(path string, all []*Measurement) error {
	var response, ratio curves
	for _, m := range all {
		for _, r := range m.Loads {
			name := r.Config.Service
			for _, percentile := range []struct {
				name  string
				value func(*Summary) float64
			}{
				{" p50", func(f *Summary) float64 { return f.P50 }},
				{" p95", func(f *Summary) float64 { return f.P95 }},
				{" p99", func(f *Summary) float64 { return f.P99 }},
			} {
				response.add(name+percentile.name, percent*r.Load, percentile.value(&r.Response))
				ratio.add(name+percentile.name, percent*r.Load, percentile.value(&r.Ratio))
			}
		}
	}
	const offered = "offered, percent of all slots"
	first, err := newCurvePlot("Response against load", offered, "response, ms", response)
	if err != nil {
		return err
	}
	second, err := newCurvePlot("Response over ideal against load", offered, "response over ideal", ratio)
	if err != nil {
		return err
	}
	return savePlots(path, []*plot.Plot{first, second})
}

// newCurvePlot returns a plot of the curves with a logarithmic y axis.
func newCurvePlot(title, xLabel, yLabel string, c curves) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, xLabel, yLabel
	p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	if err := c.draw(p); err != nil {
		return nil, err
	}
	p.Y.Min, p.Y.Max = roundToDecades(p.Y.Min, p.Y.Max)
	p.Y.Max *= legendHeadroom
	return p, nil
}

// sortByX sorts points by x.
func sortByX(points plotter.XYs) {
	slices.SortStableFunc(points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
}
