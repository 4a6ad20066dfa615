// Package capacity measures the control overhead of a fleet on the loopback
// interface, that is the network traffic, processor time, memory and platform
// calls of its routers, and estimates the overhead of a fleet of the target size.
// It produces the tables and plots of docs/CAPACITY.md and is not part of a router.
package capacity

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Sample holds the measurements of one time window of a fleet.
type Sample struct {
	Label              string             `json:"label"`
	Routers            int                `json:"routers"`
	Accounts           int                `json:"accounts"`
	Endpoints          int                `json:"endpoints"`
	Seconds            float64            `json:"seconds"`
	Requests           int                `json:"requests"` // model requests that got status 200 in the window
	Orders             int                `json:"orders"`
	Changes            int                `json:"changes"`   // of the manifest that were in force everywhere in time
	Rates              map[string]float64 `json:"rates"`     // increase of each counter per second, mean over the routers
	MaxRates           map[string]float64 `json:"highest"`   // the same, maximum over the routers
	Cores              float64            `json:"core"`      // processor cores in use, mean over the routers
	MaxCores           float64            `json:"core_most"` // the same, maximum over the routers
	MemoryMB           float64            `json:"memory_mb"` // resident memory, mean over the routers
	HeapMB             float64            `json:"heap_mb"`   // Go heap in use at the end of the window, mean over the routers
	PlatformReads      float64            `json:"reads"`     // platform calls per second of the whole fleet
	PlatformWrites     float64            `json:"writes"`
	PlatformWatches    float64            `json:"watches"`
	PropagationSeconds []float64          `json:"in_force"` // from the acceptance of each change until it was in force at all routers
}

// Append appends a sample to a file of JSON lines, which it creates if necessary.
func Append(path string, s Sample) error {
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open sample file")
	}
	defer f.Close()
	return errors.Wrap(json.NewEncoder(f).Encode(s), "write sample")
}

// Read returns the samples of a file that Append wrote.
func Read(path string) ([]Sample, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read sample file")
	}
	var samples []Sample
	for line := range strings.Lines(string(data)) {
		var s Sample
		if err := json.Unmarshal([]byte(line), &s); err != nil {
			return nil, errors.Wrap(err, "decode sample")
		}
		samples = append(samples, s)
	}
	return samples, nil
}

// Line is a straight line, such as a linear fit of measured points.
type Line struct{ Intercept, Slope float64 }

// At returns the value of the line at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Fit returns the least-squares fit of the points. With fewer than two different
// x values the line is horizontal, at the mean of ys.
func Fit(xs, ys []float64) Line {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx += xs[i]
		sy += ys[i]
		sxx += xs[i] * xs[i]
		sxy += xs[i] * ys[i]
	}
	denominator := n*sxx - sx*sx
	if denominator == 0 {
		return Line{Intercept: sy / max(1, n)}
	}
	slope := (n*sxy - sx*sy) / denominator
	return Line{Intercept: (sy - slope*sx) / n, Slope: slope}
}
