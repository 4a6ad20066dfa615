package overload

import (
	"testing"
	"time"
)

// TestPressureFollowsResets guards against demand that the fleet doesn't hear of
// because an overloaded router resets its connections.
func TestPressureFollowsResets(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	var p pressure
	check := func(after time.Duration, low, high float64) {
		t.Helper()
		if got := p.ratio(start.Add(after)); got < low || got > high {
			t.Errorf("pressure %v after %v, want %v to %v", got, after, low, high)
		}
	}
	check(0, 1, 1)
	p.add(start, 10, 0)
	check(0, 1, 1)
	p.add(start, 0, 30)
	check(0, 3.99, 4.01)
	p.add(start, 0, 1000)
	check(0, maxPressure, maxPressure)
	check(10*pressureWindow, 1, 1)
	check(5*pressureWindow, 1, maxPressure) // the clock may step back
}
