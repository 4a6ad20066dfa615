// Package overload measures how long the goroutines of this process wait for a CPU,
// so that an overloaded router can refuse new requests early.
package overload

import (
	"context"
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"

	exported "github.com/VictoriaMetrics/metrics"

	"github.com/cyclamenwinch/cyclamenwinch/internal/wake"
)

const (
	// interval is the time between two measurements.
	interval = 50 * time.Millisecond
	// smoothing is the weight of a new measurement in the moving average. It is
	// small because a single pause is not an overload.
	smoothing = 0.3
	// minSamples is the least number of waits per measurement. Fewer are too few
	// for a mean and count as no wait.
	minSamples = 10

	latencyMetric = "/sched/latencies:seconds"
)

// MaxTimingLag is the wait for the CPU above which times that this process measures
// say more about itself than about others. A response passes several such waits.
const MaxTimingLag = 5 * time.Millisecond

// Meter measures how long runnable goroutines wait for a CPU. Late timers
// would not show it, since the runtime runs expired timers first. A Meter is safe
// for concurrent use.
type Meter struct {
	lag        atomic.Int64 // moving average in ns
	lastCounts []uint64     // histogram counts at the last measurement
}

// New returns a meter with no measurements and exports its lag as a metric.
func New() *Meter {
	m := &Meter{}
	exported.GetOrCreateGauge("cyclamenwinch_processor_wait_seconds", func() float64 { return m.Lag().Seconds() })
	return m
}

// Lag returns the moving average of the wait for a CPU. Work that has to wait
// several times is delayed by that multiple of the lag.
func (m *Meter) Lag() time.Duration { return time.Duration(m.lag.Load()) }

// Serve measures until the context ends.
func (m *Meter) Serve(ctx context.Context) error {
	ticks := wake.NewTicker(interval)
	defer ticks.Stop()
	sample := []metrics.Sample{{Name: latencyMetric}}
	for {
		if err := ticks.Wait(ctx); err != nil {
			return err
		}
		metrics.Read(sample)
		if sample[0].Value.Kind() == metrics.KindFloat64Histogram {
			m.update(sample[0].Value.Float64Histogram())
		}
	}
}

// update adds the waits since the last measurement to the moving average.
func (m *Meter) update(h *metrics.Float64Histogram) {
	if len(m.lastCounts) != len(h.Counts) {
		m.lastCounts = append([]uint64(nil), h.Counts...)
		return
	}
	n, sum := 0.0, 0.0
	for i, count := range h.Counts {
		added := float64(count - m.lastCounts[i])
		n += added
		if low := h.Buckets[i]; added > 0 && !math.IsInf(low, 0) {
			sum += added * low
		}
	}
	copy(m.lastCounts, h.Counts)
	mean := 0.0
	if n >= minSamples {
		mean = sum / n
	}
	lag := float64(m.lag.Load())
	m.lag.Store(int64(lag + smoothing*(mean*float64(time.Second)-lag)))
}
