package relay

import (
	"context"
	"net"
	"testing"
)

// TestCountRequest guards against taking requests on kept connections for those of
// clients that connect anew.
func TestCountRequest(t *testing.T) {
	if countRequest(context.Background()) {
		t.Error("a request without a known connection counts as the first")
	}
	ctx := (&Relay{}).ConnContext(context.Background(), &net.TCPConn{})
	for i, want := range []bool{true, false, false} {
		if got := countRequest(ctx); got != want {
			t.Errorf("request %d on a connection: first is %v", i, got)
		}
	}
}
