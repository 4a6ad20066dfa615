package oplog

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"
)

// stuck is a reader of the log that has stopped reading.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestBlockedReader checks that nobody waits for a reader that has stopped.
func TestBlockedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := stuck{make(chan struct{})}
		l := New(out)
		began := time.Now()
		for range 10 * queueLines {
			l.Log(StateChange, "something", slog.Int("n", 1))
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("logging waited %v", took)
		}
		limit, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		l.Close(limit)
		if time.Since(began) > time.Second {
			t.Error("Close waited longer than it may")
		}
		close(out.release)
	})
}

// TestVolume checks that lines are bounded by class, that failures are kept
// beside a flood of routine, and that what is left out is counted.
func TestVolume(t *testing.T) {
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
		time.Sleep(reportEvery)
		l.Close(context.Background())
		got := map[string]int{}
		for line := range bytes.Lines(out.Bytes()) {
			var record struct{ Event, Router string }
			if err := json.Unmarshal(line, &record); err != nil || record.Router != "r1" {
				t.Fatalf("line %s: %v", line, err)
			}
			got[record.Event]++
		}
		most := int(6*float64(classRates[Routine].perSecond)) + classRates[Routine].burst + 1
		if got["served"] > most || got["failed"] != 300 || got["log.lines_dropped"] == 0 {
			t.Errorf("lines: %v; at most %d served", got, most)
		}
	})
}
