package replica_test

import (
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/internal/replica"
)

// TestRecordsCountAsOutOfDateUntilEndpointsCouldWriteAgain guards against an endpoint that
// turns cold while the store is away and is flooded, since its record doesn't say so.
func TestRecordsCountAsOutOfDateUntilEndpointsCouldWriteAgain(t *testing.T) {
	r := replica.New(func(replica.Kind, replica.View) {})
	start := time.Unix(1_000_000, 0)
	for _, step := range []struct {
		ms       int
		readable bool
		want     bool
	}{
		{0, true, false},
		{100, false, true},
		{400, true, false}, // shorter than an outage: no record can have lapsed
		{500, false, true},
		{1100, false, true},
		{2000, false, true},
		{2100, true, true},
		{4100, true, true},
		{4300, true, false},
	} {
		now := start.Add(time.Duration(step.ms) * time.Millisecond)
		r.RecordReadable(now, step.readable)
		if got := r.OutOfDate(now); got != step.want {
			t.Errorf("after %d ms: got %v, want %v", step.ms, got, step.want)
		}
	}
}
