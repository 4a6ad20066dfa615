package pool

import (
	"sync"
	"time"
)

// stallThreshold is the time without a call of observe from which the process
// counts as stalled.
const stallThreshold = 10 * stepInterval

// stallDetector counts the times this process stalled because it was stopped
// or got no processor time. During a stall other routers may have become the
// owners of its pools, and endpoints may have become cold unnoticed. After a
// stall an owner must therefore drop the pools that it had, and a router must
// not use slots that were granted to it before. It is safe for concurrent use.
type stallDetector struct {
	mu    sync.Mutex
	last  time.Time
	count int
}

// observe records that the process is running and returns the number of stalls
// so far. The first call after a stall counts it, whichever goroutine makes
// the call, so none acts on state from before the stall. The process must call
// observe every stepInterval.
func (d *stallDetector) observe(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.last.IsZero() && now.Sub(d.last) > stallThreshold {
		d.count++
	}
	if now.After(d.last) {
		d.last = now
	}
	return d.count
}
