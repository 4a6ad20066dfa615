// Package overload measures by how much a process is behind its work.
package overload

import (
	"context"
	"math"
	"runtime/metrics"
	"sync/atomic"
	"time"

	exported "github.com/VictoriaMetrics/metrics"
)

const (
	// every is the time between two measurements.
	every = 50 * time.Millisecond
	// gain is the weight of one new measurement: a single pause is no overload.
	gain = 0.3
	// fewest is how many waits make a measurement; fewer say nothing.
	fewest = 10

	waits = "/sched/latencies:seconds"
)

// Meter measures how long goroutines that could run wait for the processor.
// Timers don't show that: the runtime lets them go first. It is safe for
// concurrent use.
type Meter struct {
	lag  atomic.Int64 // ns
	last []uint64     // counts at the last measurement
}

// New returns a meter that has measured nothing.
func New() *Meter {
	m := &Meter{}
	exported.GetOrCreateGauge("cyclamenwinch_processor_wait_seconds", func() float64 { return m.Lag().Seconds() })
	return m
}

// Lag is the mean wait for the processor of late. Work that waits several
// times is late by as many of these.
func (m *Meter) Lag() time.Duration { return time.Duration(m.lag.Load()) }

// Serve measures until the context ends.
func (m *Meter) Serve(ctx context.Context) error {
	ticks := time.NewTicker(every)
	defer ticks.Stop()
	sample := []metrics.Sample{{Name: waits}}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
			metrics.Read(sample)
			if sample[0].Value.Kind() == metrics.KindFloat64Histogram {
				m.take(sample[0].Value.Float64Histogram())
			}
		}
	}
}

// take takes in the waits since the last measurement.
func (m *Meter) take(h *metrics.Float64Histogram) {
	if len(m.last) != len(h.Counts) {
		m.last = append([]uint64(nil), h.Counts...)
		return
	}
	n, sum := 0.0, 0.0
	for i, count := range h.Counts {
		added := float64(count - m.last[i])
		n += added
		if low := h.Buckets[i]; added > 0 && !math.IsInf(low, 0) {
			sum += added * low
		}
	}
	copy(m.last, h.Counts)
	mean := 0.0
	if n >= fewest {
		mean = sum / n
	}
	lag := float64(m.lag.Load())
	m.lag.Store(int64(lag + gain*(mean*float64(time.Second)-lag)))
}
