package peer

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// connectParams bounds the wait before a lost connection is tried again, so
// that a healed partition is noticed within about a second.
func connectParams() grpc.ConnectParams {
	return grpc.ConnectParams{
		Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: backoffMax},
		MinConnectTimeout: backoffMax,
	}
}
