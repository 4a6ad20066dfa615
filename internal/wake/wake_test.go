package wake_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/internal/wake"
)

// TestTickersOfDifferentPhaseExpireTogether guards against an idle router that wakes
// up for each of its parts on its own.
func TestTickersOfDifferentPhaseExpireTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instants := map[int64]int{}
		first, second := wake.NewTicker(20*time.Millisecond), wake.NewTicker(100*time.Millisecond)
		defer first.Stop()
		defer second.Stop()
		time.Sleep(7 * time.Millisecond)
		for range 3 {
			if err := second.Wait(t.Context()); err != nil {
				t.Fatal(err)
			}
			instants[time.Now().UnixNano()]++
			time.Sleep(3 * time.Millisecond) // work that takes time must not shift the phase
		}
		if got := wake.Until(time.Now(), 20*time.Millisecond); got != 17*time.Millisecond {
			t.Errorf("next instant after %v, want 17ms", got)
		}
		if err := first.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := wake.Until(time.Now(), 20*time.Millisecond); got != 20*time.Millisecond {
			t.Errorf("woken %v before an instant", got)
		}
	})
}

func TestWaitEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	ticker := wake.NewTicker(time.Hour)
	defer ticker.Stop()
	if err := ticker.Wait(ctx); err != context.Canceled {
		t.Errorf("got %v", err)
	}
}
