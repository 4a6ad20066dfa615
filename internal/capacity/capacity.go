// Package capacity measures what a fleet on loopback spends on control and
// works out what one of the target's size would. It is for the page
// docs/CAPACITY.md only; no router uses it.
package capacity

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Sample is one measured window of a fleet.
type Sample struct {
	Label     string             `json:"label"`
	Routers   int                `json:"routers"`
	Accounts  int                `json:"accounts"`
	Endpoints int                `json:"endpoints"`
	Seconds   float64            `json:"seconds"`
	Requests  int                `json:"requests"` // sent in the window
	Orders    int                `json:"orders"`
	Changes   int                `json:"changes"` // of the manifest, in the window
	Rates     map[string]float64 `json:"rates"`   // counters per second, mean over the routers
	Highest   map[string]float64 `json:"highest"` // the same, of the highest router
	Core      float64            `json:"core"`    // processor time over time, mean over the routers
	CoreMost  float64            `json:"core_most"`
	MemoryMB  float64            `json:"memory_mb"` // resident, mean over the routers
	HeapMB    float64            `json:"heap_mb"`   // Go heap in use, mean over the routers
	Reads     float64            `json:"reads"`     // platform calls a second, whole fleet
	Writes    float64            `json:"writes"`
	Watches   float64            `json:"watches"`
	InForce   []float64          `json:"in_force"` // seconds until each change was in force everywhere
}

// Append adds a sample to a file of JSON lines.
func Append(path string, s Sample) error {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "samples")
	}
	defer f.Close()
	return errors.Wrap(json.NewEncoder(f).Encode(s), "samples")
}

// Read returns the samples of a file.
func Read(path string) ([]Sample, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "samples")
	}
	var samples []Sample
	for line := range strings.Lines(string(data)) {
		var s Sample
		if err := json.Unmarshal([]byte(line), &s); err != nil {
			return nil, errors.Wrap(err, "samples")
		}
		samples = append(samples, s)
	}
	return samples, nil
}

// Line is a straight line fitted to points.
type Line struct{ At0, Slope float64 }

// At returns the line's value.
func (l Line) At(x float64) float64 { return l.At0 + l.Slope*x }

// Fit returns the line of least squares; a flat one for fewer than two
// different abscissas.
func Fit(xs, ys []float64) Line {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	spread := n*sxx - sx*sx
	if spread == 0 {
		return Line{At0: sy / max(1, n)}
	}
	slope := (n*sxy - sx*sy) / spread
	return Line{At0: (sy - slope*sx) / n, Slope: slope}
}
