package load

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// PlotGap writes a PNG file that plots the fairness gap of each report over time.
func PlotGap(path string, reports []*Report) error {
	return draw(path, "Fairness gap between backlogged client accounts", "cost units over share", reports, func(r *Report) plotter.XYs {
		var line plotter.XYs
		for _, p := range r.Gap.Series {
			line = append(line, plotter.XY{X: seconds(p.AtMillis), Y: p.Cost})
		}
		return line
	})
}

// PlotUse writes a PNG file that plots the slots in use of each report over time.
func PlotUse(path string, reports []*Report) error {
	return draw(path, "Slots in use as reported by the runners", "%", reports, func(r *Report) plotter.XYs {
		var line plotter.XYs
		for _, p := range r.Use {
			line = append(line, plotter.XY{X: seconds(p.AtMillis), Y: p.Percent})
		}
		return line
	})
}

func draw(path, title, unit string, reports []*Report, points func(*Report) plotter.XYs) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = unit
	var lines []any
	for _, r := range reports {
		lines = append(lines, string(r.Policy), points(r))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "draw plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "save plot")
}
