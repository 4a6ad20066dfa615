package edge

import (
	"testing"
	"time"
)

// TestAcceptsNoLateRequestsDuringStop checks that a router takes no request that its
// stop might cut: one sent later than three seconds after the signal counts as
// lost if the grace ends it. It was seen failing on jmbsa-router trouble-2
// --seed 832293610863 with 3.3 s.
func TestAcceptsNoLateRequestsDuringStop(t *testing.T) {
	const latest = 3 * time.Second
	const onItsWay = 100 * time.Millisecond // a request that is read and not yet matched
	if drainAcceptPeriod > latest-onItsWay {
		t.Errorf("takes requests for %v after the signal", drainAcceptPeriod)
	}
	if drainAcceptPeriod < 2*directoryTTL {
		t.Errorf("refuses after %v, while clients keep an address for %v", drainAcceptPeriod, directoryTTL)
	}
}
