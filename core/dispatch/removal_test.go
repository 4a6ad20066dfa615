package dispatch_test

import (
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
	"github.com/cyclamenwinch/cyclamenwinch/core/topology"
)

// TestWaitingRequestsEndWhenTheirServiceLeavesTheTable guards against requests that
// wait for a decision that is never made.
func TestWaitingRequestsEndWhenTheirServiceLeavesTheTable(t *testing.T) {
	for _, gone := range []struct {
		name   string
		change func(d *dispatch.Dispatcher, now time.Time)
	}{
		{"service", func(d *dispatch.Dispatcher, _ time.Time) { d.SetTable(topology.NewTable(topology.Config{})) }},
		{"endpoints", func(d *dispatch.Dispatcher, now time.Time) { d.SetEndpoints(now, nil) }},
		{"zone", func(d *dispatch.Dispatcher, now time.Time) { d.SetZonesOut(now, map[string]bool{"a": true}) }},
	} {
		d := newDispatcher("r1", endpoint("e1", model, "a"))
		waiting, now := map[*dispatch.Ticket]bool{}, start
		for own := range uint64(200) {
			if ticket := d.Submit(now, chatRequest(now, "x", 100+own)); ticket.State == dispatch.Waiting {
				waiting[ticket] = true
			}
		}
		if len(waiting) == 0 {
			t.Fatalf("%s: no request waits", gone.name)
		}
		gone.change(d, now)
		for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(8 * time.Millisecond) {
			for _, ticket := range d.Poll(now) {
				if ticket.State == dispatch.Waiting || !waiting[ticket] {
					t.Errorf("%s: decided a ticket in state %v that was waiting: %v", gone.name, ticket.State, waiting[ticket])
				}
				delete(waiting, ticket)
			}
		}
		if len(waiting) > 0 {
			t.Errorf("%s: %d requests still wait for a decision", gone.name, len(waiting))
		}
	}
}
