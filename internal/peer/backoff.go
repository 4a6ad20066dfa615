package peer

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// connectParams limits the delay between attempts to reconnect, so that a
// router notices the end of a network partition within about a second.
func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
		MinConnectTimeout: maxBackoff,
	}
}
