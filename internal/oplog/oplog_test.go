package oplog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter is an output that blocks every write until it is released, as a
// pipe does whose reader has stopped.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestBlockedWriter checks that Log doesn't wait for a blocked output, and Close
// no longer than its context allows.
func TestBlockedWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{make(chan struct{})}
		l := New(out)
		began := time.Now()
		for range 10 * queueCapacity {
			l.Log(StateChange, "something", slog.Int("n", 1))
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("Log blocked for %v, want 0", took)
		}
		limit, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		l.Close(limit)
		if time.Since(began) > time.Second {
			t.Error("Close outlasted its context")
		}
		close(out.release)
	})
}

// TestRateLimits checks that each class is rate-limited separately, that all
// failures are logged during a flood of routine lines, and that dropped lines
// are counted.
func TestRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		l := New(&out, slog.String("router", "r1"))
		for range 300 {
			for range 20 {
				l.Log(Routine, "served")
			}
			l.Log(Failure, "failed")
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(dropReportInterval)
		l.Close(context.Background())
		got := map[string]int{}
		for line := range bytes.Lines(out.Bytes()) {
			var record struct{ Event, Router string }
			if err := json.Unmarshal(line, &record); err != nil || record.Router != "r1" {
				t.Fatalf("line %s: %v", line, err)
			}
			got[record.Event]++
		}
		maxServed := int(6*float64(classRates[Routine].perSecond)) + classRates[Routine].burst + 1
		if got["served"] > maxServed || got["failed"] != 300 || got["log.lines_dropped"] == 0 {
			t.Errorf("lines: %v; want at most %d served, all 300 failures and a count of dropped lines", got, maxServed)
		}
	})
}

// TestLogAfterClose guards against a process that panics at its exit because a request
// ends after the log was closed.
func TestLogAfterClose(t *testing.T) {
	l := New(io.Discard)
	l.Close(context.Background())
	l.Log(StateChange, "late")
}
