package overload

import (
	"math"
	"runtime/metrics"
	"testing"
	"time"
)

// TestFollowsTheWaits checks that the lag rises while goroutines wait long and
// falls when they don't, and that a few waits say nothing.
func TestFollowsTheWaits(t *testing.T) {
	h := &metrics.Float64Histogram{Counts: make([]uint64, 3), Buckets: []float64{math.Inf(-1), 0.0001, 0.1, math.Inf(1)}}
	m := New()
	m.take(h)
	add := func(short, long uint64) {
		h.Counts[1] += short
		h.Counts[2] += long
		m.take(h)
	}
	add(0, fewest-1)
	if m.Lag() != 0 {
		t.Errorf("lag %v after a few waits", m.Lag())
	}
	for range 20 {
		add(50, 50)
	}
	if lag := m.Lag(); lag < 45*time.Millisecond || lag > 51*time.Millisecond {
		t.Errorf("lag %v while half of the waits take 100 ms", lag)
	}
	for range 20 {
		add(1000, 0)
	}
	if lag := m.Lag(); lag > time.Millisecond {
		t.Errorf("lag %v after calm", lag)
	}
}
