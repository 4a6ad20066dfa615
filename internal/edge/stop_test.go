package edge

import (
	"testing"
	"time"
)

// TestAcceptsNoLateRequestsDuringStop checks that a stopping router accepts no
// request that the end of the grace period might abort: such a request counts as
// lost if it was sent later than three seconds after the signal. This failed on
// jmbsa-router trouble-2 --seed 832293610863 when a router accepted requests for
// 3.3 s.
func TestAcceptsNoLateRequestsDuringStop(t *testing.T) {
	const latest = 3 * time.Second
	const inFlight = 100 * time.Millisecond // for a request that is read and not yet matched to a route
	if drainAcceptPeriod > latest-inFlight {
		t.Errorf("accepts new requests for %v after the signal", drainAcceptPeriod)
	}
	if drainAcceptPeriod < 2*directoryTTL {
		t.Errorf("refuses new requests after %v, although clients cache an address for %v", drainAcceptPeriod, directoryTTL)
	}
}
