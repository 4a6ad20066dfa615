package callerapi

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/admission"
	"github.com/cyclamenwinch/cyclamenwinch/core/code"
	"github.com/cyclamenwinch/cyclamenwinch/internal/overload"
)

// TestOwnDelaysAreNoSignOfColdEndpoints guards against an overloaded router that
// makes the fleet take endpoints for cold.
func TestOwnDelaysAreNoSignOfColdEndpoints(t *testing.T) {
	var lag time.Duration
	api := New(Options{Lag: func() time.Duration { return lag }})
	silence := code.Fail(code.Silent, "")
	firstToken := func() time.Duration {
		run := &chatRun{api: api, w: httptest.NewRecorder(), startedAt: time.Now().Add(-time.Second)}
		run.startStream()
		return run.ttft
	}
	if firstToken() < time.Second || api.outcome(silence) != admission.Crashed {
		t.Error("a router with CPU time to spare does not report a slow endpoint")
	}
	lag = overload.MaxTimingLag + time.Millisecond
	if ttft := firstToken(); ttft != 0 {
		t.Errorf("an overloaded router reports %v to the first token", ttft)
	}
	if o := api.outcome(silence); o != admission.Canceled {
		t.Errorf("an overloaded router reports silence as %v", o)
	}
	if o := api.outcome(code.Fail(code.Truncated, "")); o != admission.Crashed {
		t.Errorf("an overloaded router reports a broken connection as %v", o)
	}
}
