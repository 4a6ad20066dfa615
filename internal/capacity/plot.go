package capacity

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// plotAll writes the plots of the overhead against the number of routers and
// against the number of client accounts and endpoints to dir.
func plotAll(dir string, samples []Sample) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "create plot directory")
	}
	byRouters := func(s Sample) (float64, bool) { return float64(s.Routers), s.Label == "idle" }
	byItems := func(s Sample) (float64, bool) { return float64(s.Accounts + s.Endpoints), s.Label == "sized" }
	plots := []struct {
		file, title, x, y string
		xValue            func(Sample) (float64, bool)
		yValue            func(Sample) float64
	}{
		{"bytes", "Control traffic of a mean router, idle", "routers", "B/s", byRouters, Sample.ControlBytesPerSecond},
		{"core", "Processor time of a mean router, idle", "routers", "% of a core", byRouters, func(s Sample) float64 { return 100 * s.Cores }},
		{"memory", "Resident memory of a mean router, idle", "routers", "MB", byRouters, func(s Sample) float64 { return s.MemoryMB }},
		{"manifest", "Resident memory of a mean router", "client accounts and endpoints", "MB", byItems, func(s Sample) float64 { return s.MemoryMB }},
	}
	for _, p := range plots {
		var points plotter.XYs
		for _, s := range samples {
			if x, ok := p.xValue(s); ok {
				points = append(points, plotter.XY{X: x, Y: p.yValue(s)})
			}
		}
		if err := draw(filepath.Join(dir, p.file+".png"), p.title, p.x, p.y, points); err != nil {
			return err
		}
	}
	return nil
}

// draw writes a plot of the points and their linear fit to path.
func draw(path, title, x, y string, points plotter.XYs) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Min = 0
	var xs, ys []float64
	for _, point := range points {
		xs, ys = append(xs, point.X), append(ys, point.Y)
	}
	line := plotter.NewFunction(Fit(xs, ys).At)
	p.Add(line)
	if err := plotutil.AddScatters(p, points); err != nil {
		return errors.Wrap(err, "add points to plot")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "save plot")
}
