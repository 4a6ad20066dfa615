package eventlog

import (
	"runtime"
	"strings"
	"testing"
)

// TestEventsDoNotKeepTheTextsOfRequests guards against a log whose events keep the memory
// of the requests from which their details are taken.
func TestEventsDoNotKeepTheTextsOfRequests(t *testing.T) {
	const events, textBytes, maxHeapMB = 300, 1 << 20, 64
	for name, detail := range map[string]func(text string) string{
		"a long detail":         func(text string) string { return text },
		"a part of a long text": func(text string) string { return text[:10] },
	} {
		l := New("r", events)
		for range events {
			l.Add(Event{Kind: RequestRefused, Detail: detail(strings.Repeat("x", textBytes))})
		}
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		if got := m.HeapAlloc >> 20; got > maxHeapMB {
			t.Errorf("%s: %d MB are in use", name, got)
		}
		if got := len(l.All()); got < events/2 { // the log's size is limited as well
			t.Errorf("%s: %d events", name, got)
		}
	}
}
