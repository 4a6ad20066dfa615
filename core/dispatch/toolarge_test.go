package dispatch_test

import (
	"math"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
)

// TestPromptsBeyondTheMemoryAreRefused guards against requests that wait although no endpoint
// can run them, and whose tokens count as demand: an account that states many could make
// the service seem overloaded, and itself underserved, at the expense of all others.
func TestPromptsBeyondTheMemoryAreRefused(t *testing.T) {
	d := newDispatcher("r1", endpoint("e1", model, "a"))
	now := start
	for n := range 50 {
		huge := chatRequest(now, "flood", uint64(1000+n))
		huge.PromptTokens = 600_001
		if ticket := d.Submit(now, huge); ticket.State != dispatch.Refused || ticket.Reason != dispatch.TooLarge {
			t.Fatalf("state %d, reason %q", ticket.State, ticket.Reason)
		}
		now = now.Add(100 * time.Millisecond)
		ordinary := d.Submit(now, chatRequest(now, "x", uint64(n)))
		if ordinary.State != dispatch.Granted || n > 20 && !math.IsInf(ordinary.FairShare, 1) { // by then the demand is known
			t.Fatalf("an ordinary request: state %d, share %v", ordinary.State, ordinary.FairShare)
		}
		d.Finish(now, ordinary, dispatch.Completed)
	}
	largest := chatRequest(now, "x", 99)
	largest.PromptTokens, largest.OutputTokens = 600_000, 1<<30
	largest.FirstEventDeadline, largest.Deadline = now.Add(time.Hour), now.Add(24*365*time.Hour)
	if ticket := d.Submit(now, largest); ticket.State != dispatch.Granted {
		t.Errorf("a prompt that fills the memory: state %d, reason %q", ticket.State, ticket.Reason)
	}
}
