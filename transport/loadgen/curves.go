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

// lineWidth is that of a curve.
const lineWidth = 1.5 * vg.Millimeter / 3

// legendRoom keeps the curves out of the legend: a decade above them.
const legendHeadroom = 10

// curve is one line of a plot with its points in the order of x.
type curve struct {
	name   string
	points plotter.XYs
}

// curves gathers points by the name of their line, in the order in which the
// names come.
type curves []curve

func (c *curves) add(name string, x, y float64) {
	for i := range *c {
		if (*c)[i].name == name {
			(*c)[i].points = append((*c)[i].points, plotter.XY{X: x, Y: y})
			return
		}
	}
	*c = append(*c, curve{name, plotter.XYs{{X: x, Y: y}}})
}

// draw adds the curves to a plot, each with a colour and a mark of its own.
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

// PlotLoads writes the response and the response over the ideal against the
// load that was offered, from several measurements. Each service has its lines.
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

// newCurvePlot draws curves over a logarithmic y.
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

// sortByX puts points in the order of their x.
func sortByX(points plotter.XYs) {
	slices.SortStableFunc(points, func(a, b plotter.XY) int { return cmp.Compare(a.X, b.X) })
}
