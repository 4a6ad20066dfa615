package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenwinch/cyclamenwinch/core/retry"
)

// TestDelayIsWithinBackoff checks that the jitter keeps each delay between half
// of the initial backoff and the maximum.
func TestDelayIsWithinBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.Backoff{Initial: 50 * time.Millisecond, Max: 5 * time.Second}
		failures := rapid.IntRange(1, 100).Draw(t, "failures")
		d := b.Delay(failures, rapid.Float64Range(0, 0.999).Draw(t, "random"))
		if d < b.Initial/2 || d > b.Max {
			t.Fatalf("delay after %d failures is %v", failures, d)
		}
	})
}

// TestPacerSpacesRetriesUntilSuccess guards against a burst of retries: ones
// reserved at the same moment must be at least half a backoff apart, and must
// start at once only before the first failure and after a success.
func TestPacerSpacesRetriesUntilSuccess(t *testing.T) {
	b := retry.Backoff{Initial: time.Second, Max: time.Second}
	p := retry.NewPacer(b)
	now := time.Unix(0, 0)
	if p.Reserve(now, 0) != 0 {
		t.Fatal("pacer delays a retry although no call failed")
	}
	p.Failed()
	last := time.Duration(0)
	for range 10 {
		d := p.Reserve(now, 0.5)
		if d < last+b.Initial/2 {
			t.Fatalf("two retries are only %v apart", d-last)
		}
		last = d
	}
	if !p.Succeeded() || p.Reserve(now, 0.5) != 0 {
		t.Fatal("pacer still delays retries after a success")
	}
}

// TestBudgetBoundsRetriesByRatio checks that a budget never allows more retries
// than its initial 10 plus the ratio of the successes.
func TestBudgetBoundsRetriesByRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := retry.NewBudget(0.1, 10)
		successes, retries := 0, 0
		for range rapid.IntRange(0, 1000).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "success") {
				b.Succeeded()
				successes++
			} else if b.Take() {
				retries++
			}
		}
		if float64(retries) > 10+0.1*float64(successes)+1e-9 {
			t.Fatalf("%d retries allowed for %d successes", retries, successes)
		}
	})
}
