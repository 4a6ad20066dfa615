package dispatch_test

import (
	"testing"
	"time"

	"github.com/cyclamenwinch/cyclamenwinch/core/dispatch"
)

// TestSilentEndpointIsAvoidedBeforeItsRequestsEnd guards against requests that follow
// others to an endpoint that has stopped responding.
func TestSilentEndpointIsAvoidedBeforeItsRequestsEnd(t *testing.T) {
	d := newDispatcher("r1", endpoint("e1", plain, "a"), endpoint("e2", plain, "a"))
	now := start
	silent := d.Submit(now, plainRequest(now))
	for range 20 {
		now = now.Add(10 * time.Millisecond)
		d.Finish(now, d.Submit(now, plainRequest(now)), dispatch.Completed)
	}
	d.RecordSilence(now, silent)
	d.RecordSilence(now, silent)
	d.Finish(now, silent, dispatch.Canceled) // its load must not be what keeps others away
	for range 5 {
		ticket := d.Submit(now, plainRequest(now))
		if ticket.Endpoint.ID == silent.Endpoint.ID {
			t.Fatalf("a request went to the silent endpoint %s", ticket.Endpoint.ID)
		}
		d.Finish(now, ticket, dispatch.Completed)
	}
}
