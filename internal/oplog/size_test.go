package oplog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

// maxLineBytes is what a line with a few long values may have: the log's queue of
// queueCapacity lines then takes 8 MiB at most.
const maxLineBytes = 8 << 10

// TestLongValuesAreCut guards against lines as long as what clients send: IDs of requests
// fill a head, and the parts of a prompt are many. Lines wait in the queue while the output
// is blocked.
func TestLongValuesAreCut(t *testing.T) {
	var parts []uint64
	var attempts []string
	for i := range 5000 {
		parts, attempts = append(parts, uint64(i)<<40), append(attempts, fmt.Sprint("attempt ", i))
	}
	var out bytes.Buffer
	l := New(&out)
	for _, value := range []slog.Attr{
		slog.String("request", strings.Repeat("x", 60_000)),
		slog.String("request", strings.Repeat("\xff", 60_000)),
		slog.String("request", strings.Repeat("\x01", 60_000)),
		slog.Any("suspect_parts", parts),
		slog.Any("attempts", attempts),
		slog.Any("attempts", []string{strings.Repeat("x", 60_000)}),
	} {
		l.Log(Failure, "something", value, slog.Int("n", 7))
	}
	l.Close(context.Background())
	lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
	if len(lines) != 6 {
		t.Fatalf("%d lines", len(lines))
	}
	for _, line := range lines {
		var decoded struct{ N int }
		if err := json.Unmarshal(line, &decoded); err != nil || decoded.N != 7 || len(line) > maxLineBytes {
			t.Errorf("%d bytes, %v: %.80s", len(line), err, line)
		}
	}
}

// TestShortValuesAreLogged guards against values that are cut though they are as long as
// those of the platform.
func TestShortValuesAreLogged(t *testing.T) {
	var out bytes.Buffer
	l := New(&out)
	id := strings.Repeat("i", 255)
	l.Log(Failure, "something", slog.String("request", id), slog.Any("suspect_parts", []uint64{1, 2, 3}))
	l.Close(context.Background())
	if !strings.Contains(out.String(), `"`+id+`"`) || !strings.Contains(out.String(), "[1,2,3]") {
		t.Error(out.String())
	}
}
