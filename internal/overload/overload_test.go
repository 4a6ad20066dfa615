package overload

import (
	"math"
	"runtime/metrics"
	"testing"
	"time"
)

// TestLag checks that the lag rises while goroutines wait long and falls when
// they don't, and that fewer than minSamples waits count as no wait.
func TestLag(t *testing.T) {
	h := &metrics.Float64Histogram{Counts: make([]uint64, 3), Buckets: []float64{math.Inf(-1), 0.0001, 0.1, math.Inf(1)}}
	m := New()
	m.update(h)
	add := func(short, long uint64) {
		h.Counts[1] += short
		h.Counts[2] += long
		m.update(h)
	}
	add(0, minSamples-1)
	if m.Lag() != 0 {
		t.Errorf("lag %v after fewer than minSamples waits, want 0", m.Lag())
	}
	for range 20 {
		add(50, 50)
	}
	if lag := m.Lag(); lag < 45*time.Millisecond || lag > 51*time.Millisecond {
		t.Errorf("lag %v while half of the waits take 100 ms, want 45 to 51 ms", lag)
	}
	for range 20 {
		add(1000, 0)
	}
	if lag := m.Lag(); lag > time.Millisecond {
		t.Errorf("lag %v after short waits only, want 1 ms at most", lag)
	}
}
